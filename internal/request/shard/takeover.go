package shard

import "time"

// claimMissing adds servers whose entries have expired: they may be alive and run what the former leader started.
func (ldr *Leader) claimMissing(now time.Time, ents []ServerEntry) {
	for _, ent := range ents {
		if ldr.servers[ent.ID] == nil {
			ldr.addServer(now, ent).unlisted = true
		}
	}
}

// noteUnclaimedEnd keeps the end of a run that is done, which no order has. An order of its task that waits is done, too.
func (ldr *Leader) noteUnclaimedEnd(now time.Time, srv *server, run RunID) {
	ldr.unclaimedEnds[run.Task] = foundEnd{server: srv.ent.ID, run: run, at: now}
	if ord := ldr.orders[run.Task]; ord != nil && ord.run == nil {
		ldr.que.remove(ord)
		ldr.adopt(now, ord)
	}
}

// endMemory is the longest time for which known callers wait, so that orders of their tasks may come.
const endMemory = 15 * time.Second

// adopt connects an order to a run that a former leader has started, or to an end that no order had, and reports whether there was one.
func (ldr *Leader) adopt(now time.Time, ord *order) bool {
	if end, ok := ldr.unclaimedEnds[ord.Task]; ok {
		delete(ldr.unclaimedEnds, ord.Task)
		delete(ldr.orders, ord.Task)
		ldr.emit(NoteAdoption{Task: ord.Task, Owner: ord.Owner, Server: end.server, Run: end.run, Ended: true})
		ldr.emit(SendReport{Owner: ord.Owner, Report: Report{
			Task: ord.Task, Token: ldr.token, Outcome: Done, Server: end.server,
		}})
		return true
	}
	for _, srv := range ldr.serverList {
		if srv.unclaimed == 0 {
			continue
		}
		for _, rn := range srv.runList {
			if rn.ord != nil || rn.id.Task != ord.Task || rn.acceptedAt.IsZero() {
				continue // A start that got no answer, and whose order went back, is only kept until a stop of it is accepted.
			}
			srv.assign(rn, ord)
			ord.run, ord.srv = rn, srv
			ldr.emit(NoteAdoption{
				Task: ord.Task, Owner: ord.Owner, Server: srv.ent.ID, Run: rn.id, Found: now.Sub(rn.acceptedAt), Stopped: rn.state == ending,
			})
			rn.timeHandled = true // The run's start time is not known here.
			if rn.state == running {
				rn.sentAt, rn.progressAt = now, now
				ldr.report(ord, Started, 0)
			}
			return true
		}
	}
	return false
}

// queueAgain queues an order whose run is over without a result. A reassigned one waits for the proof that its task runs nowhere, unless
// another run of it was found: a former leader that sees the same end starts the task again, on a server that has not confirmed this leader.
func (ldr *Leader) queueAgain(now time.Time, ord *order) {
	if ord.Reassigned {
		if ldr.adopt(now, ord) {
			return
		}
		ldr.requestProof(now, ord)
	}
	ldr.que.push(ord)
}

// runsNowhere reports whether it is proven that no other leader runs a reassigned task: every server has confirmed this leader since the
// order came. An earlier listing proves nothing: this leader may have been paused since, and its successor, with a higher token, may run
// the task. The listing of the server where the task last ran is not enough either: a former leader that still reaches other servers may
// have started it there since. Nor is an incomplete list of servers, as the task may run on one that was just added or whose entry is gone.
func (ldr *Leader) runsNowhere(ord *order) bool {
	if !ldr.knowsAllServers(ord) {
		return false
	}
	for _, srv := range ldr.serverList {
		if !srv.confirmedSince(ord.receivedAt) {
			return false
		}
	}
	return true
}

// ListingComplete reports whether a complete listing was read after every server had confirmed the leader, so that it has every server that
// a former leader may use.
func (ldr *Leader) ListingComplete() bool {
	return !ldr.allConfirmedAt.IsZero() && ldr.listReadAt.After(ldr.allConfirmedAt)
}

// knowsAllServers reports whether the leader knows every server on which an order's task may run. A leader without servers does not: those
// of another leader may have expired from the list. Nor does one that dropped a server unheard or to another shard, as it can't ask it.
func (ldr *Leader) knowsAllServers(ord *order) bool {
	if !ldr.ListingComplete() || ldr.droppedUnproven || len(ldr.servers) == 0 || !ldr.coversFormerShards(ord) {
		return false
	}
	return ord.LastServer == "" || ldr.servers[ord.LastServer] != nil
}

// coversFormerShards reports whether each server that belonged to the shard of a former leader of an order belongs to this one. Servers are
// assigned by rendezvous hashing: a division into fewer shards gives each shard all servers that it has in a division into more, and others. Those
// are called by the leaders of other shards now, or by none that reaches them.
func (ldr *Leader) coversFormerShards(ord *order) bool {
	return ldr.shards == 1 || ldr.shards > 0 && ord.FormerShards >= ldr.shards
}

// requestProof calls the servers on which a task may run for another leader. A renewal that waits for an end was sent before the order came
// and proves nothing.
func (ldr *Leader) requestProof(now time.Time, ord *order) {
	if ldr.knowsAllServers(ord) {
		ldr.requestConfirmations(now, ord.receivedAt)
	}
}

// requestConfirmations calls the servers that have not confirmed the leader since a time, without waiting for ends. One such call at a time to
// each server serves all that is asked for meanwhile.
func (ldr *Leader) requestConfirmations(now, since time.Time) {
	for _, srv := range ldr.serverList {
		if srv.state != confirmed || srv.proofPending || srv.confirmedSince(since) {
			continue
		}
		srv.proofPending = true
		ldr.renew(now, srv)
	}
}

// admitAdded lets servers that were listed after the takeover get tasks once all others that answer have confirmed the leader since. A
// leader that was succeeded without knowing it is refused by them, and must not start tasks on servers that its successor does not know.
func (ldr *Leader) admitAdded(now time.Time) {
	if ldr.added == 0 {
		return
	}
	ldr.added = 0
	for _, srv := range ldr.serverList {
		switch {
		case srv.addedAt.IsZero():
		case srv.state == confirmed && ldr.mayAdmit(now, srv):
			srv.addedAt, srv.newlyListed = time.Time{}, false
		default:
			ldr.added++
		}
	}
}

// mayAdmit reports whether all other servers that answer have confirmed the leader since a server was added. If none of those which the leader has had
// for longer answers, a successor must have read of a newly listed one before a task starts there.
func (ldr *Leader) mayAdmit(now time.Time, added *server) bool {
	witnessed := false
	for _, srv := range ldr.serverList {
		if srv == added || srv.state != confirmed {
			continue
		}
		if !srv.confirmedSince(added.addedAt) {
			return false
		}
		witnessed = witnessed || srv.addedAt.IsZero()
	}
	return witnessed || !added.newlyListed || now.Sub(added.addedAt) >= ldr.cfg.ListAge+ldr.cfg.OwnerTimeout
}

// allListed reports whether every server has confirmed this leader and listed its runs.
func (ldr *Leader) allListed() bool {
	for _, srv := range ldr.serverList {
		if srv.state == claiming {
			return false
		}
	}
	return true
}

// completeTakeover completes the takeover once all servers have listed their runs and orders have come for all of them, or at the latest
// after Config.AdoptWait. It stops the unclaimed runs before any lease is renewed, or a run could outlast the time until its caller submits
// the job again, and run beside its own copy.
func (ldr *Leader) completeTakeover(now time.Time) {
	if ldr.adopting(now) && !ldr.allClaimed() {
		return
	}
	ldr.takeoverComplete = true
	for _, srv := range ldr.serverList {
		ldr.stopUnclaimed(now, srv)
	}
}

// adopting reports whether owners may still send orders for what a former leader started.
func (ldr *Leader) adopting(now time.Time) bool { return now.Sub(ldr.takeoverAt) < ldr.cfg.AdoptWait }

// allClaimed reports whether every server has listed its runs and orders have come for all of them, so that the takeover need not wait
// longer. After the loss of all instances, or a planned handover, nothing runs and the first tasks start 0.1 s sooner (TestAllLosePower
// in process/daemon).
func (ldr *Leader) allClaimed() bool {
	if len(ldr.servers) == 0 || !ldr.allListed() {
		return false
	}
	for _, srv := range ldr.serverList {
		if srv.unclaimed > 0 {
			return false
		}
	}
	return true
}

// stopUnclaimed stops the runs on a server that no order has come for.
func (ldr *Leader) stopUnclaimed(now time.Time, srv *server) {
	for _, rn := range srv.runList {
		if rn.ord == nil {
			ldr.stopRun(now, srv, rn, NotClaimed)
		}
	}
}
