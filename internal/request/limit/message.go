package limit

import (
	"time"

	"chestnutstack/internal/request/dispatch"
)

// Kind is what a limit bounds.
type Kind int

const (
	// Concurrency bounds the tasks of a catalogue entry that run at once.
	Concurrency Kind = iota + 1
	// Rate bounds the task starts of a catalogue entry a second.
	Rate
	// TeamQuota bounds the tasks of one team that run at once.
	TeamQuota
)

// Key names a limit.
type Key struct {
	Class string
	Kind  Kind
	// Team is set for a TeamQuota.
	Team string
}

// Want asks for units of one limit.
type Want struct {
	Key Key
	// Units that the asking entry could use at once.
	Units uint32
	// WaitFor is how long the request stands if it can't be met at once.
	WaitFor time.Duration
	// Renew is how many borrowed units are in use and stay on the books of the lender.
	Renew uint32
}

// Borrow asks a peer for units of several limits in one message.
type Borrow struct {
	Peer dispatch.PeerID
	// Asked is the time of the asking entry instance's own clock; grants repeat it.
	Asked time.Duration
	Wants []Want
}

// Loan is a number of units of one limit.
type Loan struct {
	Key   Key
	Units uint32
	// Renewed is how many units in use stay on the books.
	Renewed uint32
	// Drain asks that borrowed units are returned as their tasks end: others wait for them.
	Drain bool
	// Starts bounds the starts on units that others wait for, too; 0 is no bound.
	Starts uint32
	// Again, in a Return, is how many units the peer wants again as soon as it is its turn: it saves
	// the Borrow that would follow.
	Again uint32
}

// Grant answers a Borrow, or follows it once units came free.
type Grant struct {
	Peer dispatch.PeerID
	// Asked repeats the Borrow's.
	Asked time.Duration
	Loans []Loan
	// For is how long after Asked the units may be used for new starts.
	For time.Duration
}

// Return gives borrowed units back to their home.
type Return struct {
	Peer dispatch.PeerID
	// Asked is the time of the returning entry instance's own clock; it counts for Again.
	Asked time.Duration
	Loans []Loan
}

// HandOver tells a peer that the sender starts nothing more on the units that became the peer's.
type HandOver struct {
	Peer dispatch.PeerID
	// Peers are those that the sender computed the homes over.
	Peers []dispatch.PeerID
	// HoldFor is how long tasks of a dead entry instance may still run on the units.
	HoldFor time.Duration
	// Please asks for the peer's own HandOver instead.
	Please bool
	// InUse are units that tasks of the sender still use; a later HandOver replaces them.
	InUse []Loan
}
