package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An order waits for a full server until its caller's time is over, and nobody is told before.
func TestHopelessOrderGoesBack(t *testing.T) {
	cases := map[string]struct {
		led    time.Duration
		before []string
		change func(ord *Order)
		after  time.Duration
		want   int
	}{
		"it would still be of use": {
			change: func(*Order) {}, after: 100 * time.Millisecond,
		},
		"it would be done too late": {
			led: knownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(150 * time.Millisecond) }, after: 100 * time.Millisecond, want: 1,
		},
		"it would be done too late, behind others": {
			before: []string{"j1.0", "j2.0"},
			led:    knownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(300 * time.Millisecond) }, after: 20 * time.Millisecond, want: 1,
		},
		"a leader that has just taken the shard over can't tell": {
			change: func(ord *Order) { ord.UsefulUntil = ord.Arrived.Add(150 * time.Millisecond) }, after: 100 * time.Millisecond,
		},
		"it was admitted for a lull": {
			led: knownAfter, change: func(ord *Order) { ord.UsefulUntil = ord.Arrived }, after: 100 * time.Millisecond,
		},
		"its job has begun elsewhere": {
			led: knownAfter, change: func(ord *Order) { ord.UsefulUntil, ord.JobStarted = ord.Arrived.Add(time.Millisecond), true }, after: 100 * time.Millisecond,
		},
		"it may run here for an earlier leader": {
			led: knownAfter, change: func(ord *Order) { ord.UsefulUntil, ord.Reassigned = ord.Arrived.Add(time.Millisecond), true }, after: 100 * time.Millisecond,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := newDesk(t, listed("s", size))
			dsk.place(0, "j0.0")
			dsk.started("j0.0", Accepted)
			dsk.pass(cse.led)
			dsk.place(0, cse.before...)
			ord := dsk.order(0, "z.0")
			cse.change(&ord)
			dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
			dsk.pass(cse.after)
			got := 0
			for _, act := range dsk.acts {
				if tel, ok := act.(SendReport); ok && tel.Report.TooLate {
					got++
					chk.Equal(tel.Report.Task, "z.0")
					chk.Equal(tel.Report.Outcome, NotRun)
				}
			}
			chk.Equal(got, cse.want)
		})
	}
}

// The last task of a job that has begun in another shard waits behind jobs that have not, and all that was done for it is lost.
func TestTaskOfAJobThatHasBegunGoesFirst(t *testing.T) {
	chk := is.New(t)
	dsk := newDesk(t, listed("s", size))
	dsk.place(0, "j0.0")
	run := dsk.started("j0.0", Accepted)
	dsk.place(0, "j1.0")
	late := dsk.order(0, "j2.0")
	late.Due, late.JobStarted = dsk.now, true
	dsk.did(dsk.ldr.HandleOrder(dsk.now, late))
	fresh := dsk.order(1, "j3.0")
	dsk.did(dsk.ldr.HandleOrder(dsk.now, fresh))
	dsk.acts = nil
	dsk.did(dsk.ldr.Cancel(dsk.now, owner, "j1.0"))
	dsk.look("s", RenewResult{Ended: []End{{Seq: 1, Run: run}}})
	chk.Equal(dsk.starts(), map[string]ServerID{"j2.0": "s"})
}

// TestNothingIsHopelessWhileNoServerAnswers guards against orders that are given back for a wait that nobody knows.
func TestNothingIsHopelessWhileNoServerAnswers(t *testing.T) {
	chk := is.New(t)
	dsk := newDesk(t, listed("s", 32000))
	dsk.pass(knownAfter)
	for range leastDoubts {
		dsk.lookFrom("s", dsk.now, RenewResult{}, Unknown)
	}
	dsk.place(0, "j1.0", "j2.0", "j3.0")
	dsk.pass(time.Second)
	chk.Equal(dsk.reports(NotRun), 0)
}
