package daemon

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock never steps and counts the time during which the machine was suspended, which the runtime's clock does
// not: the leases of a suspended process run out elsewhere.
//
// The kernel's clock that counts such time takes a system call, and is asked for several times with each message. The time of day and
// the runtime's clock take none: only when they part, as after a suspension or when somebody sets the time of day, is it asked.
type clock struct {
	// tell returns the time of day, and for how long the runtime's clock has run; asleep returns for how long the machine was
	// suspended since its start.
	tell   func() (day time.Time, ran time.Duration)
	asleep func() time.Duration
	start  time.Time
	// before is what asleep returned at first.
	before time.Duration
	// parted is by how much the time of day had moved further than the runtime's clock when asleep was last asked, at askedAt by
	// the latter; slept is what it returned.
	parted, slept, askedAt atomic.Int64
}

func newClock() *clock {
	began := time.Now()
	return newClockOf(func() (time.Time, time.Duration) {
		tim := time.Now()
		return tim.Round(0), tim.Sub(began)
	}, asleep)
}

func newClockOf(tell func() (time.Time, time.Duration), asleep func() time.Duration) *clock {
	day, ran := tell()
	clk := &clock{tell: tell, asleep: asleep, start: day.Add(-ran), before: asleep()}
	clk.askedAt.Store(int64(ran))
	return clk
}

const (
	// partTolerance is by how much the two clocks part at the most without a reason: a process may stand still between their
	// readings.
	partTolerance = 2 * time.Millisecond
	// askInterval is how long the kernel is not asked at the most: somebody may set the time of day back by just as long as the
	// machine was suspended.
	askInterval = time.Second
)

func (clk *clock) now() time.Time {
	day, ran := clk.tell()
	return clk.start.Add(ran + clk.check(day, ran))
}

// suspended returns for how long the machine has stood still since the clock was made.
func (clk *clock) suspended() time.Duration { return clk.check(clk.tell()) }

// check returns for how long the machine was suspended before a time.
func (clk *clock) check(day time.Time, ran time.Duration) time.Duration {
	parted := day.Sub(clk.start) - ran
	moved := parted - time.Duration(clk.parted.Load())
	if moved.Abs() > partTolerance || ran-time.Duration(clk.askedAt.Load()) > askInterval {
		clk.slept.Store(int64(clk.asleep() - clk.before))
		clk.parted.Store(int64(parted))
		clk.askedAt.Store(int64(ran))
	}
	return time.Duration(clk.slept.Load())
}

// asleep returns for how long the machine was suspended since its start.
func asleep() time.Duration { return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC) }

func readClock(id int32) time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(id, &tsp); err != nil {
		panic(err) // The kernel has had these clocks since 2011; without them no lease can be kept.
	}
	return time.Duration(tsp.Nano())
}
