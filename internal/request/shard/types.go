package shard

import (
	"slices"
	"time"
)

// ServerID identifies a backend server in the platform's list. A server that crashes may start again under its ID, as another incarnation.
type ServerID string

// Incarnation identifies an incarnation of a backend server by its start, in milliseconds since 1970 by the server's clock; 0 means that the
// server does not tell it.
type Incarnation int64

// InstanceID identifies one incarnation of an instance.
type InstanceID string

// RunID identifies one start of a task; each further start of the task has a higher number.
type RunID struct {
	Task   string
	Number int64
}

// EndKind is the way in which a run ended.
type EndKind int

// The kinds of ends.
const (
	// EndedDone means that the run completed its work.
	EndedDone EndKind = iota
	// EndedFailed means that the run failed, through its own fault or the backend server's.
	EndedFailed
	// EndedStopped means that the run was stopped; it does not count as an attempt.
	EndedStopped
	// EndedLapsed means that its lease expired; it does not count as an attempt.
	EndedLapsed
)

// Progress is a run that a backend server lists as running, and how much of it is done.
type Progress struct {
	Run     RunID
	Percent int
}

// End is a run that a backend server lists as ended; each incarnation of a server numbers its ends from 1.
type End struct {
	Seq  int64
	Run  RunID
	Kind EndKind
}

// RenewResult is a backend server's answer to a renewal.
type RenewResult struct {
	// Incarnation is the one that has answered.
	Incarnation Incarnation
	// Clock is the server's monotonic clock, on which its leases are measured.
	Clock   time.Duration
	Running []Progress
	Ended   []End
	// MoreEnds is set if the server may have further ends, which it lists once these are acknowledged: a run that is not listed may be done.
	MoreEnds bool
}

// CallResult is the result of a call to a backend server.
type CallResult int

// The results of a call.
const (
	// Accepted means that the call was carried out.
	Accepted CallResult = iota
	// Unknown means that the call got no answer; it may still be carried out, even seconds later.
	Unknown
	// Refused means that the call was not carried out and never will be.
	Refused
	// Fenced means that the server refused the call because it has seen a higher fencing token.
	Fenced
	// Replaced means that another server has the address of the one that was called, whose runs are all over.
	Replaced
	// OverCapacity means that the server refused the call for lack of free capacity.
	OverCapacity
	// Outdated means that the server refused a start because it has, or had, that run or a higher one of the task.
	Outdated
)

// String returns the result's name in logs.
func (res CallResult) String() string {
	names := [...]string{"accepted", "unknown", "refused", "fenced", "replaced", "overfull", "old"}
	if res < 0 || int(res) >= len(names) {
		return "invalid"
	}
	return names[res]
}

// MaxProcessor, in thousandths of a core, and MaxMemory, in MB, are more than any backend server has and any task needs. Sums over all servers and tasks
// of a system stay far below the largest integer.
const (
	MaxProcessor = 100_000_000
	MaxMemory    = 1_000_000_000
)

// ServerEntry is a backend server as the platform lists it.
type ServerEntry struct {
	ID ServerID
	// Incarnation is the one that wrote the entry.
	Incarnation   Incarnation
	Address       string
	FailureDomain string
	Service       string
	// Processor is in thousandths of a core, Memory in MB; from 0 to MaxProcessor and MaxMemory.
	Processor, Memory int64
	Labels            []string
	Leaving           bool
}

// Equal reports whether two entries are the same in all fields.
func (ent *ServerEntry) Equal(oth *ServerEntry) bool {
	return ent.ID == oth.ID && ent.Incarnation == oth.Incarnation && ent.Address == oth.Address && ent.FailureDomain == oth.FailureDomain &&
		ent.Service == oth.Service && ent.Processor == oth.Processor && ent.Memory == oth.Memory && ent.Leaving == oth.Leaving &&
		slices.Equal(ent.Labels, oth.Labels)
}

// Listing is what an instance knows about the backend servers of a shard.
type Listing struct {
	// Listed has the servers that the platform lists, Missing those that it listed a while ago: a live server's entry may expire, and what
	// a former leader started there runs on.
	Listed, Missing []ServerEntry
	// Unreadable has those missing servers that have an entry which can't be read. Unlike servers whose entries have expired, they get no task.
	Unreadable []ServerID
	// All has the listed servers of all shards.
	All map[ServerID]ServerEntry
	// ReadAt is when the read of the list began. It is zero while there may be live servers that this instance has never seen listed.
	ReadAt time.Time
	// Shards is into how many shards the servers of the failure domain are divided; 0 if that is not known.
	Shards int
	// Belongs reports whether a server belongs to the shard by the present division; nil if all of the shard's do.
	Belongs func(ent ServerEntry) bool
}

// Order asks the leader of a shard to run a task and to report its end.
type Order struct {
	// Task identifies the task: the submission's ID, a dot and the rest of the task's name.
	Task string
	// Owner is the instance that sent the order and gets its reports.
	Owner   InstanceID
	Service string
	// Payload is passed to the backend server.
	Payload string
	// Processor is in thousandths of a core, Memory in MB.
	Processor, Memory int64
	// Priority 0 is the most urgent; Priorities-1 and above count as the least urgent.
	Priority int
	// Arrived is when the submission came in. Its answer is due at Due and of use to the caller until UsefulUntil.
	Arrived, Due, UsefulUntil time.Time
	// ExpectedRunTime is a rough estimate.
	ExpectedRunTime time.Duration
	// Label, if set, is a label that the server must have; Rack is the label of the rack that holds the task's data.
	Label, Rack string
	// MaxPerServer bounds how many tasks of Step run on one server; 0 means no bound.
	MaxPerServer int
	// Step identifies the step of the job that the task belongs to; tasks of one step are siblings.
	Step string
	// Avoid lists the servers where the task failed before; they are used only if no other has free capacity.
	Avoid []ServerID
	// Reassigned is set if the order was with a former leader of the shard, which may have started it. Such an order has no payload: most
	// of these tasks run already, and after the loss of a leader the payloads of the others would fill links for so long that the next
	// leader is taken for lost too. If its task runs nowhere, the order is returned to its owner, which sends it again with its payload.
	// LastServer is where the task last ran, if the owner knows. MayRunFor is how long another leader may still run it after the order has
	// come.
	Reassigned bool
	LastServer ServerID
	MayRunFor  time.Duration
	// FormerShards is the least number of shards into which the failure domain was divided by a former leader that may have started the task;
	// 0 if that is not known.
	FormerShards int
	// JobStarted is set if another task of the job may have started. Such an order is kept however long it waits, and goes before others,
	// as the work already done for the job would be lost.
	JobStarted bool
	// ReturnIfBusy asks for the order back if no server can take it and its expected wait for capacity is long (see returnWait).
	ReturnIfBusy bool
	// Recall sets ReturnIfBusy on an earlier order that still waits. It never starts the task: the earlier order may be on its way back
	// already, and its owner then sends it to another leader.
	Recall bool
	// Preempted is set once a run of the task was stopped for a more urgent one; it is not stopped for another again.
	Preempted bool
	// SubmissionNumber tells the submissions of one job to this owner apart.
	SubmissionNumber int64
}

// Outcome is what a leader reports about an order.
type Outcome int

// The outcomes of an order.
const (
	// Done means that the run succeeded.
	Done Outcome = iota
	// Failed means that the run failed.
	Failed
	// NotRun means that the leader has given the order up and nothing of it runs; it may go to another leader.
	NotRun
	// Started means that the run has started; another report follows at its end.
	Started
	// Lost means that the task may have passed to another leader, which may let it run on.
	Lost
	// OrderReplaced means that another owner, to which the job was submitted too, has ordered the task since. The leader has that owner's order.
	OrderReplaced
)

// String returns the outcome's name in logs.
func (out Outcome) String() string {
	names := [...]string{"done", "failed", "not-run", "begun", "lost", "replaced"}
	if out < 0 || int(out) >= len(names) {
		return "invalid"
	}
	return names[out]
}

// Report tells the owner of an order its outcome.
type Report struct {
	Task string
	// Token is the fencing token of the reporting leader. A report about a task with a lower token than its current leader's is out of
	// date.
	Token   int64
	Outcome Outcome
	// Took is the run time, and Server is where the task ran.
	Took   time.Duration
	Server ServerID
	// Factor is the lasting run time on that server over that of an average server, in thousandths; 0 if it is not known.
	Factor int64
	// MayHaveRun is set if a server may have begun the task. It has a meaning only with NotRun: a start got no answer, or its run was cut
	// short, and that run is over.
	MayHaveRun bool
	// Reason says why the order is returned; it has a meaning only with NotRun.
	Reason ReturnReason
	// TooLate is set with NotRun if the task would not have been done here while its answer is of use.
	TooLate bool
	// Preempted is set if the order has it set, as its owner sends the mark with further orders.
	Preempted bool
	// WorkLost is set with Started if the run is being stopped for a more urgent task: how long it has run. The task waits to be started again.
	WorkLost time.Duration
	// NewOwner is set with OrderReplaced: the owner of the order that the leader has now. SubmissionNumber is then that of the replaced order.
	NewOwner         InstanceID
	SubmissionNumber int64
}

// Division is the number of shards that the backend servers of a failure domain are divided into. Instances with different divisions would
// take each other's servers over, so all use the highest stamp and the highest count.
type Division struct {
	Count int
	// Stamp rises with each change; 0 is a guess that no instance has acted on.
	Stamp int64
}
