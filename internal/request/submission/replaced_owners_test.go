package submission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// twoOwners joins two Coordinators, to which one job is submitted, and the Leaders of some shards by channels that keep the order of their messages. All
// orders wait, as the Leaders know no server.
type twoOwners struct {
	rnd     *rand.Rand
	now     time.Time
	owners  map[shard.InstanceID]*Coordinator
	leaders map[shard.InstanceID]*shard.Leader
	// channels has what is under way, by sender and receiver, and what the callers are about to do.
	channels map[string][]func()
	messages int
	answers  map[CallID]Result
	// left has the callers that have gone; lastCall is the newest call at each owner, lastOwner has sent the newest order.
	left      map[CallID]bool
	lastCall  map[shard.InstanceID]CallID
	lastOwner shard.InstanceID
}

func newTwoOwners(seed uint64, shards int) *twoOwners {
	two := &twoOwners{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), owners: map[shard.InstanceID]*Coordinator{}, leaders: map[shard.InstanceID]*shard.Leader{},
		channels: map[string][]func(){}, answers: map[CallID]Result{}, left: map[CallID]bool{}, lastCall: map[shard.InstanceID]CallID{},
	}
	for num := range shards {
		name := shard.Name(fmt.Sprintf("%s.%d", sameDomain, num))
		two.leaders[shard.InstanceID(fmt.Sprint("leader/", num))] = shard.NewLeader(shard.DefaultConfig(), shard.NewUplink(0), name, 1, two.now)
	}
	for _, id := range []shard.InstanceID{"owner/8", "owner/9"} {
		crd := NewCoordinator(Config{Self: id, FailureDomain: sameDomain, OrphanExpiry: orphanExpiry, RetryAfter: time.Second, Link: shard.NewUplink(0)}, two.now)
		for led, ldr := range two.leaders {
			crd.HandleLeader(Target{Shard: ldr.Name(), Leader: led, Token: 1}, sameDomain)
			crd.HandleLoad(ldr.Name(), shard.Load{Number: 1, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20})
		}
		two.owners[id] = crd
	}
	return two
}

func (two *twoOwners) send(from, to shard.InstanceID, msg func()) {
	two.messages++
	chn := string(from + ">" + to)
	two.channels[chn] = append(two.channels[chn], msg)
}

// deliverAll delivers the messages in random order, except that the channels keep theirs.
func (two *twoOwners) deliverAll() {
	for len(two.channels) > 0 {
		chns := slices.Sorted(maps.Keys(two.channels))
		chn := chns[two.rnd.IntN(len(chns))]
		next := two.channels[chn][0]
		if two.channels[chn] = two.channels[chn][1:]; len(two.channels[chn]) == 0 {
			delete(two.channels, chn)
		}
		next()
	}
}

func (two *twoOwners) runOwner(id shard.InstanceID, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case SendOrder:
			led := act.Target.Leader
			two.send(id, led, func() {
				two.lastOwner = id
				two.runLeader(led, two.leaders[led].HandleOrder(two.now, act.Order))
			})
		case CancelOrder:
			led := act.Target.Leader
			two.send(id, led, func() { two.runLeader(led, two.leaders[led].Cancel(two.now, id, act.Task, act.Followed)) })
		case Reply:
			two.answers[act.Call] = act.Answer.Result
		}
	}
}

func (two *twoOwners) runLeader(id shard.InstanceID, acts []shard.Action) {
	for _, act := range acts {
		if snd, ok := act.(shard.SendReport); ok {
			two.send(id, snd.Owner, func() { two.runOwner(snd.Owner, two.owners[snd.Owner].HandleReport(two.now, id, snd.Report)) })
		}
	}
}

// submit has callers submit the job to random owners; some leave.
func (two *twoOwners) submit(calls, tasks int) {
	ids := slices.Sorted(maps.Keys(two.owners))
	for num := range calls {
		cal, id := CallID(num+1), ids[two.rnd.IntN(len(ids))]
		if num < len(ids) {
			id = ids[num] // The first calls are at different owners.
		}
		sub := Submission{
			ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
			Steps:     []Step{{Count: tasks, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
			Objective: func(work time.Duration) time.Duration { return 2 * work },
		}
		caller := shard.InstanceID(fmt.Sprint("caller/", num))
		two.send(caller, id, func() {
			two.lastCall[id] = cal
			two.runOwner(id, two.owners[id].HandleSubmit(two.now, cal, sub))
		})
		if num >= 2 && two.rnd.IntN(2) == 0 {
			two.send(caller, id, func() {
				two.left[cal] = true
				two.runOwner(id, two.owners[id].HandleCallerGone(cal))
			})
		}
	}
}

// openOrder is an order that a leader has.
type openOrder struct {
	leader, owner shard.InstanceID
	task          string
}

// openOrders returns the orders that the leaders have.
func (two *twoOwners) openOrders() map[openOrder]bool {
	got := map[openOrder]bool{}
	for id, ldr := range two.leaders {
		for _, act := range ldr.Resign() {
			if snd, ok := act.(shard.SendReport); ok {
				got[openOrder{leader: id, owner: snd.Owner, task: snd.Report.Task}] = true
			}
		}
	}
	return got
}

// Guards against two owners of one job that order its tasks in turn, or that wait for orders which no leader has, and against a job that both give up
// though the last order for its only task came from an owner whose caller waits.
func TestTwoOwnersOfOneJob(t *testing.T) {
	cases := map[string]struct{ calls, tasks, shards int }{
		"two callers":                             {calls: 2, tasks: 1, shards: 1},
		"two callers, two shards":                 {calls: 2, tasks: 2, shards: 2},
		"callers that come and leave":             {calls: 6, tasks: 1, shards: 1},
		"callers that come and leave, two shards": {calls: 6, tasks: 2, shards: 2},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				chk := is.New(t)
				two := newTwoOwners(seed, cse.shards)
				two.submit(cse.calls, cse.tasks)
				two.deliverAll()
				// An order, its cancel and the report on it: nothing is ordered twice for one call.
				chk.True(two.messages <= cse.calls*(2+3*cse.tasks))
				orders := two.openOrders()
				for id, crd := range two.owners {
					for _, tsk := range crd.tasks {
						ord := openOrder{leader: tsk.leader, owner: id, task: tsk.name}
						chk.True(orders[ord]) // No owner waits for an order that no leader has.
						delete(orders, ord)
					}
				}
				chk.Equal(len(orders), 0) // Nor has a leader an order that no owner waits for.
				for _, res := range two.answers {
					chk.Equal(res, Unfinished)
				}
				if last := two.lastOwner; cse.shards == 1 && !two.left[two.lastCall[last]] {
					chk.Equal(two.owners[last].OpenCount(), 1)
				}
			}
		})
	}
}
