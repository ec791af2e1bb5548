package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// routeTimeout is the route's timeout in these tests. A job of 100 ms has an objective of 200 ms and is useful for 600 ms;
// newCallerTimeout is how long a caller waits that submits its job for the first time.
const (
	routeTimeout     = time.Second
	newCallerTimeout = routeTimeout + 600*time.Millisecond
)

// submitWithTimeout submits a job of one task that is expected to run for 100 ms, and whose caller waits for a time.
func (hrn *harness) submitWithTimeout(cal CallID, id string, callerTimeout time.Duration) {
	hrn.record(hrn.crd.HandleSubmit(hrn.now, cal, Submission{
		ID: id, Route: "r", Service: "render", MaxAttempts: 3, CallerTimeout: callerTimeout, RouteTimeout: routeTimeout,
		Steps:     []Step{{Count: 1, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
		Objective: func(work time.Duration) time.Duration { return 2 * work },
	}))
}

// setWaits reports the load of a shard without free capacity: the waits of tasks that will be in time, late, and useless.
func (hrn *harness) setWaits(inTime, late, overdue time.Duration) {
	lod := shard.Load{Number: 9, ServiceRate: 1_000_000, LinkWindow: 1 << 20}
	lod.RankWaits[0], lod.RankWaits[1], lod.RankWaits[shard.Ranks-1] = inTime, late, overdue
	hrn.record(hrn.crd.HandleLoad("a.0", lod))
}

// Fails if a job that is not expected to be done before its caller gives up is admitted, or one is refused while a server has free
// capacity. If four times as many jobs arrive as can be done, and all are admitted, most are late and a third wait in vain.
func TestAdmission(t *testing.T) {
	const long = time.Minute
	cases := map[string]struct {
		inTime, late, overdue time.Duration
		freeTasks             int
		want                  string
	}{
		"in time":         {inTime: 50 * time.Millisecond, late: long, overdue: long, want: "order j.0.0.0 at self/1"},
		"late and useful": {inTime: 150 * time.Millisecond, late: 400 * time.Millisecond, overdue: long, want: "order j.0.0.0 at self/1"},
		"too late to be useful, before the caller gives up": {
			inTime: 150 * time.Millisecond, late: 600 * time.Millisecond, overdue: time.Second, want: "order j.0.0.0 at self/1",
		},
		"never":                             {inTime: 150 * time.Millisecond, late: 600 * time.Millisecond, overdue: long, want: "reply 1 not-run"},
		"never, but there is free capacity": {inTime: long, late: long, overdue: long, freeTasks: 1, want: "order j.0.0.0 at self/1 return-if-busy"},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 0)
			if cse.freeTasks == 0 {
				hrn.setWaits(cse.inTime, cse.late, cse.overdue)
			} else {
				hrn.setLeader("a.0", true, self, 2, cse.freeTasks)
			}
			hrn.submitWithTimeout(1, "j", newCallerTimeout)
			chk.Equal(hrn.takeTexts(), []string{cse.want})
		})
	}
}

// Fails if all callers refused in a burst are told to retry in the same second, or one before the waiting work is done.
func TestRefusedRetryTimesAreSpread(t *testing.T) {
	chk := is.New(t)
	hrn := newHarness()
	hrn.setLeader("a.0", true, self, 1, 0)
	hrn.setWaits(4*time.Second, time.Minute, time.Minute)
	least, most := time.Hour, time.Duration(0)
	for num := range 50 {
		hrn.submitWithTimeout(CallID(num), fmt.Sprint("j", num), 2*time.Second)
		rep, ok := hrn.acts[len(hrn.acts)-1].(Reply)
		chk.True(ok)
		chk.Equal(rep.Answer.Result, NotRun)
		least, most = min(least, rep.Answer.RetryAfter), max(most, rep.Answer.RetryAfter)
	}
	chk.True(least >= 4*time.Second)
	chk.True(most <= 8100*time.Millisecond)
	chk.True(most-least > 2*time.Second)
}

// All instances lose power. The jobs cut off are submitted again, with no mark that they are repeated, together with as many new ones.
// Fails if Due and UsefulUntil don't follow from the time that the callers have left.
func TestResubmittedJob(t *testing.T) {
	cases := map[string]struct {
		callerTimeout time.Duration
		// before is the number of earlier calls with that timeout.
		before int
		// late is set if the answer is due already; useful is how long the answer is useful.
		late   bool
		useful time.Duration
	}{
		"new":                 {callerTimeout: newCallerTimeout, useful: 600 * time.Millisecond},
		"new, of longer work": {callerTimeout: newCallerTimeout + time.Second, useful: 1600 * time.Millisecond},
		// The callers of repeated jobs have waited before, and have less time left than a new caller.
		"repeated, still useful": {callerTimeout: routeTimeout + 200*time.Millisecond, late: true, useful: 200 * time.Millisecond},
		"repeated, useless":      {callerTimeout: 700 * time.Millisecond, late: true},
		// Where all callers have less than the route's timeout, the time left tells nothing.
		"all callers have as little time": {callerTimeout: 700 * time.Millisecond, before: 60, useful: 600 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 100)
			for num := range cse.before {
				hrn.submitWithTimeout(CallID(100+num), fmt.Sprint("k", num), cse.callerTimeout)
			}
			hrn.submitWithTimeout(1, "j", cse.callerTimeout)
			snd, ok := hrn.acts[len(hrn.acts)-1].(SendOrder)
			chk.True(ok)
			chk.Equal(snd.Order.Due.Equal(hrn.now), cse.late)
			chk.Equal(snd.Order.UsefulUntil.Sub(hrn.now), cse.useful)
		})
	}
}

// Fails if a job that waits with its leader until it can't be done before its deadline is not recalled and answered with NotRun, so that
// its caller waits on for an indefinite answer, or if it is answered so although it has started meanwhile.
func TestJobPastDeadlineIsRecalled(t *testing.T) {
	const task = "j.0.0.0"
	cases := map[string]struct {
		outcome shard.Outcome
		want    []string
	}{
		"it still waits": {outcome: shard.NotRun, want: []string{"order j.0.0.0 at self/1 recall", "reply 1 not-run"}},
		"it has started": {outcome: shard.Started, want: []string{"order j.0.0.0 at self/1 recall"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 0)
			hrn.submitWithTimeout(1, "j", 2*time.Second)
			hrn.takeTexts()
			hrn.now = hrn.now.Add(1850 * time.Millisecond)
			hrn.record(hrn.crd.HandleTick(hrn.now))
			chk.Equal(len(hrn.acts), 0)
			hrn.now = hrn.now.Add(60 * time.Millisecond)
			hrn.record(hrn.crd.HandleTick(hrn.now))
			hrn.record(hrn.crd.HandleTick(hrn.now))
			hrn.report(self, 1, task, cse.outcome)
			chk.Equal(hrn.takeTexts(), cse.want)
			if cse.outcome == shard.Started {
				hrn.report(self, 1, task, shard.Done)
				chk.Equal(hrn.takeTexts(), []string{"reply 1 succeeded"})
			}
		})
	}
}

// Fails if callers are told to retry in hours while no server of any shard answers and nothing is known of how long their jobs would wait.
func TestNoServerResponds(t *testing.T) {
	silent := shard.Load{Number: 9, LinkWindow: 1 << 20}
	for rnk := range silent.RankWaits {
		silent.RankWaits[rnk] = 2 * time.Hour // What a leader estimates for a queue from which nothing starts.
	}
	cases := map[string]struct {
		// after is how long no server has answered.
		after time.Duration
		want  []string
	}{
		"since a moment ago": {after: 100 * time.Millisecond, want: []string{"order j.0.0.0 at self/1"}},
		"for a second":       {after: time.Second, want: []string{"order j.0.0.0 at self/1"}},
		"for two seconds":    {after: 2 * time.Second, want: []string{"reply 1 not-run"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 0)
			hrn.record(hrn.crd.HandleTick(hrn.now))
			hrn.record(hrn.crd.HandleLoad("a.0", silent))
			hrn.now = hrn.now.Add(cse.after)
			hrn.record(hrn.crd.HandleTick(hrn.now))
			hrn.submitWithTimeout(1, "j", newCallerTimeout)
			for _, act := range hrn.acts {
				if rpl, ok := act.(Reply); ok {
					chk.True(rpl.Answer.RetryAfter <= 2*time.Second)
				}
			}
			chk.Equal(hrn.takeTexts(), cse.want)
		})
	}
}
