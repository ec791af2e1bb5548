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
		dsk.did(dsk.ldr.Place(dsk.now, ord))
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
				dsk.look(at[task], Look{Ended: []End{{Seq: srv.seen + 1, Run: rid}}})
			}
		}
	}
	dsk.acts = nil
}

func TestSlowServerIsPausedAndTried(t *testing.T) {
	// Every third run ends six times as late as its two siblings, and all of these are on one server. It is paused after the
	// third; then it gets one task at a time until an end decides. A run without siblings decides for it: a pool whose
	// jobs have one task would keep it on trial for good.
	chk := is.New(t)
	dsk := newDesk(t, listed("s1", 32000), listed("s2", 32000), listed("s3", 32000))
	slow := dsk.ldr.servers["s3"]
	for _, job := range []string{"j", "k", "l"} {
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
	dsk.ldr.observe(dsk.now, slow, &run{ord: &order{Order: Order{Step: "alone"}}}, time.Second)
	chk.True(!slow.onTrial())
}
