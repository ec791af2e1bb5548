package dispatch

import (
	"time"

	"chestnutstack/internal/request/order"
)

// parkReason is why the jobs of a park can't start a task now.
type parkReason uint8

const (
	// parkLimit: a limit of the catalogue entry or the team has no unit left.
	parkLimit parkReason = iota
	// parkWidth: no backend server has enough slots free at once.
	parkWidth
	// parkLong: long tasks have used up their share of the slots.
	parkLong
	// parkShare: the partner has used up its share of the slots while another partner is active.
	parkShare
)

// parkKey identifies a park: its reason with the catalogue entry and team, or with the partner's name in class.
type parkKey struct {
	reason parkReason
	class  string
	team   string
}

// park holds the jobs that can't start a task for one reason though slots are free, so that they don't block the
// queue.
type park struct {
	key   parkKey
	queue *order.Queue[*jobState]
	// timerSet is true while a timerParked is set.
	timerSet bool
	// pause is the delay before the next try; it doubles until a job gets the units of its limit.
	pause time.Duration
	// users counts the jobs for which this is the park of their limit.
	users int
}

// setPending replaces the list of waiting tasks of a job and adjusts the counts of waiting tasks.
func (dsp *Dispatcher) setPending(jst *jobState, pending []uint32) {
	jst.pending = pending
	dsp.adjustWaiting(jst, len(pending)-jst.countedWaiting)
}

// adjustWaiting adds dif to the counts of waiting tasks that the job takes part in.
func (dsp *Dispatcher) adjustWaiting(jst *jobState, dif int) {
	jst.countedWaiting += dif
	jst.cls.waiting += dif
	dsp.waiting += dif
	jst.ptn.backlog += time.Duration(dif) * jst.cost
	if jst.waitsForSlot() {
		dsp.queued += dif
	}
}

// waitsForSlot reports whether a free slot on any backend server would let a task of the job start.
func (jst *jobState) waitsForSlot() bool {
	return jst.item.Queued() && (jst.park == nil || jst.park.key.reason == parkShare)
}

// firstWaiting returns a job that waits for a slot: the first of the queue, else the first that waits for its
// partner's share.
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

// enqueue puts a job with waiting tasks into the queue, or updates its place there; a parked job stays parked. A
// job without waiting tasks is removed.
func (dsp *Dispatcher) enqueue(jst *jobState) {
	if jst.countedWaiting != len(jst.pending) {
		dsp.adjustWaiting(jst, len(jst.pending)-jst.countedWaiting)
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
	dsp.putInQueue(dsp.queue, jst)
}

// putInQueue puts the job into the queue, ordered by partner, admission time and remaining estimated run time.
func (dsp *Dispatcher) putInQueue(que *order.Queue[*jobState], jst *jobState) {
	spc := jst.spec()
	remaining := time.Duration(len(jst.pending)) * dsp.estimate(jst)
	que.Put(&jst.item, string(spc.Class.Owner), spc.Admitted, remaining)
}

// dequeue removes a job from the queue or from its park.
func (dsp *Dispatcher) dequeue(jst *jobState) {
	if jst.waitsForSlot() {
		dsp.queued -= jst.countedWaiting
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

// parkOf returns the park with the key and creates it if necessary.
func (dsp *Dispatcher) parkOf(key parkKey) *park {
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

// releaseLimitPark ends a job's use of the park of its limit, and removes the park when no job uses it any more;
// there is one for each pair of team and catalogue entry.
func (dsp *Dispatcher) releaseLimitPark(prk *park) {
	prk.users--
	if prk.users == 0 {
		delete(dsp.parks, prk.key)
	}
}

// parkJob moves a job from the queue into a park, and sets the timer that the park's reason needs.
func (dsp *Dispatcher) parkJob(now time.Time, jst *jobState, prk *park) {
	dsp.dequeue(jst)
	jst.park = prk
	dsp.putInQueue(prk.queue, jst)
	if jst.waitsForSlot() {
		dsp.queued += jst.countedWaiting
	}
	switch {
	case prk.key.reason == parkLimit:
		dsp.scheduleUnpark(now, prk)
	case prk.key.reason == parkWidth && !jst.wideTimerSet:
		jst.wideTimerSet = true
		dsp.timers.push(timer{at: now.Add(dsp.cfg.WideReserveDelay), kind: timerWide, jst: jst})
	}
}

// scheduleUnpark sets a timer to try a parked job again, since units of limits also come from other entry
// instances, without an event here.
func (dsp *Dispatcher) scheduleUnpark(now time.Time, prk *park) {
	if !prk.timerSet {
		prk.timerSet = true
		prk.pause = min(max(2*prk.pause, dsp.cfg.LimitRetryDelay), dsp.cfg.MaxLimitRetryDelay)
		dsp.timers.push(timer{at: now.Add(prk.pause), kind: timerParked, park: prk})
	}
}

// parkedDue tries the first job of a park again after its delay.
func (dsp *Dispatcher) parkedDue(now time.Time, prk *park) {
	prk.timerSet = false
	dsp.unparkOne(prk)
	if prk.queue.Len() > 0 {
		dsp.scheduleUnpark(now, prk)
	}
}

// unparkOne puts the first job of a park back into the queue; it reports false if the park is empty.
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

// unparkReady puts a job back into the queue that waited for several slots or for a share, if it can start now; it
// reports whether there was one.
func (dsp *Dispatcher) unparkReady(now time.Time) bool {
	for _, prk := range dsp.shapeParks {
		itm := prk.queue.Next()
		if itm == nil || !dsp.mayUnpark(now, itm.Value, prk.key.reason) {
			continue
		}
		if srv, _ := dsp.pool.Pick(dsp.widths(itm.Value)); srv != nil {
			return dsp.unparkOne(prk)
		}
	}
	return false
}

// mayUnpark reports whether the share that the job was parked for allows it to go on now.
func (dsp *Dispatcher) mayUnpark(now time.Time, jst *jobState, reason parkReason) bool {
	switch reason {
	case parkLong:
		return dsp.longAllowed()
	case parkShare:
		return dsp.shareAllowed(now, jst.ptn)
	default:
		return true
	}
}
