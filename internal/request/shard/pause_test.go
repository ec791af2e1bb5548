package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that are stopped because their leader was paused and saw no progress.
func TestPausedLeaderStopsNoRun(t *testing.T) {
	const step = 50 * time.Millisecond
	cases := map[string]struct {
		// seen is the progress listed by the renewals, one per step; a negative one means no answer.
		seen []int
		// pause is how long the leader gets no event before its next tick.
		pause time.Duration
		want  int
	}{
		"the leader is paused for a second":             {seen: []int{5, 10, 15}, pause: time.Second},
		"the leader is paused for half a second":        {seen: []int{5, 10, 15}, pause: 500 * time.Millisecond},
		"it is paused after the first renewal":          {seen: []int{5}, pause: time.Second},
		"it is paused, and a renewal shows no progress": {seen: []int{5, 5}, pause: time.Second},
		"the server does not answer":                    {seen: []int{5, -1, -1, -1, -1, -1, -1, -1, -1, -1}},
		"the task makes no progress":                    {seen: []int{5, 5, 5, 5, 5, 5, 5, 5, 5, 5}, want: 1},
		"the task makes no progress, half the renewals": {seen: []int{5, -1, 5, -1, 5, -1, 5, -1, 5, 5}, want: 1},
		"the task makes progress again after a while":   {seen: []int{5, 5, 5, 5, 5, 10, 10, 10, 10, 15}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.ldr.lossRate = 0.3 // One renewal without an answer says little.
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			har.acts = nil
			for _, percent := range cse.seen {
				har.advance(step)
				if percent >= 0 {
					har.answerRenewal("s", RenewResult{Running: []Progress{{Run: run, Percent: percent}}})
				}
			}
			har.now = har.now.Add(cse.pause)
			har.record(har.ldr.Tick(har.now))
			chk.Equal(har.stops(), cse.want)
		})
	}
}

// Guards against servers that are taken for slow, and waits that are overestimated, because the leader's own pause counts as run time.
func TestRunsThatSpanALeaderPauseAreNotTimed(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 64000))
	before := har.ldr.meanRun
	har.place(0, "j1.0", "j2.0", "j3.0", "j4.0")
	var ends []End
	for idx, task := range []string{"j1.0", "j2.0", "j3.0", "j4.0"} {
		ends = append(ends, End{Seq: int64(idx + 1), Run: har.answerStart(task, Accepted), Kind: EndedDone})
	}
	har.acts = nil
	har.now = har.now.Add(3 * time.Second)
	har.ldr.HandlePause(har.now.Add(50 * time.Millisecond))
	har.answerRenewal("s", RenewResult{Ended: ends})
	chk.Equal(har.reports(Done), len(ends))
	chk.Equal(har.ldr.meanRun, before)
	chk.Equal(har.count(func(act Action) bool { _, is := act.(QuarantineServer); return is }), 0)
}

// Guards against a run that outlives the time after which its caller submits the job again: a leader that was paused extends the lease of a run whose owner it
// has not heard for longer than it waits for one, before it takes note of the loss.
func TestPausedLeaderExtendsNoLeaseForAnUnheardOwner(t *testing.T) {
	const heardBefore = 260 * time.Millisecond
	cases := map[string]struct {
		pause   time.Duration
		extends bool
	}{
		"no pause":                        {pause: 10 * time.Millisecond, extends: true},
		"a pause that the owner survives": {pause: 100 * time.Millisecond, extends: true},
		"a pause of 440 ms":               {pause: 440 * time.Millisecond},
		"a pause of 550 ms":               {pause: 550 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.ldr.HandleOwnerHeard(owner, har.now)
			har.now = har.now.Add(heardBefore)
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			har.acts = nil
			har.now = har.now.Add(cse.pause)
			// The answer to the renewal that was in progress is read first.
			har.answerRenewalSentAt("s", har.now.Add(-cse.pause), RenewResult{Clock: time.Minute, Running: []Progress{{Run: run}}}, Accepted)
			har.record(har.ldr.Tick(har.now))
			chk.Equal(har.count(func(act Action) bool {
				rnw, ok := act.(Renew)
				return ok && rnw.LeaseUntil > 0
			}) > 0, cse.extends)
		})
	}
}
