package serverlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstReadMayBeShort guards against an instance that takes its first read of the list for all servers, while the entries of some that
// live have lapsed.
func TestFirstReadMayBeShort(t *testing.T) {
	cfg := CensusConfig{Return: 2500 * time.Millisecond, Missing: 30 * time.Second}
	began := time.Unix(1000, 0)
	cases := map[string]struct {
		story func(cen *Census)
		after time.Duration
		want  bool
	}{
		"never read":                      {story: func(*Census) {}, after: time.Hour},
		"told before the first read":      {story: func(cen *Census) { cen.Told(began, 90) }, after: time.Second},
		"read":                            {story: func(cen *Census) { cen.ReadAll(began, 40) }, after: cfg.Return},
		"read half a minute ago":          {story: func(cen *Census) { cen.ReadAll(began, 40) }, after: cfg.Missing, want: true},
		"another one knows as much":       {story: func(cen *Census) { cen.ReadAll(began, 40); cen.Told(began, 40) }, want: true},
		"another one has fallen behind":   {story: func(cen *Census) { cen.ReadAll(began, 40); cen.Told(began, 39) }, after: time.Second},
		"another one knows none":          {story: func(cen *Census) { cen.ReadAll(began, 40); cen.Told(began, 0) }, after: time.Second},
		"read again a moment later":       {story: again(time.Second), after: cfg.Return, want: true},
		"read again a moment later, soon": {story: again(time.Second), after: time.Second},
		"read again after a long outage":  {story: again(10 * time.Second), after: cfg.Return},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			cen := NewCensus(cfg)
			cse.story(cen)
			chk.Equal(cen.Whole(began.Add(cse.after)), cse.want)
		})
	}
}

// again reads the list in full a second time, at the time that the test begins.
func again(pause time.Duration) func(cen *Census) {
	return func(cen *Census) {
		began := time.Unix(1000, 0)
		cen.ReadAll(began.Add(-pause-time.Minute), 40)
		cen.Read(began.Add(-pause))
		cen.ReadAll(began, 50)
	}
}
