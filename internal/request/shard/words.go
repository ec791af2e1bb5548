package shard

import "time"

// ServerID names one life of a backend server.
type ServerID string

// InstanceID names one life of an entry instance.
type InstanceID string

// RunID is one start of a task; the numbers of a task rise.
type RunID struct {
	Task   string
	Number int64
}

// EndKind says how a run ended.
type EndKind int

// The ways in which a run ends.
const (
	// EndedDone is a run whose work is complete.
	EndedDone EndKind = iota
	// EndedFailed is a run that failed by its own fault or the backend server's.
	EndedFailed
	// EndedStopped is a run that was stopped or whose lease lapsed; it counts as no attempt.
	EndedStopped
)

// Progress is a run that a backend server lists as running.
type Progress struct {
	Run     RunID
	Percent int
}

// End is a run that a backend server lists as ended; ends are numbered from 1 in each of its lives.
type End struct {
	Seq int64
	Run RunID
	Kind EndKind
}

// RenewResult is what a backend server says of itself.
type RenewResult struct {
	// Clock is the server's own steady clock, on which leases count.
	Clock   time.Duration
	Running []Progress
	Ended   []End
}

// CallResult is what came of a call to a backend server.
type CallResult int

// The verdicts of a call.
const (
	// Accepted calls were carried out.
	Accepted CallResult = iota
	// Unknown calls got no answer; they may still be carried out, seconds later even.
	Unknown
	// Refused calls were not carried out and never will be.
	Refused
	// Fenced calls were refused because the server has seen a higher fencing token.
	Fenced
	// Replaced calls met another life of the server: whatever ran in the life that was meant is over.
	Replaced
	// OverCapacity calls were refused for want of room.
	OverCapacity
)

// String returns the verdict's name in logs.
func (vdt CallResult) String() string {
	names := [...]string{"accepted", "unknown", "refused", "fenced", "replaced", "overfull"}
	if vdt < 0 || int(vdt) >= len(names) {
		return "invalid"
	}
	return names[vdt]
}

// ServerEntry is a backend server as the platform lists it.
type ServerEntry struct {
	ID            ServerID
	Address       string
	FailureDomain string
	Service       string
	// Processor is in thousandths of a core, Memory in MB.
	Processor, Memory int64
	Labels            []string
	Leaving           bool
}

// Listing is what an instance knows of the backend servers of a shard.
type Listing struct {
	// Listed are those that the platform lists. Missing ones were listed a while ago: a server's entry may lapse while
	// the server is fine, and what a former leader started there runs on.
	Listed, Missing []ServerEntry
	// All are the servers of all shards that are listed.
	All map[ServerID]ServerEntry
	// ReadAt is when the read of the list began; zero while servers may live that this instance has never seen.
	ReadAt time.Time
}

// Order asks the leader of a shard to run a task and to report its end.
type Order struct {
	Task    string
	Owner   InstanceID
	Service string
	// Payload is what the backend server is given to run.
	Payload string
	// Processor is in thousandths of a core, Memory in MB.
	Processor, Memory int64
	Priority          int
	// Arrived is when the submission came in, Due when its answer is due, UsefulUntil until when it is of use.
	Arrived, Due, UsefulUntil time.Time
	// ExpectedRunTime is a rough guess of the run time.
	ExpectedRunTime time.Duration
	// Label, if set, is one that the server must have; Rack is the label of the rack that has its data.
	Label, Rack string
	// MaxPerServer bounds the tasks of a step on one server, 0 for no bound; Step is what it counts.
	MaxPerServer int
	Step      string
	// Avoid has servers where the task failed before; they are used if no other has room.
	Avoid []ServerID
	// Reassigned says that the order lay with an earlier leader of the shard, which may have started it. It has no payload:
	// most such tasks run, and after the loss of a leader the payloads of all others would fill links for long enough
	// that the next leader is missed. One that runs nowhere goes back to its owner, which orders it anew. At is the server
	// where it last ran, if its owner has heard of that. RunsFor is for how long another leader may still run it, from when the
	// order comes.
	Reassigned bool
	LastServer       ServerID
	MayRunFor  time.Duration
	// JobStarted orders are of a job of which another task may have begun: they are kept however long they wait, and go before
	// others, as all that was done for the job would be lost.
	JobStarted bool
	// ReturnIfBusy asks for the order back if it can't start at once.
	ReturnIfBusy bool
	// Recall asks for an order back that was placed before, if it still waits. It places nothing: the order
	// may be on its way back already, and its owner then sends it elsewhere.
	Recall bool
}

// Outcome is what the leader reports of an order.
type Outcome int

// The outcomes of an order.
const (
	// Done orders ended well.
	Done Outcome = iota
	// Failed orders have a failed run.
	Failed
	// NotRun orders are off the leader's hands and nothing of them runs; they may go elsewhere.
	NotRun
	// Started orders have started; the end comes later.
	Started
	// Lost orders are in the hands of another leader, which may let them run on.
	Lost
)

// String returns the outcome's name in logs.
func (out Outcome) String() string {
	names := [...]string{"done", "failed", "not-run", "begun", "lost"}
	if out < 0 || int(out) >= len(names) {
		return "invalid"
	}
	return names[out]
}

// Report tells the owner of an order what came of it.
type Report struct {
	Task string
	// Token is the fencing token of the leader that reports: what an earlier one says of a task that its
	// successor has is out of date.
	Token   int64
	Outcome Outcome
	// Took is how long the run took, Server where it was.
	Took   time.Duration
	Server ServerID
	// MayHaveRun says of an order that does not run that a server may have begun it: a start got no answer, and was stopped.
	MayHaveRun bool
	// TooLate says of an order that does not run that it would not have started here while its answer is of use.
	TooLate bool
}

// Division is into how many shards the backend servers of a failure domain are cut. Instances that see it
// differently would take each other's servers away, so they agree on the division with the highest stamp.
type Division struct {
	Count int
	// Stamp rises with each change; 0 is a guess that nobody has acted on.
	Stamp int64
}
