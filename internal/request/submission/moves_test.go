package submission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutstack/internal/request/shard"
)

// play is an owner with the leaders of some shards, in steps of a millisecond, that counts the messages about each task.
type play struct {
	hrn     *harness
	leaders []*playedLeader
	// counts has the orders and recalls of each task, mostAtOnce the most of one task in a millisecond.
	counts     map[string]int
	mostAtOnce int
	ended      bool
}

// playedLeader is the leader of a shard that reports free capacity without regard to what it does with orders.
type playedLeader struct {
	tgt Target
	// does says what the leader does with an order.
	does playedAnswer
	// loadEvery is the time between two load reports; load returns one.
	loadEvery time.Duration
	load      func() shard.Load
	number    int64
	queue     map[string]shard.Order
	// reports are on their way to the owner.
	reports []shard.Report
}

// playedAnswer is what a leader does with an order.
type playedAnswer int

const (
	// returnsTried returns orders with ReturnIfBusy and recalled ones, as no server of the shard suits them, and keeps the others.
	returnsTried playedAnswer = iota
	// returnsAll returns all orders, as the shard is closed.
	returnsAll
	// keeps keeps all orders, recalled ones too, as the leader's link is full or its takeover is incomplete.
	keeps
	// starts starts all orders.
	starts
)

// newPlay returns a play with some shards, of which the owner leads the first, and one job.
func newPlay(shards, tasks int) *play {
	ply := &play{hrn: newHarness(), counts: map[string]int{}}
	for num := range shards {
		led := &playedLeader{
			tgt:       Target{Shard: shard.Name(fmt.Sprintf("domain-%d.0", num)), Leader: shard.InstanceID(fmt.Sprintf("leader-%d/1", num)), Token: 1},
			loadEvery: 100 * time.Millisecond, queue: map[string]shard.Order{}, load: freeLoad,
		}
		domain := otherDomain
		if num == 0 {
			led.tgt.Leader, led.loadEvery, domain = self, 4*time.Millisecond, sameDomain
		}
		ply.leaders = append(ply.leaders, led)
		ply.take(ply.hrn.crd.HandleLeader(led.tgt, domain))
		ply.tell(led)
	}
	ply.take(ply.hrn.crd.HandleSubmit(ply.hrn.now, 1, Submission{
		ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: time.Minute,
		Objective: func(time.Duration) time.Duration { return time.Minute },
		Steps:     []Step{{Count: tasks, Processor: 14000, Memory: 64, ExpectedRunTime: 100 * time.Millisecond}},
	}))
	return ply
}

// freeLoad returns a load with free capacity for 8 tasks, and long waits for others.
func freeLoad() shard.Load {
	lod := shard.Load{ServiceRate: 1_000_000, LinkWindow: 1 << 20, Free: freeList(8), FreeMemory: freeList(8)}
	for rnk := range lod.RankWaits {
		lod.RankWaits[rnk] = 500 * time.Millisecond
	}
	return lod
}

// tell has the owner learn a leader's load.
func (ply *play) tell(led *playedLeader) {
	led.number++
	lod := led.load()
	lod.Number = led.number
	ply.take(ply.hrn.crd.HandleLoad(led.tgt.Shard, lod))
}

// take carries out what the owner has decided.
func (ply *play) take(acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case SendOrder:
			ply.counts[act.Order.Task]++
			for _, led := range ply.leaders {
				if led.tgt == act.Target {
					led.handle(act.Order)
				}
			}
		case Reply:
			ply.ended = act.Answer.Result == Succeeded
		}
	}
}

// handle has a leader treat an order or a recall. Its reports come to the owner in the next millisecond.
func (led *playedLeader) handle(ord shard.Order) {
	if ord.Recall {
		if _, waits := led.queue[ord.Task]; !waits {
			return
		}
	}
	led.queue[ord.Task] = ord
	switch {
	case led.does == starts:
		led.reports = append(led.reports, shard.Report{Task: ord.Task, Token: 1, Outcome: shard.Done})
	case led.does == returnsAll, led.does == returnsTried && (ord.ReturnIfBusy || ord.Recall):
		led.reports = append(led.reports, shard.Report{Task: ord.Task, Token: 1, Outcome: shard.NotRun})
	default:
		return
	}
	delete(led.queue, ord.Task)
}

// run plays some time.
func (ply *play) run(dur time.Duration) {
	for end := ply.hrn.now.Add(dur); ply.hrn.now.Before(end); {
		ply.hrn.now = ply.hrn.now.Add(time.Millisecond)
		before := maps.Clone(ply.counts)
		past := ply.hrn.now.Sub(time.Unix(1000, 0))
		arrived := make([][]shard.Report, len(ply.leaders))
		for num, led := range ply.leaders {
			arrived[num], led.reports = led.reports, nil
		}
		for num, led := range ply.leaders {
			for _, rep := range arrived[num] {
				ply.take(ply.hrn.crd.HandleReport(ply.hrn.now, led.tgt.Leader, rep))
			}
			if past%led.loadEvery == 0 {
				ply.tell(led)
			}
		}
		if past%(10*time.Millisecond) == 0 {
			ply.take(ply.hrn.crd.HandleTick(ply.hrn.now))
		}
		for tsk, num := range ply.counts {
			ply.mostAtOnce = max(ply.mostAtOnce, num-before[tsk])
		}
	}
}

// setAll sets what all leaders do from now on; those that start orders start what waits, too.
func (ply *play) setAll(does playedAnswer) {
	for _, led := range ply.leaders {
		led.does = does
		for _, ord := range led.queue {
			led.handle(ord)
		}
	}
}

const (
	// playedTime is as long as callers wait for most jobs.
	playedTime = 5 * time.Second
	// maxMessages bounds the orders and recalls of a task in playedTime, maxMessagesAtOnce those in a millisecond.
	maxMessages, maxMessagesAtOnce = 40, 4
	// maxStartTime bounds the time in which a task starts once a leader can start it.
	maxStartTime = 1500 * time.Millisecond
)

// Guards against orders that go round between an owner and leaders which tell free capacity that the tasks can't use.
func TestOrdersDoNotCirculate(t *testing.T) {
	cases := map[string]struct {
		does []playedAnswer
		load func() shard.Load
	}{
		"no server suits the tasks":                    {does: []playedAnswer{returnsTried}},
		"all shards are closed and say they are open":  {does: []playedAnswer{returnsAll}},
		"one shard is closed and says that it is open": {does: []playedAnswer{returnsAll, returnsTried}},
		"all links are full":                           {does: []playedAnswer{keeps}},
		"some takeovers are incomplete":                {does: []playedAnswer{keeps, returnsTried, returnsTried}},
		"the own leader has no room":                   {does: []playedAnswer{keeps, returnsTried}},
	}
	for name, cse := range cases {
		for _, shards := range []int{1, 3, 6, 24} {
			t.Run(fmt.Sprintf("%s, %d shards", name, shards), func(t *testing.T) {
				chk := is.NewRelaxed(t)
				ply := newPlay(shards, 2)
				for num, led := range ply.leaders {
					led.does = cse.does[num%len(cse.does)]
				}
				ply.run(playedTime)
				ply.check(t)
				ply.setAll(starts)
				ply.run(maxStartTime)
				chk.True(ply.ended)
			})
		}
	}
}

// check checks the bounds on messages.
func (ply *play) check(t interface{ Errorf(string, ...any) }) {
	for tsk, num := range ply.counts {
		if num > maxMessages {
			t.Errorf("%d messages about task %s", num, tsk)
		}
	}
	if ply.mostAtOnce > maxMessagesAtOnce {
		t.Errorf("%d messages about a task in a millisecond", ply.mostAtOnce)
	}
}

// Guards against orders that go round, or tasks that are never started, by whatever loads say and leaders do with orders.
func TestOrdersAreBoundedWhateverLoadsSay(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rpd, "seed"), 1))
		ply := newPlay(1+rnd.IntN(6), 1+rnd.IntN(3))
		for num, led := range ply.leaders {
			led.loadEvery = time.Duration(1+rnd.IntN(100)) * time.Millisecond
			led.load = func() shard.Load {
				lod := freeLoad()
				fre := freeList(rnd.IntN(4))
				lod.Free, lod.FreeMemory, lod.Closed = fre, fre, num > 0 && rnd.IntN(10) == 0 // With all closed the job is refused.
				return lod
			}
		}
		for range 20 {
			for _, led := range ply.leaders {
				led.does = playedAnswer(rnd.IntN(int(starts)))
			}
			ply.run(playedTime / 20)
		}
		ply.check(rpd)
		able := ply.leaders[rnd.IntN(len(ply.leaders))]
		for _, led := range ply.leaders {
			led.load = func() shard.Load {
				return shard.Load{ServiceRate: 1_000_000, LinkWindow: 1 << 20, RankWaits: freeLoad().RankWaits}
			}
		}
		ply.setAll(returnsTried)
		able.does, able.load = starts, freeLoad
		for _, ord := range able.queue {
			able.handle(ord)
		}
		ply.run(maxStartTime)
		if !ply.ended {
			rpd.Fatalf("the job has not ended, though a leader starts its tasks")
		}
	})
}
