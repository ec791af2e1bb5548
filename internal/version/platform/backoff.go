package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff spaces attempts at a log that is out of reach. Every pause is drawn from the whole range
// up to a bound that doubles: when the log returns, instances that lost it at one moment come back
// spread over the last bound and not all at once.
type backoff struct {
	rng   *rand.Rand
	first time.Duration
	bound time.Duration
}

// maxPause bounds the pause between two attempts.
const maxPause = 2 * time.Second

func newBackoff(seed uint64, first time.Duration) *backoff {
	return &backoff{rng: rand.New(rand.NewPCG(seed, seed>>1)), first: first, bound: first}
}

func (bko *backoff) reset() { bko.bound = bko.first }

func (bko *backoff) next() time.Duration {
	dur := time.Duration(bko.rng.Int64N(int64(bko.bound))) + 1
	bko.bound = min(2*bko.bound, maxPause)
	return dur
}

// pause waits for the next attempt, or until the context ends.
func (bko *backoff) pause(ctx context.Context) error { return sleep(ctx, bko.next()) }

func sleep(ctx context.Context, dur time.Duration) error {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
