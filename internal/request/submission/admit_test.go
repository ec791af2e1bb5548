package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// routeTimeout is the route's in these tests. A job of 100 ms has an objective of 200 ms and is of use for 600; newCallerTimeout is how long its
// caller waits that has not sent it before.
const (
	routeTimeout     = time.Second
	newCallerTimeout = routeTimeout + 600*time.Millisecond
)

func (hrn *harness) submitWithTimeout(cal CallID, id string, patience time.Duration) {
	hrn.record(hrn.crd.HandleSubmit(hrn.now, cal, Submission{
		ID: id, Route: "r", Service: "render", MaxAttempts: 3, CallerTimeout: patience, RouteTimeout: routeTimeout,
		Steps:     []Step{{Count: 1, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
		Objective: func(work time.Duration) time.Duration { return 2 * work },
	}))
}

// setWaits tells how long work setWaits in the one shard: what is in time, what is late, and what is of no use.
func (hrn *harness) setWaits(inTime, late, overdue time.Duration) {
	lod := shard.Load{Number: 9, Turnover: 1_000_000, LinkWindow: 1 << 20}
	lod.Waits[0], lod.Waits[1], lod.Waits[shard.Ranks-1] = inTime, late, overdue
	hrn.record(hrn.crd.HandleLoad("a.0", lod))
}

func TestAdmission(t *testing.T) {
	// Four times as many jobs come as can be done. Admitted all, most would be late and a third would wait until their
	// deadline in vain. A job is refused at once if it can't be done while it is of use, and never while there is room.
	const long = time.Minute
	cases := map[string]struct {
		inTime, late, overdue time.Duration
		room                  int
		want                  string
	}{
		"in time":                          {inTime: 50 * time.Millisecond, late: long, overdue: long, want: "place j.0.0.0 at self/1"},
		"late and of use":                  {inTime: 150 * time.Millisecond, late: 400 * time.Millisecond, overdue: long, want: "place j.0.0.0 at self/1"},
		"too late to be of use, in a lull": {inTime: 150 * time.Millisecond, late: 600 * time.Millisecond, overdue: time.Second, want: "place j.0.0.0 at self/1"},
		"never":                            {inTime: 150 * time.Millisecond, late: 600 * time.Millisecond, overdue: long, want: "reply 1 not-run"},
		"never, but there is room":         {inTime: long, late: long, overdue: long, room: 1, want: "place j.0.0.0 at self/1 bounce"},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 0)
			if cse.room == 0 {
				hrn.setWaits(cse.inTime, cse.late, cse.overdue)
			} else {
				hrn.setLeader("a.0", true, self, 2, cse.room)
			}
			hrn.submitWithTimeout(1, "j", newCallerTimeout)
			chk.Equal(hrn.takeTexts(), []string{cse.want})
		})
	}
}

func TestRefusedRetryTimesAreSpread(t *testing.T) {
	// All that were refused in a burst would come back in the same second. Each is told a time of its own, when the work
	// that waits is done at the earliest.
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

func TestResubmittedJob(t *testing.T) {
	// All instances lose their power. The jobs that were cut off come again, unmarked, beside as many new ones, and take their
	// room. Their callers have waited before, and have less time left than the route's timeout. Where all callers have,
	// it tells nothing.
	cases := map[string]struct {
		patience time.Duration
		before   int
		// late says that the answer is due already, useful for how long it is of use.
		late   bool
		useful time.Duration
	}{
		"new":                        {patience: newCallerTimeout, useful: 600 * time.Millisecond},
		"new, of longer work":        {patience: newCallerTimeout + time.Second, useful: 1600 * time.Millisecond},
		"again, of use still":        {patience: routeTimeout + 200*time.Millisecond, late: true, useful: 200 * time.Millisecond},
		"again, of no use":           {patience: 700 * time.Millisecond, late: true},
		"all callers have so little": {patience: 700 * time.Millisecond, before: 60, useful: 600 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 100)
			for num := range cse.before {
				hrn.submitWithTimeout(CallID(100+num), fmt.Sprint("k", num), cse.patience)
			}
			hrn.submitWithTimeout(1, "j", cse.patience)
			plc, ok := hrn.acts[len(hrn.acts)-1].(SendOrder)
			chk.True(ok)
			chk.Equal(plc.Order.Aim.Equal(hrn.now), cse.late)
			chk.Equal(plc.Order.Useful.Sub(hrn.now), cse.useful)
		})
	}
}

func TestJobPastDeadlineIsRecalled(t *testing.T) {
	// A job waits with its leader until it could not be done before its deadline. It is called back, and its caller hears that
	// it has not run, in place of waiting on for an answer that says nothing. One that starts meanwhile goes on.
	const task = "j.0.0.0"
	cases := map[string]struct {
		outcome shard.Outcome
		want    []string
	}{
		"it still waited": {outcome: shard.NotRun, want: []string{"place j.0.0.0 at self/1 recall", "reply 1 not-run"}},
		"it has started":  {outcome: shard.Begun, want: []string{"place j.0.0.0 at self/1 recall"}},
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
			if cse.outcome == shard.Begun {
				hrn.report(self, 1, task, shard.Done)
				chk.Equal(hrn.takeTexts(), []string{"reply 1 succeeded"})
			}
		})
	}
}

// TestNoServerResponds guards against callers that are told to come back in hours: while no server of any shard answers, nothing is known of
// how long their jobs would wait.
func TestNoServerResponds(t *testing.T) {
	silent := shard.Load{Number: 9, LinkWindow: 1 << 20}
	for rnk := range silent.Waits {
		silent.Waits[rnk] = 2 * time.Hour // What its leader makes of a queue that does not go.
	}
	cases := map[string]struct {
		// after is for how long it has been so.
		after time.Duration
		want  []string
	}{
		"since a moment ago": {after: 100 * time.Millisecond, want: []string{"place j.0.0.0 at self/1"}},
		"for a second":       {after: time.Second, want: []string{"place j.0.0.0 at self/1"}},
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
