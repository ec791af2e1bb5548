package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	goneJobs = 12
	// calmAfter is how long the system goes on without a machine before the clients' jobs: twice ContactMs.
	calmAfter = 2 * contactBound
	// ackBound is the platform's bound for the answer to a cancelling (AckMs); clients ask again each askGap, which is the Retry-After that they get.
	ackBound = 4 * time.Second
	askGap   = time.Second
	// The share and the least number of cancellings without an answer with which a day fails.
	ackShare, ackLeast = 10, 3
)

// playGone has a machine go for good. Later the clients of the others hand jobs in and cancel them within a moment of their answers.
func (sys *system) playGone(trouble bool) error {
	left := sys.daemons[:len(sys.daemons)-1]
	gone := sys.daemons[len(left)]
	if trouble {
		sys.rec.note("%s answers nothing any more", gone.name)
		gone.signal(syscall.SIGSTOP)
	}
	time.Sleep(calmAfter)
	var grp sync.WaitGroup
	for num := range goneJobs {
		grp.Go(func() {
			jb := sys.newJob(fmt.Sprintf("%08x%08x", 0xdead, num), 1, 60*time.Millisecond, 1500*time.Millisecond)
			if sys.submit(left[num%len(left)], jb).status != http.StatusOK {
				return
			}
			asked := time.Now()
			for try := 0; time.Since(asked) <= ackBound+askGap; try++ {
				if ans := sys.cancel(left[(num+try)%len(left)], jb); ans.status == http.StatusOK || ans.status == http.StatusGone {
					break
				}
				time.Sleep(askGap)
			}
			sys.mu.Lock()
			defer sys.mu.Unlock()
			sys.asked++
			if jb.cancelledAt.IsZero() {
				sys.unanswered++
				sys.rec.note("Acks: the cancelling of job %s has no 2xx or 410 after %.1f s", jb.id, time.Since(asked).Seconds())
			}
		})
	}
	grp.Wait()
	return nil
}

// judgeGone looks for cancellings of accepted jobs that stay without an answer.
func (sys *system) judgeGone() int {
	sys.rec.note("%d of %d cancellings of accepted jobs have no answer", sys.unanswered, sys.asked)
	switch {
	case sys.asked < goneJobs:
		return statusFailed
	case sys.unanswered >= ackLeast && sys.unanswered*ackShare > sys.asked:
		return statusBroken
	}
	return statusHeld
}
