package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
)

// ServerID identifies a backend server.
type ServerID string

// PeerID identifies an entry instance, this one or another.
type PeerID string

// Server is a backend server as the list of instances describes it.
type Server struct {
	ID            ServerID
	FailureDomain string
	Rack          string
	Worker        string
	// Slots is the number of slots in total, free or not.
	Slots uint32
	// Capacity is the total of resources that all slots of the backend server share.
	Capacity job.Needs
	// Leaving is true if the backend server shuts down and takes no new tasks.
	Leaving bool
}

// Home names the entry instance that a backend server is assigned to: it alone may use the server's slots or lend
// them.
type Home struct {
	Server ServerID
	Peer   PeerID
}

// Report is the content of one message from a backend server.
type Report struct {
	Server ServerID
	// Incarnation identifies the process of the backend server; it changes with each restart.
	Incarnation string
	// Slots is the number of slots in total, 0 if it is not reported; FreeSlots is how many of them no task uses.
	Slots     uint32
	FreeSlots uint32
	// Leaving is true if the backend server shuts down and takes no new tasks.
	Leaving  bool
	Results  []Result
	Refused  []Refused
	Statuses []Status
}

// Outcome is how a task ended on a backend server.
type Outcome int

const (
	// OutcomeOK means that the task ran and returned an answer.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed means that the task ran and failed.
	OutcomeFailed
	// OutcomeStopped means that the task ran and was stopped before its end.
	OutcomeStopped
)

// Result is the end of a task on a backend server, with its answer or error.
type Result struct {
	Task    job.TaskID
	Outcome Outcome
	// Payload is the answer of a task that ended with OutcomeOK, Error the error text of one that failed.
	Payload []byte
	Error   string
	RunTime time.Duration
	// Once is not used: nothing sets or reads it.
	Once bool
}

// RefusalReason is why a backend server did not start a task.
type RefusalReason int

const (
	// RefusedFull means that not enough slots were free.
	RefusedFull RefusalReason = iota + 1
	// RefusedLeaving means that the backend server takes no new task.
	RefusedLeaving
	// RefusedTooLate means that the start arrived after its not-after time.
	RefusedTooLate
	// RefusedRevoked means that the task's id was revoked before the start arrived.
	RefusedRevoked
	// RefusedDuplicate means that the backend server already has the task, so that the task may run there.
	RefusedDuplicate
)

// Refused reports a start that had no effect.
type Refused struct {
	Task   job.TaskID
	Reason RefusalReason
}

// TaskState is what a backend server knows of a task.
type TaskState int

const (
	// TaskUnknown means that the backend server does not know the task; this proves nothing, since the start may
	// still be on its way.
	TaskUnknown TaskState = iota + 1
	// TaskRunning means that the task runs; its result will be sent on the session that the query came on.
	TaskRunning
	// TaskEnded means that the task has ended; the status carries the stored result.
	TaskEnded
	// TaskRevoked proves that the task id never started on the backend server and never will.
	TaskRevoked
)

// Status answers a query or a revoke.
type Status struct {
	Task  job.TaskID
	State TaskState
	// Result is set only if State is TaskEnded.
	Result Result
}

// Start tells a backend server to run a task.
type Start struct {
	Server  ServerID
	Task    job.TaskID
	Class   string
	Payload []byte
	// Lease is how long the backend server runs the task without a renewal.
	Lease time.Duration
	// NotAfter is the time from which the task must not be started; zero if there is none.
	NotAfter time.Time
	// Slots is how many slots the task takes.
	Slots uint32
	// Version is the version of the catalogue entry.
	Version uint64
	// AtMostOnce marks a task that must not run twice: the sender checks the submission's claim before it sends
	// the start.
	AtMostOnce bool
}

// ServerTask identifies a task on a backend server.
type ServerTask struct {
	Server ServerID
	Task   job.TaskID
}

// Loan is a number of slots of one backend server that are lent until the time that the grant sets.
type Loan struct {
	Server ServerID
	Slots  uint32
}

// Borrow is a request to a peer for idle slots.
type Borrow struct {
	// Peer is the peer to ask in Actions, and the asking peer in HandleBorrow.
	Peer PeerID
	// Slots is how many slots the borrower could use at once.
	Slots uint32
	// Free is how many slots the borrower itself could lend; the peer uses the count when it chooses whom to ask.
	Free uint32
	// RunTime is the estimated run time of the borrower's waiting tasks, from which the peer computes how long
	// after the end of the loan its slots are still in use; 0 if it is not known.
	RunTime time.Duration
	// NoOffers says that slots that come free later need not be offered.
	NoOffers bool
}

// Grant answers a Borrow; it may be empty.
type Grant struct {
	// Peer is the lender.
	Peer  PeerID
	Loans []Loan
	// Duration is how long tasks may be started on the lent slots.
	Duration time.Duration
	// Free is how many slots the lender could still lend.
	Free uint32
}

// Offer is a Grant sent without a new request, to a peer that had asked for more slots than were idle at the time.
type Offer struct {
	To    PeerID
	Grant Grant
}

// Return gives borrowed slots back to the peer that lent them.
type Return struct {
	// Peer is the lender in Actions, and the borrower in HandleReturn.
	Peer  PeerID
	Loans []Loan
	// Free is how many slots the borrower itself could lend.
	Free uint32
}

// Ended reports that a job has ended.
type Ended struct {
	Job *job.Job
}

// Actions is what the caller of a Dispatcher has to do after an event, in the order of the fields.
type Actions struct {
	Starts  []Start
	Queries []ServerTask
	Revokes []ServerTask
	Stops   []ServerTask
	// Renewals lists the backend servers on which the leases of this instance's tasks are to be extended.
	Renewals []ServerID
	// Reconnects lists the backend servers to which a new connection is to be opened.
	Reconnects []ServerID
	Borrows    []Borrow
	// Offers are sent to peers as they are; the receiving peer passes the grant to HandleGrant and does not reply.
	Offers  []Offer
	Returns []Return
	Ended   []Ended
}

// Reset empties the actions and keeps their allocated memory.
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

// Limits decides whether the limits of a catalogue entry and its team allow one more task to start now.
type Limits interface {
	// Take takes one unit of each limit that counts the task, or of none; it reports whether it took them.
	Take(now time.Time, cls *job.Class, team string) bool
	// Release gives back the units that Take took, once the task has ended.
	Release(now time.Time, cls *job.Class, team string)
}
