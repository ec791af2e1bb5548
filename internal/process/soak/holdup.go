package soak

import (
	"context"
	"sync"
	"time"
)

// holdUp follows how long the soak's own process got no processor. Stand-ins, links and callers live in it, and the machine that
// holds it up holds the instances up, too: what they did late meanwhile tells of the machine.
type holdUp struct {
	mu    sync.Mutex
	worst time.Duration
	at    time.Time
}

// holdUpGap is the pause between two looks at the clock, a tenth of the least silence that a caller would notice.
const holdUpGap = 20 * time.Millisecond

// run looks at the clock until ctx ends.
func (hld *holdUp) run(ctx context.Context) error {
	for last := time.Now(); sleep(ctx, holdUpGap); last = time.Now() {
		hld.note(time.Since(last)-holdUpGap, time.Now())
	}
	return nil
}

func (hld *holdUp) note(late time.Duration, now time.Time) {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	if late > hld.worst {
		hld.worst, hld.at = late, now
	}
}

// longest returns the longest hold-up and when it ended.
func (hld *holdUp) longest() (time.Duration, time.Time) {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	return hld.worst, hld.at
}
