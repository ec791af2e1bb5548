package shard

import "time"

// maxWait bounds expected waits. It is beyond what any caller waits for, and far from what overflows in a sum.
const maxWait = 24 * time.Hour

// waitOf returns an expected wait in nanoseconds as a duration, at most maxWait. What the conversion of a float beyond the range of integers gives
// depends on the processor: a negative wait on some.
func waitOf(nanos float64) time.Duration {
	if nanos < float64(maxWait) {
		return time.Duration(nanos)
	}
	return maxWait // Also for a quotient that is no number.
}
