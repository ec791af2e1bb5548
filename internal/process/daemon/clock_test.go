package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspension that the clock misses because it doesn't read the kernel's clock each time, and against a step of the time of day
// that it takes for a suspension.
func TestClockCountsSuspensions(t *testing.T) {
	cases := map[string]struct {
		ran, slept, stepped time.Duration
		// seen is the suspension that the clock must count at its next reading.
		seen time.Duration
	}{
		"nothing happens":                       {ran: 100 * time.Millisecond},
		"suspended":                             {ran: 100 * time.Millisecond, slept: 5 * time.Second, seen: 5 * time.Second},
		"the time of day is set ahead":          {ran: 100 * time.Millisecond, stepped: time.Hour},
		"it is set back":                        {ran: 100 * time.Millisecond, stepped: -time.Hour},
		"suspended, and set back a little less": {ran: time.Millisecond, slept: 5 * time.Second, stepped: -4 * time.Second, seen: 5 * time.Second},
		"set back by just as long, seen after a second": {
			ran: 1100 * time.Millisecond, slept: 5 * time.Second, stepped: -5 * time.Second, seen: 5 * time.Second,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var ran, slept, stepped time.Duration
			began := time.Unix(1000, 0)
			asked := 0
			clk := newClockFrom(func() (time.Time, time.Duration) {
				return began.Add(ran + slept + stepped), ran
			}, func() time.Duration {
				asked++
				return slept
			})
			ran, slept, stepped = cse.ran, cse.slept, cse.stepped
			chk.Equal(clk.suspended(), cse.seen)
			chk.Equal(clk.now(), began.Add(cse.ran+cse.seen))
			asked = 0
			for range 1000 {
				ran += 100 * time.Microsecond
				clk.now()
			}
			chk.Equal(asked, 0)
			chk.Equal(clk.now(), began.Add(cse.ran+cse.seen+100*time.Millisecond))
		})
	}
}
