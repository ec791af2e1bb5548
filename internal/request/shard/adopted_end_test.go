package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndOfAnAdoptedRunIsNoProof guards against a task that runs twice: a new leader has found the task's run on one server and it ends there
// without a result, while another server has not confirmed the new leader. A former leader that sees the same end may have started the task
// on that other server, so the order must not go back as not run before the server has confirmed or the run's lease has expired.
func TestEndOfAnAdoptedRunIsNoProof(t *testing.T) {
	run := RunID{Task: "j.0", Number: 5}
	listed := RenewResult{Running: []Progress{{Run: run, Percent: 10}}}
	stopped := RenewResult{Ended: []End{{Seq: 1, Run: run, Kind: EndedStopped}}}
	reassign := func(har *harness) {
		ord := har.order(0, "j.0")
		ord.Reassigned = true
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	// stopUnclaimed has the new leader stop the run, as no order has come for it.
	stopUnclaimed := func(har *harness) {
		har.answerRenewal("s1", listed)
		har.advance(DefaultConfig().AdoptWait)
		har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s1", run), Accepted))
		har.now = har.now.Add(time.Millisecond)
	}
	cases := map[string]struct {
		story func(har *harness)
		// confirmed is set if the other server answers the new leader after the order has come, and the list is read then.
		confirmed bool
	}{
		"stopped as unclaimed, the order comes before the end": {
			story: func(har *harness) { stopUnclaimed(har); reassign(har); har.answerRenewal("s1", stopped) },
		},
		"stopped as unclaimed, the order comes after the end": {
			story: func(har *harness) { stopUnclaimed(har); har.answerRenewal("s1", stopped); reassign(har) },
		},
		"stopped as unclaimed, the run is listed no more": {
			story: func(har *harness) {
				stopUnclaimed(har)
				reassign(har)
				har.advance(10 * time.Millisecond)
				har.answerRenewal("s1", RenewResult{})
			},
		},
		"adopted while it runs, then stopped by another one": {
			story: func(har *harness) { har.answerRenewal("s1", listed); reassign(har); har.answerRenewal("s1", stopped) },
		},
		"stopped as unclaimed, both servers confirm": {
			story: func(har *harness) {
				stopUnclaimed(har)
				reassign(har)
				har.advance(10 * time.Millisecond)
				har.answerRenewal("s1", stopped)
				har.answerRenewal("s2", RenewResult{})
				har.record(har.ldr.SetServers(har.now, Listing{
					Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000)}, ReadAt: har.now.Add(time.Millisecond), Shards: 1,
				}))
				har.advance(10 * time.Millisecond)
				har.answerRenewal("s1", RenewResult{})
			},
			confirmed: true,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{
				Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000)}, ReadAt: har.now.Add(time.Millisecond), Shards: 1,
			}))
			har.now = har.now.Add(2 * time.Millisecond)
			cse.story(har)
			har.advance(DefaultConfig().AdoptWait)
			want := 0
			if cse.confirmed {
				want = 1
			}
			chk.Equal(har.reports(NotRun), want)
			har.advance(DefaultConfig().OrphanExpiry)
			chk.Equal(har.reports(NotRun), 1)
		})
	}
}
