package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// harness passes events to a Coordinator and collects its actions.
type harness struct {
	crd  *Coordinator
	now  time.Time
	acts []Action
}

const (
	self  = shard.InstanceID("self/1")
	other = shard.InstanceID("other/2")
	// sameDomain is the failure domain of the tested instance, otherDomain another one.
	sameDomain   = "domain-1"
	otherDomain  = "domain-2"
	orphanExpiry = 1250 * time.Millisecond
)

// newHarness returns a harness with a Coordinator without shards, and with a link without limit.
func newHarness() *harness {
	hrn := &harness{now: time.Unix(1000, 0)}
	hrn.crd = NewCoordinator(Config{
		Self: self, FailureDomain: sameDomain, OrphanExpiry: orphanExpiry, RetryAfter: time.Second,
		LeaderlessTimeout: 1500 * time.Millisecond, Link: shard.NewUplink(0),
	}, hrn.now)
	return hrn
}

// record adds actions to those that takeTexts returns.
func (hrn *harness) record(acts []Action) { hrn.acts = append(hrn.acts, acts...) }

// setLeader makes an instance the leader of a shard, in the own or another failure domain, with free capacity for a number of tasks.
func (hrn *harness) setLeader(name shard.Name, inSameDomain bool, leader shard.InstanceID, freeTasks int64, room int) {
	tgt := Target{Shard: name, Leader: leader, Token: freeTasks}
	domain := otherDomain
	if inSameDomain {
		domain = sameDomain
	}
	hrn.record(hrn.crd.HandleLeader(tgt, domain))
	hrn.record(hrn.crd.HandleLoad(name, shard.Load{Number: freeTasks, ServiceRate: 1_000_000, Free: freeList(room), LinkWindow: 1 << 20}))
}

// setLongQueue reports a load of a shard without free capacity, in which tasks wait for half a second.
func (hrn *harness) setLongQueue(name shard.Name, number int64) {
	lod := shard.Load{Number: number, ServiceRate: 1_000_000, LinkWindow: 1 << 20}
	for rnk := range lod.RankWaits {
		lod.RankWaits[rnk] = 500 * time.Millisecond
	}
	hrn.record(hrn.crd.HandleLoad(name, lod))
}

// freeList returns the free capacity of servers that can each start one task.
func freeList(freeTasks int) []int64 {
	fre := make([]int64, freeTasks)
	for idx := range fre {
		fre[idx] = 14000
	}
	return fre
}

// submit submits a job of one step; its tasks are expected to run for 100 ms, and its caller waits for 5 s.
func (hrn *harness) submit(cal CallID, id string, tasks int) {
	hrn.record(hrn.crd.HandleSubmit(hrn.now, cal, Submission{
		ID: id, Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
		Steps:     []Step{{Count: tasks, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
		Objective: func(work time.Duration) time.Duration { return 2 * work },
	}))
}

// report passes a leader's report on the order of a task.
func (hrn *harness) report(from shard.InstanceID, token int64, task string, out shard.Outcome) {
	hrn.record(hrn.crd.HandleReport(hrn.now, from, shard.Report{Task: task, Token: token, Outcome: out, Server: "s"}))
}

// takeTexts returns the actions since its last call as texts.
func (hrn *harness) takeTexts() []string {
	var txts []string
	for _, act := range hrn.acts {
		switch act := act.(type) {
		case SendOrder:
			how := ""
			switch {
			case act.Order.ReturnIfBusy:
				how = " return-if-busy"
			case act.Order.Recall:
				how = " recall"
			case act.Order.Reassigned:
				how = " reassigned"
			}
			txts = append(txts, fmt.Sprintf("order %s at %s%s", act.Order.Task, act.Target.Leader, how))
		case CancelOrder:
			txts = append(txts, fmt.Sprintf("cancel %s at %s", act.Task, act.Target.Leader))
		case Reply:
			txts = append(txts, fmt.Sprintf("reply %d %s", act.Call, act.Answer.Result))
		}
	}
	hrn.acts = nil
	return txts
}

// checkScenario passes a scenario's events to a new Coordinator and compares the actions with want.
func checkScenario(t *testing.T, scenario func(hrn *harness), want []string) {
	t.Helper()
	hrn := newHarness()
	scenario(hrn)
	is.New(t).Equal(hrn.takeTexts(), want)
}

// Fails if a task runs twice, is forgotten or is ordered at a worse place than needed, or a caller gets no answer or a wrong one.
func TestCoordinatorScenarios(t *testing.T) {
	const task = "j.0.0.0"
	cases := map[string]struct {
		scenario func(hrn *harness)
		want     []string
	}{
		"a job is done": {
			// The answer is sent when the last task is done.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 2)
				hrn.submit(1, "j", 2)
				hrn.report(self, 1, "j.0.0.0", shard.Done)
				hrn.report(self, 1, "j.0.0.1", shard.Done)
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1 return-if-busy", "reply 1 succeeded"},
		},
		"free capacity in the same domain is used first, then in another, then a queue": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 3)
			},
			want: []string{
				"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at other/2 return-if-busy", "order j.0.0.2 at self/1",
			},
		},
		"a task that starts at once is not recalled": {
			// The leader has not reported the start yet when another shard reports free capacity. Only the task in a queue is recalled.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 2)
				hrn.setLongQueue("a.0", 2)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 3, ServiceRate: 1_000_000, Free: freeList(2), LinkWindow: 1 << 20}))
			},
			want: []string{
				"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1", "order j.0.0.1 at self/1 recall",
			},
		},
		"the instance stops": {
			// A task that has started may have run, one that waits for a leader has not.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain))
				hrn.submit(2, "k", 1)
				hrn.record(hrn.crd.Shutdown())
				hrn.setLeader("a.0", true, self, 2, 1)
				hrn.submit(3, "l", 1)
			},
			want: []string{
				"order j.0.0.0 at self/1 return-if-busy", "reply 1 unfinished", "cancel j.0.0.0 at self/1", "reply 2 not-run",
				"reply 3 not-run",
			},
		},
		"an order is returned": {
			// The believed free capacity was out of date; the other shard has some.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.0 at other/2 return-if-busy"},
		},
		"a report of an earlier leadership is ignored": {
			// The leader took the shard over again and has the order again; its report on the first order must not send the task
			// elsewhere too.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.setLeader("a.0", true, self, 3, 1)
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.0 at self/1 reassigned"},
		},
		"a leader is lost and another leads its shard": {
			scenario: func(hrn *harness) {
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other, "not heard"))
				hrn.setLeader("b.0", false, "third/4", 5, 0)
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "order j.0.0.0 at third/4 reassigned"},
		},
		"a leader is lost, and one with an older token leads its shard": {
			// The servers that answer the older leader would still obey the lost one, which may be about to start the task: the older one
			// can't tell that it runs nowhere.
			scenario: func(hrn *harness) {
				hrn.setLeader("b.0", false, other, 5, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other, "not heard"))
				hrn.setLeader("b.0", false, "third/4", 2, 0)
				hrn.record([]Action{Reply{Call: 99}}) // Marks the moment in the list of actions.
				hrn.setLeader("b.0", false, "fourth/5", 7, 0)
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "reply 99 succeeded", "order j.0.0.0 at fourth/5 reassigned"},
		},
		"a leader is lost with its shard": {
			// Until the leases of the lost leader have surely expired, the task is not ordered elsewhere.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other, "not heard"))
				hrn.now = hrn.now.Add(orphanExpiry - time.Millisecond)
				hrn.record(hrn.crd.HandleTick(hrn.now))
				hrn.record([]Action{Reply{Call: 99}}) // Marks the moment in the list of actions.
				hrn.now = hrn.now.Add(time.Millisecond)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "reply 99 succeeded", "order j.0.0.0 at self/1"},
		},
		"a task fails in all its attempts": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				for range 3 {
					hrn.report(self, 1, task, shard.Failed)
				}
			},
			want: []string{
				"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.0 at self/1", "order j.0.0.0 at self/1", "reply 1 failed",
			},
		},
		"the caller closes its connection": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleCallerGone(1))
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "cancel j.0.0.0 at self/1"},
		},
		"the caller submits its job again here": {
			// The caller's first connection broke without notice. There is one job, and one answer to both calls.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.submit(2, "j", 1)
				hrn.record(hrn.crd.HandleCallerGone(1))
				hrn.report(self, 1, task, shard.Done)
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "reply 2 succeeded"},
		},
		"no shard has a leader for long": {
			// Just after a start jobs wait for a leader; after LeaderlessTimeout the instance is cut off and refuses jobs with NotRun.
			scenario: func(hrn *harness) {
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(2 * time.Second)
				hrn.submit(2, "k", 1)
				hrn.setLeader("a.0", true, self, 1, 1)
			},
			want: []string{"reply 2 not-run", "order j.0.0.0 at self/1"},
		},
		"no shard is seen to have a leader, as the process is paused": {
			// What the process missed while it was paused says nothing about the shards: the job waits as after a start.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.record(hrn.crd.HandleTick(hrn.now))
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain))
				hrn.now = hrn.now.Add(2 * time.Second)
				hrn.crd.HandlePause(2*time.Second, hrn.now)
				hrn.submit(1, "j", 1)
				hrn.setLeader("a.0", true, self, 2, 1)
			},
			want: []string{"order j.0.0.0 at self/1"},
		},
		"the deadline passes with nothing ordered": {
			scenario: func(hrn *harness) {
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(5 * time.Second)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"reply 1 not-run"},
		},
		"the deadline passes with an order at a leader": {
			// The task may have started, so that NotRun would be a guess.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.submit(1, "j", 1)
				hrn.now = hrn.now.Add(5 * time.Second)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"order j.0.0.0 at self/1", "reply 1 unfinished", "cancel j.0.0.0 at self/1"},
		},
		"capacity becomes free elsewhere for a task that starts soon": {
			// A recall and another order take longer than the wait, and send the payload again.
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
			},
			want: []string{"order j.0.0.0 at self/1"},
		},
		"capacity becomes free elsewhere": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.submit(1, "j", 1)
				hrn.setLongQueue("a.0", 8)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
				hrn.report(self, 1, task, shard.NotRun)
			},
			want: []string{"order j.0.0.0 at self/1", "order j.0.0.0 at self/1 recall", "order j.0.0.0 at other/2 return-if-busy"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			cse.scenario(hrn)
			chk.Equal(hrn.takeTexts(), cse.want)
		})
	}
}

// Fails if a task starts before all tasks of the steps that its step depends on are done.
func TestStepDependencies(t *testing.T) {
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
	chk.Equal(hrn.takeTexts(), []string{"order j.0.1.0 at self/1"})
	hrn.report(self, 1, "j.0.1.0", shard.Done)
	chk.Equal(hrn.takeTexts(), []string{"reply 1 succeeded"})
}

// A leader returns an order that doesn't run, but a server may have started it briefly, as its start call got no answer. Fails if the job
// is then answered with NotRun although it may have run.
func TestOrderThatMayHaveRun(t *testing.T) {
	for mayHaveRun, want := range map[bool]Result{true: Unfinished, false: NotRun} {
		t.Run(fmt.Sprint("may have run: ", mayHaveRun), func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, other, 1, 4)
			hrn.submit(1, "j", 1)
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain)) // Without a leader, the task is not ordered anew.
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
