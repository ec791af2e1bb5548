package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs again though it is done: a server has more ends than one answer lists, and the run counts as gone because that answer lacks it.
func TestRunIsNotListedBesideMoreEnds(t *testing.T) {
	cases := map[string]struct {
		first RenewResult
	}{
		"the incarnation of its start": {first: RenewResult{Clock: time.Minute, Incarnation: firstIncarnation, MoreEnds: true}},
		"a new incarnation":            {first: RenewResult{Clock: time.Second, Incarnation: secondIncarnation, MoreEnds: true}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s")
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			har.acts, har.now = nil, har.now.Add(100*time.Millisecond)
			har.answerRenewal("s", cse.first)
			chk.Equal(len(actionsOf[NoteRunOver](har)), 0)
			rest := cse.first
			rest.Ended, rest.MoreEnds = []End{{Seq: 501, Run: run, Kind: EndedDone}}, false
			har.now = har.now.Add(5 * time.Millisecond)
			har.answerRenewal("s", rest)
			chk.Equal(har.reports(Done), 1)
			har.advance(time.Second)
			chk.Equal(len(har.starts()), 0)
		})
	}
}

// Guards against a task that runs again though it is done: a new leader proves that an order's task runs nowhere before all ends are listed.
func TestOrderAwaitsAllEnds(t *testing.T) {
	run := RunID{Task: "j.0", Number: 7}
	for name, listed := range map[string]bool{"its run is among the others": true, "its run is not": false} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			list := func(ans RenewResult) {
				har.now = har.now.Add(time.Millisecond)
				har.answerRenewal("s", ans)
				har.now = har.now.Add(time.Millisecond)
				har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, ReadAt: har.now, Shards: 1}))
			}
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
			list(RenewResult{Clock: time.Minute, MoreEnds: true})
			ord := har.order(0, run.Task)
			ord.Reassigned = true
			har.record(har.ldr.HandleOrder(har.now, ord))
			list(RenewResult{Clock: time.Minute, MoreEnds: true})
			har.advance(50 * time.Millisecond)
			chk.Equal(har.reports(NotRun)+len(har.starts()), 0)
			rest := RenewResult{Clock: time.Minute}
			if listed {
				rest.Ended = []End{{Seq: 501, Run: run, Kind: EndedDone}}
			}
			list(rest)
			har.advance(50 * time.Millisecond)
			want := 0
			if listed {
				want = 1
			}
			chk.Equal(har.reports(Done), want)
			chk.Equal(har.reports(NotRun), 1-want)
		})
	}
}

// Guards against ends that wait for a second: a server that runs nothing has more of them than one answer lists, and is called as one that has none.
func TestIdleServerWithMoreEndsIsCalledSoon(t *testing.T) {
	for name, more := range map[string]bool{"more ends": true, "no more ends": false} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.advance(2 * time.Second)
			har.acts = nil
			har.answerRenewal("s", RenewResult{Clock: time.Minute, MoreEnds: more})
			har.advance(20 * time.Millisecond)
			chk.Equal(har.renewals() > 0, more)
		})
	}
}
