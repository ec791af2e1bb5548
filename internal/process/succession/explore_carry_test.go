package succession

import (
	"fmt"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// What the decisions of a node lead to: messages to others, answers to callers and calls of servers.

func (nod *node) leader(name shard.Name, token int64) *shard.Leader {
	if ldr := nod.ldrs[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

func (nod *node) placeOrder(now time.Time, tgt submission.Target, ord shard.Order) {
	ldr := nod.leader(tgt.Shard, tgt.Token)
	if ldr == nil {
		nod.tell(ord.Owner, shard.Report{Task: ord.Task, Token: tgt.Token, Outcome: shard.Lost})
		return
	}
	nod.noteOrder(ord.Owner)
	nod.shardDo(tgt.Shard, ldr.Place(now, ord))
}

func (nod *node) noteOrder(id shard.InstanceID) {
	if !nod.openWith[id] && id != nod.id {
		nod.openWith[id] = true
		nod.updatePaces()
	}
}

func (nod *node) tell(owner shard.InstanceID, rep shard.Report) {
	if owner == nod.id {
		nod.deskDo(nod.dsk.HandleReport(nod.ply.now, nod.id, rep))
		return
	}
	nod.send(owner, reportMessage{rep})
}

// send gives a message to the session with one life of a node.
func (nod *node) send(to shard.InstanceID, msg any) {
	for _, peer := range nod.ply.names {
		if ses := nod.sessions[peer]; ses != nil && ses.up && ses.id() == to {
			ses.push(msg)
		}
	}
}

func (nod *node) deskDo(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.SendOrder:
			nod.ply.note("%s orders %s at %s %d followed %t at %q recall %t", nod.id, act.Order.Task, act.Target.Leader, act.Target.Token,
				act.Order.Followed, act.Order.At, act.Order.Recall)
			if act.Target.Leader != nod.id {
				nod.noteOrder(act.Target.Leader)
				nod.send(act.Target.Leader, orderMessage{act.Target.Shard, act.Target.Token, act.Order})
				continue
			}
			nod.local = append(nod.local, func() { nod.placeOrder(nod.ply.now, act.Target, act.Order) })
		case submission.CancelOrder:
			nod.ply.note("%s withdraws %s from %s", nod.id, act.Task, act.Target.Leader)
			if act.Target.Leader != nod.id {
				nod.send(act.Target.Leader, withdrawalMessage{act.Target.Shard, act.Target.Token, act.Task})
				continue
			}
			nod.local = append(nod.local, func() {
				if ldr := nod.leader(act.Target.Shard, act.Target.Token); ldr != nil {
					nod.shardDo(act.Target.Shard, ldr.Cancel(nod.ply.now, nod.id, act.Task))
				}
			})
		case submission.Reply:
			if att := nod.calls[act.Call]; att != nil {
				delete(nod.calls, act.Call)
				nod.ply.after(time.Millisecond, func() { att.answered(act.Answer) })
			}
		}
	}
}

func (nod *node) shardDo(name shard.Name, acts []shard.Action) {
	patience := nod.upl.Patience()
	for _, act := range acts {
		switch act := act.(type) {
		case shard.Tell:
			nod.local = append(nod.local, func() { nod.tell(act.Owner, act.Report) })
		case shard.StartRun:
			nod.startRun(name, act, patience)
		case shard.StopRun:
			nod.ply.note("%s stops %s %d at %s", nod.id, act.Run.Task, act.Run.Number, act.Server.ID)
			nod.call(act.Server.ID, patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) {
				reply(shard.Look{}, srv.stop(act))
			}, func(_ shard.Look, vdt shard.Verdict) {
				nod.run(func(now time.Time) {
					if ldr := nod.leader(name, act.Token); ldr != nil {
						nod.shardDo(name, ldr.Stopped(now, act.Server.ID, act.Run, vdt))
					}
				})
			})
		case shard.Hold:
			nod.ply.after(act.Pause, func() { nod.deliver(fmt.Sprint("pause ", nod.ply.count), func() { nod.hold(name, act, patience) }) })
		}
	}
	if ldr := nod.ldrs[name]; ldr != nil && ldr.Lost() > 0 {
		nod.abandon(name, true)
	}
}

func (nod *node) startRun(name shard.Name, act shard.StartRun, patience time.Duration) {
	nod.ply.note("%s starts %s %d at %s with %d", nod.id, act.Run.Task, act.Run.Number, act.Server.ID, act.Token)
	sent := nod.ply.now
	nod.call(act.Server.ID, patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) {
		vdt := srv.start(act, nod.ply.takes(act.Run.Task))
		reply(shard.Look{Clock: srv.clock()}, vdt)
	}, func(lok shard.Look, vdt shard.Verdict) {
		nod.run(func(now time.Time) {
			nod.upl.Answered(act.Payload, now.Sub(sent), vdt)
			if ldr := nod.leader(name, act.Token); ldr != nil {
				nod.shardDo(name, ldr.Started(now, act.Server.ID, act.Run, vdt, lok.Clock))
			}
		})
	})
}

func (nod *node) hold(name shard.Name, act shard.Hold, patience time.Duration) {
	sent := nod.ply.now
	nod.call(act.Server.ID, act.Wait+patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) { srv.hold(act, reply) },
		func(lok shard.Look, vdt shard.Verdict) {
			nod.run(func(now time.Time) {
				if ldr := nod.leader(name, act.Token); ldr != nil {
					nod.shardDo(name, ldr.Looked(now, sent, act, lok, vdt))
				}
			})
		})
}

// call makes a call of a server: it may be lost on the way there or back, or be carried out late and without an answer.
func (nod *node) call(to shard.ServerID, patience time.Duration, carryOut func(srv *fakeServer, reply func(shard.Look, shard.Verdict)),
	answered func(lok shard.Look, vdt shard.Verdict),
) {
	ply := nod.ply
	ply.calls++
	src := fmt.Sprint("call ", ply.calls)
	done := false
	finish := func(lok shard.Look, vdt shard.Verdict) {
		nod.deliver(src, func() {
			if !done {
				done = true
				answered(lok, vdt)
			}
		})
	}
	ply.after(patience, func() { finish(shard.Look{}, shard.Unknown) })
	srv := ply.server(to)
	if !ply.open(nod.name, string(to)) {
		return
	}
	if srv.lose > 0 {
		srv.lose--
		ply.after(ply.within(3*time.Second), func() { carryOut(srv, func(shard.Look, shard.Verdict) {}) })
		return
	}
	ply.after(ply.delay(), func() {
		carryOut(srv, func(lok shard.Look, vdt shard.Verdict) {
			if ply.open(string(to), nod.name) {
				ply.after(ply.delay(), func() { finish(lok, vdt) })
			}
		})
	})
}
