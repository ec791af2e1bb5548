package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAllProcessesStandStill guards against callers that are refused after a moment in which no process got any processor: leaders took the time
// that they had missed for that of their servers.
func TestAllProcessesStandStill(t *testing.T) {
	for _, dur := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(dur), func(t *testing.T) {
			inWorld(t, 1, 2, 4, func(wld *world) {
				chk := is.NewRelaxed(t)
				before := wld.load(1, 50*time.Millisecond, 500*time.Millisecond)
				for _, name := range wld.names() {
					prc := wld.entries[name]
					prc.stand()
					wld.grp.Go(func() error {
						wld.stall(prc, dur)
						return nil
					})
				}
				time.Sleep(dur + time.Millisecond)
				after := wld.load(len(before)+1, 50*time.Millisecond, 3*time.Second)
				count(before)
				chk.Equal(count(after), map[int]int{http.StatusOK: len(after)})
			})
		})
	}
}

// TestAllServersStandStill guards against callers that are refused, with hours to wait, as all backend servers have been held up for a second.
func TestAllServersStandStill(t *testing.T) {
	inWorld(t, 2, 1, 3, func(wld *world) {
		chk := is.NewRelaxed(t)
		for id := range wld.servers {
			wld.net.Stall(id)
		}
		wld.grp.Go(func() error {
			time.Sleep(1200 * time.Millisecond)
			for id := range wld.servers {
				wld.net.Resume(id)
			}
			return nil
		})
		snts := wld.load(1, 100*time.Millisecond, 3*time.Second)
		// Answers are of use for 0.9 s: those of the jobs that came 0.7 s after the beginning, or later.
		count(snts)
		chk.Equal(count(snts[7:]), map[int]int{http.StatusOK: len(snts) - 7})
	})
}
