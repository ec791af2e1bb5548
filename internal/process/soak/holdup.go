package soak

import (
	"context"
	"sync"
	"time"
)

// holdUp follows when the soak's own process got no processor. Stand-ins, links and callers live in it, and the machine that holds it
// up holds the instances up, too: of two soaks side by side all processes came to nothing for 5.7 s at the same time, with 57 runnable
// ones on 8 cores, and instances seemed not to answer, nor to end in time. As for a trouble that the play has made itself, promises
// with a time bound say nothing of such a time; those without one hold all the same.
type holdUp struct {
	mu sync.Mutex
	// last is when the process was last seen to run.
	last  time.Time
	spans []span
	worst span
}

const (
	// holdUpGap is the pause between two looks at the clock, a tenth of the least silence that a caller would notice.
	holdUpGap = 20 * time.Millisecond
	// leastHoldUp is the shortest that counts: what systems miss each other after, and far more than the 35 ms that 60 busy
	// processes on 8 cores make.
	leastHoldUp = 500 * time.Millisecond
)

// run looks at the clock until ctx ends.
func (hld *holdUp) run(ctx context.Context) error {
	for hld.note(time.Now()); sleep(ctx, holdUpGap); hld.note(time.Now()) {
	}
	return nil
}

// note notes that the process runs.
func (hld *holdUp) note(now time.Time) {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	spn := span{from: hld.last, to: now}
	hld.last = now
	if spn.from.IsZero() {
		return
	}
	if spn.length() >= leastHoldUp {
		hld.spans = append(hld.spans, spn)
	}
	if spn.length() > hld.worst.length() {
		hld.worst = spn
	}
}

// within returns for how long the process was held up between two times, also if it has not been seen to run again.
func (hld *holdUp) within(from, to time.Time) time.Duration {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	spns := hld.spans
	if now := (span{from: hld.last, to: to}); !hld.last.IsZero() && now.length() >= leastHoldUp {
		spns = append(spns[:len(spns):len(spns)], now)
	}
	var sum time.Duration
	for _, spn := range spns {
		cut := span{from: laterOf(spn.from, from), to: spn.to}
		if to.Before(cut.to) {
			cut.to = to
		}
		sum += max(0, cut.length())
	}
	return sum
}

// longest returns the longest hold-up and when it ended.
func (hld *holdUp) longest() (time.Duration, time.Time) {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	return hld.worst.length(), hld.worst.to
}
