package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAllProcessesPaused guards against callers that are refused after a moment in which no process got any processor: leaders took the time
// that they had missed for that of their servers.
func TestAllProcessesPaused(t *testing.T) {
	for _, dur := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(dur), func(t *testing.T) {
			inTestSystem(t, 1, 2, 4, func(sys *testSystem) {
				chk := is.NewRelaxed(t)
				before := sys.sendLoad(1, 50*time.Millisecond, 500*time.Millisecond)
				for _, name := range sys.instanceNames() {
					prc := sys.instances[name]
					prc.stopClock()
					sys.grp.Go(func() error {
						sys.pauseProcess(prc, dur)
						return nil
					})
				}
				time.Sleep(dur + time.Millisecond)
				after := sys.sendLoad(len(before)+1, 50*time.Millisecond, 3*time.Second)
				countStatuses(before)
				chk.Equal(countStatuses(after), map[int]int{http.StatusOK: len(after)})
			})
		})
	}
}

// TestAllServersPaused guards against callers that are refused, with hours to wait, as all backend servers have been held up for a second.
func TestAllServersPaused(t *testing.T) {
	inTestSystem(t, 2, 1, 3, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		for id := range sys.servers {
			sys.net.Stall(id)
		}
		sys.grp.Go(func() error {
			time.Sleep(1200 * time.Millisecond)
			for id := range sys.servers {
				sys.net.Resume(id)
			}
			return nil
		})
		snts := sys.sendLoad(1, 100*time.Millisecond, 3*time.Second)
		// Answers are of use for 0.9 s: those of the jobs that came 0.7 s after the beginning, or later.
		countStatuses(snts)
		chk.Equal(countStatuses(snts[7:]), map[int]int{http.StatusOK: len(snts) - 7})
	})
}
