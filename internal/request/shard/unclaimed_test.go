package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs twice: a new leader extends the lease of a run that no owner has claimed while its stop gets no answer, beside a
// former leader which gives the run up by its own last extension.
func TestUnclaimedRunGetsNoLease(t *testing.T) {
	claimed, unclaimed := RunID{Task: "j1.0", Number: 7}, RunID{Task: "j2.0", Number: 7}
	cases := map[string]struct {
		listed []RunID
		// accepted is set if the server accepts the stop of the unclaimed run.
		accepted bool
		extends  bool
	}{
		"a claimed run":                            {listed: []RunID{claimed}, extends: true},
		"an unclaimed run":                         {listed: []RunID{unclaimed}},
		"a claimed run beside it":                  {listed: []RunID{claimed, unclaimed}},
		"a claimed run beside one that is stopped": {listed: []RunID{claimed, unclaimed}, accepted: true, extends: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
			ans := RenewResult{Clock: time.Minute}
			for _, run := range cse.listed {
				ans.Running = append(ans.Running, Progress{Run: run})
			}
			har.answerRenewal("s", ans)
			ord := har.order(0, claimed.Task)
			ord.Reassigned = true
			har.record(har.ldr.HandleOrder(har.now, ord))
			har.advance(DefaultConfig().AdoptWait)
			if cse.accepted {
				har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s", unclaimed), Accepted))
			}
			har.advance(DefaultConfig().StopTimeout)
			chk.Equal(har.count(func(act Action) bool {
				rnw, ok := act.(Renew)
				return ok && rnw.LeaseUntil > 0
			}) > 0, cse.extends)
		})
	}
}

// Guards against a task that runs twice: a start without an answer is sent again to a server that has listed an unclaimed run meanwhile, and extends the lease
// of that run, too.
func TestRepeatedStartExtendsNoUnclaimedRun(t *testing.T) {
	cases := map[string]struct {
		listed  []Progress
		repeats bool
	}{
		"no other run":     {repeats: true},
		"an unclaimed run": {listed: []Progress{{Run: RunID{Task: "j2.0", Number: 7}}}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.place(0, "j1.0")
			har.answerRenewal("s", RenewResult{Clock: time.Minute, Running: cse.listed})
			har.acts, har.now = nil, har.now.Add(40*time.Millisecond)
			for rid := range har.ldr.servers["s"].runs {
				if rid.Task == "j1.0" {
					har.record(har.ldr.HandleStartResult(har.now, "s", rid, Unknown, 0))
				}
			}
			chk.Equal(len(har.starts()) > 0, cse.repeats)
		})
	}
}

// Guards against a task that runs twice: a new leader, which has extended no lease yet, takes a run for over that lives by the former leader's last extension.
func TestAdoptedRunLivesByTheFormerLease(t *testing.T) {
	cfg := DefaultConfig()
	adopted, unclaimed := RunID{Task: "j1.0", Number: 7}, RunID{Task: "j2.0", Number: 7}
	cases := map[string]struct {
		listed []Progress
	}{
		"alone":                   {listed: []Progress{{Run: adopted}}},
		"beside an unclaimed run": {listed: []Progress{{Run: adopted}, {Run: unclaimed}}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(cfg, NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
			har.answerRenewal("s", RenewResult{Clock: time.Minute, Running: cse.listed})
			listed := har.now // The former leader may have extended the leases until now.
			har.acts = nil
			har.record(har.ldr.HandleOrder(har.now, har.order(0, adopted.Task)))
			_, _, returned := har.playWithoutAnswers("s", 40*time.Millisecond)
			t.Logf("returned %v after the listing", returned.Sub(listed))
			chk.True(!returned.Before(listed.Add(time.Duration(float64(cfg.Lease)*clockSkew) + killTime)))
		})
	}
}

// Guards against a run that goes on beside its caller's next submission: its stop gets no answer, and starts of other tasks extend the lease of all that runs on
// the server, which renewals no longer do.
func TestStartExtendsNoLeaseBesideAnOverdueStop(t *testing.T) {
	cfg := DefaultConfig()
	cases := map[string]struct {
		// ownerLost is set if the run's owner is lost; else its caller has left.
		ownerLost bool
		accepted  bool
		after     time.Duration
		starts    bool
	}{
		"the stop was accepted":                      {accepted: true, after: 3 * cfg.StopTimeout, starts: true},
		"the stop was just sent":                     {after: cfg.StopTimeout / 2, starts: true},
		"the stop is overdue":                        {after: cfg.StopTimeout + 20*time.Millisecond},
		"the stop is overdue by long":                {after: 8 * cfg.StopTimeout},
		"the stop for a lost owner was accepted":     {ownerLost: true, accepted: true, after: 3 * cfg.StopTimeout, starts: true},
		"the stop for a lost owner was just sent":    {ownerLost: true, after: cfg.StopTimeout / 2},
		"the stop for a lost owner is overdue":       {ownerLost: true, after: cfg.StopTimeout + 20*time.Millisecond},
		"the stop for a lost owner is overdue, long": {ownerLost: true, after: 8 * cfg.StopTimeout},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.place(0, "j1.0")
			run := har.answerStart("j1.0", Accepted)
			if cse.ownerLost {
				har.record(har.ldr.HandleOwnerLost(har.now, owner))
			} else {
				har.record(har.ldr.Cancel(har.now, owner, "j1.0", false))
			}
			if cse.accepted {
				har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s", run), Accepted))
			}
			for end := har.now.Add(cse.after); har.now.Before(end); {
				har.advance(10 * time.Millisecond)
				clock := time.Minute + har.now.Sub(time.Unix(1000, 0))
				har.answerRenewal("s", RenewResult{Clock: clock, Running: []Progress{{Run: run}}})
			}
			har.acts = nil
			ord := har.order(0, "j2.0")
			ord.Owner = "owner/2"
			har.record(har.ldr.HandleOrder(har.now, ord))
			chk.Equal(len(har.starts()) > 0, cse.starts)
		})
	}
}

// Guards against a task that runs twice: an order comes during a takeover, before a server lists the run of its task that a former leader has started for
// another owner. At the end of the takeover the run is stopped as unclaimed while the order's run starts elsewhere.
func TestOrderDuringATakeoverClaimsTheRunOfItsTask(t *testing.T) {
	run := RunID{Task: "j.0", Number: 7}
	for name, orderFirst := range map[string]bool{"the order comes first": true, "the listing comes first": false} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000)}}))
			list := func() { har.answerRenewal("s1", RenewResult{Clock: time.Minute, Running: []Progress{{Run: run}}}) }
			if !orderFirst {
				list()
			}
			har.record(har.ldr.HandleOrder(har.now, har.order(0, run.Task)))
			if orderFirst {
				list()
			}
			har.answerRenewal("s2", RenewResult{Clock: time.Minute})
			har.advance(DefaultConfig().AdoptWait)
			chk.Equal(len(har.starts()), 0)
			chk.Equal(har.stops(), 0)
			chk.Equal(har.reports(Started), 1)
		})
	}
}
