package order

import (
	"math"
	"time"
)

const (
	// learnRate is the weight of a new run time; the last dozen or two count.
	learnRate = 0.06
	// minSamples is how many run times outweigh a declaration.
	minSamples = 5
	// maxStep bounds how far one run time moves an estimate, in units of the spread, so that a
	// straggler does not look like a change of the workload.
	maxStep = 3
	// minSpread keeps an estimate that was exact so far able to move.
	minSpread = 0.1
	// startVariance is the variance, of logarithms, that is assumed before anything was learnt.
	startVariance = 0.25
)

// RunTimeEstimator learns how long the tasks of a catalogue entry take.
//
// What callers and the catalogue declare is often far off, mostly by a factor that stays. So two
// estimates are kept, in logarithms: one of the run time, one of its ratio to the declaration.
// The one with less spread is used; a declaration that says nothing loses by itself.
type RunTimeEstimator struct {
	plain tracker
	ratio tracker
}

// Observe learns from a task that ran; declared is 0 if nothing was.
func (run *RunTimeEstimator) Observe(actual, declared time.Duration) {
	if actual <= 0 {
		return
	}
	run.plain.add(math.Log(actual.Seconds()))
	if declared > 0 {
		run.ratio.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
}

// Estimate returns the typical run time of a task with that declaration.
func (run *RunTimeEstimator) Estimate(declared, fallback time.Duration) time.Duration {
	if declared > 0 && run.ratio.num >= minSamples && run.ratio.variance < run.plain.variance {
		return seconds(math.Exp(run.ratio.mean) * declared.Seconds())
	}
	if run.plain.num >= minSamples {
		return seconds(math.Exp(run.plain.mean))
	}
	if declared > 0 {
		return declared
	}
	return fallback
}

// LateAfter returns how long a task may take before its answer is called late, given its estimate.
func (run *RunTimeEstimator) LateAfter(estimate time.Duration) time.Duration {
	if run.plain.num < minSamples {
		return 4 * estimate
	}
	spread := math.Sqrt(min(run.plain.variance, 1))
	return seconds(estimate.Seconds() * math.Exp(maxStep*max(spread, minSpread)))
}

// SampleCount returns how many run times were learnt.
func (run *RunTimeEstimator) SampleCount() int { return run.plain.num }

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

type tracker struct {
	num      int
	mean     float64
	variance float64
}

func (trk *tracker) add(val float64) {
	trk.num++
	if trk.num == 1 {
		trk.mean = val
		trk.variance = startVariance
		return
	}
	rate := max(learnRate, 1/float64(trk.num))
	bound := maxStep * max(math.Sqrt(trk.variance), minSpread)
	dif := min(max(val-trk.mean, -bound), bound)
	trk.mean += rate * dif
	trk.variance += rate * (dif*dif - trk.variance)
}
