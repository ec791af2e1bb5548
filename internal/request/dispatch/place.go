package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
	"chestnutstack/internal/request/verdict"
)

// place starts waiting tasks while slots are free.
func (dsp *Dispatcher) place(now time.Time) {
	for {
		for dsp.pool.Free() > 0 {
			itm := dsp.queue.Next()
			if itm == nil {
				break
			}
			dsp.placeNext(now, itm.Value)
		}
		if dsp.pool.Free() == 0 || !dsp.unparkReady(now) {
			return
		}
	}
}

// placeNext starts a task of the job, or takes the job out of the queue for as long as none of its
// tasks can start.
func (dsp *Dispatcher) placeNext(now time.Time, jst *jobState) {
	if jst.expired(now) {
		dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
		return
	}
	if dsp.long(jst) && !dsp.longAllowed() {
		dsp.parkJob(now, jst, dsp.parkFor(parkKey{reason: parkLong}))
		return
	}
	if !dsp.shareAllowed(now, jst.ptn) {
		dsp.parkJob(now, jst, dsp.parkFor(parkKey{reason: parkShare, class: string(jst.ptn.name)}))
		return
	}
	acc, wid := dsp.pool.Pick(dsp.widths(jst))
	if acc == nil {
		dsp.parkJob(now, jst, dsp.parkFor(parkKey{reason: parkWidth, class: jst.cls.name}))
		return
	}
	if !dsp.lim.Take(now, jst.spec().Class, jst.spec().Team) {
		dsp.parkJob(now, jst, jst.limit)
		return
	}
	dsp.start(now, jst, acc, wid)
	jst.limit.pause = 0
	dsp.unparkOne(jst.limit)
}

// widths returns the slots that the job's tasks take by shape, also of shapes that came up since.
func (dsp *Dispatcher) widths(jst *jobState) []uint32 {
	if len(jst.widths) != len(dsp.pool.Shapes()) {
		jst.widths = dsp.pool.Widths(jst.spec().Class.Needs, jst.widths)
	}
	return jst.widths
}

func (dsp *Dispatcher) long(jst *jobState) bool { return dsp.estimate(jst) >= dsp.cfg.LongTaskRunTime }

// longAllowed keeps some slots for short tasks: a long task that takes the last slot makes many
// short ones wait for seconds, while it would itself hardly notice a wait.
func (dsp *Dispatcher) longAllowed() bool {
	usable := float64(dsp.pool.InUse() + dsp.pool.Free())
	return float64(dsp.longInUse) < dsp.cfg.LongShare*usable
}

// shareAllowed keeps a few slots for the other partner while it is active: where one partner has
// all slots, even the other's shortest job has to wait until some task of the first ends.
func (dsp *Dispatcher) shareAllowed(now time.Time, ptn *partner) bool {
	usable := float64(dsp.pool.InUse() + dsp.pool.Free())
	if float64(ptn.inUse) < dsp.cfg.PartnerShare*usable {
		return true
	}
	for _, oth := range dsp.partners {
		if oth != ptn && now.Sub(oth.seen) < dsp.cfg.PartnerActiveTime {
			return false
		}
	}
	return true
}

func (dsp *Dispatcher) start(now time.Time, jst *jobState, acc *slot.Server, wid uint32) {
	last := len(jst.pending) - 1
	idx := jst.pending[last]
	flt := &jst.flights[idx]
	tsk := flt.task()
	srv := dsp.servers[ServerID(acc.ID())]
	dsp.setPending(jst, jst.pending[:last])
	dsp.enqueue(jst)
	if !tsk.MarkSent(now, string(srv.id)) {
		return
	}
	dsp.occupy(flt, srv, wid)
	flt.lateAt = now.Add(max(dsp.cfg.AnswerTimeout, jst.cls.run.LateAfter(flt.estimate)))
	dsp.young.push(flt, now.Add(dsp.cfg.AnswerTimeout))
	dsp.stats.Starts++
	dsp.act.Starts = append(dsp.act.Starts, Start{
		Server:   srv.id,
		Task:     tsk.ID(),
		Class:    jst.cls.name,
		Payload:  tsk.Spec().Payload,
		Lease:    dsp.cfg.Lease,
		NotAfter: jst.spec().NotAfter,
		Slots:    wid,
		Version:  jst.spec().Class.Version,
		AtMostOnce:     !jst.spec().Repeatable,
	})
}

// occupy books the slots of a task that is about to be sent.
func (dsp *Dispatcher) occupy(flt *flight, srv *server, wid uint32) {
	jst := flt.jst
	flt.estimate = max(dsp.estimate(jst), time.Millisecond)
	flt.turn++
	flt.width = wid
	flt.long = flt.estimate >= dsp.cfg.LongTaskRunTime
	flt.incarnation = srv.incarnation
	flt.asked, flt.askSince, flt.checkAt = time.Time{}, time.Time{}, time.Time{}
	flt.duplicate = false
	srv.link(flt)
	jst.inFlight++
	jst.ptn.inUse += wid
	dsp.pool.Acquire(srv.acct, wid)
	dsp.drain += 1 / flt.estimate.Seconds()
	if flt.long {
		dsp.longInUse += wid
	}
	flt.busy = dsp.queue.BusyPeriod()
	dsp.queue.Charge(string(jst.spec().Class.Owner), time.Duration(wid)*flt.estimate, flt.busy)
}

// vacate gives back what occupy booked. A task that may still run keeps its units of the limits
// until its lease has surely ended.
func (dsp *Dispatcher) vacate(now time.Time, flt *flight, used time.Duration, mayRun bool) {
	jst, srv := flt.jst, flt.srv
	srv.unlink(flt)
	jst.inFlight--
	jst.ptn.inUse -= flt.width
	dsp.pool.Release(srv.acct, flt.width)
	dsp.drain = max(0, dsp.drain-1/flt.estimate.Seconds())
	if flt.long {
		dsp.longInUse -= flt.width
	}
	dsp.queue.Charge(string(jst.spec().Class.Owner), time.Duration(flt.width)*(used-flt.estimate), flt.busy)
	if mayRun {
		dsp.timers.push(timer{at: now.Add(dsp.cfg.Lease), kind: timerRelease, jst: jst})
	} else {
		dsp.lim.Release(now, jst.spec().Class, jst.spec().Team)
		dsp.unparkOne(jst.limit)
	}
	dsp.offerHeld(now, srv)
}

// wideDue keeps a backend server for a task that needs several slots at once. Without that single
// slots go to narrow tasks as they come free, and the wide task starves.
func (dsp *Dispatcher) wideDue(now time.Time, jst *jobState) {
	jst.wideTimed = false
	if jst.park == nil || jst.park.key.reason != parkWidth {
		return
	}
	if dsp.heldFor != nil {
		jst.wideTimed = true
		dsp.timers.push(timer{at: now.Add(dsp.cfg.WideReserveDelay), kind: timerWide, jst: jst})
		return
	}
	acc := dsp.pool.Reserve(dsp.widths(jst))
	if acc == nil {
		return
	}
	dsp.held, dsp.heldFor = dsp.servers[ServerID(acc.ID())], jst
	dsp.offerHeld(now, dsp.held)
}

// offerHeld starts the wide task once the kept backend server has room, and lets go of the server
// if the task is gone.
func (dsp *Dispatcher) offerHeld(now time.Time, srv *server) {
	jst := dsp.heldFor
	if jst == nil || dsp.held != srv {
		return
	}
	gone := jst.park == nil || jst.expired(now)
	wid := dsp.pool.WidthOn(srv.acct, dsp.widths(jst))
	if !gone && srv.open() && srv.acct.Idle() < wid {
		return
	}
	dsp.held, dsp.heldFor = nil, nil
	dsp.pool.Unreserve(srv.acct)
	if gone || !srv.open() || !dsp.lim.Take(now, jst.spec().Class, jst.spec().Team) {
		return
	}
	dsp.dequeue(jst)
	dsp.start(now, jst, srv.acct, wid)
}

// requeue puts a task that is proved not to have run back among the waiting ones.
func (dsp *Dispatcher) requeue(jst *jobState, idx uint32) {
	if jst.job.Ended() {
		jst.job.Task(idx).MarkDropped()
		dsp.forget(jst)
		return
	}
	jst.pending = append(jst.pending, idx)
	dsp.enqueue(jst)
	dsp.watchDeadline(jst)
}

// retryDue ends the pause of a refused task.
func (dsp *Dispatcher) retryDue(jst *jobState, idx uint32) {
	if jst.job.Task(idx).State() == job.Waiting {
		dsp.requeue(jst, idx)
	}
}
