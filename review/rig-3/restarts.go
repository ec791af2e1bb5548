package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// freshDaemon freezes the daemon that has a job, restarts another one meanwhile and has the job cancelled there.
func freshDaemon(ctx context.Context, dep *deployment) ([]string, error) {
	owner, fresh := dep.daemons[0], dep.daemons[2]
	var wgr sync.WaitGroup
	jb := chain(1, 25, 30*time.Second)
	dep.submit(ctx, &wgr, owner, jb)
	time.Sleep(1500 * time.Millisecond)
	if dep.trouble {
		dep.signal(owner, syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	if dep.trouble {
		dep.signal(fresh, syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := dep.start(fresh); err != nil {
			return nil, err
		}
	}
	for began := time.Now(); dep.ready(fresh) != http.StatusOK && time.Since(began) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
	}
	time.Sleep(500 * time.Millisecond)
	cnc := dep.cancelJob(ctx, fresh, jb)
	if dep.trouble {
		dep.signal(owner, syscall.SIGCONT)
	}
	calm := dep.disturbedAt.Add(contact)
	time.Sleep(contact + 2*cancelTime)
	return dep.lateStarts(cnc, calm), nil
}

// restartWave restarts one daemon while many jobs are cancelled.
func restartWave(ctx context.Context, dep *deployment) ([]string, error) {
	const jobs = 400
	var wgr sync.WaitGroup
	others := append([]*daemon{dep.daemons[1]}, dep.daemons[3:]...)
	fresh := dep.daemons[2]
	var jbs []*job
	for num := range jobs {
		jb := &job{id: fmt.Sprintf("5c0e7a21d94b%04x", num), prefix: firstQueue, steps: 3, takes: 5 * time.Second, patience: 30 * time.Second}
		jbs = append(jbs, jb)
		dep.submit(ctx, &wgr, others[num%len(others)], jb)
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var lock sync.Mutex
	var cncs []*cancelOf
	var cancels sync.WaitGroup
	cancels.Go(func() {
		for num := range jobs * 2 / 5 {
			cancels.Go(func() {
				cnc := dep.cancelJob(ctx, fresh, jbs[num])
				lock.Lock()
				cncs = append(cncs, cnc)
				lock.Unlock()
			})
			time.Sleep(4 * time.Millisecond)
		}
	})
	time.Sleep(200 * time.Millisecond)
	if dep.trouble {
		dep.signal(fresh, syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		if err := dep.start(fresh); err != nil {
			return nil, err
		}
	}
	cancels.Wait()
	time.Sleep(2*cancelTime + 3*time.Second)
	var lines []string
	for _, cnc := range cncs {
		lines = append(lines, dep.lateStarts(cnc, dep.disturbedAt.Add(contact))...)
	}
	return lines, nil
}
