package speed

import "math"

// Prior is what is believed of a server before any of its runs was observed.
type Prior struct {
	// Mean is ln(run time on the server / run time on an average one), Variance the variance of that belief.
	Mean, Variance float64
}

// Unknown is the prior of a server of which nothing is known. Its standard deviation covers servers at 0.6 to 1.6 times the average speed.
func Unknown() Prior { return Prior{Variance: unknownVariance} }

const (
	unknownVariance = 0.4 * 0.4
	// driftVariance is added with each run, so that the level follows about 50 runs once it is known.
	driftVariance = 2.5e-5
	// maxStep bounds the deviation of one run that is learned from: one in 30 tasks takes seven times as long on a sound server.
	maxStep = 0.5
	// clipDeviations bounds it further, in standard deviations of what is expected.
	clipDeviations = 2
	// knownSamples is how many runs a level needs to count as known.
	knownSamples = 4
)

// Level is the lasting level of a server's run times: ln(run time on the server / run time on an average one). It is a Kalman filter whose steps
// are bounded, so that single long runs hardly move it. The zero value is the level of a server of which nothing is known.
type Level struct {
	mean, variance float64
	samples        int
}

// NewLevel returns a level that is believed, with no run observed.
func NewLevel(pri Prior) Level { return Level{mean: pri.Mean, variance: pri.Variance} }

// KnownLevel returns a level that another leader has learned and told. It counts as known, and follows new runs faster than one that was learned here.
func KnownLevel(mean float64) Level {
	return Level{mean: mean, variance: toldVariance, samples: knownSamples}
}

// toldVariance lets ten runs decide over a level that was told.
const toldVariance = 0.05 * 0.05

// Add learns from a run: deviation is ln(run time / run time expected on an average server), variance that of the expectation's error.
func (lvl *Level) Add(deviation, variance float64) {
	if lvl.variance == 0 {
		lvl.variance = unknownVariance
	}
	sum := lvl.variance + variance
	most := min(maxStep, clipDeviations*math.Sqrt(sum))
	gain := lvl.variance / sum
	lvl.mean += gain * min(max(deviation-lvl.mean, -most), most)
	lvl.variance = (1-gain)*lvl.variance + driftVariance
	lvl.samples++
}

// Shift adds a difference to the level, when the average server that all levels refer to is redefined.
func (lvl *Level) Shift(by float64) { lvl.mean += by }

// Mean returns the estimate of the level.
func (lvl *Level) Mean() float64 { return lvl.mean }

// Variance returns the variance of the estimate.
func (lvl *Level) Variance() float64 {
	if lvl.variance == 0 {
		return unknownVariance
	}
	return lvl.variance
}

// Known reports whether enough runs were observed for decisions to use the level.
func (lvl *Level) Known() bool { return lvl.samples >= knownSamples }

// Observed reports whether any run was observed.
func (lvl *Level) Observed() bool { return lvl.samples > 0 }
