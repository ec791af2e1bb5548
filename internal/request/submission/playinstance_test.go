package submission_test

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// playInstance is an instance: an owner and the leader of some shards.
type playInstance struct {
	sim         *simulation
	num, domain int
	// life is the number of the instance's incarnation; events for a former one are dropped.
	life     int
	id       shard.InstanceID
	crd      *submission.Coordinator
	leaders  []*shard.Leader
	open     map[shard.InstanceID]bool
	nextBeat map[*playInstance]time.Time
	sharedAt time.Time
}

// begin begins a new incarnation, which takes over its shards.
func (ins *playInstance) begin() {
	sim := ins.sim
	ins.life++
	ins.id = shard.InstanceID(fmt.Sprintf("i%d/%d", ins.num, ins.life))
	sim.byID[ins.id] = ins
	link := shard.NewUplink(0)
	ins.leaders, ins.open, ins.nextBeat = nil, map[shard.InstanceID]bool{}, map[*playInstance]time.Time{}
	ins.crd = submission.NewCoordinator(submission.Config{
		Self: ins.id, FailureDomain: fmt.Sprint(ins.domain), OrphanExpiry: 1300 * time.Millisecond, RetryAfter: time.Second,
		LeaderlessTimeout: 1500 * time.Millisecond, Link: link, Features: sim.prm.Features,
	}, sim.now)
	cfg := shard.DefaultConfig()
	cfg.Features = sim.prm.Features
	kinds := map[shard.Name][]shard.ServerKind{}
	for num := range sim.shards {
		shd := &sim.shards[num]
		kinds[shd.name] = shard.Kinds(shd.servers)
		if shd.leader != ins.num {
			continue
		}
		shd.token = int64(ins.life*len(sim.instances) + ins.num)
		ldr := shard.NewLeader(cfg, link, shd.name, shd.token, sim.now)
		ins.leaders = append(ins.leaders, ldr)
		ins.later(0, func() {
			lst := shard.Listing{Listed: shd.servers, ReadAt: sim.now}
			ins.runLeader(ldr, ldr.SetServers(sim.now, lst))
		})
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
	life := ins.life
	ins.sim.after(dur, func() {
		if ins.life != life || ins.sim.down {
			return
		}
		do()
		if now := ins.sim.now; now.Sub(ins.sharedAt) >= loadShare {
			ins.sharedAt = now
			for _, ldr := range ins.leaders {
				ins.runCoordinator(ins.crd.HandleLoad(ldr.Name(), ldr.Load(now)))
			}
		}
	})
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
	sim := ins.sim
	clear(ins.open)
	ins.crd.AddLeaders(ins.open)
	for _, ldr := range ins.leaders {
		ldr.AddOwners(ins.open)
	}
	for _, oth := range sim.instances {
		if oth == ins || !ins.open[oth.id] && sim.now.Before(ins.nextBeat[oth]) {
			continue
		}
		pause := 6 * beat
		if oth.domain != ins.domain {
			pause = 9 * beat
		}
		ins.nextBeat[oth] = sim.now.Add(pause/2 + time.Duration(sim.rnd.Int64N(int64(pause))))
		for _, ldr := range ins.leaders {
			lod := ldr.Load(sim.now)
			ins.send(oth.id, func(to *playInstance) { to.runCoordinator(to.crd.HandleLoad(ldr.Name(), lod)) })
		}
	}
	ins.later(beat, ins.beat)
}

// send has a message handled by an instance, which may be this one.
func (ins *playInstance) send(id shard.InstanceID, handle func(to *playInstance)) {
	to := ins.sim.byID[id]
	if to == nil || to.id != id {
		return // The receiver has started again.
	}
	to.later(ins.sim.delay(ins, to), func() { handle(to) })
}

// delay returns how long a message between two instances takes.
func (sim *simulation) delay(from, to *playInstance) time.Duration {
	switch {
	case from == to:
		return 0
	case from.domain == to.domain:
		return nearDelay
	}
	return farDelay
}

// leader returns the leader of a shard with a token, nil if it isn't here.
func (ins *playInstance) leader(name shard.Name, token int64) *shard.Leader {
	for _, ldr := range ins.leaders {
		if ldr.Name() == name && ldr.Token() == token {
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
			ins.open[act.Target.Leader] = true
			ins.send(act.Target.Leader, func(to *playInstance) {
				ldr := to.leader(act.Target.Shard, act.Target.Token)
				if ldr == nil {
					to.sendReport(act.Order.Owner, shard.Report{Task: act.Order.Task, Token: act.Target.Token, Outcome: shard.Lost})
					return
				}
				to.open[act.Order.Owner] = true
				to.runLeader(ldr, ldr.HandleOrder(sim.now, act.Order))
			})
		case submission.CancelOrder:
			ins.send(act.Target.Leader, func(to *playInstance) {
				if ldr := to.leader(act.Target.Shard, act.Target.Token); ldr != nil {
					to.runLeader(ldr, ldr.Cancel(sim.now, ins.id, act.Task, act.Followed))
				}
			})
		case submission.Reply:
			sim.after(callerDelay, func() { sim.finish(sim.jobs[act.ID], act.Call, sim.outcomeOf(sim.jobs[act.ID], act.Answer.Result)) })
		}
	}
}

func (ins *playInstance) sendReport(owner shard.InstanceID, rep shard.Report) {
	ins.sim.rep.countReport(ins.sim.now, &rep)
	ins.send(owner, func(to *playInstance) { to.runCoordinator(to.crd.HandleReport(ins.sim.now, ins.id, rep)) })
}

// runLeader carries out the actions of a Leader of this incarnation.
func (ins *playInstance) runLeader(ldr *shard.Leader, acts []shard.Action) {
	sim := ins.sim
	if !slices.Contains(ins.leaders, ldr) {
		return
	}
	for _, act := range acts {
		switch act := act.(type) {
		case shard.SendReport:
			ins.sendReport(act.Owner, act.Report)
		case shard.StartRun:
			sim.after(nearDelay, func() {
				res := sim.serverOf(act.Server.ID).start(&act)
				clock := sim.clock()
				ins.later(nearDelay, func() { ins.runLeader(ldr, ldr.HandleStartResult(sim.now, act.Server.ID, act.Run, res, clock)) })
			})
		case shard.StopRun:
			sim.after(nearDelay, func() {
				res := sim.serverOf(act.Server.ID).stop(&act)
				ins.later(nearDelay, func() { ins.runLeader(ldr, ldr.HandleStopResult(sim.now, act, res)) })
			})
		case shard.Renew:
			ins.later(act.Delay, func() {
				sent := sim.now
				sim.after(nearDelay, func() {
					sim.serverOf(act.Server.ID).renew(&act, func(ans shard.RenewResult, res shard.CallResult) {
						ins.later(nearDelay, func() { ins.runLeader(ldr, ldr.HandleRenewResult(sim.now, sent, act, ans, res)) })
					})
				})
			})
		case shard.QuarantineServer:
			sim.rep.quarantines++
		case shard.FeatureChange:
			sim.rep.features[act.Feature]++
		}
	}
}
