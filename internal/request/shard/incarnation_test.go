package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	firstIncarnation  = Incarnation(1000)
	secondIncarnation = Incarnation(2000)
)

func incarnationEntry(id string, inc Incarnation) ServerEntry {
	ent := serverEntry(id, 32000)
	ent.Incarnation = inc
	return ent
}

// newIncarnationHarness returns a harness whose servers have told their first incarnations.
func newIncarnationHarness(t *testing.T, ids ...string) *harness {
	har := &harness{t: t, now: time.Unix(1000, 0)}
	har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
	har.list(firstIncarnation, ids...)
	for _, id := range ids {
		har.answerRenewal(ServerID(id), RenewResult{Incarnation: firstIncarnation, Clock: time.Minute})
	}
	har.advance(DefaultConfig().AdoptWait)
	har.acts = nil
	return har
}

// list gives the leader a list of servers that all have an incarnation.
func (har *harness) list(inc Incarnation, ids ...string) {
	lst := Listing{ReadAt: har.now, Shards: 1}
	for _, id := range ids {
		lst.Listed = append(lst.Listed, incarnationEntry(id, inc))
	}
	har.record(har.ldr.SetServers(har.now, lst))
}

// answer has a server answer its newest renewal as an incarnation.
func (har *harness) answer(id ServerID, inc Incarnation, ans RenewResult) {
	ans.Incarnation = inc
	if ans.Clock == 0 {
		ans.Clock = time.Second
	}
	har.answerRenewal(id, ans)
}

// startOf returns the newest start of a task.
func (har *harness) startOf(task string) StartRun {
	var str StartRun
	for _, act := range har.acts {
		if one, ok := act.(StartRun); ok && one.Run.Task == task {
			str = one
		}
	}
	return str
}

func (har *harness) startsOf(task string) int {
	return har.count(func(act Action) bool {
		str, ok := act.(StartRun)
		return ok && str.Run.Task == task
	})
}

// Guards against what a server that has started again under its ID is taken for: one that still runs, still obeys the leader, or has forgotten
// nothing.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	cases := map[string]func(chk *is.I, har *harness){
		"ends of the new incarnation have small numbers": func(chk *is.I, har *harness) {
			har.place(0, "j1.0")
			run := har.answerStart("j1.0", Accepted)
			har.answer("s", firstIncarnation, RenewResult{Clock: time.Minute, Ended: []End{{Seq: 57, Run: run}}})
			har.advance(time.Second)
			har.answer("s", secondIncarnation, RenewResult{})
			har.list(secondIncarnation, "s")
			har.place(0, "j2.0")
			run = har.answerStart("j2.0", Accepted)
			har.answer("s", secondIncarnation, RenewResult{Ended: []End{{Seq: 1, Run: run}}})
			chk.Equal(har.reports(Done), 2)
		},
		"an acknowledgement for the former incarnation would forget ends unread": func(chk *is.I, har *harness) {
			har.place(0, "j1.0")
			run := har.answerStart("j1.0", Accepted)
			har.answer("s", firstIncarnation, RenewResult{Clock: time.Minute, Ended: []End{{Seq: 57, Run: run}}})
			har.advance(500 * time.Millisecond)
			har.acts = nil
			har.place(0, "j2.0")
			har.advance(20 * time.Millisecond) // The start is not answered yet.
			for _, act := range har.acts {
				if rnw, ok := act.(Renew); ok {
					chk.Equal(rnw.AckedSeq, int64(0))
				}
			}
			chk.True(har.renewals() > 0)
		},
		"what the former incarnation ran starts again": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			har.answerStart("j.0", Accepted)
			har.advance(10 * time.Millisecond)
			har.answer("s", secondIncarnation, RenewResult{})
			har.list(secondIncarnation, "s")
			har.advance(10 * time.Millisecond)
			chk.Equal(har.startsOf("j.0"), 2)
		},
		"the list tells the new incarnation first": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			har.answerStart("j.0", Accepted)
			har.advance(10 * time.Millisecond)
			renewals := har.renewals()
			har.list(secondIncarnation, "s")
			chk.Equal(har.renewals(), renewals+1) // It is called at once, beside the renewal that waits for the former one's runs.
			chk.Equal(har.startsOf("j.0"), 1)     // The token is brought before a start.
			har.answer("s", secondIncarnation, RenewResult{})
			chk.Equal(har.startsOf("j.0"), 2)
		},
		"a start got no answer": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			run := har.startOf("j.0").Run
			had := har.stopOf("s", run)
			har.answer("s", secondIncarnation, RenewResult{})
			har.list(secondIncarnation, "s")
			har.record(har.ldr.HandleStopResult(har.now, had, Accepted)) // The former incarnation's, read late.
			har.now = har.now.Add(time.Millisecond)
			har.answer("s", secondIncarnation, RenewResult{})
			chk.Equal(har.startsOf("j.0"), 1) // The new incarnation may still carry the start out.
			har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s", run), Accepted))
			har.advance(10 * time.Millisecond)
			har.answer("s", secondIncarnation, RenewResult{})
			chk.Equal(har.startsOf("j.0"), 2)
		},
		"the new incarnation runs what was meant for the former one": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted) // By a clock that is ahead of the former incarnation's last reading.
			har.advance(10 * time.Millisecond)
			har.answer("s", secondIncarnation, RenewResult{Running: []Progress{{Run: run}}})
			har.list(secondIncarnation, "s")
			har.advance(10 * time.Millisecond)
			chk.Equal(har.startsOf("j.0"), 1)
			chk.Equal(har.stops(), 1) // Its lease ends on another clock.
		},
		"the new incarnation has carried a start out and ended it": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			run := har.startOf("j.0").Run
			har.answer("s", secondIncarnation, RenewResult{Ended: []End{{Seq: 1, Run: run}}})
			chk.Equal(har.reports(Done), 1)
			chk.Equal(har.startsOf("j.0"), 1)
		},
		"an answer of the former incarnation is read late": func(chk *is.I, har *harness) {
			late := har.newestRenewal("s")
			har.advance(time.Second)
			har.answer("s", secondIncarnation, RenewResult{})
			run := RunID{Task: "j.0", Number: 7}
			former := RenewResult{Incarnation: firstIncarnation, Clock: time.Hour, Running: []Progress{{Run: run}}}
			har.record(har.ldr.HandleRenewResult(har.now, har.now, late, former, Accepted))
			chk.Equal(har.stops(), 0)
			chk.True(har.ldr.servers["s"].clock < time.Minute)
		},
		"an answer tells no incarnation": func(chk *is.I, har *harness) {
			har.advance(time.Second)
			har.answer("s", 0, RenewResult{Running: []Progress{{Run: RunID{Task: "j.0", Number: 7}}}})
			chk.Equal(har.stops(), 0)
		},
		"the clock in the answer to a start went back": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			str := har.startOf("j.0")
			har.record(har.ldr.HandleStartResult(har.now, "s", str.Run, Accepted, time.Second))
			chk.Equal(har.stops(), 1) // Its lease ends on another clock.
			chk.Equal(har.reports(Started), 0)
		},
		"its entry is still that of the former incarnation": func(chk *is.I, har *harness) {
			har.advance(time.Second)
			har.answer("s", secondIncarnation, RenewResult{})
			har.list(firstIncarnation, "s")
			har.place(0, "j.0")
			chk.Equal(har.startsOf("j.0"), 0) // The new one may be smaller.
			har.list(secondIncarnation, "s")
			chk.Equal(har.startsOf("j.0"), 1)
		},
		"it took a lease that was meant for the former incarnation": func(chk *is.I, har *harness) {
			rnw := har.newestRenewal("s")
			rnw.LeaseUntil = time.Hour
			har.record(har.ldr.HandleRenewResult(har.now, har.now, rnw, RenewResult{Incarnation: secondIncarnation, Clock: time.Second}, Accepted))
			har.list(secondIncarnation, "s")
			har.place(0, "j.0")
			chk.Equal(har.startsOf("j.0"), 0)
			har.advance(DefaultConfig().LongestLease)
			chk.Equal(har.startsOf("j.0"), 1)
		},
	}
	for name, story := range cases {
		t.Run(name, func(t *testing.T) { story(is.New(t), newIncarnationHarness(t, "s")) })
	}
}

// Guards against a task that runs twice: a new incarnation has carried out a start that was meant for the former one, and the task is started on
// another server as the former one is over.
func TestRunOfANewIncarnationIsNotStartedElsewhere(t *testing.T) {
	chk := is.New(t)
	har := newIncarnationHarness(t, "s1", "s2")
	at := har.place(0, "j.0")["j.0"]
	run := har.answerStart("j.0", Accepted)
	har.advance(10 * time.Millisecond)
	har.answer(at, secondIncarnation, RenewResult{Running: []Progress{{Run: run}}})
	har.advance(10 * time.Millisecond)
	chk.Equal(har.startsOf("j.0"), 1)
	chk.Equal(har.stops(), 1)
}

// Guards against a leader that was succeeded without knowing it: a server that starts again between the two has not seen the newer token and
// would obey the older one. The other servers refuse it.
func TestRestartedServerWaitsForTheOthers(t *testing.T) {
	cases := map[string]struct {
		// other is what the other server answers once it is asked for its word.
		other        CallResult
		starts, lost int
	}{
		"the other one follows the leader":    {other: Accepted, starts: 1},
		"the other one follows a newer token": {other: Fenced, lost: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s1", "s2")
			har.advance(1100 * time.Millisecond)
			har.answer("s1", secondIncarnation, RenewResult{})
			lst := Listing{Listed: []ServerEntry{incarnationEntry("s1", secondIncarnation), incarnationEntry("s2", firstIncarnation)}, ReadAt: har.now, Shards: 1}
			lst.Listed[1].Leaving = true
			har.record(har.ldr.SetServers(har.now, lst))
			har.place(0, "j.0")
			chk.Equal(har.startsOf("j.0"), 0)
			ans := RenewResult{Incarnation: firstIncarnation, Clock: time.Hour}
			har.record(har.ldr.HandleRenewResult(har.now, har.now, har.newestRenewal("s2"), ans, cse.other))
			chk.Equal(har.startsOf("j.0"), cse.starts)
			chk.Equal(har.ldr.LostServers(), cse.lost) // Its instance then resigns the shard.
		})
	}
}

// Guards against servers that get no task because they never tell an incarnation, as those of former versions of the platform.
func TestServerWithoutIncarnation(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 32000))
	har.place(0, "j.0")
	run := har.answerStart("j.0", Accepted)
	har.answerRenewal("s", RenewResult{Clock: time.Minute, Ended: []End{{Seq: 1, Run: run}}})
	chk.Equal(har.reports(Done), 1)
}
