package serverlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstReadMayBeIncomplete guards against an instance that takes its first read of the list for complete, although the entries of
// some running servers have expired.
func TestFirstReadMayBeIncomplete(t *testing.T) {
	cfg := CoverageConfig{RecoveryTime: 2500 * time.Millisecond, MaxUnlisted: 30 * time.Second}
	began := time.Unix(1000, 0)
	cases := map[string]struct {
		events func(cvg *Coverage)
		after  time.Duration
		want   bool
	}{
		"never read":                           {events: func(*Coverage) {}, after: time.Hour},
		"peer complete, before the first read": {events: func(cvg *Coverage) { cvg.HandlePeerComplete(began, 90) }, after: time.Second},
		"read":                                 {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40) }, after: cfg.RecoveryTime},
		"read half a minute ago":               {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40) }, after: cfg.MaxUnlisted, want: true},
		"complete peer at the same offset":     {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 40) }, want: true},
		"complete peer one record behind":      {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 39) }, after: time.Second},
		"peer that isn't complete":             {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 0) }, after: time.Second},
		"complete peer ahead of what is known": {events: func(cvg *Coverage) { cvg.HandleFullRead(began, 40); cvg.HandlePeerComplete(began, 42) }, after: time.Second},
		"complete peer ahead, its part read partly": {
			events: func(cvg *Coverage) {
				cvg.HandleFullRead(began, 40)
				cvg.HandlePeerComplete(began, 42)
				cvg.HandleKnown(began, 41)
			}, after: time.Second,
		},
		"complete peer ahead, its part read": {
			events: func(cvg *Coverage) {
				cvg.HandleFullRead(began, 40)
				cvg.HandlePeerComplete(began, 42)
				cvg.HandleKnown(began, 42)
			}, want: true,
		},
		"two complete peers ahead, the part of one read": {
			events: func(cvg *Coverage) {
				cvg.HandleFullRead(began, 40)
				cvg.HandlePeerComplete(began, 42)
				cvg.HandlePeerComplete(began, 44)
				cvg.HandleKnown(began, 42)
			}, want: true,
		},
		"complete peer ahead, another full read": {
			events: func(cvg *Coverage) {
				cvg.HandleFullRead(began, 40)
				cvg.HandlePeerComplete(began, 42)
				cvg.HandleFullRead(began, 44)
			}, after: time.Second,
		},
		"read again, recovery time over":     {events: again(time.Second), after: cfg.RecoveryTime, want: true},
		"read again, recovery time not over": {events: again(time.Second), after: time.Second},
		"read again after a long outage":     {events: again(10 * time.Second), after: cfg.RecoveryTime},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			cvg := NewCoverage(cfg)
			cse.events(cvg)
			chk.Equal(cvg.Complete(began.Add(cse.after)), cse.want)
		})
	}
}

// again reads the list in full twice, the second time when the test begins, a pause after the last read.
func again(pause time.Duration) func(cvg *Coverage) {
	return func(cvg *Coverage) {
		began := time.Unix(1000, 0)
		cvg.HandleFullRead(began.Add(-pause-time.Minute), 40)
		cvg.HandleRead(began.Add(-pause))
		cvg.HandleFullRead(began, 50)
	}
}
