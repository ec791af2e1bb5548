package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestOneWayCuts guards against tasks that run twice at once, or a job that is never answered, when the network between a leader and an owner
// fails in one direction around a job's start, so that one side misses the other first.
func TestOneWayCuts(t *testing.T) {
	stalls := map[string]func(led, own *process) *process{
		"no process is paused":      func(_, _ *process) *process { return nil },
		"the leader pauses for 1 s": func(led, _ *process) *process { return led },
		// The leader receives orders when the network has recovered, seconds after the owner has given them up, and must not start them.
		"the owner pauses for 1 s": func(_, own *process) *process { return own },
	}
	for name, stall := range stalls {
		for _, reverse := range []bool{false, true} {
			for moment := time.Duration(0); moment < time.Second; moment += 250 * time.Millisecond {
				t.Run(fmt.Sprintf("%s, reverse %t, after %v", name, reverse, moment), func(t *testing.T) {
					inTestSystem(t, 3, 1, 2, func(sys *system) { cutOneWay(t, sys, moment, reverse, stall) })
				})
			}
		}
	}
}

// cutOneWay cuts the network from the owner to the leader, or in the other direction if reverse is set, for 2 s from a moment after the job was
// sent on. Without an answer the caller sends its job again, to a third instance.
func cutOneWay(t *testing.T, sys *system, moment time.Duration, reverse bool, stall func(led, own *process) *process) {
	t.Helper()
	led, own := sys.instances["entry-1-1"], sys.instances["entry-2-1"]
	from, to := own.host, led.host
	if reverse {
		from, to = to, from
	}
	// Four tasks fit in each domain, so that the owner sends some of the job's tasks to the leader, where some of them wait.
	full := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 700}})
	job := jobSpec{id: jobID(2), tasks: 12, payload: payload{Millis: 900}}
	snt := sys.sendAsync(sys.ctx, "entry-2-1", job)
	time.Sleep(moment)
	if prc := stall(led, own); prc != nil && prc.stopClock() {
		sys.grp.Go(func() error {
			sys.pauseProcess(prc, time.Second)
			return nil
		})
	}
	sys.net.CutWay(from, to)
	time.Sleep(2 * time.Second)
	sys.net.MendWay(from, to)
	<-full.done
	<-snt.done
	status := snt.status
	for range 3 {
		if status == http.StatusOK {
			return
		}
		time.Sleep(1300 * time.Millisecond)
		status = sys.send(sys.ctx, "entry-3-1", job)
	}
	if status != http.StatusOK {
		t.Errorf("the job ends with %d", status)
	}
}
