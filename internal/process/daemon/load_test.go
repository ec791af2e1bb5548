package daemon

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestLoadOfManyJobs sends 100 jobs a second of three tasks for ten seconds; all are done in time. Run with
// -cpuprofile it shows where the processor time of a start goes.
func TestLoadOfManyJobs(t *testing.T) {
	inWorld(t, 3, 2, 16, func(wld *world) {
		const jobs = 1000
		var inTime atomic.Int64
		nms := wld.names()
		for num := range jobs {
			job := jobSpec{id: jobID(num), tasks: 3, payload: payload{Millis: 200}}
			wld.grp.Go(func() error {
				began := time.Now()
				if wld.send(wld.ctx, nms[num%len(nms)], job) == http.StatusOK && time.Since(began) < 300*time.Millisecond {
					inTime.Add(1)
				}
				return nil
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if inTime.Load() != jobs {
			t.Errorf("%d of %d jobs in time", inTime.Load(), jobs)
		}
	})
}
