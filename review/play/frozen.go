package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// standsStill is how long one daemon is frozen; a freeze of the users' site lasts up to 4 s.
	standsStill = 4 * time.Second
	// noticeTime is how long the platform sends new channels to a daemon that doesn't answer its checks, one each second: until the second miss.
	noticeTime = 2500 * time.Millisecond
	// frozenInterval is the time between two jobs at one daemon: 38 a second, as in the users' zone peristeri, which has one.
	frozenInterval = 26 * time.Millisecond
	// clientDeadline is how long clients wait, resendTime (ResendMs) when they send a job again that got no response.
	clientDeadline = 1500 * time.Millisecond
	resendTime     = 1300 * time.Millisecond
	// steadyTime is how long the system serves before and after.
	steadyTime = 3 * time.Second
)

// playFrozen has one daemon after the other stand still while clients send it jobs. These get no response, leave at their deadlines, and send the jobs
// again, ResendMs later, to the other daemons.
func playFrozen(sys *system, trouble bool) (verdict string, ok bool) {
	cls := &resendingClients{sys: sys}
	for num := range sys.daemons {
		cls.to = num
		cls.sendFor(steadyTime)
		if trouble {
			sys.signal(sys.daemons[num], syscall.SIGSTOP)
		}
		began := time.Now()
		cls.sendFor(noticeTime)
		time.Sleep(standsStill - time.Since(began))
		if trouble {
			sys.signal(sys.daemons[num], syscall.SIGCONT)
		}
		cls.wait.Wait()
		time.Sleep(steadyTime)
	}
	twice := sys.rec.twice()
	verdict = fmt.Sprintf("%d jobs, %d sent again, %d succeeded; %d tasks had two runs at the same time", cls.count, cls.again.Load(), cls.succeeded.Load(), twice)
	if twice > 0 {
		return "broken (TWICE): " + verdict, false
	}
	return verdict, true
}

// resendingClients send jobs to one daemon, and those that get no response to the others.
type resendingClients struct {
	sys  *system
	wait sync.WaitGroup
	// to is the daemon's index, count the number of jobs so far.
	to, count        int
	again, succeeded atomic.Int64
}

// sendFor sends jobs at a steady rate for a time; it doesn't wait for their answers.
func (cls *resendingClients) sendFor(dur time.Duration) {
	for began := time.Now(); time.Since(began) < dur; time.Sleep(frozenInterval) {
		cls.count++
		num, first := cls.count, cls.to
		cls.wait.Add(1)
		cls.sys.rec.group.Go(func() error {
			defer cls.wait.Done()
			cls.send(num, first)
			return nil
		})
	}
}

// send sends one job, and once more if it gets no response, 502 or 504.
func (cls *resendingClients) send(num, first int) {
	path := fmt.Sprintf("%s%016x", prefix, num)
	rep := cls.try(cls.sys.daemons[first], path)
	if rep.err != nil || rep.status == 502 || rep.status == 504 {
		cls.again.Add(1)
		time.Sleep(resendTime)
		rep = cls.try(cls.sys.daemons[(first+1+num%2)%len(cls.sys.daemons)], path)
	}
	if strings.Contains(rep.body, "succeeded") {
		cls.succeeded.Add(1)
	}
}

// try sends a job to a daemon and leaves at the deadline. Its size is that of the users' battery-quote: four tasks of 0.9 s, and a body of 500 bytes.
func (cls *resendingClients) try(dmn *daemon, path string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	return cls.sys.do(ctx, "POST", dmn.front, path, clientDeadline, map[string]any{
		"Spec": "900ms" + strings.Repeat(" ", 350), "BestEffort": true, "Steps": []map[string]any{{"Count": 4, "Cpu": 1000, "MemMb": 64, "EstRuntimeMs": 900}},
	})
}

// twice returns how many tasks have had two runs at the same time, and notes them.
func (rec *record) twice() int {
	byTask := map[string][]noted{}
	for _, not := range rec.allRuns() {
		byTask[not.run.task] = append(byTask[not.run.task], not)
	}
	count := 0
	for task, runs := range byTask {
		for idx := 1; idx < len(runs); idx++ {
			if one, two := runs[idx-1], runs[idx]; one.endAt.IsZero() || one.endAt.After(two.beginAt) {
				count++
				rec.notef("two runs of %s: %s from %.3f to %.3f (%s), %s from %.3f to %.3f (%s)", task, one.runner, rec.seconds(one.beginAt),
					rec.seconds(one.endAt), one.how, two.runner, rec.seconds(two.beginAt), rec.seconds(two.endAt), two.how)
				break
			}
		}
	}
	return count
}
