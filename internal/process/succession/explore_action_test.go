package succession

import (
	"fmt"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// The actions that the decisions of a node return: messages to other nodes, answers to callers and calls of backend servers.

// leaderWithToken returns the leader of a shard on this node with a token, or nil.
func (nod *node) leaderWithToken(name shard.Name, token int64) *shard.Leader {
	if ldr := nod.leaders[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

// placeOrder gives an order to the leader of its target; without one the owner is told that the task is lost.
func (nod *node) placeOrder(now time.Time, tgt submission.Target, ord shard.Order) {
	ldr := nod.leaderWithToken(tgt.Shard, tgt.Token)
	if ldr == nil {
		nod.report(ord.Owner, shard.Report{Task: ord.Task, Token: tgt.Token, Outcome: shard.Lost})
		return
	}
	nod.noteOpenOrder(ord.Owner)
	nod.runLeaderActions(tgt.Shard, ldr.HandleOrder(now, ord))
}

// noteOpenOrder takes note that there are orders between this node and an instance, which calls for the short heartbeat interval.
func (nod *node) noteOpenOrder(id shard.InstanceID) {
	if !nod.openOrdersWith[id] && id != nod.id {
		nod.openOrdersWith[id] = true
		nod.updateIntervals()
	}
}

// report sends a report to the owner of a task, which may be this node.
func (nod *node) report(owner shard.InstanceID, rep shard.Report) {
	if owner == nod.id {
		nod.runCoordinatorActions(nod.coordinator.HandleReport(nod.sim.now, nod.id, rep))
		return
	}
	nod.send(owner, reportMessage{rep})
}

// send queues a message for the session with one incarnation of a node, if it is established.
func (nod *node) send(to shard.InstanceID, msg any) {
	for _, peer := range nod.sim.names {
		if ses := nod.sessions[peer]; ses != nil && ses.established && ses.id() == to {
			ses.push(msg)
		}
	}
}

// runCoordinatorActions carries out the actions of this node as an owner of jobs.
func (nod *node) runCoordinatorActions(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.SendOrder:
			nod.sim.note("%s sends order %s to %s %d, reassigned %t, last server %q, recall %t", nod.id, act.Order.Task, act.Target.Leader, act.Target.Token,
				act.Order.Reassigned, act.Order.LastServer, act.Order.Recall)
			nod.sim.noteOrder(nod.id, &act.Order)
			if act.Target.Leader != nod.id {
				nod.noteOpenOrder(act.Target.Leader)
				nod.send(act.Target.Leader, orderMessage{act.Target.Shard, act.Target.Token, act.Order})
				continue
			}
			nod.localActions = append(nod.localActions, func() { nod.placeOrder(nod.sim.now, act.Target, act.Order) })
		case submission.CancelOrder:
			nod.sim.note("%s cancels order %s at %s", nod.id, act.Task, act.Target.Leader)
			if act.Target.Leader != nod.id {
				nod.send(act.Target.Leader, cancelMessage{act.Target.Shard, act.Target.Token, act.Task, act.Followed})
				continue
			}
			nod.localActions = append(nod.localActions, func() {
				if ldr := nod.leaderWithToken(act.Target.Shard, act.Target.Token); ldr != nil {
					nod.runLeaderActions(act.Target.Shard, ldr.Cancel(nod.sim.now, nod.id, act.Task, act.Followed))
				}
			})
		case submission.Reply:
			if att := nod.callers[act.Call]; att != nil {
				delete(nod.callers, act.Call)
				nod.sim.after(time.Millisecond, func() { att.handleAnswer(act.Answer) })
			}
		}
	}
}

// runLeaderActions carries out the actions of a leader on this node, which leaves its shard once it was fenced.
func (nod *node) runLeaderActions(name shard.Name, acts []shard.Action) {
	timeout := nod.uplink.AnswerTimeout()
	for _, act := range acts {
		switch act := act.(type) {
		case shard.SendReport:
			nod.localActions = append(nod.localActions, func() { nod.report(act.Owner, act.Report) })
		case shard.NotePreemption:
			nod.sim.preemptions++
			nod.sim.note("%s stops the run of %s for %s", nod.id, act.Task, act.For)
		case shard.NoteIncarnation:
			nod.sim.note("%s: %s of %s: known %d, told %d, %d runs carried", nod.id, act.Reason, act.Server, act.Known, act.Told, act.Carried)
		case shard.NoteRunOver:
			nod.sim.noteLeaseOver(act)
			nod.sim.note("%s counts %s %d at %s as over: %s, extended %v ago, accepted %v ago", nod.id, act.Run.Task, act.Run.Number, act.Server, act.Evidence,
				act.Extended, act.Accepted)
		case shard.StartRun:
			nod.startRun(name, act, timeout)
		case shard.StopRun:
			nod.sim.note("%s stops %s %d at %s", nod.id, act.Run.Task, act.Run.Number, act.Server.ID)
			nod.call(act.Server.ID, timeout, func(srv *fakeServer, reply func(shard.RenewResult, shard.CallResult)) {
				if !srv.losesStops {
					reply(shard.RenewResult{}, srv.stop(act))
				}
			}, func(_ shard.RenewResult, clr shard.CallResult) {
				nod.handle(func(now time.Time) {
					if ldr := nod.leaderWithToken(name, act.Token); ldr != nil {
						nod.runLeaderActions(name, ldr.HandleStopResult(now, act, clr))
					}
				})
			})
		case shard.Renew:
			nod.sim.after(act.Delay, func() { nod.deliver(fmt.Sprint("pause ", nod.sim.count), func() { nod.renew(name, act, timeout) }) })
		}
	}
	if ldr := nod.leaders[name]; ldr != nil && ldr.LostServers() > 0 {
		nod.resignShard(name, true)
	}
}

func (nod *node) startRun(name shard.Name, act shard.StartRun, timeout time.Duration) {
	nod.sim.note("%s starts %s %d at %s with %d", nod.id, act.Run.Task, act.Run.Number, act.Server.ID, act.Token)
	sent := nod.sim.now
	nod.call(act.Server.ID, timeout, func(srv *fakeServer, reply func(shard.RenewResult, shard.CallResult)) {
		clr := srv.start(act, nod.sim.runTime(act.Run.Task))
		if !srv.losesStartAnswers {
			reply(shard.RenewResult{Clock: srv.clock()}, clr)
		}
	}, func(res shard.RenewResult, clr shard.CallResult) {
		nod.handle(func(now time.Time) {
			nod.uplink.HandleStartResult(act.Payload, now.Sub(sent), clr)
			if ldr := nod.leaderWithToken(name, act.Token); ldr != nil {
				nod.runLeaderActions(name, ldr.HandleStartResult(now, act.Server.ID, act.Run, clr, res.Clock))
			}
		})
	})
}

// renew calls a backend server to extend leases and to learn its runs.
func (nod *node) renew(name shard.Name, act shard.Renew, timeout time.Duration) {
	sent := nod.sim.now
	nod.call(act.Server.ID, act.WaitForEnd+timeout, func(srv *fakeServer, reply func(shard.RenewResult, shard.CallResult)) {
		if !srv.losesRenewals {
			srv.handleRenew(act, reply)
		}
	},
		func(res shard.RenewResult, clr shard.CallResult) {
			nod.handle(func(now time.Time) {
				nod.sim.noteTold(nod, act.Server.ID, res, clr)
				if ldr := nod.leaderWithToken(name, act.Token); ldr != nil {
					nod.runLeaderActions(name, ldr.HandleRenewResult(now, sent, act, res, clr))
				}
			})
		})
}

// call calls a backend server. The call or its answer may be lost on the link, or the call be carried out late and its answer lost.
func (nod *node) call(to shard.ServerID, timeout time.Duration, carryOut func(srv *fakeServer, reply func(shard.RenewResult, shard.CallResult)),
	answered func(res shard.RenewResult, clr shard.CallResult),
) {
	sim := nod.sim
	sim.calls++
	src := fmt.Sprint("call ", sim.calls)
	done := false
	finish := func(res shard.RenewResult, clr shard.CallResult) {
		nod.deliver(src, func() {
			if !done {
				done = true
				answered(res, clr)
			}
		})
	}
	sim.after(timeout, func() { finish(shard.RenewResult{}, shard.Unknown) })
	srv := sim.server(to)
	if !sim.up(nod.name, string(to)) || sim.loses(nod.name, string(to)) {
		return
	}
	if srv.lostAnswers > 0 {
		srv.lostAnswers--
		inc := srv.incarnation
		sim.after(sim.within(3*time.Second), func() {
			if srv.incarnation == inc && !srv.down() {
				carryOut(srv, func(shard.RenewResult, shard.CallResult) {})
			}
		})
		return
	}
	wait := max(0, srv.downUntil.Sub(sim.now)) // The connection is made once the server listens again.
	if wait > timeout {
		return
	}
	inc := srv.incarnation
	if wait > 0 {
		inc++
	}
	sim.after(wait+sim.delay(), func() {
		if srv.incarnation != inc || srv.down() {
			return // The connection ended with the incarnation.
		}
		carryOut(srv, func(res shard.RenewResult, clr shard.CallResult) {
			if sim.up(string(to), nod.name) && !sim.loses(string(to), nod.name) {
				sim.after(sim.delay(), func() { finish(res, clr) })
			}
		})
	})
}
