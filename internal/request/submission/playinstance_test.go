package submission_test

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// playInstance is an instance: an owner and the leader of some shards. Events for a former life (incarnation) are dropped, and the instance handles
// events one after another: it is busy until a time. peers has what it has to send to the others, one batch at a time.
type playInstance struct {
	sim               *simulation
	num, domain, life int
	id                shard.InstanceID
	crd               *submission.Coordinator
	leaders           []*shard.Leader
	peers             map[*playInstance]*playPeer
	sharedAt, busy    time.Time
}

type playPeer struct {
	waiting []func(to *playInstance)
	calling bool
	nextAt  time.Time
}

// begin begins a new incarnation, which takes over its shards.
func (ins *playInstance) begin() {
	sim, link, cfg := ins.sim, shard.NewUplink(0), shard.DefaultConfig()
	ins.life++
	ins.id = shard.InstanceID(fmt.Sprintf("i%d/%d", ins.num, ins.life))
	ins.leaders, ins.peers, sim.byID[ins.id] = nil, map[*playInstance]*playPeer{}, ins
	for _, oth := range sim.instances {
		ins.peers[oth] = &playPeer{}
	}
	ins.crd = submission.NewCoordinator(submission.Config{
		Self: ins.id, FailureDomain: fmt.Sprint(ins.domain), OrphanExpiry: 1300 * time.Millisecond, RetryAfter: time.Second,
		LeaderlessTimeout: 1500 * time.Millisecond, Link: link, Features: sim.prm.Features,
	}, sim.now)
	cfg.Features = sim.prm.Features
	kinds := map[shard.Name][]shard.ServerKind{}
	for num := range sim.shards {
		shd := &sim.shards[num]
		kinds[shd.name] = shard.Kinds(shd.servers)
		if shd.leader == ins.num {
			shd.token = int64(ins.life*len(sim.instances) + ins.num)
			ldr := shard.NewLeader(cfg, link, shd.name, shd.token, sim.now)
			ins.leaders = append(ins.leaders, ldr)
			ins.later(0, func() {
				ins.runLeader(ldr, ldr.SetServers(sim.now, shard.Listing{Listed: shd.servers, ReadAt: sim.now, Shards: 1}))
			})
		}
	}
	ins.crd.HandleServers(kinds)
	ins.crd.SetServersComplete(true)
	ins.later(0, func() {
		for _, shd := range sim.shards {
			tgt := submission.Target{Shard: shd.name, Leader: sim.instances[shd.leader].id, Token: shd.token}
			ins.runCoordinator(ins.crd.HandleLeader(tgt, fmt.Sprint(shd.domain)))
		}
	})
	ins.later(time.Duration(sim.rnd.Int64N(int64(tick))), ins.tick)
	ins.later(time.Duration(sim.rnd.Int64N(int64(beat))), ins.beat)
}

// later has something done at the instance after a time, if it lives then, and passes the loads of its shards to its own Coordinator.
func (ins *playInstance) later(dur time.Duration, do func()) {
	life, sim, cores := ins.life, ins.sim, 0.2+0.6*float64(ins.num*7%12)/11
	var handle func()
	handle = func() {
		if wait := ins.busy.Sub(sim.now); ins.life != life || sim.down {
			return
		} else if wait > 0 {
			sim.after(wait, handle)
			return
		}
		ins.busy = sim.now.Add(time.Duration(float64(eventCost) / cores))
		do()
		if sim.now.Sub(ins.sharedAt) >= loadShare {
			ins.sharedAt = sim.now
			ins.loads()(ins)
		}
	}
	sim.after(dur, handle)
}

func (ins *playInstance) tick() {
	for _, ldr := range ins.leaders {
		ins.runLeader(ldr, ldr.Tick(ins.sim.now))
	}
	ins.runCoordinator(ins.crd.HandleTick(ins.sim.now))
	ins.later(tick, ins.tick)
}

// beat sends the loads of the instance's shards to the others: at each beat to those with open orders between the two, else after a pause that
// differs from pair to pair and is longer between failure domains.
func (ins *playInstance) beat() {
	pairs := map[shard.InstanceID]bool{}
	ins.crd.AddLeaders(pairs)
	for _, ldr := range ins.leaders {
		ldr.AddOwners(pairs)
	}
	for _, oth := range ins.sim.instances {
		if oth != ins && (pairs[oth.id] || !ins.sim.now.Before(ins.peers[oth].nextAt)) {
			ins.call(oth)
		}
	}
	ins.later(beat, ins.beat)
}

// send has a message handled by an instance, which may be this one.
func (ins *playInstance) send(id shard.InstanceID, handle func(to *playInstance)) {
	switch to := ins.sim.byID[id]; {
	case to == ins:
		ins.later(0, func() { handle(ins) })
	case to.id == id: // Else the receiver has started again.
		ins.peers[to].waiting = append(ins.peers[to].waiting, handle)
		ins.call(to)
	}
}

// call sends what waits for an instance in one batch, unless one is under way. The batch and its receipt have the loads of their senders.
func (ins *playInstance) call(to *playInstance) {
	sim, per, delay, pause := ins.sim, ins.peers[to], nearDelay, nearPause
	if per.calling {
		return
	}
	if ins.domain != to.domain {
		delay, pause = farDelay, farPause
	}
	msgs, tell := per.waiting, ins.loads()
	per.calling, per.waiting = true, nil
	per.nextAt = sim.now.Add(pause/2 + time.Duration(sim.rnd.Int64N(int64(pause))))
	to.later(delay, func() {
		tell(to)
		for _, msg := range msgs {
			msg(to)
		}
		reply := to.loads()
		ins.later(delay, func() {
			reply(ins)
			if per.calling = false; len(per.waiting) > 0 {
				ins.call(to)
			}
		})
	})
}

// loads returns a message with the loads of the instance's shards.
func (ins *playInstance) loads() func(to *playInstance) {
	lods := make([]shard.Load, len(ins.leaders))
	for num, ldr := range ins.leaders {
		lods[num] = ldr.Load(ins.sim.now)
	}
	ldrs := ins.leaders
	return func(to *playInstance) {
		to.crd.NoteTime(to.sim.now)
		for num, ldr := range ldrs {
			to.runCoordinator(to.crd.HandleLoad(ldr.Name(), lods[num]))
		}
	}
}

// leader returns the leader of a target, nil if it isn't here.
func (ins *playInstance) leader(tgt submission.Target) *shard.Leader {
	for _, ldr := range ins.leaders {
		if ldr.Name() == tgt.Shard && ldr.Token() == tgt.Token {
			return ldr
		}
	}
	return nil
}

// runCoordinator carries out the actions of the Coordinator.
func (ins *playInstance) runCoordinator(acts []submission.Action) {
	sim := ins.sim
	for _, act := range acts {
		switch act := act.(type) {
		case submission.SendOrder:
			sim.rep.countOrder(&act.Order)
			ins.send(act.Target.Leader, func(to *playInstance) {
				if ldr := to.leader(act.Target); ldr != nil {
					to.runLeader(ldr, ldr.HandleOrder(sim.now, act.Order))
				} else {
					to.sendReport(act.Order.Owner, shard.Report{Task: act.Order.Task, Token: act.Target.Token, Outcome: shard.Lost})
				}
			})
		case submission.CancelOrder:
			ins.send(act.Target.Leader, func(to *playInstance) {
				if ldr := to.leader(act.Target); ldr != nil {
					to.runLeader(ldr, ldr.Cancel(sim.now, ins.id, act.Task, act.Followed))
				}
			})
		case submission.Reply:
			sim.after(callerDelay, func() { sim.finish(sim.jobs[act.ID], act.Call, sim.outcomeOf(sim.jobs[act.ID], act.Answer.Result)) })
		}
	}
}

func (ins *playInstance) sendReport(owner shard.InstanceID, rep shard.Report) {
	ins.sim.rep.countReport(&rep)
	ins.send(owner, func(to *playInstance) { to.runCoordinator(to.crd.HandleReport(ins.sim.now, ins.id, rep)) })
}

// runLeader carries out the actions of a Leader of this incarnation.
func (ins *playInstance) runLeader(ldr *shard.Leader, acts []shard.Action) {
	sim := ins.sim
	if !slices.Contains(ins.leaders, ldr) {
		return
	}
	handle := func(do func() []shard.Action) { ins.later(nearDelay, func() { ins.runLeader(ldr, do()) }) }
	for _, act := range acts {
		switch act := act.(type) {
		case shard.SendReport:
			ins.sendReport(act.Owner, act.Report)
		case shard.StartRun:
			sim.after(nearDelay, func() {
				res, clock := sim.serverOf(act.Server.ID).start(&act), sim.clock()
				handle(func() []shard.Action { return ldr.HandleStartResult(sim.now, act.Server.ID, act.Run, res, clock) })
			})
		case shard.StopRun:
			sim.after(nearDelay, func() {
				res := sim.serverOf(act.Server.ID).stop(&act)
				handle(func() []shard.Action { return ldr.HandleStopResult(sim.now, act, res) })
			})
		case shard.Renew:
			ins.later(act.Delay, func() {
				sent := sim.now
				sim.after(nearDelay, func() {
					sim.serverOf(act.Server.ID).renew(&act, func(ans shard.RenewResult, res shard.CallResult) {
						handle(func() []shard.Action { return ldr.HandleRenewResult(sim.now, sent, act, ans, res) })
					})
				})
			})
		case shard.QuarantineServer:
			sim.rep.quarantines++
		}
	}
}
