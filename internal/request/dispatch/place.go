package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
	"chestnutstack/internal/request/verdict"
)

// startWaiting starts waiting tasks while slots are free.
func (dsp *Dispatcher) startWaiting(now time.Time) {
	for {
		for dsp.pool.Free() > 0 {
			itm := dsp.queue.Next()
			if itm == nil {
				break
			}
			dsp.startNext(now, itm.Value)
		}
		if dsp.pool.Free() == 0 || !dsp.unparkReady(now) {
			return
		}
	}
}

// startNext starts a task of the job. If none can start now it parks the job, and if the not-after time has passed
// it ends the job.
func (dsp *Dispatcher) startNext(now time.Time, jst *jobState) {
	if jst.expired(now) {
		dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
		return
	}
	if dsp.long(jst) && !dsp.longAllowed() {
		dsp.parkJob(now, jst, dsp.parkOf(parkKey{reason: parkLong}))
		return
	}
	if !dsp.shareAllowed(now, jst.ptn) {
		dsp.parkJob(now, jst, dsp.parkOf(parkKey{reason: parkShare, class: string(jst.ptn.name)}))
		return
	}
	acc, wid := dsp.pool.Pick(dsp.widths(jst))
	if acc == nil {
		dsp.parkJob(now, jst, dsp.parkOf(parkKey{reason: parkWidth, class: jst.cls.name}))
		return
	}
	if !dsp.lim.Take(now, jst.spec().Class, jst.spec().Team) {
		dsp.parkJob(now, jst, jst.limitPark)
		return
	}
	dsp.startTask(now, jst, acc, wid)
	jst.limitPark.pause = 0
	dsp.unparkOne(jst.limitPark)
}

// widths returns the number of slots that a task of the job takes, by shape; the list is extended when new shapes
// have appeared.
func (dsp *Dispatcher) widths(jst *jobState) []uint32 {
	if len(jst.widths) != len(dsp.pool.Shapes()) {
		jst.widths = dsp.pool.Widths(jst.spec().Class.Needs, jst.widths)
	}
	return jst.widths
}

// long reports whether the estimated run time of the job's tasks counts as long.
func (dsp *Dispatcher) long(jst *jobState) bool { return dsp.estimate(jst) >= dsp.cfg.LongTaskRunTime }

// longAllowed reports whether one more long task may start. Some slots stay reserved for short tasks: a long task
// that takes the last slot delays many short ones for seconds, while it would itself be delayed little in relation
// to its run time.
func (dsp *Dispatcher) longAllowed() bool {
	usable := float64(dsp.pool.InUse() + dsp.pool.Free())
	return float64(dsp.longInUse) < dsp.cfg.LongShare*usable
}

// shareAllowed reports whether the partner may use one more slot. While another partner is active, a few slots are
// kept for it: if one partner had all slots, even the shortest job of the other would wait until a task of the
// first ends.
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

// startTask sends the next pending task of the job to the backend server of the account, on wid slots.
func (dsp *Dispatcher) startTask(now time.Time, jst *jobState, acc *slot.Server, wid uint32) {
	last := len(jst.pending) - 1
	idx := jst.pending[last]
	att := &jst.attempts[idx]
	tsk := att.task()
	srv := dsp.servers[ServerID(acc.ID())]
	dsp.setPending(jst, jst.pending[:last])
	dsp.enqueue(jst)
	if !tsk.MarkSent(now, string(srv.id)) {
		return
	}
	dsp.allocateSlots(att, srv, wid)
	att.lateAt = now.Add(max(dsp.cfg.AnswerTimeout, jst.cls.run.LateAfter(att.estimate)))
	dsp.recent.push(att, now.Add(dsp.cfg.AnswerTimeout))
	dsp.stats.Starts++
	dsp.act.Starts = append(dsp.act.Starts, Start{
		Server:     srv.id,
		Task:       tsk.ID(),
		Class:      jst.cls.name,
		Payload:    tsk.Spec().Payload,
		Lease:      dsp.cfg.Lease,
		NotAfter:   jst.spec().NotAfter,
		Slots:      wid,
		Version:    jst.spec().Class.Version,
		AtMostOnce: !jst.spec().Repeatable,
	})
}

// allocateSlots accounts for the slots and the estimated run time of a task that is about to be sent.
func (dsp *Dispatcher) allocateSlots(att *attempt, srv *server, wid uint32) {
	jst := att.jst
	att.estimate = max(dsp.estimate(jst), time.Millisecond)
	att.number++
	att.width = wid
	att.long = att.estimate >= dsp.cfg.LongTaskRunTime
	att.incarnation = srv.incarnation
	att.queriedAt, att.firstQueriedAt, att.checkAt = time.Time{}, time.Time{}, time.Time{}
	att.duplicate = false
	srv.link(att)
	jst.inFlight++
	jst.ptn.inUse += wid
	dsp.pool.Acquire(srv.acct, wid)
	dsp.completionRate += 1 / att.estimate.Seconds()
	if att.long {
		dsp.longInUse += wid
	}
	att.busyPeriod = dsp.queue.BusyPeriod()
	dsp.queue.Charge(string(jst.spec().Class.Owner), time.Duration(wid)*att.estimate, att.busyPeriod)
}

// releaseSlots reverts allocateSlots when an attempt has ended, and charges the run time used instead of the
// estimate. If the task may still run (mayRun), its units of the limits are released only after a lease, when the
// backend server has surely ended the task.
func (dsp *Dispatcher) releaseSlots(now time.Time, att *attempt, used time.Duration, mayRun bool) {
	jst, srv := att.jst, att.srv
	srv.unlink(att)
	jst.inFlight--
	jst.ptn.inUse -= att.width
	dsp.pool.Release(srv.acct, att.width)
	dsp.completionRate = max(0, dsp.completionRate-1/att.estimate.Seconds())
	if att.long {
		dsp.longInUse -= att.width
	}
	dsp.queue.Charge(string(jst.spec().Class.Owner), time.Duration(att.width)*(used-att.estimate), att.busyPeriod)
	if mayRun {
		dsp.timers.push(timer{at: now.Add(dsp.cfg.Lease), kind: timerRelease, jst: jst})
	} else {
		dsp.lim.Release(now, jst.spec().Class, jst.spec().Team)
		dsp.unparkOne(jst.limitPark)
	}
	dsp.startReserved(now, srv)
}

// wideDue reserves a backend server for a job whose tasks need several slots at once, and that has waited for
// WideReserveDelay. Without the reservation, tasks of one slot take each slot as it comes free, and the wide task
// starves. One server is reserved at a time.
func (dsp *Dispatcher) wideDue(now time.Time, jst *jobState) {
	jst.wideTimerSet = false
	if jst.park == nil || jst.park.key.reason != parkWidth {
		return
	}
	if dsp.reservedFor != nil {
		jst.wideTimerSet = true
		dsp.timers.push(timer{at: now.Add(dsp.cfg.WideReserveDelay), kind: timerWide, jst: jst})
		return
	}
	acc := dsp.pool.Reserve(dsp.widths(jst))
	if acc == nil {
		return
	}
	dsp.reserved, dsp.reservedFor = dsp.servers[ServerID(acc.ID())], jst
	dsp.startReserved(now, dsp.reserved)
}

// startReserved starts the wide task once the reserved backend server has enough idle slots, and ends the
// reservation if the job no longer waits or the server is not available.
func (dsp *Dispatcher) startReserved(now time.Time, srv *server) {
	jst := dsp.reservedFor
	if jst == nil || dsp.reserved != srv {
		return
	}
	gone := jst.park == nil || jst.expired(now)
	wid := dsp.pool.WidthOn(srv.acct, dsp.widths(jst))
	if !gone && srv.open() && srv.acct.Idle() < wid {
		return
	}
	dsp.reserved, dsp.reservedFor = nil, nil
	dsp.pool.Unreserve(srv.acct)
	if gone || !srv.open() || !dsp.lim.Take(now, jst.spec().Class, jst.spec().Team) {
		return
	}
	dsp.dequeue(jst)
	dsp.startTask(now, jst, srv.acct, wid)
}

// requeue puts a task that provably did not run back among the waiting ones, or drops it if its job has ended.
func (dsp *Dispatcher) requeue(jst *jobState, idx uint32) {
	if jst.job.Ended() {
		jst.job.Task(idx).MarkDropped()
		dsp.forgetIfDone(jst)
		return
	}
	jst.pending = append(jst.pending, idx)
	dsp.enqueue(jst)
	dsp.scheduleDeadline(jst)
}

// retryDue requeues a refused task after its retry delay.
func (dsp *Dispatcher) retryDue(jst *jobState, idx uint32) {
	if jst.job.Task(idx).State() == job.Waiting {
		dsp.requeue(jst, idx)
	}
}
