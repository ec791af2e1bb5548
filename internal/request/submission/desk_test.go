package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// bench drives a Desk by hand and notes what it does.
type bench struct {
	dsk  *Coordinator
	now  time.Time
	acts []Action
}

const (
	self  = shard.InstanceID("self/1")
	other = shard.InstanceID("other/2")
	// own and elsewhere are the failure domains of near and far shards.
	own       = "domain-1"
	elsewhere = "domain-2"
	proof     = 1250 * time.Millisecond
)

func newBench() *bench {
	bch := &bench{now: time.Unix(1000, 0)}
	bch.dsk = NewCoordinator(Config{
		Self: self, FailureDomain: own, OrphanExpiry: proof, RetryAfter: time.Second, LeaderlessTimeout: 1500 * time.Millisecond, Link: shard.NewUplink(0),
	}, bch.now)
	return bch
}

func (bch *bench) did(acts []Action) { bch.acts = append(bch.acts, acts...) }

// lead makes an instance the leader of a shard with room for a number of tasks at once.
func (bch *bench) lead(name shard.Name, near bool, leader shard.InstanceID, token int64, room int) {
	tgt := Target{Shard: name, Leader: leader, Token: token}
	domain := elsewhere
	if near {
		domain = own
	}
	bch.did(bch.dsk.HandleLeader(tgt, domain))
	bch.did(bch.dsk.HandleLoad(name, shard.Load{Number: token, Turnover: 1_000_000, Free: free(room), LinkWindow: 1 << 20}))
}

// longQueue tells that tasks wait in a shard for half a second.
func (bch *bench) longQueue(name shard.Name, number int64) {
	lod := shard.Load{Number: number, Turnover: 1_000_000, LinkWindow: 1 << 20}
	for rnk := range lod.Waits {
		lod.Waits[rnk] = 500 * time.Millisecond
	}
	bch.did(bch.dsk.HandleLoad(name, lod))
}

func free(room int) []int64 {
	fre := make([]int64, room)
	for idx := range fre {
		fre[idx] = 14000
	}
	return fre
}

func (bch *bench) submit(cal CallID, id string, tasks int) {
	bch.did(bch.dsk.HandleSubmit(bch.now, cal, Submission{
		ID: id, Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
		Steps:     []Step{{Count: tasks, Processor: 14000, Expected: 100 * time.Millisecond}},
		Objective: func(work time.Duration) time.Duration { return 2 * work },
	}))
}

func (bch *bench) report(from shard.InstanceID, token int64, task string, out shard.Outcome) {
	bch.did(bch.dsk.HandleReport(bch.now, from, shard.Report{Task: task, Token: token, Outcome: out, Server: "s"}))
}

// take returns the actions since the last call, as text.
func (bch *bench) take() []string {
	var txts []string
	for _, act := range bch.acts {
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
	bch.acts = nil
	return txts
}

// checkStory plays a story and checks what the desk does.
func checkStory(t *testing.T, story func(bch *bench), want []string) {
	t.Helper()
	bch := newBench()
	story(bch)
	is.New(t).Equal(bch.take(), want)
}

func TestDeskStories(t *testing.T) {
	const task = "j.0.0.0"
	cases := map[string]struct {
		story func(bch *bench)
		want  []string
	}{
		"a job is done": {
			// The answer goes out with the last task.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 2)
				bch.submit(1, "j", 2)
				bch.report(self, 1, "j.0.0.0", shard.Done)
				bch.report(self, 1, "j.0.0.1", shard.Done)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1 bounce", "reply 1 succeeded"},
		},
		"room is used near by first, then elsewhere, then a queue": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.lead("b.0", false, other, 2, 1)
				bch.submit(1, "j", 3)
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at other/2 bounce", "place j.0.0.2 at self/1",
			},
		},
		"a task that starts at once is not called back": {
			// Its leader has not yet told that it began when another shard tells of room. Only the task that waits in
			// a queue is called back.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.lead("b.0", false, other, 2, 0)
				bch.submit(1, "j", 2)
				bch.longQueue("a.0", 2)
				bch.did(bch.dsk.HandleLoad("b.0", shard.Load{Number: 3, Turnover: 1_000_000, Free: free(2), LinkWindow: 1 << 20}))
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1", "place j.0.0.1 at self/1 recall",
			},
		},
		"the instance stops": {
			// What has begun may have run, what waits for a leader has not.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleLeader(Target{Shard: "a.0"}, own))
				bch.submit(2, "k", 1)
				bch.did(bch.dsk.Shutdown())
				bch.lead("a.0", true, self, 2, 1)
				bch.submit(3, "l", 1)
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "reply 1 unfinished", "withdraw j.0.0.0 at self/1", "reply 2 not-run",
				"reply 3 not-run",
			},
		},
		"an order bounces": {
			// What was believed of the room was out of date; the other shard has some.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.lead("b.0", false, other, 2, 1)
				bch.submit(1, "j", 1)
				bch.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at other/2 bounce"},
		},
		"a report of an earlier leadership is out of date": {
			// The leader took the shard over anew and has the order again; what it said of the first one must not send
			// the task elsewhere a second time.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 1)
				bch.lead("a.0", true, self, 3, 1)
				bch.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at self/1 followed"},
		},
		"a leader is lost and another takes its shard": {
			story: func(bch *bench) {
				bch.lead("b.0", false, other, 2, 1)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleInstanceLost(bch.now, other))
				bch.lead("b.0", false, "third/4", 5, 0)
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "place j.0.0.0 at third/4 followed"},
		},
		"a leader is lost with its shard": {
			// Until its leases have surely lapsed the task starts nowhere else.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.lead("b.0", false, other, 2, 1)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleInstanceLost(bch.now, other))
				bch.now = bch.now.Add(proof - time.Millisecond)
				bch.did(bch.dsk.HandleTick(bch.now))
				bch.did([]Action{Reply{Call: 99}}) // Marks the time.
				bch.now = bch.now.Add(time.Millisecond)
				bch.did(bch.dsk.HandleTick(bch.now))
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "reply 99 succeeded", "place j.0.0.0 at self/1"},
		},
		"a task fails as often as it may": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 1)
				for range 3 {
					bch.report(self, 1, task, shard.Failed)
				}
			},
			want: []string{
				"place j.0.0.0 at self/1 bounce", "place j.0.0.0 at self/1", "place j.0.0.0 at self/1", "reply 1 failed",
			},
		},
		"the caller leaves": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleCallerGone(1))
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "withdraw j.0.0.0 at self/1"},
		},
		"the caller sends its job again here": {
			// Its first connection has gone without a word. One job, one answer to both.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 1)
				bch.submit(2, "j", 1)
				bch.did(bch.dsk.HandleCallerGone(1))
				bch.report(self, 1, task, shard.Done)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "reply 2 succeeded"},
		},
		"nobody leads a shard for long": {
			// Just after a start jobs wait; then the instance is cut off and says at once that nothing has run.
			story: func(bch *bench) {
				bch.submit(1, "j", 1)
				bch.now = bch.now.Add(2 * time.Second)
				bch.submit(2, "k", 1)
				bch.lead("a.0", true, self, 1, 1)
			},
			want: []string{"reply 2 not-run", "place j.0.0.0 at self/1"},
		},
		"the deadline passes with nothing placed": {
			story: func(bch *bench) {
				bch.submit(1, "j", 1)
				bch.now = bch.now.Add(5 * time.Second)
				bch.did(bch.dsk.HandleTick(bch.now))
			},
			want: []string{"reply 1 not-run"},
		},
		"the deadline passes with an order at a leader": {
			// It may have started: that it has not run would be a guess.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.submit(1, "j", 1)
				bch.now = bch.now.Add(5 * time.Second)
				bch.did(bch.dsk.HandleTick(bch.now))
			},
			want: []string{"place j.0.0.0 at self/1", "reply 1 unfinished", "withdraw j.0.0.0 at self/1"},
		},
		"room comes free elsewhere for a task that starts soon": {
			// A call-back and another order take longer than the wait, and send the payload again.
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.lead("b.0", false, other, 2, 0)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: free(1), LinkWindow: 1 << 20}))
			},
			want: []string{"place j.0.0.0 at self/1"},
		},
		"room comes free elsewhere": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.lead("b.0", false, other, 2, 0)
				bch.submit(1, "j", 1)
				bch.longQueue("a.0", 8)
				bch.did(bch.dsk.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: free(1), LinkWindow: 1 << 20}))
				bch.did(bch.dsk.HandleLoad("b.0", shard.Load{Number: 9, Turnover: 1_000_000, Free: free(1), LinkWindow: 1 << 20}))
				bch.report(self, 1, task, shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1", "place j.0.0.0 at self/1 recall", "place j.0.0.0 at other/2 bounce"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			bch := newBench()
			cse.story(bch)
			chk.Equal(bch.take(), cse.want)
		})
	}
}

func TestStepsFollowEachOther(t *testing.T) {
	// No task of a step starts before all tasks of the steps it follows are done.
	chk := is.New(t)
	bch := newBench()
	bch.lead("a.0", true, self, 1, 0)
	bch.did(bch.dsk.HandleSubmit(bch.now, 1, Submission{
		ID: "j", MaxAttempts: 1, CallerTimeout: time.Second, Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}},
		Objective: func(work time.Duration) time.Duration { return work },
	}))
	chk.Equal(len(bch.take()), 2)
	bch.report(self, 1, "j.0.0.0", shard.Done)
	chk.Equal(len(bch.take()), 0)
	bch.report(self, 1, "j.0.0.1", shard.Done)
	chk.Equal(bch.take(), []string{"place j.0.1.0 at self/1"})
	bch.report(self, 1, "j.0.1.0", shard.Done)
	chk.Equal(bch.take(), []string{"reply 1 succeeded"})
}

func TestOrderThatMayHaveRun(t *testing.T) {
	// A leader gives an order back that does not run; whether a server has begun it for a moment is not known, as its start got no
	// answer. The job is not said to have run nothing, whatever becomes of it.
	for mayHaveRun, want := range map[bool]Result{true: Unfinished, false: NotRun} {
		t.Run(fmt.Sprint("may have run: ", mayHaveRun), func(t *testing.T) {
			chk := is.New(t)
			bch := newBench()
			bch.lead("a.0", true, other, 1, 4)
			bch.submit(1, "j", 1)
			bch.did(bch.dsk.HandleLeader(Target{Shard: "a.0"}, own)) // Nobody leads, so that it goes nowhere else.
			bch.did(bch.dsk.HandleReport(bch.now, other, shard.Report{
				Task: "j.0.0.0", Token: 1, Outcome: shard.NotRun, MayHaveRun: mayHaveRun,
			}))
			bch.acts = nil
			bch.did(bch.dsk.Shutdown())
			var got []Result
			for _, act := range bch.acts {
				if rep, ok := act.(Reply); ok {
					got = append(got, rep.Answer.Result)
				}
			}
			chk.Equal(got, []Result{want})
		})
	}
}
