package serverlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstReadMayBeShort guards against an instance that takes its first read of the list for all servers, while the entries of some that
// live have lapsed.
func TestFirstReadMayBeShort(t *testing.T) {
	cfg := CompletenessConfig{RecoveryTime: 2500 * time.Millisecond, MaxUnlisted: 30 * time.Second}
	began := time.Unix(1000, 0)
	cases := map[string]struct {
		story func(cpl *Completeness)
		after time.Duration
		want  bool
	}{
		"never read":                      {story: func(*Completeness) {}, after: time.Hour},
		"told before the first read":      {story: func(cpl *Completeness) { cpl.HandlePeerComplete(began, 90) }, after: time.Second},
		"read":                            {story: func(cpl *Completeness) { cpl.HandleFullRead(began, 40) }, after: cfg.RecoveryTime},
		"read half a minute ago":          {story: func(cpl *Completeness) { cpl.HandleFullRead(began, 40) }, after: cfg.MaxUnlisted, want: true},
		"another one knows as much":       {story: func(cpl *Completeness) { cpl.HandleFullRead(began, 40); cpl.HandlePeerComplete(began, 40) }, want: true},
		"another one has fallen behind":   {story: func(cpl *Completeness) { cpl.HandleFullRead(began, 40); cpl.HandlePeerComplete(began, 39) }, after: time.Second},
		"another one knows none":          {story: func(cpl *Completeness) { cpl.HandleFullRead(began, 40); cpl.HandlePeerComplete(began, 0) }, after: time.Second},
		"read again a moment later":       {story: again(time.Second), after: cfg.RecoveryTime, want: true},
		"read again a moment later, soon": {story: again(time.Second), after: time.Second},
		"read again after a long outage":  {story: again(10 * time.Second), after: cfg.RecoveryTime},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			cpl := NewCompleteness(cfg)
			cse.story(cpl)
			chk.Equal(cpl.Complete(began.Add(cse.after)), cse.want)
		})
	}
}

// again reads the list in full a second time, at the time that the test begins.
func again(pause time.Duration) func(cpl *Completeness) {
	return func(cpl *Completeness) {
		began := time.Unix(1000, 0)
		cpl.HandleFullRead(began.Add(-pause-time.Minute), 40)
		cpl.HandleRead(began.Add(-pause))
		cpl.HandleFullRead(began, 50)
	}
}
