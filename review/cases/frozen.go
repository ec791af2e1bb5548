package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	frozenJobs = 24
	// freezeTime is how long a machine stands still.
	freezeTime = 3 * time.Second
	// sentAfter is when the clients send their jobs, after the freeze begins. They cancel them from cancelAfter on, one each cancelGap.
	sentAfter   = 100 * time.Millisecond
	cancelAfter = 1800 * time.Millisecond
	cancelGap   = 50 * time.Millisecond
)

// playFrozen has clients send jobs to a daemon that stands still, and cancel them at the same daemon before it goes on.
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
