package order

import (
	"math"
	"time"
)

const (
	// minWeight is the least weight of a new run time in the moving averages; about the last 17 run times count.
	minWeight = 0.06
	// minSamples is the number of run times from which a learnt estimate is used in place of the declaration.
	minSamples = 5
	// maxDeviations bounds the deviation of one run time that an estimate takes into account, in standard deviations, so that one
	// straggler is not taken for a change of the workload.
	maxDeviations = 3
	// minSpread is the least standard deviation that maxDeviations is multiplied with; with 0, an estimate that was exact so far could
	// not change any more.
	minSpread = 0.1
	// initialVariance is the variance of the logarithms that is assumed after the first run time.
	initialVariance = 0.25
)

// RunTimeEstimator estimates the run time of the tasks of a catalogue entry from earlier ones.
//
// The run times that callers and the catalogue declare are often far off, mostly by a constant factor. So two estimates are kept,
// of logarithms: the run time, and its ratio to the declaration. The one with less variance is used; a declaration without
// relation to the run time gives a ratio with more variance, and is so ignored.
type RunTimeEstimator struct {
	runTime logAverage
	ratio   logAverage
}

// Observe updates the estimates with the run time of a task; declared is 0 if no run time was declared.
func (est *RunTimeEstimator) Observe(actual, declared time.Duration) {
	if actual <= 0 {
		return
	}
	est.runTime.add(math.Log(actual.Seconds()))
	if declared > 0 {
		est.ratio.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
}

// Estimate returns the expected run time of a task with a declared run time, which may be 0 for none; fallback is returned if neither
// a declaration nor enough run times are known.
func (est *RunTimeEstimator) Estimate(declared, fallback time.Duration) time.Duration {
	if declared > 0 && est.ratio.num >= minSamples && est.ratio.variance < est.runTime.variance {
		return seconds(math.Exp(est.ratio.mean) * declared.Seconds())
	}
	if est.runTime.num >= minSamples {
		return seconds(math.Exp(est.runTime.mean))
	}
	if declared > 0 {
		return declared
	}
	return fallback
}

// LateAfter returns the time after its start at which a task's answer is late, given its estimated run time: maxDeviations above the
// estimate, or four times the estimate before enough run times are known.
func (est *RunTimeEstimator) LateAfter(estimate time.Duration) time.Duration {
	if est.runTime.num < minSamples {
		return 4 * estimate
	}
	spread := math.Sqrt(min(est.runTime.variance, 1))
	return seconds(estimate.Seconds() * math.Exp(maxDeviations*max(spread, minSpread)))
}

// SampleCount returns the number of run times observed.
func (est *RunTimeEstimator) SampleCount() int { return est.runTime.num }

// seconds returns a number of seconds as a Duration.
func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// logAverage is an exponential moving average of logarithms, with their variance.
type logAverage struct {
	// num is the number of values added.
	num      int
	mean     float64
	variance float64
}

// add updates mean and variance with one value, whose deviation from the mean is bounded by maxDeviations.
func (avg *logAverage) add(val float64) {
	avg.num++
	if avg.num == 1 {
		avg.mean = val
		avg.variance = initialVariance
		return
	}
	rate := max(minWeight, 1/float64(avg.num))
	bound := maxDeviations * max(math.Sqrt(avg.variance), minSpread)
	dif := min(max(val-avg.mean, -bound), bound)
	avg.mean += rate * dif
	avg.variance += rate * (dif*dif - avg.variance)
}
