package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runAll starts the tasks of a step, one on each server, and ends each after its own time; the times must rise.
func (har *harness) runAll(job string, took ...time.Duration) {
	at := map[string]ServerID{}
	for idx := range took {
		task := job + "." + string(rune('0'+idx))
		ord := har.order(0, task)
		ord.Step, ord.Processor = job, 20000
		har.record(har.ldr.HandleOrder(har.now, ord))
		har.answerStart(task, Accepted)
		at[task] = har.starts()[task]
	}
	began := har.now
	for idx, dur := range took {
		task := job + "." + string(rune('0'+idx))
		har.now = began.Add(dur)
		srv := har.ldr.servers[at[task]]
		for rid := range srv.runs {
			if rid.Task == task {
				har.answerRenewal(at[task], RenewResult{Ended: []End{{Seq: srv.handledSeq + 1, Run: rid}}})
			}
		}
	}
	har.acts = nil
}

func TestSlowServerIsQuarantinedAndTried(t *testing.T) {
	// Every third run takes six times as long as its two siblings, always on one server. The server is quarantined after the second such
	// run, then gets one task at a time until an end decides. A run without siblings must decide too, or a pool of jobs with one task would
	// keep the server on trial for good.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", 32000), serverEntry("s2", 32000), serverEntry("s3", 32000))
	slow := har.ldr.servers["s3"]
	for _, job := range []string{"j", "k"} {
		chk.True(slow.acceptsTasks(har.now, 0))
		har.runAll(job, 100*time.Millisecond, 110*time.Millisecond, 600*time.Millisecond)
	}
	chk.True(!slow.acceptsTasks(har.now, 0))
	har.now = har.now.Add(firstSlowQuarantine)
	chk.True(slow.acceptsTasks(har.now, 0))
	chk.True(slow.onTrial())
	har.runAll("m", 100*time.Millisecond, 110*time.Millisecond, 600*time.Millisecond)
	chk.True(!slow.acceptsTasks(har.now, 0)) // The trial failed.
	har.now = har.now.Add(firstSlowQuarantine)
	chk.True(!slow.acceptsTasks(har.now, 0)) // The second quarantine is longer.
	har.now = har.now.Add(firstSlowQuarantine)
	chk.True(slow.acceptsTasks(har.now, 0))
	har.ldr.observeRunTime(har.now, slow, &run{ord: &order{Order: Order{Step: "alone", ExpectedRunTime: time.Second}}}, time.Second)
	chk.True(!slow.onTrial())
}

func TestSlowServerWithoutSiblings(t *testing.T) {
	// Each job has one task, and one server takes six times the estimates. Three such runs are enough evidence; one whose estimate is a
	// third of the truth is not, nor are the runs of a pool where all estimates are too short.
	run := func(har *harness, id ServerID, num int, took time.Duration) {
		for idx := range num {
			ord := har.order(0, string(id)+string(rune('a'+idx))+".0")
			har.ldr.observeRunTime(har.now, har.ldr.servers[id], &run{ord: &order{Order: ord}}, took)
		}
	}
	cases := map[string]struct {
		story func(har *harness)
		slow  bool
	}{
		"three runs": {func(har *harness) { run(har, "s", 3, 600*time.Millisecond) }, true},
		"one run":    {func(har *harness) { run(har, "s", 1, 300*time.Millisecond) }, false},
		"all are too short": {func(har *harness) {
			for _, id := range []ServerID{"t", "u", "v", "w"} {
				for range 10 {
					run(har, id, 20, 250*time.Millisecond)
				}
			}
			run(har, "s", 20, 300*time.Millisecond)
		}, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t, serverEntry("s", 1), serverEntry("t", 1), serverEntry("u", 1), serverEntry("v", 1), serverEntry("w", 1))
			cse.story(har)
			is.New(t).Equal(!har.ldr.servers["s"].acceptsTasks(har.now, 0), cse.slow)
		})
	}
}
