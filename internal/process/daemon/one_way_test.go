package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestOneWayCuts cuts the way from a leader to an owner, or from the owner to the leader, at moments around a job's start, while one of
// the two stands still or neither does. The caller sends its job again, to a third instance, when it got no answer. No task
// runs twice at once, whichever side misses the other first, and the job is answered in the end.
//
// Where the owner stood still for 1 s, four tasks ran twice: the leader read the orders when the way was whole again, seconds after the
// owner had given them up, and started them.
func TestOneWayCuts(t *testing.T) {
	stalls := map[string]func(led, own *process) *process{
		"nobody stands still":     func(_, _ *process) *process { return nil },
		"the leader does for 1 s": func(led, _ *process) *process { return led },
		"the owner does for 1 s":  func(_, own *process) *process { return own },
	}
	for name, stall := range stalls {
		for _, back := range []bool{false, true} {
			for moment := time.Duration(0); moment < time.Second; moment += 250 * time.Millisecond {
				t.Run(fmt.Sprintf("%s, back %t, after %v", name, back, moment), func(t *testing.T) {
					inTestSystem(t, 3, 1, 2, func(sys *testSystem) { cutOneWay(t, sys, moment, back, stall) })
				})
			}
		}
	}
}

func cutOneWay(t *testing.T, sys *testSystem, moment time.Duration, back bool, stall func(led, own *process) *process) {
	t.Helper()
	led, own := sys.instances["entry-1-1"], sys.instances["entry-2-1"]
	from, to := own.host, led.host
	if back {
		from, to = to, from
	}
	// Four tasks fit in each domain, so that the owner sends some to the leader; some wait there.
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
