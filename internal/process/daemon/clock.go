package daemon

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock never steps and includes the time during which the machine was suspended, unlike the runtime's clock: the leases of a suspended
// process expire elsewhere.
//
// The kernel's clock that includes suspensions costs a system call, and the time is needed several times per message. The time of day and
// the runtime's monotonic clock cost none; the kernel is asked only when they diverge, as after a suspension or a change of the
// time of day.
type clock struct {
	// read returns the time of day and the monotonic time since the clock was made; suspendedSinceBoot returns for how long the machine
	// was suspended since it booted, at least and at most.
	read               func() (day time.Time, ran time.Duration)
	suspendedSinceBoot func() (least, most time.Duration)
	start              time.Time
	// suspendedAtStart is the most that suspendedSinceBoot returned when the clock was made.
	suspendedAtStart time.Duration
	// suspendedFor is the suspension since the start, which only grows. At the last call of suspendedSinceBoot whose result was exact, at kernelReadAt
	// of the monotonic clock, divergence is how much further the time of day had moved than that clock; all in nanoseconds.
	divergence, suspendedFor, kernelReadAt atomic.Int64
}

// newClock returns a clock that starts at the time of day.
func newClock() *clock {
	began := time.Now()
	return newClockFrom(func() (time.Time, time.Duration) {
		tim := time.Now()
		return tim.Round(0), tim.Sub(began)
	}, func() (time.Duration, time.Duration) { return suspension(gettime) })
}

// newClockFrom returns a clock that reads the given sources; they are described at the fields of the same names.
func newClockFrom(read func() (time.Time, time.Duration), suspendedSinceBoot func() (least, most time.Duration)) *clock {
	day, ran := read()
	clk := &clock{read: read, suspendedSinceBoot: suspendedSinceBoot, start: day.Add(-ran)}
	_, clk.suspendedAtStart = suspendedSinceBoot()
	clk.kernelReadAt.Store(int64(ran))
	return clk
}

const (
	// maxDivergence is how far the two clocks may diverge without a reason: the process may be paused between reading one and the other.
	maxDivergence = 2 * time.Millisecond
	// kernelReadInterval is the maximum time between two reads of the kernel's clock: somebody may set the time of day back by exactly
	// the duration of a suspension, which hides it.
	kernelReadInterval = time.Second
)

// now returns the start time plus the time that passed since, suspensions included.
func (clk *clock) now() time.Time {
	day, ran := clk.read()
	return clk.start.Add(ran + clk.check(day, ran))
}

// suspended returns for how long the machine was suspended since the clock was made.
func (clk *clock) suspended() time.Duration { return clk.check(clk.read()) }

// check returns for how long the machine was suspended since the clock was made, given a reading of both clocks.
func (clk *clock) check(day time.Time, ran time.Duration) time.Duration {
	divergence := day.Sub(clk.start) - ran
	change := divergence - time.Duration(clk.divergence.Load())
	if change.Abs() > maxDivergence || ran-time.Duration(clk.kernelReadAt.Load()) > kernelReadInterval {
		least, most := clk.suspendedSinceBoot()
		clk.raiseSuspension(least - clk.suspendedAtStart)
		if most-least <= maxDivergence { // Else the next reading asks again.
			clk.divergence.Store(int64(divergence))
			clk.kernelReadAt.Store(int64(ran))
		}
	}
	return time.Duration(clk.suspendedFor.Load())
}

// raiseSuspension sets the suspension since the start, if it is longer than what is known. The least that it may be is used, as times that were taken
// before and after a reading that is too long can't be compared.
func (clk *clock) raiseSuspension(sus time.Duration) {
	for {
		known := clk.suspendedFor.Load()
		if int64(sus) <= known || clk.suspendedFor.CompareAndSwap(known, int64(sus)) {
			return
		}
	}
}

// suspension returns for how long the machine was suspended since it booted, at least and at most: the process may be paused between two readings of
// the kernel's clocks.
func suspension(gettime func(id int32) time.Duration) (least, most time.Duration) {
	before := gettime(unix.CLOCK_MONOTONIC)
	boot := gettime(unix.CLOCK_BOOTTIME)
	after := gettime(unix.CLOCK_MONOTONIC)
	return boot - after, boot - before
}

// gettime returns the time of a kernel clock.
func gettime(id int32) time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(id, &tsp); err != nil {
		panic(err) // The kernel has had these clocks since 2011; without them no lease can be kept.
	}
	return time.Duration(tsp.Nano())
}
