package shard

import (
	"cmp"
	"time"
)

// HandleStartResult handles the result of a StartRun; clock is the server's clock, or 0 if it did not answer.
func (ldr *Leader) HandleStartResult(now time.Time, id ServerID, rid RunID, res CallResult, clock time.Duration) []Action {
	srv, rn := ldr.find(id, rid)
	sameIncarnation := rn != nil && rn.incarnation == srv.incarnation
	if sameIncarnation && clock > 0 {
		if clock < rn.clock && res != Fenced {
			ldr.handleStartInNewIncarnation(now, srv, rn)
			ldr.advance(now, srv)
			return ldr.takeActions()
		}
		if clock >= rn.leastClock {
			rn.confirmed = true
			srv.setClock(now, clock)
		}
	}
	if res == Unknown && rn != nil {
		srv.noteLostExtension(now, rn.incarnation)
	}
	if sameIncarnation || srv != nil && rn == nil {
		ldr.noteAnswer(srv, res)
	}
	if rn == nil || !rn.acceptedAt.IsZero() {
		ldr.advance(now, nil)
		return ldr.takeActions()
	}
	switch res {
	case Accepted:
		ldr.noteAccepted(now, srv, rn)
	case Unknown:
		ldr.retryStart(now, srv, rn)
	case Fenced:
		ldr.dropFenced(srv)
	case Replaced:
		ldr.dropReplaced(now, srv)
	case Outdated:
		if rn.repeats > 0 {
			// An earlier attempt was carried out, and may have ended since: the next renewal shows it.
			ldr.noteAccepted(now, srv, rn)
			break
		}
		if rn.ord != nil {
			rn.ord.raiseRunNumber()
		}
		ldr.requeueRefused(now, srv, rn)
	case Refused, OverCapacity:
		if rn.repeats > 0 {
			ldr.stopRun(now, srv, rn, StartRefused) // An earlier attempt may still be carried out.
			break
		}
		ldr.requeueRefused(now, srv, rn)
	}
	ldr.advance(now, srv)
	return ldr.takeActions()
}

// retryStart sends a start that got no answer again, up to startRepeats times, then stops the run. The run ID stays the same, and a server
// starts each at most once. With 30% of answers lost for 6 s, callers get 0.70 of their normal results; they get 0.16 if each loss costs a
// stop, the proof that the run is over, and a new run.
//
// A server that answers no attempt may still carry the start out seconds later. Only an accepted stop proves that it won't.
func (ldr *Leader) retryStart(now time.Time, srv *server, rn *run) {
	if rn.state != starting || rn.repeats >= startRepeats || rn.ord == nil || srv.state != confirmed || ldr.closed || srv.overfull() ||
		!ldr.mayExtendLeases(now, srv) {
		ldr.stopRun(now, srv, rn, StartUnanswered)
		return
	}
	rn.repeats++
	ldr.sendStart(now, srv, rn)
}

// startRepeats leaves one start in 37 without an answer when 30% are lost, and detects an unreachable server within the time of three
// calls.
const startRepeats = 2

// requeueRefused queues a task again that a server refused to start; the delay prevents a tight loop of refusals.
func (ldr *Leader) requeueRefused(now time.Time, srv *server, rn *run) {
	if ord := rn.ord; ord != nil {
		ord.mayHaveRun = !rn.firstStart || rn.repeats > 0
		ord.notBefore = now.Add(refusalDelay)
		ord.Avoid = append(ord.Avoid, srv.ent.ID)
	}
	ldr.dropRun(now, srv, rn)
}

const (
	// refusalDelay is about ten times the round trip of a start.
	refusalDelay = 20 * time.Millisecond
	// runNumberJump exceeds the usual difference between two machines' clocks, in milliseconds. After a refusal of a number that was too low the jump
	// is twice as far as after the one before, up to twelve days, as the clock of a former leader may have been hours ahead.
	runNumberJump    = 1 << 16
	maxJumpDoublings = 14
)

// raiseRunNumber raises the number of the next run after a server has refused one that is too low.
func (ord *order) raiseRunNumber() {
	ord.runNumber += runNumberJump << min(ord.numberJumps, maxJumpDoublings)
	ord.numberJumps++
}

// noteAccepted records that a server has, or had, a run. A run that is being stopped stays in that state.
func (ldr *Leader) noteAccepted(now time.Time, srv *server, rn *run) {
	rn.acceptedAt, rn.progressAt = now, now
	if rn.state != starting {
		return
	}
	rn.state = running
	rn.ord.srv = srv
	ldr.report(rn.ord, Started, 0)
}

// HandleStopResult handles the result of a StopRun. A stop that was sent to a former incarnation of the server proves nothing.
func (ldr *Leader) HandleStopResult(now time.Time, act StopRun, res CallResult) []Action {
	srv, rn := ldr.find(act.Server.ID, act.Run)
	if rn == nil {
		return ldr.takeActions()
	}
	rn.stopInProgress = false
	if act.Incarnation != srv.incarnation {
		res = Unknown
	}
	switch res {
	case Accepted:
		rn.stopAcceptedAt = now
		// A renewal in progress was sent before the stop, so it proves nothing, and it may wait for long: send another at once.
		srv.renewAt, srv.renewing, srv.delayNext = now, false, false
	case Fenced:
		ldr.dropFenced(srv)
	case Replaced:
		ldr.dropReplaced(now, srv)
	default:
		rn.stopDue = now.Add(ldr.cfg.StopRetryDelay)
	}
	ldr.advance(now, srv)
	return ldr.takeActions()
}

// find returns a server and a run on it; each is nil if not known.
func (ldr *Leader) find(id ServerID, rid RunID) (*server, *run) {
	srv := ldr.servers[id]
	if srv == nil {
		return nil, nil
	}
	return srv, srv.runs[rid]
}

// restartElsewhere stops a run that is suspect because of its server; its task avoids that server from then on.
func (ldr *Leader) restartElsewhere(now time.Time, srv *server, rn *run) {
	rn.ord.Avoid = append(rn.ord.Avoid, srv.ent.ID)
	rn.ord.stalls++
	ldr.noteFailure(now, srv, rn.ord.submission())
	ldr.stopRun(now, srv, rn, NoProgress)
}

// noteFailure counts a failed run of a submission against its server and quarantines the server after several. Only failures of different
// submissions in a row count, as a submission that fails on every server says nothing about one of them.
func (ldr *Leader) noteFailure(now time.Time, srv *server, submission string) {
	if submission == srv.lastFailed {
		return
	}
	srv.failures++
	srv.lastFailed = submission
	if srv.failures < failuresToQuarantine {
		return
	}
	dur := min(ldr.cfg.InitialQuarantine<<min(srv.failures-failuresToQuarantine, maxDoublings), ldr.cfg.MaxQuarantine)
	srv.quarantinedUntil = now.Add(dur)
	ldr.emit(QuarantineServer{
		Server: srv.ent.ID, Reason: "server fails what it runs", Measure: float64(srv.failures), Duration: dur,
	})
}

// adoptWaiting connects waiting orders to runs that servers have listed since, and asks for the proof that the other reassigned ones run nowhere.
// An order that was with no former leader may have such a run, too, for another owner to which its job was submitted.
func (ldr *Leader) adoptWaiting(now time.Time) {
	kept := make([]*order, 0, len(ldr.que.orders))
	for _, ord := range ldr.que.orders {
		if ldr.adopt(now, ord) {
			continue
		}
		if ord.Reassigned {
			ldr.requestProof(now, ord)
		}
		kept = append(kept, ord)
	}
	ldr.que.orders = kept
}

// handleEnd handles a run that a server lists as ended: it reports the order's outcome or queues the order again.
func (ldr *Leader) handleEnd(now time.Time, srv *server, end End) {
	rn := srv.runs[end.Run]
	if rn != nil {
		srv.drop(rn)
		ldr.noteStopped(now, rn)
	}
	if rn == nil || rn.ord == nil {
		if rn != nil && end.Kind != EndedDone {
			ldr.noteOver(now, srv, rn, listedAs(end.Kind))
		}
		if end.Kind == EndedDone {
			ldr.noteUnclaimedEnd(now, srv, end.Run)
		}
		return
	}
	ord := rn.ord
	stopped := rn.state == ending
	ord.run, ord.srv = nil, srv
	switch end.Kind {
	case EndedDone:
		srv.succeeded()
		if !rn.spansPause {
			ldr.noteRun(now.Sub(rn.sentAt))
			ldr.noteSoundTime(srv, now.Sub(rn.sentAt))
		}
		ldr.observeRunTime(now, srv, rn, now.Sub(rn.sentAt))
	case EndedFailed:
		ldr.noteFailure(now, srv, ord.submission())
	case EndedStopped, EndedLapsed:
		// A stop says nothing about the server, nor does an expired lease.
	}
	switch {
	case ord.cancelled:
		ldr.noteOver(now, srv, rn, listedAs(end.Kind))
		delete(ldr.orders, ord.Task)
	case end.Kind == EndedDone:
		ldr.finish(ord, Done, now.Sub(rn.sentAt))
	case end.Kind == EndedFailed && !stopped:
		ldr.finish(ord, Failed, now.Sub(rn.sentAt))
	default:
		ldr.noteOver(now, srv, rn, listedAs(end.Kind))
		ldr.queueAgain(now, ord)
	}
}

// finish removes an order and reports its outcome.
func (ldr *Leader) finish(ord *order, out Outcome, took time.Duration) {
	delete(ldr.orders, ord.Task)
	ldr.report(ord, out, took)
}

// requeue queues the order of a run again that is proven to be over without a listed end.
func (ldr *Leader) requeue(now time.Time, srv *server, rn *run, evd Evidence) {
	ldr.noteOver(now, srv, rn, evd)
	ldr.dropRun(now, srv, rn)
}

// dropRun drops a run that is over, or was refused, and queues its order again.
func (ldr *Leader) dropRun(now time.Time, srv *server, rn *run) {
	srv.drop(rn)
	ldr.noteStopped(now, rn)
	ord := rn.ord
	if ord == nil {
		return
	}
	ord.run, ord.srv = nil, nil
	if ord.cancelled {
		delete(ldr.orders, ord.Task)
		return
	}
	ldr.queueAgain(now, ord)
}

// expireLeases ends the runs of a server whose leases have expired by any clock, if only this leader extends them. Another leader may: so the
// orders go back to their owners, who know which leader they follow, and none is started again here. A start without an answer may still be
// carried out: that run stays counted as unclaimed until a stop is accepted. Until then the server gets no task and no lease: with a lease
// that was extended it would run the late start beside the order's next run.
func (ldr *Leader) expireLeases(now time.Time, srv *server) {
	for _, rn := range srv.runList {
		if now.Before(ldr.leaseOverAt(srv, rn)) {
			continue
		}
		ord := rn.ord
		mayStart := rn.acceptedAt.IsZero() && rn.stopAcceptedAt.IsZero()
		if mayStart && ord == nil {
			continue // Its order went back at an earlier call.
		}
		if ord != nil && !ord.cancelled && !ord.Reassigned {
			ldr.noteOver(now, srv, rn, LeaseOver)
			srv.drop(rn)
			ord.run, ord.srv = nil, nil
			ldr.returnOrder(ord, LeaseExpired)
		} else {
			ldr.requeue(now, srv, rn, LeaseOver)
		}
		if !mayStart {
			continue
		}
		rn.ord, rn.state, rn.stopReason = nil, ending, cmp.Or(rn.stopReason, LeaseGone)
		if rn.stopAt.IsZero() {
			rn.stopAt = now
		}
		srv.add(rn)
	}
}

// dropReplaced drops a server whose address another server has: all its runs are over.
func (ldr *Leader) dropReplaced(now time.Time, srv *server) {
	for _, rn := range srv.runList {
		ldr.requeue(now, srv, rn, ServerReplaced)
	}
	ldr.removeServer(srv)
}

// dropServer drops a server that belongs to another leader and reports its orders as Lost: that leader may have their runs.
func (ldr *Leader) dropServer(srv *server) {
	ldr.droppedUnproven = true
	for _, rn := range srv.runList {
		if rn.ord == nil {
			continue
		}
		delete(ldr.orders, rn.ord.Task)
		if !rn.ord.cancelled {
			ldr.report(rn.ord, Lost, 0)
		}
	}
	ldr.removeServer(srv)
}

// dropFenced drops a server that has accepted another leader's token, and counts it in lostServers.
func (ldr *Leader) dropFenced(srv *server) {
	ldr.dropServer(srv)
	ldr.lostServers++
}
