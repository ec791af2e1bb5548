package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaderThatStoodStillBlamesNoServer guards against servers that are closed for a second, and runs that are stopped, as their leader got
// no processor and saw no progress.
func TestLeaderThatStoodStillBlamesNoServer(t *testing.T) {
	const step = 50 * time.Millisecond
	cases := map[string]struct {
		// seen is the progress that looks show, one each step; a negative one is no answer.
		seen []int
		// pause is for how long nothing comes to the leader before its next tick.
		pause time.Duration
		want  int
	}{
		"it stood still for a second":             {seen: []int{5, 10, 15}, pause: time.Second},
		"it stood still for half a second":        {seen: []int{5, 10, 15}, pause: 500 * time.Millisecond},
		"it stood still after the first look":     {seen: []int{5}, pause: time.Second},
		"it stood still, and a look shows it":     {seen: []int{5, 5}, pause: time.Second},
		"the server does not answer":              {seen: []int{5, -1, -1, -1, -1, -1, -1, -1, -1, -1}},
		"the task stands still":                   {seen: []int{5, 5, 5, 5, 5, 5, 5, 5, 5, 5}, want: 1},
		"the task stands still, half the looks":   {seen: []int{5, -1, 5, -1, 5, -1, 5, -1, 5, 5}, want: 1},
		"the task goes on after it stood a while": {seen: []int{5, 5, 5, 5, 5, 10, 10, 10, 10, 15}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := newDesk(t, listed("s", 32000))
			dsk.ldr.loss = 0.3 // A look without an answer says little.
			dsk.place(0, "j.0")
			run := dsk.started("j.0", Accepted)
			dsk.acts = nil
			for _, percent := range cse.seen {
				dsk.pass(step)
				if percent >= 0 {
					dsk.look("s", RenewResult{Running: []Progress{{Run: run, Percent: percent}}})
				}
			}
			dsk.now = dsk.now.Add(cse.pause)
			dsk.did(dsk.ldr.Tick(dsk.now))
			chk.Equal(dsk.stops(), cse.want)
		})
	}
}

// TestRunsBesideAPauseOfTheirLeaderAreNotTimed guards against servers that are taken for slow, and queues that seem longer than they are, by
// the time for which their leader got no processor.
func TestRunsBesideAPauseOfTheirLeaderAreNotTimed(t *testing.T) {
	chk := is.New(t)
	dsk := newDesk(t, listed("s", 64000))
	before := dsk.ldr.meanRun
	dsk.place(0, "j1.0", "j2.0", "j3.0", "j4.0")
	var ends []End
	for idx, task := range []string{"j1.0", "j2.0", "j3.0", "j4.0"} {
		ends = append(ends, End{Seq: int64(idx + 1), Run: dsk.started(task, Accepted), Kind: EndedDone})
	}
	dsk.acts = nil
	dsk.now = dsk.now.Add(3 * time.Second)
	dsk.ldr.HandlePause(dsk.now.Add(50 * time.Millisecond))
	dsk.look("s", RenewResult{Ended: ends})
	chk.Equal(dsk.reports(Done), len(ends))
	chk.Equal(dsk.ldr.meanRun, before)
	chk.Equal(dsk.count(func(act Action) bool { _, is := act.(QuarantineServer); return is }), 0)
}
