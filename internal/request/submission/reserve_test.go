package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/grant"
	"chestnutstack/internal/request/shard"
)

// shareTasks is the number of tasks that each shard of a shared system advertises room for, shareShards the number of its shards, each with another
// leader.
const shareTasks, shareShards = 9, 39

// newSharingHarness returns a harness of an owner with a name that shares capacity with as many others as there are shards, all in its failure domain,
// and has loads that are no longer fresh.
func newSharingHarness(self shard.InstanceID) *harness {
	hrn := newHarness()
	cfg := hrn.crd.cfg
	cfg.Self, cfg.Features.Reservations = self, true
	hrn.crd = NewCoordinator(cfg, hrn.now)
	for num := range shareShards {
		name, led := shard.Name(fmt.Sprintf("a.%d", num)), shard.InstanceID(fmt.Sprintf("leader-%d/1", num))
		hrn.record(hrn.crd.HandleLeader(Target{Shard: name, Leader: led, Token: 1}, sameDomain))
		hrn.tell(name, 1)
	}
	hrn.now = hrn.now.Add(freshTime)
	hrn.share()
	hrn.acts = nil
	return hrn
}

// share has the owner learn of the most competition.
func (hrn *harness) share() {
	hrn.crd.now = hrn.now
	for range 12 {
		hrn.crd.sharing.contention.HandleReturn(hrn.now, hrn.crd.sharing.owners)
	}
	hrn.crd.updateSharing()
}

// tell passes a load of a shard with room for shareTasks tasks.
func (hrn *harness) tell(name shard.Name, number int64) {
	hrn.record(hrn.crd.HandleLoad(name, shard.Load{Number: number, ServiceRate: 1_000_000, Free: freeList(shareTasks), LinkWindow: 1 << 20}))
}

// takeOrders returns the orders since the last call, by task.
func (hrn *harness) takeOrders() map[string]SendOrder {
	ords := map[string]SendOrder{}
	for _, act := range hrn.acts {
		if ord, ok := act.(SendOrder); ok {
			ords[ord.Order.Task] = ord
		}
	}
	hrn.acts = nil
	return ords
}

// returnableOrders returns the orders since the last change of acts that come back if they can't start at once, by task.
func (hrn *harness) returnableOrders() map[string]SendOrder {
	ords := map[string]SendOrder{}
	for _, act := range hrn.acts {
		if ord, ok := act.(SendOrder); ok && ord.Order.ReturnIfBusy {
			ords[ord.Order.Task] = ord
		}
	}
	return ords
}

// answer has the leaders that got some orders report an outcome.
func (hrn *harness) answer(ords map[string]SendOrder, out shard.Outcome, rsn shard.ReturnReason) {
	for name, ord := range ords {
		hrn.record(hrn.crd.HandleReport(hrn.now, ord.Target.Leader, shard.Report{Task: name, Token: ord.Target.Token, Outcome: out, Reason: rsn}))
	}
}

// Guards against owners that see the same loads and together send more orders for a shard's room than fit, or all choose one shard.
func TestOwnersShareRoom(t *testing.T) {
	chk := is.New(t)
	claims := map[shard.Name]int{}
	total := 0
	for own := range 35 {
		hrn := newSharingHarness(shard.InstanceID(fmt.Sprintf("owner-%d/1", own)))
		hrn.submit(1, fmt.Sprintf("j%d", own), 20)
		ords := hrn.takeOrders()
		chk.Equal(len(ords), 20)
		for _, ord := range ords {
			if ord.Order.ReturnIfBusy {
				claims[ord.Target.Shard]++
				total++
			}
		}
	}
	most := 0
	for _, num := range claims {
		most = max(most, num)
	}
	chk.True(total <= shareTasks*shareShards*5/4) // All counts on some 351 tasks' room.
	chk.True(len(claims) > shareShards*3/4)
	chk.True(most <= 5*shareTasks/2) // Four standard deviations above the mean of 35 owners that each count on a quarter of a task.
}

// Fails if what becomes of orders in a failure counts as competition of owners, or if an owner counts on room that it has no news of.
func TestSharingInFailures(t *testing.T) {
	const unchanged, raised, lowered = 0, 1, -1
	leaderOf := func(ords map[string]SendOrder) (SendOrder, string) {
		for name, ord := range ords {
			return ord, name
		}
		return SendOrder{}, ""
	}
	cases := map[string]struct {
		scenario func(hrn *harness, ords map[string]SendOrder)
		want     int
	}{
		"the room is taken": {want: raised, scenario: func(hrn *harness, ords map[string]SendOrder) {
			hrn.answer(ords, shard.NotRun, shard.NoProcessor)
		}},
		"the orders start": {want: lowered, scenario: func(hrn *harness, ords map[string]SendOrder) { hrn.answer(ords, shard.Started, shard.NoReason) }},
		"the leader is of an earlier version": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			hrn.answer(ords, shard.NotRun, shard.NoReason)
		}},
		"the reason is unknown": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			hrn.answer(ords, shard.NotRun, shard.ReturnReasons+7)
		}},
		"the leader stops": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			hrn.answer(ords, shard.NotRun, shard.LeaderResigned)
		}},
		"the leader is lost": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			for _, ord := range ords {
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, ord.Target.Leader, "not heard"))
			}
			hrn.answer(ords, shard.NotRun, shard.NoProcessor) // It was late, not lost.
		}},
		"the leader is superseded": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			for _, ord := range ords {
				hrn.record(hrn.crd.HandleLeader(Target{Shard: ord.Target.Shard, Leader: "next/1", Token: 2}, sameDomain))
			}
			hrn.answer(ords, shard.NotRun, shard.NoProcessor)
		}},
		"a report comes twice": {want: raised, scenario: func(hrn *harness, ords map[string]SendOrder) {
			hrn.crd.sharing.contention = grant.Contention{}
			ord, name := leaderOf(ords)
			rep := shard.Report{Task: name, Token: ord.Target.Token, Outcome: shard.NotRun, Reason: shard.NoProcessor}
			hrn.record(hrn.crd.HandleReport(hrn.now, ord.Target.Leader, rep))
			lvl := hrn.crd.Contention()
			hrn.record(hrn.crd.HandleReport(hrn.now, ord.Target.Leader, rep))
			if hrn.crd.Contention() != lvl {
				panic("counted twice")
			}
		}},
		"the order was recalled": {want: unchanged, scenario: func(hrn *harness, ords map[string]SendOrder) {
			for name := range ords {
				hrn.crd.tasks[name].recalled = true
			}
			hrn.answer(ords, shard.NotRun, shard.NoProcessor)
		}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newSharingHarness(self)
			hrn.crd.sharing.contention, hrn.crd.sharing.active = grant.Contention{}, false
			hrn.submit(1, "j", 8)
			ords := hrn.takeOrders()
			// From the middle, so that a change either way shows.
			for range 5 {
				hrn.crd.sharing.contention.HandleReturn(hrn.now, hrn.crd.sharing.owners)
			}
			before := hrn.crd.Contention()
			if name == "a report comes twice" {
				before = 1
			}
			cse.scenario(hrn, ords)
			got := 0
			switch lvl := hrn.crd.Contention(); {
			case lvl > before:
				got = raised
			case lvl < before:
				got = lowered
			}
			is.New(t).Equal(got, cse.want)
		})
	}
}

// Guards against an owner that is paused and, when it resumes, sends all its work for room that it learned of before the pause, and against tasks
// that it then sends again and again.
func TestPausedOwnerWithWorkQueued(t *testing.T) {
	chk := is.New(t)
	hrn := newSharingHarness(self)
	hrn.now = hrn.now.Add(5 * time.Second) // It knows nothing of what others did meanwhile.
	hrn.crd.HandlePause(5*time.Second, hrn.now)
	sent := map[string]int{}
	for num := range 50 {
		hrn.submit(CallID(num), fmt.Sprintf("j%d", num), 8)
	}
	claims := 0
	for range 20 {
		ords := hrn.takeOrders()
		for name, ord := range ords {
			sent[name]++
			if ord.Order.ReturnIfBusy {
				claims++
				continue
			}
			delete(ords, name) // It waits.
		}
		hrn.answer(ords, shard.NotRun, shard.NoProcessor)
	}
	chk.Equal(len(sent), 400)
	for _, num := range sent {
		chk.True(num <= maxReturns+1)
	}
	// The shares of 39 shards' room, and what was sent before the first answers.
	chk.True(claims <= shareShards*shareTasks/5)
}

// Guards against an owner that counts on room again and again though its link is full or cut, so that it sends nothing or hears no newer load.
func TestSharingWithoutALink(t *testing.T) {
	chk := is.New(t)
	hrn := newSharingHarness(self)
	link := shard.NewUplink(1)
	link.SetPeerBytes(1 << 20)
	hrn.crd.cfg.Link = link
	hrn.submit(1, "j", 8)
	chk.Equal(len(hrn.takeOrders()), 0)
	chk.Equal(hrn.crd.ClaimStats(), ClaimStats{})
	hrn.crd.cfg.Link = shard.NewUplink(0)
	for round := range 20 {
		hrn.submit(CallID(2+round), fmt.Sprintf("k%d", round), 20)
	}
	made := hrn.crd.ClaimStats().Made
	chk.True(made > 0)
	for round := range 20 {
		hrn.tell("a.0", 1) // A batch that was sent again: the load is known.
		hrn.submit(CallID(22+round), fmt.Sprintf("l%d", round), 20)
	}
	chk.Equal(hrn.crd.ClaimStats().Made, made) // The share of these loads is used up.
}

// Guards against a line for each decision, and against sharing that begins though the settings switch it off or never ends.
func TestSharingIsAnnounced(t *testing.T) {
	for _, on := range []bool{true, false} {
		chk := is.New(t)
		hrn := newHarness()
		cfg := hrn.crd.cfg
		cfg.Features.Reservations = on
		hrn.crd = NewCoordinator(cfg, hrn.now)
		var changes []bool
		for round := range 40 {
			hrn.setLeader("a.0", true, other, int64(1+round), 4)
			hrn.setLeader("a.1", true, self, int64(1+round), 4)
			for num := range 6 {
				hrn.setLeader(shard.Name(fmt.Sprintf("a.%d", 2+num)), true, shard.InstanceID(fmt.Sprintf("led-%d/1", num)), int64(1+round), 4)
			}
			hrn.now = hrn.now.Add(time.Second)
			if round == 0 {
				hrn.submit(1, "j", 16)
				hrn.answer(hrn.returnableOrders(), shard.NotRun, shard.NoProcessor)
			}
			hrn.record(hrn.crd.HandleTick(hrn.now))
			for _, act := range hrn.acts {
				if chg, ok := act.(FeatureChange); ok {
					chk.Equal(chg.Change.Feature, shard.Reservations)
					changes = append(changes, chg.Change.Active)
				}
			}
			hrn.acts = nil
		}
		want := []bool{true, false}
		if !on {
			want = nil
		}
		chk.Equal(changes, want)
	}
}

// Guards against orders that go round while owners share room, and against tasks that start late because an owner counts on too little of it: the
// bounds are those of TestOrdersDoNotCirculate.
func TestSharedOrdersDoNotCirculate(t *testing.T) {
	for name, does := range map[string][]playedAnswer{
		"no server suits the tasks":                   {returnsTried},
		"all shards are closed and say they are open": {returnsAll},
		"some takeovers are incomplete":               {keeps, returnsTried, returnsTried},
	} {
		for _, shards := range []int{1, 3, 6, 24} {
			t.Run(fmt.Sprintf("%s, %d shards", name, shards), func(t *testing.T) {
				ply := newPlay(shards, 2)
				ply.hrn.crd.cfg.Features.Reservations = true
				ply.hrn.share()
				for num, led := range ply.leaders {
					led.does = does[num%len(does)]
				}
				ply.run(playedTime)
				ply.check(t)
				ply.setAll(starts)
				ply.run(maxStartTime)
				is.New(t).True(ply.ended)
			})
		}
	}
}

// Guards against an owner that no longer shares room as all leaders are lost, or that shares it before any order has come back, so that the tasks of a
// wide job wait beside idle servers.
func TestSharingWhileLeadersAreLost(t *testing.T) {
	chk := is.New(t)
	hrn := newHarness()
	cfg := hrn.crd.cfg
	cfg.Features.Reservations = true
	hrn.crd = NewCoordinator(cfg, hrn.now)
	tick := func(active bool) {
		hrn.now = hrn.now.Add(10 * time.Millisecond)
		hrn.record(hrn.crd.HandleTick(hrn.now))
		chk.Equal(hrn.crd.sharing.active, active)
	}
	tick(false)
	kinds := map[shard.Name][]shard.ServerKind{}
	for num := range shareShards {
		kinds[shard.Name(fmt.Sprintf("a.%d", num))] = []shard.ServerKind{{Service: "render", Processor: 1_000_000, Memory: 1_000_000}}
	}
	hrn.crd.HandleServers(kinds)
	for num := range shareShards {
		tick(false)
		hrn.record(hrn.crd.HandleLeader(Target{
			Shard: shard.Name(fmt.Sprintf("a.%d", num)), Leader: shard.InstanceID(fmt.Sprintf("leader-%d/1", num)), Token: 1,
		}, sameDomain))
	}
	hrn.share()
	for num := range shareShards {
		tick(true)
		hrn.record(hrn.crd.HandleInstanceLost(hrn.now, shard.InstanceID(fmt.Sprintf("leader-%d/1", num)), "not heard"))
	}
	tick(true)
	chk.Equal(hrn.crd.sharing.owners, shareShards)
	hrn.crd.HandleServers(nil) // The shards are no more.
	chk.Equal(hrn.crd.sharing.owners, 0)
}

// Guards against room that stays unused though only this owner knows of it, and against owners that all count on the same old loads.
func TestFreshLoadsCountForMore(t *testing.T) {
	const shared = (shareTasks + shareShards - 1) / shareShards
	for name, cse := range map[string]struct {
		// age is the time since the load came.
		age         time.Duration
		least, most int64
	}{
		"fresh":                              {0, shareTasks, shareTasks},
		"of middle age":                      {freshTime / 30, 2, shareTasks - 1},
		"as old as the others' loads":        {freshTime, 0, shared},
		"old":                                {2 * freshTime, 0, shared},
		"from later, as the clock went back": {-freshTime, shareTasks, shareTasks},
	} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newSharingHarness(self)
			crd := hrn.crd
			hrn.tell("a.0", 2)
			crd.NoteTime(crd.now.Add(cse.age))
			hrn.now = crd.now
			hrn.submit(1, "j", 1)
			tsk := crd.tasks["j.0.0.0"]
			viw := crd.shards["a.0"]
			num := crd.claimableTasks(viw, crd.newFit(tsk, &tsk.job.sub.Steps[0]), crd.contentionFor(viw, crd.Contention()))
			sent := viw.sentForRoom // The job may have gone here.
			chk.True(num+sent >= cse.least)
			chk.True(num <= cse.most)
		})
	}
}
