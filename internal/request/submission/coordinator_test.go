package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// harness drives a Desk by hand and notes what it does.
type harness struct {
	crd  *Coordinator
	now  time.Time
	acts []Action
}

const (
	self  = shard.InstanceID("self/1")
	other = shard.InstanceID("other/2")
	// sameDomain and elsewhere are the failure domains of near and far shards.
	sameDomain   = "domain-1"
	otherDomain  = "domain-2"
	orphanExpiry = 1250 * time.Millisecond
)

func newHarness() *harness {
	hrn := &harness{now: time.Unix(1000, 0)}
	hrn.crd = NewCoordinator(Config{
		Self: self, FailureDomain: sameDomain, OrphanExpiry: orphanExpiry, RetryAfter: time.Second, LeaderlessTimeout: 1500 * time.Millisecond, Link: shard.NewUplink(0),
	}, hrn.now)
	return hrn
}

func (hrn *harness) record(acts []Action) { hrn.acts = append(hrn.acts, acts...) }

// setLeader makes an instance the leader of a shard with room for a number of tasks at once.
func (hrn *harness) setLeader(name shard.Name, near bool, leader shard.InstanceID, token int64, room int) {
	tgt := Target{Shard: name, Leader: leader, Token: token}
	domain := otherDomain
	if near {
		domain = sameDomain
	}
	hrn.record(hrn.crd.HandleLeader(tgt, domain))
	hrn.record(hrn.crd.HandleLoad(name, shard.Load{Number: token, Turnover: 1_000_000, Free: freeList(room), LinkWindow: 1 << 20}))
}

// setLongQueue tells that tasks wait in a shard for half a second.
func (hrn *harness) setLongQueue(name shard.Name, number int64) {
	lod := shard.Load{Number: number, Turnover: 1_000_000, LinkWindow: 1 << 20}
	for rnk := range lod.Waits {
		lod.Waits[rnk] = 500 * time.Millisecond
	}
	hrn.record(hrn.crd.HandleLoad(name, lod))
}

func freeList(room int) []int64 {
	fre := make([]int64, room)
	for idx := range fre {
		fre[idx] = 14000
	}
	return fre
}

func (hrn *harness) submit(cal CallID, id string, tasks int) {
	hrn.record(hrn.crd.HandleSubmit(hrn.now, cal, Submission{
		ID: id, Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
		Steps:     []Step{{Count: tasks, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
		Objective: func(work time.Duration) time.Duration { return 2 * work },
	}))
}

func (hrn *harness) report(from shard.InstanceID, token int64, task string, out shard.Outcome) {
	hrn.record(hrn.crd.HandleReport(hrn.now, from, shard.Report{Task: task, Token: token, Outcome: out, Server: "s"}))
}

// takeTexts returns the actions since the last call, as text.
func (hrn *harness) takeTexts() []string {
	var txts []string
	for _, act := range hrn.acts {
		switch act := act.(type) {
		case SendOrder:
			how := ""
			switch {
			case act.Order.Bounce:
				how = " bounce"
			case act.Order.Recall:
				how = " recall"
			case act.Order.Followed:
				how = " followed"
			}
			txts = append(txts, fmt.Sprintf("place %s at %s%s", act.Order.Task, act.Target.Leader, how))
		case CancelOrder:
			txts = append(txts, fmt.Sprintf("withdraw %s at %s", act.Task, act.Target.Leader))
		case Reply:
			txts = append(txts, fmt.Sprintf("reply %d %s", act.Call, act.Answer.Result))
		}
	}
	hrn.acts = nil
	return txts
}

// checkScenario plays a story and checks what the desk does.
func checkScenario(t *testing.T, story func(hrn *harness), want []string) {
	t.Helper()
	hrn := newHarness()
	story(hrn)
	is.New(t).Equal(hrn.takeTexts(), want)
}

func TestCoordinatorScenarios(t *testing.T) {
	const task = "j.0.0.0"
	cases := map[string]struct {
		story func(hrn *harness)
		want  []string
	}{
		"a job is done": {
			// The answer goes out with the last task.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 2)
				hrn.submit(1, "j", 2)
				hrn.report(self, 1, "j.0.0.0", shard.Done)
				hrn.report(self, 1, "j.0.0.1", shard.Done)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1 bounce", "reply 1 succeeded"},
		},
		"room is used near by first, then elsewhere, then a queue": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 3)
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at other/2 bounce", "place j.0.0.2 at self/1",
			},
		},
		"a task that starts at once is not called back": {
			// Its leader has not yet told that it began when another shard tells of room. Only the task that waits in
			// a queue is called back.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 2)
				hrn.setLongQueue("a.0", 2)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 3, Turnover: 1_000_000, Free: freeList(2), LinkWindow: 1 << 20}))
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1", "place j.0.0.1 at self/1 recall",
			},
		},
		"the instance stops": {
			// What has begun may have run, what waits for a leader has not.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain))
				hrn.submit(2, "k", 1)
				hrn.record(hrn.crd.Shutdown())
				hrn.setLeader("a.0", true, self, 2, 1)
				hrn.submit(3, "l", 1)
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "reply 1 unfinished", "withdraw j.0.0.0 at self/1", "reply 2 not-run",
				"reply 3 not-run",
			},
		},
		"an order bounces": {
			// What was believed of the room was out of date; the other shard has some.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at other/2 bounce"},
		},
		"a report of an earlier leadership is out of date": {
			// The leader took the shard over anew and has the order again; what it said of the first one must not send
			// the task elsewhere a second time.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.setLeader("a.0", true, self, 3, 1)
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at self/1 followed"},
		},
		"a leader is lost and another takes its shard": {
			story: func(hrn *harness) {
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other))
				hrn.setLeader("b.0", false, "third/4", 5, 0)
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "place j.0.0.0 at third/4 followed"},
		},
		"a leader is lost with its shard": {
			// Until its leases have surely lapsed the task starts nowhere else.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other))
				hrn.now = hrn.now.Add(orphanExpiry - time.Millisecond)
				hrn.record(hrn.crd.HandleTick(hrn.now))
				hrn.record([]Action{Reply{Call: 99}}) // Marks the time.
				hrn.now = hrn.now.Add(time.Millisecond)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "reply 99 succeeded", "place j.0.0.0 at self/1"},
		},
		"a task fails as often as it may": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				for range 3 {
					hrn.report(self, 1, task, shard.Failed)
				}
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at self/1", "place j.0.0.0 at self/1", "reply 1 failed",
			},
		},
		"the caller leaves": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleCallerGone(1))
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "withdraw j.0.0.0 at self/1"},
		},
		"the caller sends its job again here": {
			// Its first connection has gone without a word. One job, one answer to both.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.submit(2, "j", 1)
				hrn.record(hrn.crd.HandleCallerGone(1))
				hrn.report(self, 1, task, shard.Done)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "reply 2 succeeded"},
		},
		"nobody leads a shard for long": {
			// Just after a start jobs wait; then the instance is cut off and says at once that nothing has run.
			story: func(hrn *harness) {
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(2 * time.Second)
				hrn.submit(2, "k", 1)
				hrn.setLeader("a.0", true, self, 1, 1)
			},
			want: []string{"reply 2 not-run", "place j.0.0.0 at self/1"},
		},
		"the deadline passes with nothing placed": {
			story: func(hrn *harness) {
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(5 * time.Second)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"reply 1 not-run"},
		},
		"the deadline passes with an order at a leader": {
			// It may have started: that it has not run would be a guess.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(5 * time.Second)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"place j.0.0.0 at self/1", "reply 1 unfinished", "withdraw j.0.0.0 at self/1"},
		},
		"room comes free elsewhere for a task that starts soon": {
			// A call-back and another order take longer than the wait, and send the payload again.
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
			},
			want: []string{"place j.0.0.0 at self/1"},
		},
		"room comes free elsewhere": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 1)
				hrn.setLongQueue("a.0", 8)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1", "place j.0.0.0 at self/1 recall", "place j.0.0.0 at other/2 bounce"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			cse.story(hrn)
			chk.Equal(hrn.takeTexts(), cse.want)
		})
	}
}

func TestStepDependencies(t *testing.T) {
	// No task of a step starts before all tasks of the steps it follows are done.
	chk := is.New(t)
	hrn := newHarness()
	hrn.setLeader("a.0", true, self, 1, 0)
	hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, Submission{
		ID: "j", MaxAttempts: 1, CallerTimeout: time.Second, Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}},
		Objective: func(work time.Duration) time.Duration { return work },
	}))
	chk.Equal(len(hrn.takeTexts()), 2)
	hrn.report(self, 1, "j.0.0.0", shard.Done)
	chk.Equal(len(hrn.takeTexts()), 0)
	hrn.report(self, 1, "j.0.0.1", shard.Done)
	chk.Equal(hrn.takeTexts(), []string{"place j.0.1.0 at self/1"})
	hrn.report(self, 1, "j.0.1.0", shard.Done)
	chk.Equal(hrn.takeTexts(), []string{"reply 1 succeeded"})
}

func TestOrderThatMayHaveRun(t *testing.T) {
	// A leader gives an order back that does not run; whether a server has begun it for a moment is not known, as its start got no
	// answer. The job is not said to have run nothing, whatever becomes of it.
	for mayHaveRun, want := range map[bool]Result{true: Unfinished, false: NotRun} {
		t.Run(fmt.Sprint("may have run: ", mayHaveRun), func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, other, 1, 4)
			hrn.submit(1, "j", 1)
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain)) // Nobody leads, so that it goes nowhere else.
			hrn.record(hrn.crd.HandleReport(hrn.now, other, shard.Report{
				Task: "j.0.0.0", Token: 1, Outcome: shard.NotRun, MayHaveRun: mayHaveRun,
			}))
			hrn.acts = nil
			hrn.record(hrn.crd.Shutdown())
			var got []Result
			for _, act := range hrn.acts {
				if rep, ok := act.(Reply); ok {
					got = append(got, rep.Answer.Result)
				}
			}
			chk.Equal(got, []Result{want})
		})
	}
}
