package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
)

// ServerID names a backend server.
type ServerID string

// PeerID names an entry instance, this one or another.
type PeerID string

// Server is what the list of instances tells of a backend server.
type Server struct {
	ID            ServerID
	FailureDomain string
	Rack          string
	Worker        string
	Slots         uint32
	// Capacity is what all slots of the backend server share.
	Capacity job.Needs
	Leaving  bool
}

// Home says which entry instance may give out the slots of a backend server.
type Home struct {
	Server ServerID
	Peer   PeerID
}

// Report is what a backend server said in one message.
type Report struct {
	Server      ServerID
	Incarnation string
	Slots       uint32
	FreeSlots   uint32
	Leaving     bool
	Results     []Result
	Refused     []Refused
	Statuses    []Status
}

// Outcome is how a task ended on a backend server.
type Outcome int

const (
	// OutcomeOK means that the task ran and answered.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed means that the task ran and failed.
	OutcomeFailed
	// OutcomeStopped means that the task ran and was stopped before its end.
	OutcomeStopped
)

// Result is the end of a task on a backend server.
type Result struct {
	Task    job.TaskID
	Outcome Outcome
	Payload []byte
	Error   string
	RunTime time.Duration
	// Once says that slots that come free later need not be offered.
	Once bool
}

// RefusalReason is why a backend server did not start a task.
type RefusalReason int

const (
	// RefusedFull means that no slot was free.
	RefusedFull RefusalReason = iota + 1
	// RefusedLeaving means that the backend server takes no new task.
	RefusedLeaving
	// RefusedTooLate means that the start arrived past its not-after time.
	RefusedTooLate
	// RefusedRevoked means that the id was revoked before it arrived.
	RefusedRevoked
	// RefusedDuplicate means that the backend server already has the task; it may run there.
	RefusedDuplicate
)

// Refused says that a start had no effect.
type Refused struct {
	Task   job.TaskID
	Reason RefusalReason
}

// TaskState is what a backend server knows of a task.
type TaskState int

const (
	// TaskUnknown is no proof: the start may still be on its way.
	TaskUnknown TaskState = iota + 1
	// TaskRunning means that the result will follow on the session that asked.
	TaskRunning
	// TaskEnded comes with the stored result.
	TaskEnded
	// TaskRevoked proves that the id never started there and never will.
	TaskRevoked
)

// Status answers an ask or a revoke.
type Status struct {
	Task   job.TaskID
	State  TaskState
	Result Result
}

// Start asks a backend server to run a task.
type Start struct {
	Server   ServerID
	Task     job.TaskID
	Class    string
	Payload  []byte
	Lease    time.Duration
	NotAfter time.Time
	Slots    uint32
	Version  uint64
	// AtMostOnce marks work that must run at most once: whoever sends it looks at its claim first.
	AtMostOnce bool
}

// ServerTask names a task at a backend server.
type ServerTask struct {
	Server ServerID
	Task   job.TaskID
}

// Loan is a number of slots of one backend server, lent until a time.
type Loan struct {
	Server ServerID
	Slots  uint32
}

// Borrow asks a peer for idle slots.
type Borrow struct {
	Peer PeerID
	// Slots that the asking entry could use at once.
	Slots uint32
	// Free slots that the asking entry itself has; for the peer's own next choice.
	Free uint32
	// RunTime of the tasks that wait, so that the peer knows how long after the loan its slots
	// are still in use; 0 if it is not known.
	RunTime time.Duration
	// NoOffers says that slots that come free later need not be offered.
	NoOffers bool
}

// Grant answers a Borrow; it may be empty.
type Grant struct {
	Peer  PeerID
	Loans []Loan
	// Duration how long the slots may be used for new starts.
	Duration time.Duration
	// Free slots that the granting peer still has.
	Free uint32
}

// Offer is a Grant that was not asked for again: the peer had asked for more than was idle then.
type Offer struct {
	To    PeerID
	Grant Grant
}

// Return gives lent slots back to their home.
type Return struct {
	Peer  PeerID
	Loans []Loan
	Free  uint32
}

// Ended is the end of a job.
type Ended struct {
	Job *job.Job
}

// Actions is what the caller of a Dispatcher has to do after an event, in this order.
type Actions struct {
	Starts  []Start
	Queries    []ServerTask
	Revokes []ServerTask
	Stops   []ServerTask
	// Renewals lists backend servers that are to be told to move the end of the leases.
	Renewals []ServerID
	// Reconnects lists backend servers to which a fresh connection is to be opened.
	Reconnects []ServerID
	Borrows    []Borrow
	// Offers go to peers as they are; each peer is told by Granted and replies nothing.
	Offers  []Offer
	Returns []Return
	Ended   []Ended
}

// Reset empties the actions and keeps their memory.
func (act *Actions) Reset() {
	act.Starts = act.Starts[:0]
	act.Queries = act.Queries[:0]
	act.Revokes = act.Revokes[:0]
	act.Stops = act.Stops[:0]
	act.Renewals = act.Renewals[:0]
	act.Reconnects = act.Reconnects[:0]
	act.Borrows = act.Borrows[:0]
	act.Offers = act.Offers[:0]
	act.Returns = act.Returns[:0]
	act.Ended = act.Ended[:0]
}

// Limits says whether the limits of a catalogue entry allow one more task now.
type Limits interface {
	// Take takes one unit of every limit that the task counts against, or none.
	Take(now time.Time, cls *job.Class, team string) bool
	// Release gives back what Take took, once the task has ended.
	Release(now time.Time, cls *job.Class, team string)
}
