package speed

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestLevelFollowsRuns(t *testing.T) {
	// Guards against levels that a single long run moves, that never follow a lasting change, or that keep a wrong prior.
	repeat := func(val float64, num int) []float64 {
		var vals []float64
		for range num {
			vals = append(vals, val)
		}
		return vals
	}
	cases := map[string]struct {
		prior       Prior
		deviations  []float64
		least, most float64
	}{
		"steady":               {Unknown(), repeat(0.5, 20), 0.45, 0.5},
		"one long run":         {Unknown(), append(repeat(0, 30), math.Log(7)), -0.01, 0.05},
		"lasting change":       {Unknown(), append(repeat(0, 200), repeat(0.4, 150)...), 0.3, 0.4},
		"wrong prior":          {Prior{Mean: -0.5, Variance: minPriorVariance}, repeat(0.5, 60), 0.3, 0.5},
		"absurd runs":          {Unknown(), append(repeat(0, 30), 500, -500), -0.06, 0.06},
		"told, then different": {KnownLevel(0.5).asPrior(), repeat(-0.5, 60), -0.55, 0},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			lvl := NewLevel(cse.prior)
			for _, dev := range cse.deviations {
				lvl.Add(dev, 0.08)
			}
			t.Logf("level %.3f", lvl.Mean())
			chk.True(lvl.Mean() >= cse.least && lvl.Mean() <= cse.most)
		})
	}
}

// asPrior returns a level as the prior of another.
func (lvl Level) asPrior() Prior { return Prior{Mean: lvl.mean, Variance: lvl.variance} }

func TestChangeIsToldFromLongRuns(t *testing.T) {
	// Guards against servers that are taken for faulty because of long tasks, and against faulty ones that are found late.
	slow, long, usual := math.Log(6), math.Log(7), 0.0
	cases := map[string]struct {
		tails      float64
		deviations []float64
		slow       bool
	}{
		"two slow runs":                       {0.005, []float64{slow, slow}, true},
		"one long run":                        {0.005, []float64{long}, false},
		"long runs with usual ones between":   {0.03, []float64{long, usual, long, usual, long}, false},
		"two long runs where many are long":   {0.03, []float64{long, long}, false},
		"three slow runs where many are long": {0.03, []float64{slow, slow, slow}, true},
		"constantly a little slower":          {0.005, []float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			var chg Change
			tls := Tails{share: cse.tails, known: true}
			for _, dev := range cse.deviations {
				chg.Add(dev, 0.08, &tls)
			}
			is.New(t).Equal(chg.Slow(false), cse.slow)
		})
	}
}

func TestPriorOf(t *testing.T) {
	// Guards against unknown servers that are taken for average although the speeds follow a label, and against labels that say nothing.
	cases := map[string]struct {
		peers       []Peer
		least, most float64
	}{
		"no peers":          {nil, 0, 0},
		"label explains":    {[]Peer{{[]string{"a"}, 0.5}, {[]string{"a"}, 0.52}, {[]string{"b"}, -0.4}, {[]string{"b"}, -0.42}}, 0.5, 0.52},
		"label says little": {[]Peer{{[]string{"a"}, 0.5}, {[]string{"a"}, -0.5}, {[]string{"b"}, 0.4}, {[]string{"b"}, -0.4}}, -0.01, 0.01},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			pri := PriorOf([]string{"rack-1", "a"}, cse.peers)
			is.New(t).True(pri.Mean >= cse.least && pri.Mean <= cse.most && pri.Variance > 0)
		})
	}
}

func TestSpreadMatters(t *testing.T) {
	// Guards against decisions by differences that are chance, or too small to matter.
	known := func(variance float64, means ...float64) []Level {
		var lvls []Level
		for _, mean := range means {
			lvls = append(lvls, Level{mean: mean, variance: variance, samples: knownSamples})
		}
		return lvls
	}
	cases := map[string]struct {
		lvls    []Level
		matters bool
	}{
		"equal":      {known(0.001, 0, 0.01, 0.02, -0.01), false},
		"chance":     {known(0.04, 0.2, -0.2, 0.1, -0.1), false},
		"uneven":     {known(0.002, 0.5, 0, -0.47), true},
		"mild":       {known(0.002, 0, 0, -0.26, 0, 0, -0.26), true},
		"two known":  {known(0.002, 0.5, -0.5), false},
		"none known": {make([]Level, 9), false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(SpreadOf(cse.lvls).Matters(false), cse.matters) })
	}
}

func TestRouteCorrection(t *testing.T) {
	// Guards against estimates that are corrected by few runs or by a few long ones, and against ones that stay wrong.
	cases := map[string]struct {
		deviation, tails float64
		num              int
		least, most      float64
	}{
		"too few runs":     {0.7, 0, routeSamples - 1, 0, 0},
		"right estimates":  {0.02, 0.03, 1000, 0, 0},
		"half as long":     {-0.7, 0.03, 1000, -0.75, -0.6},
		"twice as long":    {0.7, 0.03, 1000, 0.65, 0.8},
		"not a number":     {math.NaN(), 0, 1000, 0, 0},
		"absurd estimates": {500, 0, 1000, maxCorrection, maxCorrection},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			var rte Route
			for idx := range cse.num {
				dev := cse.deviation
				if cse.tails > 0 && idx%int(1/cse.tails) == 0 {
					dev += math.Log(7)
				}
				rte.Add(dev)
			}
			t.Logf("correction %.3f", rte.Correction())
			is.New(t).True(rte.Correction() >= cse.least && rte.Correction() <= cse.most)
		})
	}
}
