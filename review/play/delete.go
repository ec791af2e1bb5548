package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// The bounds of UNASKED.
const (
	cancelTime = 3 * time.Second
	ackTime    = 4 * time.Second
	stopBound  = 50 * time.Millisecond
)

// cancelAfter is how long after its submission the job is cancelled; cancels of the users' sites come up to 900 ms after.
const cancelAfter = 800 * time.Millisecond

// playDelete submits five jobs of five steps of 3 s, cancels one of them by DELETE at the daemon that has it, and looks at what of it starts and
// runs once the bounds have passed.
func playDelete(sys *system, trouble bool) (verdict string, ok bool) {
	const jobs = 5
	answers := make(chan reply, jobs)
	for num := range jobs {
		sys.rec.group.Go(func() error {
			answers <- sys.do(context.Background(), "POST", sys.daemons[num%len(sys.daemons)].front, prefix+jobID(num), 25*time.Second, longJob())
			return nil
		})
	}
	time.Sleep(cancelAfter)
	var cancelled time.Time
	if trouble {
		sent := time.Now()
		rep := sys.do(context.Background(), "DELETE", sys.daemons[0].front, prefix+jobID(0), ackTime, nil)
		cancelled = time.Now()
		if rep.err != nil || rep.status != 410 && rep.status/100 != 2 {
			cancelled = sent.Add(ackTime) // Not acknowledged: the rule counts from the time that it had for that.
		}
	}
	done := 0
	for range jobs {
		if rep := <-answers; strings.Contains(rep.body, "succeeded") {
			done++
		}
	}
	time.Sleep(time.Second)
	if trouble {
		return judgeCancelled(sys, jobID(0), cancelled)
	}
	return fmt.Sprintf("no job was cancelled, and %d of %d succeeded", done, jobs), done == jobs
}

// jobID returns the id of a job by its number.
func jobID(num int) string { return fmt.Sprintf("5c0e7a21d94b36f%x", num) }

// longJob returns a job of five steps that follow each other, each of two tasks of 3 s.
func longJob() map[string]any {
	var steps []map[string]any
	for num := range 5 {
		stp := map[string]any{"Count": 2, "Cpu": 14000, "MemMb": 64, "EstRuntimeMs": 3000}
		if num > 0 {
			stp["DependsOn"] = []int{num - 1}
		}
		steps = append(steps, stp)
	}
	return map[string]any{"Spec": "3s", "Steps": steps, "BestEffort": true}
}

// judgeCancelled looks for starts and runs of a job after its cancelling.
func judgeCancelled(sys *system, id string, cancelled time.Time) (verdict string, ok bool) {
	starts, running := 0, 0
	last := cancelled
	for _, not := range sys.rec.allRuns() {
		if !strings.HasPrefix(not.run.task, id+".") {
			continue
		}
		if not.beginAt.After(cancelled.Add(cancelTime)) {
			starts++
		}
		if not.endAt.IsZero() || not.endAt.After(cancelled.Add(cancelTime+stopBound)) {
			running++
		}
		if not.endAt.After(last) {
			last = not.endAt
		}
	}
	if starts+running == 0 {
		return "held: nothing of the job starts or runs after its cancelling", true
	}
	return fmt.Sprintf("broken (UNASKED): the job's cancelling was acknowledged at %.3f s; %d of its tasks started later than 3 s after that, %d ran on later than "+
		"3.05 s after it, the last until %.3f s", sys.rec.seconds(cancelled), starts, running, sys.rec.seconds(last)), false
}
