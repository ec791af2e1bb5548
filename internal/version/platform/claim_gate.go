package platform

import (
	"sync"
	"time"
)

// claimGate is shut for a while after a call of the log failed or a claim took too long. All streams
// share it, since the log behind them is one: the claims that come meanwhile are refused at once.
type claimGate struct {
	mu    sync.Mutex
	until time.Time
	bko   *backoff
}

func newClaimGate(seed uint64) *claimGate {
	return &claimGate{bko: newBackoff(seed, claimBackoff)}
}

// shut keeps claims out until a later time; one that is shut already stays as it is.
func (gte *claimGate) shut(now time.Time) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	if !now.Before(gte.until) {
		gte.until = now.Add(gte.bko.next())
	}
}

// works notes that an append went well; the next failure starts with a short pause again.
func (gte *claimGate) works() {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.bko.reset()
}

// rest returns for how much longer the gate is shut.
func (gte *claimGate) rest(now time.Time) time.Duration {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	return max(gte.until.Sub(now), 0)
}

// retryAfter returns when a refused caller may come back, spread so that not all come at once.
func (gte *claimGate) retryAfter(now time.Time) time.Duration {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	dur := max(gte.until.Sub(now), claimBackoff)
	return dur + time.Duration(gte.bko.rng.Int64N(int64(dur)))
}
