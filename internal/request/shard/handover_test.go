package shard

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leasesExtended counts the renewals that extend the leases of a server.
func (har *harness) leasesExtended(id ServerID) int {
	return har.count(func(act Action) bool {
		rnw, ok := act.(Renew)
		return ok && rnw.Server.ID == id && rnw.LeaseUntil > 0
	})
}

func TestStartWithoutAnswerOutlivesItsLease(t *testing.T) {
	// A server gets a start and answers nothing until its leases have expired, so that the task goes back to its owner, who has it started
	// elsewhere. The server may still carry the first start out once it is reached again: until it has accepted a stop, it must get no lease
	// and no other task.
	unanswered := func(har *harness, first ServerID, run RunID) {
		for range 20 {
			har.answerRenewalSentAt(first, har.now, RenewResult{}, Unknown)
			har.advance(100 * time.Millisecond)
			har.record(har.ldr.HandleStopResult(har.now, har.stopOf(first, run), Unknown))
		}
	}
	cases := map[string]func(har *harness, first ServerID) RunID{
		"the start was given up": func(har *harness, first ServerID) RunID {
			run := har.answerStart("j.0", Unknown)
			for range startRepeats {
				har.answerStart("j.0", Unknown)
			}
			har.record(har.ldr.HandleStopResult(har.now, har.stopOf(first, run), Unknown))
			return run
		},
		"the start waits for its answer": func(har *harness, first ServerID) RunID {
			for rid := range har.ldr.servers[first].runs {
				return rid
			}
			return RunID{}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 32000), serverEntry("s2", 32000))
			first := har.place(0, "j.0")["j.0"]
			run := begin(har, first)
			unanswered(har, first, run)
			chk.Equal(har.starts()["j.0"], first)
			chk.Equal(har.reports(NotRun), 1)

			har.acts = nil
			har.answerRenewal(first, RenewResult{Clock: time.Hour})
			har.advance(50 * time.Millisecond)
			chk.True(har.stops() > 0)
			extended := har.count(func(act Action) bool {
				rnw, ok := act.(Renew)
				return ok && rnw.Server.ID == first && rnw.LeaseUntil > 0
			})
			chk.Equal(extended, 0)
			started := har.place(0, "j.1", "j.2", "j.3", "j.4")
			chk.True(!slices.Contains(slices.Collect(maps.Values(started)), first))

			har.record(har.ldr.HandleStopResult(har.now, har.stopOf(first, run), Accepted))
			har.advance(10 * time.Millisecond)
			har.answerRenewal(first, RenewResult{Clock: time.Hour})
			chk.True(slices.Contains(slices.Collect(maps.Values(har.starts())), first))
		})
	}
}

// Guards against a task that runs twice as its leader forgets a start without an answer: the server is cut off with the start in its sockets,
// its entry expires, and the order goes back to its owner, who has the task started elsewhere. Once the server is back it must get no lease, with which it would carry the start out,
// before it has accepted a stop of that run.
func TestStartWithoutAnswerOutlivesTheEntryOfItsServer(t *testing.T) {
	chk := is.New(t)
	s1, s2 := serverEntry("s1", 32000), serverEntry("s2", 32000)
	har := newHarness(t, s1, s2)
	first := har.place(0, "j.0")["j.0"]
	left := s1
	if first == "s1" {
		left = s2
	}
	run := har.answerStart("j.0", Unknown)
	for range startRepeats {
		har.answerStart("j.0", Unknown)
	}
	har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{left}, Shards: 1}))
	for range 20 {
		if har.ldr.servers[first] != nil {
			har.answerRenewalSentAt(first, har.now, RenewResult{}, Unknown)
		}
		har.advance(100 * time.Millisecond)
		har.record(har.ldr.HandleStopResult(har.now, har.stopOf(first, run), Unknown))
	}
	chk.Equal(har.reports(NotRun), 1) // The order goes back to its owner, who has the task started elsewhere.

	har.acts = nil
	har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{s1, s2}, Shards: 1}))
	har.answerRenewal(first, RenewResult{Clock: time.Hour})
	har.advance(2 * time.Second)
	chk.Equal(har.leasesExtended(first), 0) // No lease before a stop of the lost start is accepted.
	started := har.place(0, "j.1", "j.2", "j.3", "j.4")
	chk.True(!slices.Contains(slices.Collect(maps.Values(started)), first)) // Nor a start, which carries a lease.
	chk.True(har.stops() > 0)
}

// Guards against a task that runs twice as an order that was with a former leader is returned without proof: it comes for a task that waits
// here for another owner, whose caller has submitted the job a second time elsewhere. What the servers said before it came proves nothing of
// the former leader's run, nor does the time since the other order came.
func TestReassignedOrderForATaskOfAnotherOwner(t *testing.T) {
	const second = InstanceID("second/2")
	cases := map[string]struct {
		// begun is set if the other owner's order has a run, which ends when it is stopped for the new order.
		begun bool
	}{
		"the other order waits": {},
		"the other order runs":  {begun: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", size), serverEntry("s2", size))
			har.record(har.ldr.SetServers(har.now, Listing{
				Listed: []ServerEntry{serverEntry("s1", size), serverEntry("s2", size)}, ReadAt: har.now, Shards: 1,
			}))
			var run RunID
			if cse.begun {
				har.place(0, "j.0")
				run = har.answerStart("j.0", Accepted)
			} else {
				har.place(0, "k.0", "k.1", "j.0") // The first two fill the servers.
			}
			har.advance(time.Second)
			at := har.starts()["j.0"]

			har.acts = nil
			ord := har.order(0, "j.0")
			ord.Owner, ord.Reassigned, ord.MayRunFor = second, true, 1300*time.Millisecond
			har.record(har.ldr.HandleOrder(har.now, ord))
			if cse.begun {
				har.now = har.now.Add(10 * time.Millisecond)
				har.record(har.ldr.HandleStopResult(har.now, har.stopOf(at, run), Accepted))
				har.answerRenewal(at, RenewResult{Clock: time.Hour, Ended: []End{{Seq: 1, Run: run, Kind: EndedStopped}}})
			}
			har.advance(10 * time.Millisecond)
			chk.Equal(har.reports(NotRun), 0) // One server at least was not asked since the order came.
		})
	}
}

// Guards against a job that waits until its deadline for a task that nobody has: the order of its owner is replaced by one of another owner,
// whose caller then leaves. An owner that loses its order to another one has to be told.
func TestReplacedOrderIsReported(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", size))
	har.place(0, "k.0", "j.0")
	ord := har.order(0, "j.0")
	ord.Owner = "second/2"
	har.record(har.ldr.HandleOrder(har.now, ord))
	har.record(har.ldr.Cancel(har.now, "second/2", "j.0", false))
	har.advance(3 * time.Second)
	told := har.count(func(act Action) bool {
		snd, ok := act.(SendReport)
		return ok && snd.Owner == owner && snd.Report.Task == "j.0"
	})
	chk.True(har.ldr.orders["j.0"] != nil || told > 0) // Its first owner still counts on it.
}

// Guards against a task that runs twice as a start without an answer is carried out late: the same start, sent again, is refused by a server
// that is out of order for a moment, and the run is not listed. That proves nothing of the first start, which may still be under way and
// whose lease has not ended: the task starts elsewhere only once a stop of the run is accepted or its lease has expired.
func TestStartThatIsRefusedWhenRepeatedMayStillCome(t *testing.T) {
	for _, refusal := range []CallResult{Refused, OverCapacity} {
		t.Run(refusal.String(), func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 32000), serverEntry("s2", 32000))
			srv := har.place(0, "j.0")["j.0"]
			run := har.answerStart("j.0", Unknown)
			chk.Equal(har.answerStart("j.0", refusal), run)
			har.acts = nil
			har.advance(10 * time.Millisecond)
			har.answerRenewal(srv, RenewResult{Clock: time.Hour})
			chk.Equal(len(har.starts()), 0) // 10 ms after the first start was sent with a lease of 600 ms, and no stop was accepted.
		})
	}
}
