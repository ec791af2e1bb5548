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
