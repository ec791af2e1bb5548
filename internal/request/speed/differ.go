package speed

import "math"

const (
	// leastSpread is ln 1.25, the ratio of the slowest to the fastest server from which speeds are used, leastSpreadKept the one at which they no
	// longer are.
	leastSpread, leastSpreadKept = 0.223, 0.14
	// chanceDeviations is how many standard deviations the differences must exceed those of equal servers by.
	chanceDeviations = 3
	// minKnown is how many servers must be known.
	minKnown = 3
)

// Spread describes how far the levels of some servers differ.
type Spread struct {
	// Known is the number of servers whose level is known, Range the difference of the largest and smallest level.
	Known int
	Range float64
	// Mean is the mean level of the known servers; 0 if too few are known.
	Mean float64
	// Excess is by how many standard deviations the levels differ more than those of equal servers would.
	Excess float64
}

// SpreadOf returns the spread of the known ones among some levels.
func SpreadOf(lvls []Level) Spread {
	var sprd Spread
	sum, weights := 0.0, 0.0
	least, most := math.Inf(1), math.Inf(-1)
	for idx := range lvls {
		if lvl := &lvls[idx]; lvl.Known() {
			sprd.Known++
			sum += lvl.mean / lvl.variance
			weights += 1 / lvl.variance
			least, most = min(least, lvl.mean), max(most, lvl.mean)
		}
	}
	if sprd.Known < minKnown {
		return sprd
	}
	mean, squares := sum/weights, 0.0
	for idx := range lvls {
		if lvl := &lvls[idx]; lvl.Known() {
			squares += (lvl.mean - mean) * (lvl.mean - mean) / lvl.variance
		}
	}
	degrees := float64(sprd.Known - 1)
	sprd.Mean, sprd.Range, sprd.Excess = mean, most-least, (squares-degrees)/math.Sqrt(2*degrees)
	return sprd
}

// Matters reports whether the levels differ enough for decisions to use them; used is set if they do so already.
func (sprd Spread) Matters(used bool) bool {
	if used {
		return sprd.Known >= minKnown && sprd.Range >= leastSpreadKept
	}
	return sprd.Known >= minKnown && sprd.Range >= leastSpread && sprd.Excess >= chanceDeviations
}
