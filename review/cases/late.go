package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	lateJobs = 6
	// lateBy is how long after its answer a request arrives once more.
	lateBy = 4 * time.Second
)

// playLate cancels running jobs. Seconds after the answers to them, the same requests arrive once more, at other daemons.
func (sys *system) playLate(trouble bool) error {
	var grp sync.WaitGroup
	for num := range lateJobs {
		jb := sys.newJob(fmt.Sprintf("%08x%08x", 0xbeef, num), 2, time.Second, 5*time.Second)
		dmn, oth := sys.daemons[num%len(sys.daemons)], sys.daemons[(num+1)%len(sys.daemons)]
		grp.Go(func() {
			ans := sys.submit(dmn, jb)
			if ans.status/100 != 2 || !trouble {
				return
			}
			time.Sleep(lateBy)
			sys.rec.note("the request for job %s arrives once more", jb.id)
			sys.submit(oth, jb)
		})
		grp.Go(func() {
			time.Sleep(500 * time.Millisecond)
			sys.cancel(oth, jb)
		})
	}
	grp.Wait()
	time.Sleep(settle)
	return nil
}
