package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs again though it is done: its leader has read the end before an order of the task comes, and has forgotten it by then.
func TestOrderAfterTheEndOfItsTask(t *testing.T) {
	first, second := RunID{Task: "j.0", Number: 5}, RunID{Task: "j.0", Number: 7}
	cases := map[string]struct {
		ends []End
		// after is the time from the listing of the ends to the order.
		after time.Duration
		done  bool
	}{
		"done":                          {ends: []End{{Seq: 1, Run: second, Kind: EndedDone}}, done: true},
		"done, then an earlier run":     {ends: []End{{Seq: 1, Run: second, Kind: EndedDone}, {Seq: 2, Run: first, Kind: EndedStopped}}, done: true},
		"an earlier run, then done":     {ends: []End{{Seq: 1, Run: first, Kind: EndedLapsed}, {Seq: 2, Run: second, Kind: EndedDone}}, done: true},
		"failed":                        {ends: []End{{Seq: 1, Run: second, Kind: EndedFailed}}},
		"done, the order comes late":    {ends: []End{{Seq: 1, Run: second, Kind: EndedDone}}, after: 2 * time.Second, done: true},
		"done, the order is very late":  {ends: []End{{Seq: 1, Run: second, Kind: EndedDone}}, after: endMemory - time.Second, done: true},
		"stopped, the order comes late": {ends: []End{{Seq: 1, Run: second, Kind: EndedStopped}}, after: 2 * time.Second},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
			har.answerRenewal("s", RenewResult{Clock: time.Minute, Ended: cse.ends})
			har.advance(cse.after)
			har.answerRenewal("s", RenewResult{Clock: time.Minute + cse.after})
			ord := har.order(0, "j.0")
			ord.Reassigned = cse.after == 0
			har.record(har.ldr.HandleOrder(har.now, ord))
			har.advance(DefaultConfig().AdoptWait)
			chk.Equal(har.reports(Done) == 1, cse.done)
			chk.True(!cse.done || len(har.starts()) == 0)
		})
	}
}

// Guards against a task that runs again though it is done: the end of a run whose order went back is listed while the next order of the task waits.
func TestEndOfAnEarlierRunWhileTheOrderWaits(t *testing.T) {
	for name, kind := range map[string]EndKind{"done": EndedDone, "stopped": EndedStopped} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.place(0, "other.0", "other.1") // They fill the server.
			har.answerStart("other.0", Accepted)
			har.answerStart("other.1", Accepted)
			har.record(har.ldr.HandleOrder(har.now, har.order(0, "j.0")))
			har.acts = nil
			har.answerRenewal("s", RenewResult{
				Clock: time.Minute, Ended: []End{{Seq: 1, Run: RunID{Task: "j.0", Number: 7}, Kind: kind}}, Running: har.otherRuns(har.ldr.servers["s"], RunID{}),
			})
			chk.Equal(har.reports(Done) == 1, kind == EndedDone)
		})
	}
}
