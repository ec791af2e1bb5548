package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// Of allJobs, wave jobs are cancelled, one each waveGap, within 900 ms: the share of clients that leave is 0.4 at most.
	allJobs = 100
	wave    = 40
	waveGap = 8 * time.Millisecond
	// beforeKill is when the process is killed, after the jobs were sent.
	beforeKill = 100 * time.Millisecond
	stepTime   = 1500 * time.Millisecond
	steps      = 5
	patience   = 15 * time.Second
	// beforeStart is how long before the restart the wave begins.
	beforeStart = 100 * time.Millisecond
)

// playRestart cancels some of the running jobs while one daemon, which has none of them, is killed and starts again. The channels of these clients go to that
// daemon; a client that gets none tries another daemon.
func (sys *system) playRestart(trouble bool) error {
	var grp sync.WaitGroup
	jobs := make([]*job, allJobs)
	hit := sys.daemons[1]
	others := slices.Concat(sys.daemons[:1], sys.daemons[2:])
	for num := range jobs {
		jobs[num] = sys.newJob(fmt.Sprintf("%08x%08x", 0xcafe, num), steps, stepTime, patience)
		grp.Go(func() { sys.submit(others[num%len(others)], jobs[num]) })
	}
	time.Sleep(beforeKill)
	if trouble {
		sys.rec.note("%s is killed", hit.name)
		hit.kill()
	}
	time.Sleep(restartDelay - beforeStart)
	for num, jb := range jobs[:wave] {
		grp.Go(func() {
			time.Sleep(time.Duration(num) * waveGap)
			if sys.cancel(hit, jb).refused() {
				sys.cancel(others[num%len(others)], jb)
			}
		})
	}
	time.Sleep(beforeStart)
	if trouble {
		sys.rec.note("%s starts again", hit.name)
		if err := hit.start(); err != nil {
			return err
		}
	}
	grp.Wait()
	time.Sleep(settle - steps*stepTime/2)
	return nil
}
