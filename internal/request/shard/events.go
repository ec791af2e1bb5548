package shard

import "time"

// HandleStartResult tells what came of a StartRun; clock is the server's, if it answered.
func (ldr *Leader) HandleStartResult(now time.Time, id ServerID, rid RunID, vdt CallResult, clock time.Duration) []Action {
	srv, rn := ldr.find(id, rid)
	if srv != nil {
		if clock > 0 { // Else there was no answer.
			srv.setClock(now, clock)
		}
		ldr.noteAnswer(srv, vdt)
	}
	if rn == nil || !rn.acceptedAt.IsZero() {
		ldr.advance(now, nil)
		return ldr.take()
	}
	switch vdt {
	case Accepted:
		ldr.accepted(now, srv, rn)
	case Unknown:
		ldr.unanswered(now, srv, rn)
	case Fenced:
		ldr.fenced(srv)
	case Replaced:
		ldr.replaced(now, srv)
	case Refused, OverCapacity:
		if rn.repeats > 0 {
			// An earlier try may have run, and may have ended meanwhile or be on its way to: the next look tells.
			ldr.accepted(now, srv, rn)
			break
		}
		ldr.refused(now, srv, rn)
	}
	ldr.advance(now, srv)
	return ldr.take()
}

// unanswered deals with a start that got no answer: it is sent again, as the same run, which a server starts once however
// often it is told. Where three answers in ten are lost for 6 s, callers get 0.70 of what they would on a sound day, and 0.16 where each
// loss costs a stop, its proof and a new run.
//
// A server that answers none of them may carry the start out seconds later. A stop that is accepted proves that it doesn't.
func (ldr *Leader) unanswered(now time.Time, srv *server, rn *run) {
	if rn.state != starting || rn.repeats >= startRepeats || rn.ord == nil || srv.state != held || ldr.closed {
		ldr.stop(now, srv, rn)
		return
	}
	rn.repeats++
	ldr.sendStart(now, srv, rn)
}

// startRepeats leaves one start in 37 without an answer where three in ten are lost, and finds a dark server out within
// the time of three calls.
const startRepeats = 2

// refused takes back a task that a server would not start. It may know a higher number of that task from
// another leader, whose clock is ahead; and a server that refuses must not be asked in a tight loop.
func (ldr *Leader) refused(now time.Time, srv *server, rn *run) {
	if ord := rn.ord; ord != nil {
		ord.mayHaveRun = !rn.first || rn.repeats > 0
		ord.notBefore = now.Add(refusalPause)
		ord.runNumber += runNumberJump
		ord.Avoid = append(ord.Avoid, srv.ent.ID)
	}
	ldr.gone(now, srv, rn)
}

const (
	// refusalPause is about what a start takes to and fro, ten times over.
	refusalPause = 20 * time.Millisecond
	// runNumberJump is more than the clocks of two machines differ by, in milliseconds.
	runNumberJump = 1 << 16
)

// accepted notes that a server has a run, or has had it; one that is to end stays so.
func (ldr *Leader) accepted(now time.Time, srv *server, rn *run) {
	rn.acceptedAt, rn.progressAt = now, now
	if rn.state != starting {
		return
	}
	rn.state = running
	rn.ord.srv = srv
	ldr.report(rn.ord, Started, 0)
}

// HandleStopResult tells what came of a StopRun.
func (ldr *Leader) HandleStopResult(now time.Time, id ServerID, rid RunID, vdt CallResult) []Action {
	srv, rn := ldr.find(id, rid)
	if rn == nil {
		return ldr.take()
	}
	rn.stopping = false
	switch vdt {
	case Accepted:
		rn.stopped = now
		// A look that is in progress began before the stop and proves nothing; it may wait for long.
		srv.lookAt, srv.looking, srv.pause = now, false, false
	case Fenced:
		ldr.fenced(srv)
	case Replaced:
		ldr.replaced(now, srv)
	default:
		rn.stopDue = now.Add(ldr.cfg.StopRetryDelay)
	}
	ldr.advance(now, srv)
	return ldr.take()
}

// HandleRenewResult tells what came of a Hold that was sent at a time.
func (ldr *Leader) HandleRenewResult(now, sent time.Time, act Renew, look RenewResult, vdt CallResult) []Action {
	srv := ldr.servers[act.Server.ID]
	if srv == nil {
		return ldr.take()
	}
	if act.Number != srv.looks {
		// Another look was sent meanwhile; that one is followed by the next, or the looks would multiply.
		if vdt == Accepted {
			ldr.seen(now, srv, sent, look)
			ldr.advance(now, nil)
		}
		return ldr.take()
	}
	ldr.noteAnswer(srv, vdt)
	srv.looking, srv.quick = false, false
	srv.lookAt = now
	srv.pause = len(look.Ended) > 0
	switch vdt {
	case Accepted:
		ldr.seen(now, srv, sent, look)
		if ldr.settled && srv.idle() {
			srv.lookAt = now.Add(idlePause)
		}
	case Fenced:
		ldr.fenced(srv)
	case Replaced:
		ldr.replaced(now, srv)
	default:
		ldr.unheard(now, srv)
	}
	ldr.advance(now, srv)
	return ldr.take()
}

// idlePause is the pause between looks at a server on which nothing runs: no lease needs renewal there, and a look only shows
// that the server is there, and its clock.
const idlePause = time.Second

// unheard notes that a look got no answer. One in twenty is lost on some days, so a held server is asked again
// at once, without waiting for an end; taken for silent it would stand idle for half a second and its leases
// would lapse, which took two fifths of the pool's room on such days.
func (ldr *Leader) unheard(now time.Time, srv *server) {
	srv.doubts++
	if srv.state == held && srv.doubts < ldr.doubtsToSilence() {
		return
	}
	if srv.state == held {
		srv.state = silent
	}
	srv.lookAt = now.Add(silentPause)
}

// lookPause is the pause after a look that listed ends: the tasks of a submission end together, and what ends
// within the pause comes with one look. On a day of jobs of 8 tasks of 60 ms it saves a quarter of
// the looks, each of which costs the leader some 0.1 ms of processor time, and an answer waits 2 ms longer.
const lookPause = 4 * time.Millisecond

// silentPause is the pause before a server that did not answer is asked again; each asking costs a new
// connection, and a server that is back must not stand idle for long.
const silentPause = 250 * time.Millisecond

func (ldr *Leader) find(id ServerID, rid RunID) (*server, *run) {
	srv := ldr.servers[id]
	if srv == nil {
		return nil, nil
	}
	return srv, srv.runs[rid]
}

// seen takes in what a server lists.
func (ldr *Leader) seen(now time.Time, srv *server, sent time.Time, look RenewResult) {
	first := srv.state == claiming
	srv.state = held
	srv.doubts = 0
	srv.obeyedAt, ldr.obeyedAt = sent, now
	srv.setClock(now, look.Clock)
	for _, end := range look.Ended {
		if end.Seq > srv.seen {
			srv.seen = end.Seq
			ldr.ended(now, srv, end)
		}
	}
	listed := make(map[RunID]bool, len(look.Running))
	for _, prg := range look.Running {
		listed[prg.Run] = true
		ldr.progress(now, srv, prg)
	}
	for rid, rn := range srv.runs {
		if listed[rid] || !rn.provenGone(sent) {
			continue
		}
		ldr.gone(now, srv, rn)
	}
	if first || ldr.que.anyFollowed() {
		ldr.claimWaiting(now)
	}
	if ldr.settled {
		ldr.stopOrphans(now, srv)
	}
}

// provenGone reports whether a look that was sent at a time and does not list the run proves that it is
// over: it was accepted before, or a stop was, after which it can't start any more.
func (rn *run) provenGone(sent time.Time) bool {
	if !rn.stopped.IsZero() {
		return sent.After(rn.stopped)
	}
	return !rn.acceptedAt.IsZero() && sent.After(rn.acceptedAt)
}

func (ldr *Leader) progress(now time.Time, srv *server, prg Progress) {
	rn := srv.runs[prg.Run]
	if rn == nil {
		rn = &run{id: prg.Run, state: running, acceptedAt: now, sentAt: now, progressAt: now, percent: prg.Percent}
		srv.add(rn)
		return
	}
	if rn.state == starting {
		ldr.accepted(now, srv, rn)
	}
	if prg.Percent > rn.percent {
		rn.percent, rn.progressAt = prg.Percent, now
	}
	ldr.checkProgress(now, srv, rn)
}

// giveUp stops a run because of its server and has its task start elsewhere.
func (ldr *Leader) giveUp(now time.Time, srv *server, rn *run) {
	rn.ord.Avoid = append(rn.ord.Avoid, srv.ent.ID)
	ldr.failed(now, srv, rn.ord.submission())
	ldr.stop(now, srv, rn)
}

// failed notes a run that failed at a server. A submission that fails wherever it runs says nothing of the server, so
// only failures of different submissions in a row count.
func (ldr *Leader) failed(now time.Time, srv *server, submission string) {
	if submission == srv.failedLast {
		return
	}
	srv.failing++
	srv.failedLast = submission
	if srv.failing < failuresToPause {
		return
	}
	pause := min(ldr.cfg.InitialQuarantine<<min(srv.failing-failuresToPause, maxDoublings), ldr.cfg.MaxQuarantine)
	srv.pausedUntil = now.Add(pause)
	ldr.do(QuarantineServer{
		Server: srv.ent.ID, Reason: "server fails what it runs", Measure: float64(srv.failing), Duration: pause,
	})
}

// claimWaiting connects orders that came before the server listed what runs there, and lets those start of which it
// is now known that they run nowhere.
func (ldr *Leader) claimWaiting(now time.Time) {
	kept := make([]*order, 0, len(ldr.que.orders))
	for _, ord := range ldr.que.orders {
		if ord.Reassigned && ldr.adopt(now, ord) {
			continue
		}
		if ord.Reassigned && ldr.runsNowhere(ord) {
			ord.notBefore = time.Time{}
		} else if ord.Reassigned {
			ldr.hurryProof(now, ord)
		}
		kept = append(kept, ord)
	}
	ldr.que.orders = kept
}

// ended deals with a run that a server lists as ended.
func (ldr *Leader) ended(now time.Time, srv *server, end End) {
	rn := srv.runs[end.Run]
	if rn != nil {
		srv.drop(rn)
	}
	if rn == nil || rn.ord == nil {
		if ldr.listens(now) {
			ldr.ends[end.Run.Task] = foundEnd{how: end.Kind, server: srv.ent.ID}
		}
		return
	}
	ord := rn.ord
	stopped := rn.state == ending
	ord.run, ord.srv = nil, srv
	switch end.Kind {
	case EndedDone:
		srv.succeeded()
		if !rn.blurred {
			ldr.noteRun(now.Sub(rn.sentAt))
		}
		ldr.observe(now, srv, rn, now.Sub(rn.sentAt))
	case EndedFailed:
		ldr.failed(now, srv, ord.submission())
	case EndedStopped:
		// A stop or a lapse says nothing of the server.
	}
	switch {
	case ord.cancelled:
		delete(ldr.orders, ord.Task)
	case end.Kind == EndedDone:
		ldr.finish(ord, Done, now.Sub(rn.sentAt))
	case end.Kind == EndedFailed && !stopped:
		ldr.finish(ord, Failed, now.Sub(rn.sentAt))
	default:
		ldr.que.push(ord)
	}
}

func (ldr *Leader) finish(ord *order, out Outcome, took time.Duration) {
	delete(ldr.orders, ord.Task)
	ldr.report(ord, out, took)
}

// gone takes back an order whose run is proven to be over without an end that counts.
func (ldr *Leader) gone(_ time.Time, srv *server, rn *run) {
	srv.drop(rn)
	ord := rn.ord
	if ord == nil {
		return
	}
	ord.run, ord.srv = nil, nil
	if ord.cancelled {
		delete(ldr.orders, ord.Task)
		return
	}
	ldr.que.push(ord)
}

// lapsed takes back all orders of a server whose lease has ended by any clock. A start that was never
// answered may still be carried out: the run stays in the books, and no task goes to the server, until a
// stop of it is accepted.
func (ldr *Leader) lapsed(now time.Time, srv *server) {
	for _, rn := range srv.runs {
		ord := rn.ord
		ldr.gone(now, srv, rn)
		if ord != nil && rn.acceptedAt.IsZero() && rn.stopped.IsZero() {
			rn.ord, rn.state = nil, ending
			srv.add(rn)
		}
	}
}

// replaced drops a server in whose place another life answers: whatever ran is over.
func (ldr *Leader) replaced(now time.Time, srv *server) {
	for _, rn := range srv.runs {
		ldr.gone(now, srv, rn)
	}
	delete(ldr.servers, srv.ent.ID)
}

// lose drops a server that obeys another leader. Its orders are the new leader's: their owners hear
// that nothing is known of them here.
func (ldr *Leader) lose(srv *server) {
	for _, rn := range srv.runs {
		if rn.ord == nil {
			continue
		}
		delete(ldr.orders, rn.ord.Task)
		if !rn.ord.cancelled {
			ldr.report(rn.ord, Lost, 0)
		}
	}
	delete(ldr.servers, srv.ent.ID)
}

// fenced drops a server that has shown that it obeys another leader.
func (ldr *Leader) fenced(srv *server) {
	ldr.lose(srv)
	ldr.lost++
}
