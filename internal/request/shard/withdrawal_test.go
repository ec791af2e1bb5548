package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that a former leader stops as their orders have followed to its successor, of which it hears a moment later.
func TestRunIsLeftToTheSuccessor(t *testing.T) {
	cases := map[string]struct {
		followed bool
		// resignsAfter is when the leader hears of its successor, if it does.
		resignsAfter time.Duration
		stops        int
	}{
		"it hears of its successor in time": {followed: true, resignsAfter: 50 * time.Millisecond},
		"it hears of none":                  {followed: true, stops: 1},
		"the caller has left":               {stops: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", size))
			har.place(0, "j.0")
			har.answerStart("j.0", Accepted)
			har.acts = nil
			har.record(har.ldr.Cancel(har.now, owner, "j.0", cse.followed))
			if cse.followed {
				chk.Equal(har.stops(), 0)
			}
			if cse.resignsAfter > 0 {
				har.advance(cse.resignsAfter)
				har.record(har.ldr.Resign())
			} else {
				har.advance(followedStopDelay + 20*time.Millisecond)
			}
			chk.Equal(har.stops(), cse.stops)
			chk.Equal(har.reports(Lost)+har.reports(NotRun), 0) // Its owner counts on the successor.
		})
	}
}
