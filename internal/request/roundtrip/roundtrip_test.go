package roundtrip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A link fills, and answers that took 2 ms take 150 ms. Fails if the timeout doesn't follow: with a constant one of 100 ms each order is
// retried, the servers get two orders for one, and the link stays full.
func TestTimeout(t *testing.T) {
	const least, most = 100 * time.Millisecond, 300 * time.Millisecond
	cases := map[string]struct {
		// took has numbers of milliseconds.
		took     []time.Duration
		from, to time.Duration
	}{
		"no sample":             {from: least, to: least},
		"fast":                  {took: []time.Duration{2, 3, 2, 2}, from: least, to: least},
		"always slow":           {took: []time.Duration{90, 95, 90, 95, 90, 92, 91, 90}, from: 101 * time.Millisecond, to: most},
		"becomes slow":          {took: []time.Duration{2, 2, 2, 100, 150, 150}, from: 200 * time.Millisecond, to: most},
		"slower than the bound": {took: []time.Duration{500, 500, 500}, from: most, to: most},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var est Estimator
			for _, tok := range cse.took {
				est.Observe(tok * time.Millisecond)
			}
			got := est.Timeout(least, most)
			chk.True(got >= cse.from)
			chk.True(got <= cse.to)
		})
	}
}
