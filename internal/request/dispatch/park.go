package dispatch

import (
	"time"

	"chestnutstack/internal/request/order"
)

type parkReason uint8

const (
	// parkLimit: a limit of the catalogue entry or the team has no unit free.
	parkLimit parkReason = iota
	// parkWidth: no backend server has enough slots free at once.
	parkWidth
	// parkLong: long tasks have their share of the slots.
	parkLong
	// parkShare: the partner has all slots but those that are kept for the other's next arrival.
	parkShare
)

type parkKey struct {
	reason parkReason
	class  string
	team   string
}

// park holds jobs that can't be placed though slots are free, so that they don't hold up others.
type park struct {
	key   parkKey
	queue *order.Queue[*jobState]
	timed bool
	// pause is the time to the next try; it doubles until a job gets past the limit.
	pause time.Duration
	// users counts the jobs that may park here for a limit.
	users int
}

// setPending replaces the waiting tasks of a job and keeps the counts of them right.
func (dsp *Dispatcher) setPending(jst *jobState, pending []uint32) {
	jst.pending = pending
	dsp.count(jst, len(pending)-jst.counted)
}

// count corrects the totals of waiting tasks.
func (dsp *Dispatcher) count(jst *jobState, dif int) {
	jst.counted += dif
	jst.cls.waiting += dif
	dsp.waiting += dif
	jst.ptn.backlog += time.Duration(dif) * jst.cost
	if jst.waitsForSlot() {
		dsp.queued += dif
	}
}

// waitsForSlot reports whether one more slot, wherever, would let the job go on.
func (jst *jobState) waitsForSlot() bool {
	return jst.item.Queued() && (jst.park == nil || jst.park.key.reason == parkShare)
}

// firstWaiting returns a job that waits for a slot, the first in line if the queue has one.
func (dsp *Dispatcher) firstWaiting() *jobState {
	if itm := dsp.queue.Next(); itm != nil {
		return itm.Value
	}
	for _, prk := range dsp.shapeParks {
		if itm := prk.queue.Next(); itm != nil && prk.key.reason == parkShare {
			return itm.Value
		}
	}
	return nil
}

// enqueue files a job that has waiting tasks.
func (dsp *Dispatcher) enqueue(jst *jobState) {
	if jst.counted != len(jst.pending) {
		dsp.count(jst, len(jst.pending)-jst.counted)
	}
	if len(jst.pending) == 0 {
		dsp.dequeue(jst)
		return
	}
	if jst.park != nil {
		return
	}
	if !jst.item.Queued() {
		dsp.queued += len(jst.pending)
	}
	dsp.file(dsp.queue, jst)
}

func (dsp *Dispatcher) file(que *order.Queue[*jobState], jst *jobState) {
	spc := jst.spec()
	remaining := time.Duration(len(jst.pending)) * dsp.estimate(jst)
	que.Put(&jst.item, string(spc.Class.Owner), spc.Admitted, remaining)
}

// dequeue takes a job out of the queue or its park.
func (dsp *Dispatcher) dequeue(jst *jobState) {
	if jst.waitsForSlot() {
		dsp.queued -= jst.counted
	}
	if jst.park != nil {
		jst.park.queue.Remove(&jst.item)
		jst.park = nil
		return
	}
	if jst.item.Queued() {
		dsp.queue.Remove(&jst.item)
	}
}

// parkFor returns the park with that key.
func (dsp *Dispatcher) parkFor(key parkKey) *park {
	prk := dsp.parks[key]
	if prk == nil {
		prk = &park{key: key, queue: order.NewQueue[*jobState](dsp.cfg.Ageing)}
		dsp.parks[key] = prk
		if key.reason != parkLimit {
			dsp.shapeParks = append(dsp.shapeParks, prk)
		}
	}
	return prk
}

// leavePark forgets a park once no job can come to it; there is one for each pair of team and
// catalogue entry.
func (dsp *Dispatcher) leavePark(prk *park) {
	prk.users--
	if prk.users == 0 {
		delete(dsp.parks, prk.key)
	}
}

func (dsp *Dispatcher) parkJob(now time.Time, jst *jobState, prk *park) {
	dsp.dequeue(jst)
	jst.park = prk
	dsp.file(prk.queue, jst)
	if jst.waitsForSlot() {
		dsp.queued += jst.counted
	}
	switch {
	case prk.key.reason == parkLimit:
		dsp.watchPark(now, prk)
	case prk.key.reason == parkWidth && !jst.wideTimed:
		jst.wideTimed = true
		dsp.timers.push(timer{at: now.Add(dsp.cfg.WideReserveDelay), kind: timerWide, jst: jst})
	}
}

// watchPark tries again after a while: units of limits also come from other entry instances.
func (dsp *Dispatcher) watchPark(now time.Time, prk *park) {
	if !prk.timed {
		prk.timed = true
		prk.pause = min(max(2*prk.pause, dsp.cfg.LimitRetryDelay), dsp.cfg.MaxLimitRetryDelay)
		dsp.timers.push(timer{at: now.Add(prk.pause), kind: timerParked, park: prk})
	}
}

func (dsp *Dispatcher) parkedDue(now time.Time, prk *park) {
	prk.timed = false
	dsp.unparkOne(prk)
	if prk.queue.Len() > 0 {
		dsp.watchPark(now, prk)
	}
}

// unparkOne puts the first job of a park back into the queue.
func (dsp *Dispatcher) unparkOne(prk *park) bool {
	itm := prk.queue.Next()
	if itm == nil {
		return false
	}
	jst := itm.Value
	dsp.dequeue(jst)
	dsp.enqueue(jst)
	return true
}

// unparkReady lets a job go on whose width, length or share fits now.
func (dsp *Dispatcher) unparkReady(now time.Time) bool {
	for _, prk := range dsp.shapeParks {
		itm := prk.queue.Next()
		if itm == nil || !dsp.allowed(now, itm.Value, prk.key.reason) {
			continue
		}
		if srv, _ := dsp.pool.Pick(dsp.widths(itm.Value)); srv != nil {
			return dsp.unparkOne(prk)
		}
	}
	return false
}

func (dsp *Dispatcher) allowed(now time.Time, jst *jobState, reason parkReason) bool {
	switch reason {
	case parkLong:
		return dsp.longAllowed()
	case parkShare:
		return dsp.shareAllowed(now, jst.ptn)
	default:
		return true
	}
}
