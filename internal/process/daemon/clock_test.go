package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
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
			}, func() (least, most time.Duration) {
				asked++
				return slept, slept
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

// Guards against a clock that goes back as the process is paused between two readings of the kernel's clocks, and forward again at the next reading. What
// was reckoned from its times in between is wrong by the pause: a lease lasts longer than its leader waits.
func TestClockIsSteadyWhileTheProcessIsPaused(t *testing.T) {
	const pause = 80 * time.Millisecond
	for reading := range 3 {
		for _, slept := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprintf("paused after reading %d, suspended for %v", reading, slept), func(t *testing.T) {
				chk := is.New(t)
				var ran, suspended time.Duration
				began := time.Unix(1000, 0)
				pauseAfter := -1
				kernel := func() (least, most time.Duration) {
					num := 0
					return suspension(func(id int32) time.Duration {
						val := ran
						if id == unix.CLOCK_BOOTTIME {
							val += suspended
						}
						if num == pauseAfter {
							ran += pause
						}
						num++
						return val
					})
				}
				clk := newClockFrom(func() (time.Time, time.Duration) { return began.Add(ran + suspended), ran }, kernel)
				last := clk.now()
				for step := range 40 {
					ran += 100 * time.Millisecond
					pauseAfter = -1
					if step == 10 {
						suspended, pauseAfter = slept, reading
					}
					was := ran
					now := clk.now()
					chk.True(now.After(last))
					chk.True(!now.After(began.Add(ran + suspended)))
					last = now
					pauseAfter = -1
					chk.True(clk.now().Sub(began.Add(ran+suspended)).Abs() <= maxDivergence) // At the next reading it is right.
					chk.True(ran-was <= pause)
				}
			})
		}
	}
}
