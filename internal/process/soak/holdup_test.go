package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMachineThatStandsStill(t *testing.T) {
	// The machine held all processes up for 5.7 s. The soak said that instances had answered nothing, had not ended in time and had
	// lost a job around a planned stop. Such a time counts as the play's own troubles do; short hold-ups change nothing.
	began := time.Unix(1000, 0)
	at := func(secs float64) time.Time { return began.Add(time.Duration(secs * float64(time.Second))) }
	cases := map[string]struct {
		// runs are when the process was seen to run, in seconds.
		runs     []float64
		from, to float64
		within   time.Duration
		calm     bool
	}{
		"it runs all the time":         {runs: []float64{0, 0.4, 0.8, 1.2}, from: 0, to: 1.2, calm: true},
		"it stood still in the middle": {runs: []float64{0, 1, 6.7, 7}, from: 0.5, to: 7, within: 6200 * time.Millisecond},
		"it stands still now":          {runs: []float64{0, 0.1}, from: 0, to: 3.1, within: 3 * time.Second},
		"it stood still a moment ago":  {runs: []float64{0, 0.7, 0.9, 1.1}, from: 1, to: 1.1},
		"it stood still long before":   {runs: []float64{0, 0.7, 1.1, 1.5, 1.9, 2.3, 2.7, 3.1, 3.5, 3.9}, from: 3.8, to: 3.9, calm: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			ckr := &checker{hld: &holdUp{}}
			for _, secs := range cse.runs {
				ckr.hld.note(at(secs))
			}
			chk.Equal(ckr.hld.within(at(cse.from), at(cse.to)), cse.within)
			chk.Equal(ckr.calm(at(cse.from), at(cse.to)), cse.calm)
		})
	}
}
