package serverlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstReadMayBeShort guards against an instance that takes its first read of the list for all servers, while the entries of some that
// live have lapsed.
func TestFirstReadMayBeShort(t *testing.T) {
	cfg := CoverageConfig{RecoveryTime: 2500 * time.Millisecond, MaxUnlisted: 30 * time.Second}
	began := time.Unix(1000, 0)
	cases := map[string]struct {
		story func(cvg *Coverage)
		after time.Duration
		want  bool
	}{
		"never read":                      {story: func(*Coverage) {}, after: time.Hour},
		"told before the first read":      {story: func(cvg *Coverage) { cvg.HandlePeerComplete(began, 90) }, after: time.Second},
		"read":                            {story: func(cvg *Coverage) { cvg.HandleFullRead(began, 40) }, after: cfg.RecoveryTime},
		"read half a minute ago":          {story: func(cvg *Coverage) { cvg.HandleFullRead(began, 40) }, after: cfg.MaxUnlisted, want: true},
		"another one knows as much":       {story: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 40) }, want: true},
		"another one has fallen behind":   {story: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 39) }, after: time.Second},
		"another one knows none":          {story: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 0) }, after: time.Second},
		"read again a moment later":       {story: again(time.Second), after: cfg.RecoveryTime, want: true},
		"read again a moment later, soon": {story: again(time.Second), after: time.Second},
		"read again after a long outage":  {story: again(10 * time.Second), after: cfg.RecoveryTime},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			cvg := NewCoverage(cfg)
			cse.story(cvg)
			chk.Equal(cvg.Complete(began.Add(cse.after)), cse.want)
		})
	}
}

// again reads the list in full a second time, at the time that the test begins.
func again(pause time.Duration) func(cvg *Coverage) {
	return func(cvg *Coverage) {
		began := time.Unix(1000, 0)
		cvg.HandleFullRead(began.Add(-pause-time.Minute), 40)
		cvg.HandleRead(began.Add(-pause))
		cvg.HandleFullRead(began, 50)
	}
}
