package roundtrip

import "time"

// Estimator follows the times that answers take; its zero value knows none. It is TCP's retransmission timer (RFC 6298): an
// answer that is late because a link or a processor is busy makes the next ones waited for longer, as asking again
// over a full link only fills it more.
type Estimator struct{ mean, spread time.Duration }

const (
	deviations = 4
	smoothing  = 8
)

// Observe takes in the time that an answer took, or that was waited for it in vain.
func (est *Estimator) Observe(took time.Duration) {
	if est.mean == 0 {
		est.mean, est.spread = took, took/2
		return
	}
	est.spread += ((took - est.mean).Abs() - est.spread) / (smoothing / 2)
	est.mean += (took - est.mean) / smoothing
}

// Timeout returns how long to wait for an answer, within bounds.
func (est *Estimator) Timeout(least, most time.Duration) time.Duration {
	return min(max(est.mean+deviations*est.spread, least), most)
}
