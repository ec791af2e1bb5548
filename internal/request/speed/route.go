package speed

import "math"

const (
	// routeSamples is how many runs of a route are needed before its estimates are corrected.
	routeSamples = 50
	// routeWeight makes the correction follow about 200 runs.
	routeWeight = 1.0 / 200
	// leastCorrection is ln 1.15: estimates that are off by less are not corrected, leastCorrectionKept is when a correction ends.
	leastCorrection, leastCorrectionKept = 0.14, 0.09
	// maxCorrection is ln 20; estimates that are further off tell nothing.
	maxCorrection = 3
	// routeStep bounds the deviation of one run that is learned from.
	routeStep = 1.0
)

// Route is how far the estimates of a route are off: the centre of ln(run time / estimate) and the mean size of the deviations from it. The
// zero value has no run.
type Route struct {
	location, size float64
	samples        int
	corrects       bool
}

// Add learns from a run of the route: deviation is ln(run time / estimate), apart from the server's level. Runs that can't be a run time over an estimate
// are ignored.
func (rte *Route) Add(deviation float64) {
	if math.IsNaN(deviation) || math.IsInf(deviation, 0) {
		return
	}
	rte.samples++
	weight := max(routeWeight, 1/float64(rte.samples))
	step := min(max(deviation-rte.location, -routeStep), routeStep)
	rte.location = min(max(rte.location+weight*step, -maxCorrection), maxCorrection)
	rte.size += weight * (math.Abs(step) - rte.size)
	least := leastCorrection
	if rte.corrects {
		least = leastCorrectionKept
	}
	rte.corrects = rte.samples >= routeSamples && math.Abs(rte.location) >= least
}

// Correction returns the logarithm of the factor by which estimates are to be corrected, 0 if they are not.
func (rte *Route) Correction() float64 {
	if !rte.corrects {
		return 0
	}
	return rte.location
}

// Location returns the centre of ln(run time / estimate).
func (rte *Route) Location() float64 { return rte.location }

// Size returns the mean deviation of ln(run time / estimate) from its centre.
func (rte *Route) Size() float64 { return rte.size }

// Samples returns the number of runs observed.
func (rte *Route) Samples() int { return rte.samples }
