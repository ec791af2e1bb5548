package shard

import (
	"math"
	"time"
)

// maintain repeats the stops that are due on a server, restarts stalled runs elsewhere, expires leases and sends the next renewal.
func (ldr *Leader) maintain(now time.Time, srv *server) {
	for _, rn := range srv.runList {
		if rn.state == ending && rn.stopAcceptedAt.IsZero() && !rn.stopInProgress && !now.Before(rn.stopDue) {
			ldr.sendStop(srv, rn)
		}
		if ldr.stalled(now, srv, rn) {
			ldr.restartElsewhere(now, srv, rn)
		}
	}
	if srv.state != confirmed {
		ldr.expireLeases(now, srv)
	}
	// Before the takeover is complete, a confirmed server is not called again: without a lease to extend, the call returns at once and
	// would be repeated in a tight loop.
	due := srv.state != confirmed || ldr.takeoverComplete
	if due && !srv.renewing && !now.Before(srv.renewAt) {
		ldr.renew(now, srv)
	}
}

// stalled reports whether a run made no progress for its stallTimeout. The server must have answered a renewal that was sent more than
// stallTimeout-RenewWait after the last progress: a paused leader, or one that got no answers, has seen no progress either.
func (ldr *Leader) stalled(now time.Time, srv *server, rn *run) bool {
	idle := now.Sub(rn.progressAt)
	if rn.state != running || rn.ord == nil || rn.percent >= percentDone || idle <= ldr.cfg.StallTimeout {
		return false
	}
	timeout := ldr.stallTimeout(srv, rn.ord)
	return idle > timeout && srv.confirmedAt.Sub(rn.progressAt) > timeout-ldr.cfg.RenewWait
}

// stallTimeout returns how long a run of an order may make no progress on a server. Servers tell progress in whole percents, so that it is longer for a task that
// is expected to run for long, and twice as long after each run that made none, as the task may run for longer than expected.
func (ldr *Leader) stallTimeout(srv *server, ord *order) time.Duration {
	timeout := ldr.cfg.StallTimeout << min(ord.stalls, maxDoublings)
	if mean, known := ldr.expectedOn(srv, ord); known {
		timeout = max(timeout, time.Duration(stallPercents*math.Exp(mean)/percentDone*float64(time.Second)))
	}
	return timeout
}

// stallPercents is the progress, in percent of the expected run time, for which a sound run may take four times as long as expected.
const stallPercents = 4

// renew sends a renewal. It extends leases only after the takeover, on a confirmed server whose runs are all to go on or to end soon.
func (ldr *Leader) renew(now time.Time, srv *server) {
	act := Renew{Server: srv.ent, Incarnation: srv.incarnation, Token: ldr.token, AckedSeq: srv.takeAck(now)}
	if srv.state == confirmed && ldr.takeoverComplete {
		switch {
		case srv.proofPending:
			// The call returns at once: an order waits for it.
		case srv.idle():
			// No run can end.
		case srv.hasAcceptedStop():
			srv.delayNext = true // The stopped run takes a moment to end.
		case srv.missed == 0:
			act.WaitForEnd = ldr.renewWait(now, srv)
		}
		if !srv.idle() && ldr.mayExtendLeases(now, srv) {
			act.LeaseUntil = srv.extendLease(now, ldr.cfg.Lease)
		}
	}
	if srv.delayNext && !srv.proofPending {
		act.Delay, srv.delayNext = renewDelay, false
	}
	srv.renewals++
	act.Number = srv.renewals
	srv.renewing, srv.renewAt = true, now
	ldr.emit(act)
}

// renewWait returns how long a renewal waits on the server for a run to end. A lost renewal is noticed only after this wait, and the next
// one reports the runs that ended meanwhile: so the wait is shorter at a high loss rate. It ends when a run becomes suspect of being slow.
func (ldr *Leader) renewWait(now time.Time, srv *server) time.Duration {
	wait := ldr.cfg.RenewWait
	if ldr.lossy() {
		wait = min(wait, lossyRenewWait)
	}
	if due, found := ldr.nextSuspicion(now, srv); found {
		wait = min(wait, max(due, minSuspicionWait))
	}
	return wait
}

// lossyRenewWait is the time after which a call is taken for lost: a shorter wait would notice no loss sooner.
const lossyRenewWait = 40 * time.Millisecond

// HandleRenewResult handles the result of the renewal act that was sent at sent.
func (ldr *Leader) HandleRenewResult(now, sent time.Time, act Renew, ans RenewResult, res CallResult) []Action {
	srv := ldr.servers[act.Server.ID]
	if srv == nil {
		return ldr.takeActions()
	}
	if res == Accepted {
		srv, res = ldr.checkIncarnation(now, sent, srv, act, &ans)
	}
	if res == Unknown && act.LeaseUntil > 0 {
		srv.noteLostExtension(now, act.Incarnation)
	}
	if act.Number != srv.renewals {
		// A newer renewal was sent meanwhile. Only that one schedules the next, or the number of renewals would grow.
		if res == Accepted {
			ldr.applyRenewal(now, srv, sent, ans)
			ldr.advance(now, nil)
		}
		return ldr.takeActions()
	}
	ldr.noteAnswer(srv, res)
	srv.renewing, srv.proofPending = false, false
	srv.renewAt = now
	srv.delayNext = len(ans.Ended) > 0
	switch res {
	case Accepted:
		ldr.applyRenewal(now, srv, sent, ans)
		if ldr.takeoverComplete && srv.idle() && !ans.MoreEnds {
			srv.renewAt = now.Add(idleRenewDelay)
		}
	case Fenced:
		ldr.dropFenced(srv)
	case Replaced:
		ldr.dropReplaced(now, srv)
	default:
		ldr.noteMissedRenewal(now, srv)
	}
	ldr.advance(now, srv)
	return ldr.takeActions()
}

// idleRenewDelay is the delay between calls to a server without runs: it has no lease to renew, and they only show that the server is
// there and what its clock says.
const idleRenewDelay = time.Second

// noteMissedRenewal records a renewal without an answer. On some days 5% are lost, so a confirmed server is called again at once, without
// waiting for an end. Taken for unreachable after one loss, it would idle for 0.5 s and its leases would expire, which took 40% of the
// pool's capacity on such days.
func (ldr *Leader) noteMissedRenewal(now time.Time, srv *server) {
	srv.missed++
	if srv.state == confirmed && srv.missed < ldr.missedUntilUnreachable() {
		return
	}
	if srv.state == confirmed {
		srv.state = unreachable
	}
	srv.renewAt = now.Add(unreachableRenewDelay)
}

// renewDelay is the delay of a renewal after one that listed ends: the tasks of a submission end together, and ends within the delay are
// listed by one renewal. For jobs of 8 tasks of 60 ms it saves a quarter of the renewals, at 0.1 ms of the leader's processor time each,
// and makes answers 2 ms later.
const renewDelay = 4 * time.Millisecond

// unreachableRenewDelay is the delay before an unreachable server is called again. Each call costs a new connection, but a server that is
// back must not stay idle for long.
const unreachableRenewDelay = 250 * time.Millisecond

// applyRenewal applies what a server listed in answer to a renewal that was sent at sent.
func (ldr *Leader) applyRenewal(now time.Time, srv *server, sent time.Time, ans RenewResult) {
	first := srv.state == claiming
	srv.state = confirmed
	srv.missed = 0
	ldr.heardAt = now
	if !ans.MoreEnds {
		srv.confirmedAt = sent
	}
	if first && srv.renewedAt.IsZero() {
		srv.noteFormerLeader(now)
	}
	srv.setClock(now, ans.Clock)
	for _, end := range ans.Ended {
		srv.ackDue = max(srv.ackDue, end.Seq)
		if end.Seq > srv.handledSeq {
			srv.handledSeq = end.Seq
			ldr.handleEnd(now, srv, end)
		}
	}
	listed := make(map[RunID]bool, len(ans.Running))
	for _, prg := range ans.Running {
		listed[prg.Run] = true
		ldr.noteProgress(now, srv, prg)
	}
	for _, rn := range srv.runList {
		if listed[rn.id] || ans.MoreEnds || !rn.provenGone(sent) {
			continue
		}
		ldr.requeue(now, srv, rn, NotListed)
	}
	if first || ldr.que.anyReassigned() {
		ldr.adoptWaiting(now)
	}
	if ldr.takeoverComplete {
		ldr.stopUnclaimed(now, srv)
	}
}

// provenGone reports whether a listing without the run, requested at sent, proves that the run is over: it does if the start was accepted
// before, or a stop, after which the run can't start any more.
func (rn *run) provenGone(sent time.Time) bool {
	if !rn.stopAcceptedAt.IsZero() {
		return sent.After(rn.stopAcceptedAt)
	}
	return !rn.acceptedAt.IsZero() && sent.After(rn.acceptedAt)
}

// noteProgress records a listed run. One that is not known here is added as unclaimed.
func (ldr *Leader) noteProgress(now time.Time, srv *server, prg Progress) {
	rn := srv.runs[prg.Run]
	if rn == nil {
		rn = &run{
			id: prg.Run, state: running, incarnation: srv.incarnation, confirmed: true, acceptedAt: now, sentAt: now, progressAt: now, percent: prg.Percent,
		}
		srv.add(rn)
		return
	}
	if rn.state == starting {
		ldr.noteAccepted(now, srv, rn)
	}
	rn.confirmed = rn.confirmed || rn.incarnation == srv.incarnation
	ldr.noteOutlived(now, srv, rn)
	if prg.Percent > rn.percent {
		rn.percent, rn.progressAt = prg.Percent, now
	}
	ldr.checkProgress(now, srv, rn)
}
