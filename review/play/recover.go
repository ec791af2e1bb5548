package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime and freezePause are how long one daemon after the other stands still, and the time between two freezes; a freeze of the users' site lasts up to 4 s.
	freezeTime  = 1900 * time.Millisecond
	freezePause = 400 * time.Millisecond
	freezesFor  = 70 * time.Second
	// downTime is how long the daemons are gone.
	downTime = time.Second
	// recoverTime is RecoverS; jobs are sent for some seconds more.
	recoverTime = 12 * time.Second
	judgedTime  = 5 * time.Second
	jobInterval = 100 * time.Millisecond
	jobDeadline = 1500 * time.Millisecond
)

// sentJob is a job that was sent at a time, and whether it was served.
type sentJob struct {
	at     time.Time
	served bool
}

// playRecover freezes one daemon after the other for a while, then kills all daemons, starts them again, and counts the jobs that are served.
func playRecover(sys *system, trouble bool) (verdict string, ok bool) {
	jobs := &sentJobs{}
	stop := make(chan struct{})
	sys.rec.group.Go(func() error {
		jobs.send(sys, stop)
		return nil
	})
	time.Sleep(3 * time.Second)
	if trouble {
		sys.freezeInTurn()
	}
	time.Sleep(4 * time.Second)
	lost := time.Now()
	for _, dmn := range sys.daemons {
		sys.signal(dmn, syscall.SIGKILL)
	}
	for _, dmn := range sys.daemons {
		<-dmn.over
	}
	time.Sleep(downTime)
	for _, dmn := range sys.daemons {
		if err := sys.startProcess(dmn); err != nil {
			return "a daemon does not start: " + err.Error(), false
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + judgedTime)
	close(stop)
	time.Sleep(jobDeadline + time.Second)
	servedBefore, before := jobs.count(lost.Add(-4*time.Second), lost.Add(-jobDeadline))
	served, sent := jobs.count(back.Add(recoverTime), time.Now())
	verdict = fmt.Sprintf("before the processes were killed %d of %d jobs were served; of those sent later than 12 s after they were started again %d of %d",
		servedBefore, before, served, sent)
	ok = servedBefore*4 < before || served*4 >= sent
	if !ok {
		verdict = "broken (RECOVER): " + verdict
	}
	return verdict, ok
}

// freezeInTurn has one daemon after the other stand still.
func (sys *system) freezeInTurn() {
	num := 0
	for began := time.Now(); time.Since(began) < freezesFor; num++ {
		dmn := sys.daemons[num%len(sys.daemons)]
		sys.signal(dmn, syscall.SIGSTOP)
		time.Sleep(freezeTime)
		sys.signal(dmn, syscall.SIGCONT)
		time.Sleep(freezePause)
	}
}

// signal sends a signal to a daemon's process and notes it.
func (sys *system) signal(dmn *daemon, sig syscall.Signal) {
	sys.rec.notef("%s gets the signal: %v", dmn.name, sig)
	_ = dmn.cmd.Process.Signal(sig) // It runs, or the case says that it has ended.
}

// sentJobs are the jobs that were sent.
type sentJobs struct {
	mu   sync.Mutex
	jobs []sentJob
}

// send sends a short job each jobInterval, to the daemons in turn, until stop is closed.
func (sjs *sentJobs) send(sys *system, stop chan struct{}) {
	tck := time.NewTicker(jobInterval)
	defer tck.Stop()
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		case <-tck.C:
		}
		front, at := sys.daemons[num%len(sys.daemons)].front, time.Now()
		sys.rec.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), jobDeadline)
			defer cancel()
			job := map[string]any{"Spec": "60ms", "BestEffort": true, "Steps": []map[string]any{{"Count": 2, "Cpu": 1000, "MemMb": 64, "EstRuntimeMs": 60}}}
			rep := sys.do(ctx, "POST", front, fmt.Sprintf("%s%016x", prefix, num+1), jobDeadline, job)
			sjs.mu.Lock()
			defer sjs.mu.Unlock()
			sjs.jobs = append(sjs.jobs, sentJob{at: at, served: strings.Contains(rep.body, "succeeded")})
			return nil
		})
	}
}

// count returns how many jobs were sent between two times, and how many of them were served.
func (sjs *sentJobs) count(from, to time.Time) (served, sent int) {
	sjs.mu.Lock()
	defer sjs.mu.Unlock()
	for _, job := range sjs.jobs {
		if job.at.Before(from) || job.at.After(to) {
			continue
		}
		sent++
		if job.served {
			served++
		}
	}
	return served, sent
}
