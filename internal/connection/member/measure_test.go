package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An entry instance dies, or can't be reached any more. Until the others know, its backend servers'
// free slots are used by nobody.
func TestDetectionTime(t *testing.T) {
	for _, entries := range []int{6, 24, 96} {
		for name, event := range map[string]func(*pool){
			"refuses": func(pol *pool) { delete(pol.trackers, "e1") },
			"silent": func(pol *pool) {
				for idx := range entries {
					pol.setCut("e1", entryID(idx), true)
				}
			},
		} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, name), func(t *testing.T) {
				is := is.New(t)
				pol := newPool(entries, 0, 6, 1)
				pol.run(30 * time.Second)
				event(pol)
				from := pol.now
				var first time.Duration
				for pol.now.Sub(from) < time.Minute {
					pol.run(time.Second)
					know := 0
					for idx := range entries {
						if idx != 1 && len(pol.view(idx).Entries()) == entries-1 {
							know++
						}
					}
					if know > 0 && first == 0 {
						first = pol.now.Sub(from)
					}
					if know == entries-1 {
						break
					}
				}
				t.Logf("%d entries, %s: the first knows after %v, all after %v", entries, name, first, pol.now.Sub(from))
				is.True(pol.now.Sub(from) <= 20*time.Second)
			})
		}
	}
}
