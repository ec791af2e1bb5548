package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// frozenJobs jobs go to the daemon that stands still, and of these cancelledJobs are cancelled: the share of clients that leave is 0.4 at most.
	frozenJobs    = 60
	cancelledJobs = 24
	// freezeTime is how long a machine stands still.
	freezeTime = 3 * time.Second
	// sentAfter is when the clients send their jobs, after the freeze begins. Some cancel them from cancelAfter on, one each cancelGap: within 900 ms.
	sentAfter   = 2100 * time.Millisecond
	cancelAfter = 2550 * time.Millisecond
	cancelGap   = 16 * time.Millisecond
)

// playFrozen has clients send jobs to a daemon that stands still, and some of them cancel theirs at the same daemon before it goes on.
func (sys *system) playFrozen(trouble bool) error {
	hit := sys.daemons[0]
	if trouble {
		sys.rec.note("%s stands still", hit.name)
		hit.signal(syscall.SIGSTOP)
	}
	var grp sync.WaitGroup
	for num := range frozenJobs {
		jb := sys.newJob(fmt.Sprintf("%08x%08x", 0xf00d, num), steps, stepTime, patience)
		grp.Go(func() {
			time.Sleep(sentAfter)
			sys.submit(hit, jb)
		})
		if num >= cancelledJobs {
			continue
		}
		grp.Go(func() {
			time.Sleep(cancelAfter + time.Duration(num)*cancelGap)
			sys.cancel(hit, jb)
		})
	}
	time.Sleep(freezeTime)
	if trouble {
		sys.rec.note("%s goes on", hit.name)
		hit.signal(syscall.SIGCONT)
	}
	grp.Wait()
	time.Sleep(settle - steps*stepTime/2)
	return nil
}
