package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runAll starts the tasks of a step, one on each server, and ends each after a time of its own, the shortest first.
func (dsk *desk) runAll(job string, took ...time.Duration) {
	at := map[string]ServerID{}
	for idx := range took {
		task := job + "." + string(rune('0'+idx))
		ord := dsk.order(0, task)
		ord.Step, ord.Processor = job, 20000
		dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
		dsk.started(task, Accepted)
		at[task] = dsk.starts()[task]
	}
	began := dsk.now
	for idx, dur := range took {
		task := job + "." + string(rune('0'+idx))
		dsk.now = began.Add(dur)
		srv := dsk.ldr.servers[at[task]]
		for rid := range srv.runs {
			if rid.Task == task {
				dsk.look(at[task], RenewResult{Ended: []End{{Seq: srv.seen + 1, Run: rid}}})
			}
		}
	}
	dsk.acts = nil
}

func TestSlowServerIsPausedAndTried(t *testing.T) {
	// Every third run ends six times as late as its two siblings, and all of these are on one server. It is paused after the
	// second; then it gets one task at a time until an end decides. A run without siblings decides for it: a pool whose
	// jobs have one task would keep it on trial for good.
	chk := is.New(t)
	dsk := newDesk(t, listed("s1", 32000), listed("s2", 32000), listed("s3", 32000))
	slow := dsk.ldr.servers["s3"]
	for _, job := range []string{"j", "k"} {
		chk.True(slow.open(dsk.now, 0))
		dsk.runAll(job, 100*time.Millisecond, 110*time.Millisecond, 600*time.Millisecond)
	}
	chk.True(!slow.open(dsk.now, 0))
	dsk.now = dsk.now.Add(firstSlowPause)
	chk.True(slow.open(dsk.now, 0))
	chk.True(slow.onTrial())
	dsk.runAll("m", 100*time.Millisecond, 110*time.Millisecond, 600*time.Millisecond)
	chk.True(!slow.open(dsk.now, 0)) // The trial failed.
	dsk.now = dsk.now.Add(firstSlowPause)
	chk.True(!slow.open(dsk.now, 0)) // The second pause is longer.
	dsk.now = dsk.now.Add(firstSlowPause)
	chk.True(slow.open(dsk.now, 0))
	dsk.ldr.observe(dsk.now, slow, &run{ord: &order{Order: Order{Step: "alone", ExpectedRunTime: time.Second}}}, time.Second)
	chk.True(!slow.onTrial())
}

func TestSlowServerWithoutSiblings(t *testing.T) {
	// Jobs have one task each, and a server takes six times their estimates. Three of them tell; one whose estimate is a
	// third of the truth does not, and neither do those of a pool where all estimates are too short.
	run := func(dsk *desk, id ServerID, num int, took time.Duration) {
		for idx := range num {
			ord := dsk.order(0, string(id)+string(rune('a'+idx))+".0")
			dsk.ldr.observe(dsk.now, dsk.ldr.servers[id], &run{ord: &order{Order: ord}}, took)
		}
	}
	cases := map[string]struct {
		story func(dsk *desk)
		slow  bool
	}{
		"three runs": {func(dsk *desk) { run(dsk, "s", 3, 600*time.Millisecond) }, true},
		"one run":    {func(dsk *desk) { run(dsk, "s", 1, 300*time.Millisecond) }, false},
		"all are too short": {func(dsk *desk) {
			for _, id := range []ServerID{"t", "u", "v", "w"} {
				for range 10 {
					run(dsk, id, 20, 250*time.Millisecond)
				}
			}
			run(dsk, "s", 20, 300*time.Millisecond)
		}, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			dsk := newDesk(t, listed("s", 1), listed("t", 1), listed("u", 1), listed("v", 1), listed("w", 1))
			cse.story(dsk)
			is.New(t).Equal(!dsk.ldr.servers["s"].open(dsk.now, 0), cse.slow)
		})
	}
}
