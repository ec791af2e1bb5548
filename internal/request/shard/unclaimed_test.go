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
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}}))
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
