package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an order that waits for a full server until its caller's time is over, without a report before that.
func TestTooLateOrderIsReturned(t *testing.T) {
	cases := map[string]struct {
		ledFor time.Duration
		before []string
		change func(ord *Order)
		after  time.Duration
		want   int
	}{
		"it would still be of use": {
			change: func(*Order) {}, after: 100 * time.Millisecond,
		},
		"it would be done too late": {
			ledFor: ratesKnownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(150 * time.Millisecond) }, after: 100 * time.Millisecond, want: 1,
		},
		"it would be done too late, behind others": {
			before: []string{"j1.0", "j2.0"},
			ledFor: ratesKnownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(300 * time.Millisecond) }, after: 20 * time.Millisecond, want: 1,
		},
		"just after a takeover the rates are not known": {
			change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(150 * time.Millisecond) }, after: 100 * time.Millisecond,
		},
		"it was admitted to wait for low load": {
			ledFor: ratesKnownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived }, after: 100 * time.Millisecond,
		},
		"its job has started elsewhere": {
			ledFor: ratesKnownAfter, change: func(ord *Order) { ord.UsefulUntil, ord.JobStarted = ord.Arrived.Add(time.Millisecond), true }, after: 100 * time.Millisecond,
		},
		"it may run here for a former leader": {
			ledFor: ratesKnownAfter, change: func(ord *Order) { ord.UsefulUntil, ord.Reassigned = ord.Arrived.Add(time.Millisecond), true }, after: 100 * time.Millisecond,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", size))
			har.place(0, "j0.0")
			har.answerStart("j0.0", Accepted)
			har.advance(cse.ledFor)
			har.place(0, cse.before...)
			ord := har.order(0, "z.0")
			cse.change(&ord)
			har.record(har.ldr.HandleOrder(har.now, ord))
			har.advance(cse.after)
			got := 0
			for _, act := range har.acts {
				if snd, ok := act.(SendReport); ok && snd.Report.TooLate {
					got++
					chk.Equal(snd.Report.Task, "z.0")
					chk.Equal(snd.Report.Outcome, NotRun)
				}
			}
			chk.Equal(got, cse.want)
		})
	}
}

// Guards against the last task of a job that has started in another shard waiting behind jobs that have not started: all work done for it
// would be lost.
func TestTaskOfAStartedJobGoesFirst(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", size))
	har.place(0, "j0.0")
	run := har.answerStart("j0.0", Accepted)
	har.place(0, "j1.0")
	late := har.order(0, "j2.0")
	late.Due, late.JobStarted = har.now, true
	har.record(har.ldr.HandleOrder(har.now, late))
	fresh := har.order(1, "j3.0")
	har.record(har.ldr.HandleOrder(har.now, fresh))
	har.acts = nil
	har.record(har.ldr.Cancel(har.now, owner, "j1.0", false))
	har.answerRenewal("s", RenewResult{Ended: []End{{Seq: 1, Run: run}}})
	chk.Equal(har.starts(), map[string]ServerID{"j2.0": "s"})
}

// Guards against a task that waits for over 5 s and is returned as too late although another task of its job has started since: the record
// of their step must not be replaced by a new one while an order of it waits.
func TestTaskOfAJobThatStartedLateIsKept(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", size))
	long := har.order(0, "full.0")
	long.ExpectedRunTime = 3 * siblingsKept
	har.record(har.ldr.HandleOrder(har.now, long))
	full := har.answerStart("full.0", Accepted)
	for _, task := range []string{"j.0", "j.1"} {
		ord := har.order(0, task)
		ord.Due, ord.UsefulUntil = har.now.Add(time.Minute), har.now.Add(time.Minute)
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	har.advance(3 * siblingsKept)
	har.answerRenewal("s", RenewResult{Ended: []End{{Seq: 1, Run: full}}})
	chk.Equal(har.starts()["j.0"], ServerID("s"))
	chk.True(har.ldr.orders["j.1"].jobStarted())
}

// Guards against orders that are returned as too late while no server answers, when the wait is not known.
func TestNothingIsTooLateWhileNoServerAnswers(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 32000))
	har.advance(ratesKnownAfter)
	for range minMissed {
		har.answerRenewalSentAt("s", har.now, RenewResult{}, Unknown)
	}
	har.place(0, "j1.0", "j2.0", "j3.0")
	har.advance(time.Second)
	chk.Equal(har.reports(NotRun), 0)
}
