package health

import "time"

const (
	defaultSlack     = 50 * time.Millisecond
	defaultPatience  = 2
	defaultQuiet     = 300 * time.Millisecond
	defaultQuietMax  = 4 * time.Second
	defaultTimeout   = 200 * time.Millisecond
	defaultBackOff   = 10 * time.Second
	defaultFailAfter = 3
)

// Config holds the thresholds of a Monitor; the zero value of a field stands for its default, but
// for DivertAfter, whose 0 is what RFC 7829 recommends.
type Config struct {
	// An answer is overdue after Patience times the expected run time, and Slack.
	Patience int
	Slack    time.Duration
	// Quiet is how long nothing may be heard before an overdue answer leads to a probe. It doubles, up
	// to QuietMax, while probes are answered but no task ends.
	Quiet    time.Duration
	QuietMax time.Duration
	// Timeout is how long a probe or an attempt to connect may take; it doubles at each timeout, up to
	// BackOffMax.
	Timeout    time.Duration
	BackOffMax time.Duration
	// DivertAfter is the number of consecutive timeouts that an active connection outlives. From
	// FailAfter on there is no potentially-failed state, and plain counting remains.
	DivertAfter int
	// FailAfter is the number of consecutive timeouts that a connection outlives before it is failed.
	FailAfter int
}

// State is what is known of a connection.
type State int

const (
	// Active means that new work may go over the connection.
	Active State = iota
	// PotentiallyFailed means that new work should go elsewhere while there is an elsewhere.
	PotentiallyFailed
	// Failed means that nobody should count on the connection or on the backend server behind it.
	Failed
)

// Action is what the caller has to do.
type Action int

const (
	// None asks for nothing.
	None Action = iota
	// Probe asks for an empty batch on the current connection.
	Probe
	// Reconnect asks for a fresh connection.
	Reconnect
)

// Monitor judges the connection to one backend server.
type Monitor struct {
	cfg   Config
	state State
	// Tasks whose end is still to be heard of.
	waiting int
	// The earliest time at which something should have been heard; meaningless if nothing is waited for.
	due     time.Time
	heard   time.Time
	quiet   time.Duration
	asked   bool
	timeout time.Duration
	// When the outstanding probe or attempt to connect times out.
	expires  time.Time
	timeouts int
}

// New returns a monitor for a connection that is not yet up.
func New(cfg Config) *Monitor {
	setDefault(&cfg.Patience, defaultPatience)
	setDefault(&cfg.Slack, defaultSlack)
	setDefault(&cfg.Quiet, defaultQuiet)
	setDefault(&cfg.QuietMax, defaultQuietMax)
	setDefault(&cfg.Timeout, defaultTimeout)
	setDefault(&cfg.BackOffMax, defaultBackOff)
	setDefault(&cfg.FailAfter, defaultFailAfter)
	return &Monitor{cfg: cfg, state: Failed, quiet: cfg.Quiet, timeout: cfg.Timeout}
}

func setDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// State returns what is known of the connection.
func (mon *Monitor) State() State { return mon.state }

// Waiting returns the number of tasks whose end is still to be heard of.
func (mon *Monitor) Waiting() int { return mon.waiting }

// Sent records that a task was sent whose run time is expected to be that long.
func (mon *Monitor) Sent(now time.Time, expected time.Duration) {
	due := now.Add(time.Duration(mon.cfg.Patience)*expected + mon.cfg.Slack)
	if mon.waiting == 0 || due.Before(mon.due) {
		mon.due = due
	}
	mon.waiting++
}

// Heard records a report on the current connection that ended that many tasks.
func (mon *Monitor) Heard(now time.Time, ended int) {
	mon.alive(now)
	mon.waiting = max(0, mon.waiting-ended)
	if ended > 0 {
		mon.quiet = mon.cfg.Quiet
	}
	// The tasks that are left may have any run time; the quiet limit alone governs from here on.
	mon.due = now
}

// Up records that a fresh connection is up and replaces the one before it.
func (mon *Monitor) Up(now time.Time) {
	mon.alive(now)
	mon.due = now
}

func (mon *Monitor) alive(now time.Time) {
	if mon.asked {
		mon.quiet = min(2*mon.quiet, mon.cfg.QuietMax)
	}
	mon.state = Active
	mon.heard = now
	mon.asked = false
	mon.timeouts = 0
	mon.timeout = mon.cfg.Timeout
}

// Lost records that the current connection ended. Nothing is known of the backend server yet, so
// that counts as one timeout; the caller opens a fresh connection without being asked.
func (mon *Monitor) Lost(now time.Time) {
	mon.timeouts = max(mon.timeouts, mon.cfg.DivertAfter)
	mon.timedOut(now)
}

// Refused records that nobody listens at the backend server's address, which is unambiguous.
func (mon *Monitor) Refused(now time.Time) {
	mon.timeouts = max(mon.timeouts, mon.cfg.FailAfter)
	mon.timedOut(now)
}

// Drop records that the caller no longer waits for a number of tasks.
func (mon *Monitor) Drop(tasks int) { mon.waiting = max(0, mon.waiting-tasks) }

// NextWake returns when Wake is to be called, or the zero time if only an event can change anything.
func (mon *Monitor) NextWake() time.Time {
	if mon.asked {
		return mon.expires
	}
	if mon.state != Active || mon.waiting == 0 {
		return time.Time{}
	}
	if lim := mon.heard.Add(mon.quiet); lim.After(mon.due) {
		return lim
	}
	return mon.due
}

// Wake returns what is due now; it may be called early or late.
func (mon *Monitor) Wake(now time.Time) Action {
	next := mon.NextWake()
	if next.IsZero() || now.Before(next) {
		return None
	}
	if !mon.asked {
		mon.ask(now)
		return Probe
	}
	mon.timedOut(now)
	if mon.state == Active {
		return Probe
	}
	return Reconnect
}

func (mon *Monitor) ask(now time.Time) {
	mon.asked = true
	mon.expires = now.Add(mon.timeout)
}

func (mon *Monitor) timedOut(now time.Time) {
	mon.timeouts++
	switch {
	case mon.timeouts > mon.cfg.FailAfter:
		mon.state = Failed
	case mon.timeouts > mon.cfg.DivertAfter:
		mon.state = PotentiallyFailed
	}
	mon.timeout = min(2*mon.timeout, mon.cfg.BackOffMax)
	mon.ask(now)
}
