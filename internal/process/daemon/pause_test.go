package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAllProcessesPaused guards against callers that are refused after no process got processor time for a while, because leaders take their own
// pause for a silence of their servers.
func TestAllProcessesPaused(t *testing.T) {
	for _, dur := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(dur), func(t *testing.T) {
			inTestSystem(t, 1, 2, 4, func(sys *system) {
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

// TestAllServersPaused guards against callers that are refused, with an estimated wait of hours, after all backend servers were paused for a second.
func TestAllServersPaused(t *testing.T) {
	inTestSystem(t, 2, 1, 3, func(sys *system) {
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
		// An answer is of use for 0.9 s after its job came, so that only the jobs from 0.7 s on can be answered in time after the pause of 1.2 s.
		countStatuses(snts)
		chk.Equal(countStatuses(snts[7:]), map[int]int{http.StatusOK: len(snts) - 7})
	})
}
