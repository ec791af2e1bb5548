package limit

import (
	"time"

	"chestnutstack/internal/request/dispatch"
)

// Config holds the times of a Limiter.
type Config struct {
	// Lease is the lease of a task: how long one runs on after its entry instance died.
	Lease time.Duration
	// LoanFor is how long borrowed units may be used for new starts.
	LoanFor time.Duration
	// RateWindow is the time over which a rate is counted.
	RateWindow time.Duration
	// BorrowEvery is the time over which what is short is collected into one message a peer.
	BorrowEvery time.Duration
	// AskEvery is the time between requests for one limit to different peers, and AsksInRow how many
	// there are before the first of them is over.
	AskEvery  time.Duration
	AsksInRow int
	// SweepEvery is the time between two looks at loans and expiries.
	SweepEvery time.Duration
	// MinAsk and MaxAsk bound how long a peer remembers a request that it couldn't meet; it isn't asked
	// again for as long. The time doubles while a limit stays short: a short burst must not leave
	// requests behind that are met when nobody needs the units any more.
	MinAsk time.Duration
	MaxAsk time.Duration
	// PoorAsk is MinAsk for an entry instance that is the home of no unit of the limit.
	PoorAsk time.Duration
	// RecallAfter is how long tasks wait here before lent units are called back for them.
	RecallAfter time.Duration
	// IdleFor is how long a borrowed unit may be idle before it is returned.
	IdleFor time.Duration
	// ContestedStarts bounds the starts on a borrowed unit that others wait for, too.
	ContestedStarts uint32
	// MaxPause is the time without any event after which this process takes itself for paused.
	MaxPause time.Duration
	// PauseHold is how long a process that was paused starts nothing on its own units.
	PauseHold time.Duration
}

// DefaultConfig returns the times that the measurements were made with.
func DefaultConfig() Config {
	return Config{
		Lease:           10 * time.Second,
		LoanFor:         5 * time.Second,
		RateWindow:      time.Second,
		BorrowEvery:     5 * time.Millisecond,
		AskEvery:        20 * time.Millisecond,
		AsksInRow:       8,
		SweepEvery:      250 * time.Millisecond,
		MinAsk:          100 * time.Millisecond,
		MaxAsk:          8 * time.Second,
		PoorAsk:         time.Second,
		RecallAfter:     2 * time.Second,
		IdleFor:         50 * time.Millisecond,
		ContestedStarts: 4,
		MaxPause:        5 * time.Second,
		PauseHold:       3 * time.Second,
	}
}

// hold is how long units that came from a dead entry instance stay unused: a peer may start tasks
// on units that it had borrowed for LoanFor, and its tasks and the dead one's run on for a Lease.
func (cfg *Config) hold() time.Duration { return cfg.Lease + cfg.LoanFor }

// Peer is an entry instance that units have their homes at.
type Peer struct {
	ID          dispatch.PeerID
	Incarnation string
}

// Actions is what the caller of a Limiter has to do after an event.
type Actions struct {
	Borrows   []Borrow
	Grants    []Grant
	Returns   []Return
	HandOvers []HandOver
	// Ready lists limits that a task was short of and that have room again.
	Ready []Key
}
