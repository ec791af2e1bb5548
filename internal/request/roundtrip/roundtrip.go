package roundtrip

import "time"

// Estimator estimates round-trip time and its deviation as TCP's retransmission timer does (RFC 6298); its zero value has no sample.
// An answer that is late because a link or a processor is busy raises the timeout of the next ones, as retries over a full link
// only add to its load.
type Estimator struct{ mean, spread time.Duration }

// RFC 6298's constants: the mean moves by 1/smoothingDivisor of a sample's difference, the deviation by twice that share, and the
// timeout is the mean plus deviationFactor deviations.
const (
	deviationFactor  = 4
	smoothingDivisor = 8
)

// Observe updates the estimate with the round-trip time of an answer, or with the time waited for an answer that did not come.
func (est *Estimator) Observe(took time.Duration) {
	if est.mean == 0 {
		est.mean, est.spread = took, took/2
		return
	}
	est.spread += ((took - est.mean).Abs() - est.spread) / (smoothingDivisor / 2)
	est.mean += (took - est.mean) / smoothingDivisor
}

// Timeout returns how long to wait for an answer: the estimate, bounded by least and most.
func (est *Estimator) Timeout(least, most time.Duration) time.Duration {
	return min(max(est.mean+deviationFactor*est.spread, least), most)
}
