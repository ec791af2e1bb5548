package shard

import "time"

// claimMissing takes servers over whose entries have lapsed: they may be fine, and run what the former leader started.
func (ldr *Leader) claimMissing(now time.Time, ents []ServerEntry) {
	for _, ent := range ents {
		if ldr.servers[ent.ID] == nil {
			ldr.servers[ent.ID] = newServer(ent, now)
			ldr.servers[ent.ID].unlisted = true
		}
	}
}

// adopt connects an order with a run or an end that was found at the take-over.
func (ldr *Leader) adopt(now time.Time, ord *order) bool {
	if end, ok := ldr.ends[ord.Task]; ok && end.how == EndedDone {
		delete(ldr.ends, ord.Task)
		delete(ldr.orders, ord.Task)
		ldr.do(SendReport{Owner: ord.Owner, Report: Report{
			Task: ord.Task, Token: ldr.token, Outcome: Done, Server: end.server,
		}})
		return true
	}
	for _, srv := range ldr.servers {
		for _, rn := range srv.runs {
			if rn.ord != nil || rn.id.Task != ord.Task {
				continue
			}
			srv.assign(rn, ord)
			ord.run, ord.srv = rn, srv
			rn.timed = true // Nobody here knows when it began.
			if rn.state == running {
				rn.sentAt, rn.progressAt = now, now
				ldr.report(ord, Started, 0)
			}
			return true
		}
	}
	return false
}

// runsNowhere reports whether a task that was not found is surely not run any more for another leader. That is so if every server
// has obeyed this leader since the order came. What a server said before is no proof: this leader may have been held up for a
// while, and its successor, whose token is higher, may run the task. Nor does the server where the task last ran tell enough: a former
// leader that still reaches some others may have started it there since. A leader whose list may be short can't tell of all
// servers: the task may run on one that was added a moment ago, or whose entry is gone.
func (ldr *Leader) runsNowhere(ord *order) bool {
	if !ldr.knowsAll(ord) {
		return false
	}
	for _, srv := range ldr.servers {
		if !srv.obeyedSince(ord.cameAt) {
			return false
		}
	}
	return true
}

// knowsAll reports whether the leader knows of every server where an order's task may run. One without servers knows of none: those
// that another leader holds may have lapsed from the list. A server that was dropped unheard, or given to another shard, can't be asked.
func (ldr *Leader) knowsAll(ord *order) bool {
	if !ldr.whole || ldr.dropped || len(ldr.servers) == 0 {
		return false
	}
	return ord.LastServer == "" || ldr.servers[ord.LastServer] != nil
}

// hurryProof has the servers looked at where a task may run for another leader. A look that waits for an end was sent before
// the order came, and proves nothing. One quick look at a time serves all orders that come meanwhile.
func (ldr *Leader) hurryProof(now time.Time, ord *order) {
	if !ldr.knowsAll(ord) {
		return
	}
	for _, srv := range ldr.servers {
		if srv.state != held || srv.quick || srv.obeyedSince(ord.cameAt) {
			continue
		}
		srv.quick = true
		ldr.look(now, srv)
	}
}

// allListed reports whether every server has obeyed this leader and listed what runs there.
func (ldr *Leader) allListed() bool {
	for _, srv := range ldr.servers {
		if srv.state == claiming {
			return false
		}
	}
	return true
}

// settle ends the take-over: what nobody has asked for is stopped before any lease is renewed, or an
// orphan would outlive its caller's patience and meet its own copy.
func (ldr *Leader) settle(now time.Time) {
	if ldr.listens(now) && !ldr.nothingToAdopt() {
		return
	}
	ldr.settled = true
	for _, srv := range ldr.servers {
		ldr.stopOrphans(now, srv)
	}
}

// listens reports whether owners may still ask for what a former leader started.
func (ldr *Leader) listens(now time.Time) bool { return now.Sub(ldr.since) < ldr.cfg.TakeoverWait }

// nothingToAdopt reports whether every server has listed what runs there, and an owner has asked for all of it: nobody is
// waited for then. After the loss of all instances nothing runs, and the first tasks start 0.1 s sooner; so they do
// after a planned handover (TestAllLosePower in process/daemon).
func (ldr *Leader) nothingToAdopt() bool {
	if len(ldr.servers) == 0 || !ldr.allListed() {
		return false
	}
	for _, srv := range ldr.servers {
		if srv.orphans > 0 {
			return false
		}
	}
	return true
}

func (ldr *Leader) stopOrphans(now time.Time, srv *server) {
	for _, rn := range srv.runs {
		if rn.ord == nil {
			ldr.stop(now, srv, rn)
		}
	}
}
