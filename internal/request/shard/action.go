package shard

import "time"

// Name identifies a shard: a part of a failure domain's backend servers.
type Name string

// Action is a side effect that the caller carries out for a Leader: StartRun, StopRun, Renew, ReadList, QuarantineServer, NoteReturn,
// NoteIncarnation, NoteRunOver, NoteOutlivedLease, NoteRepeatedOrder, NoteAdoption, NotePreemption, FeatureChange or SendReport.
type Action interface{ action() }

// StartRun asks a backend server to start a run; its result goes to Uplink.HandleStartResult, then to Leader.HandleStartResult.
type StartRun struct {
	Server  ServerEntry
	Run     RunID
	Payload string
	Token   int64
	// LeaseUntil is the end of the lease on the server's clock.
	LeaseUntil time.Duration
	// Lease is what the leader went by.
	Lease LeaseState
	// UsedProcessor and UsedMemory are what counts as in use on the server with this run, in thousandths of a core and in MB.
	UsedProcessor, UsedMemory int64
	// Priority is that of the task, Waited how long its order has waited here.
	Priority int
	Waited   time.Duration
	// Owner is the one that has ordered the task. Attempt counts the runs that this leader has started for the order, with this one; Repeat counts how
	// often the start of this run was sent before.
	Owner           InstanceID
	Attempt, Repeat int
}

// StopRun asks a backend server to stop a run; its result goes to Leader.HandleStopResult.
type StopRun struct {
	Server ServerEntry
	// Incarnation is the server's one that the run was known to belong to.
	Incarnation Incarnation
	Run         RunID
	Token       int64
	// Reason says why the run is stopped.
	Reason StopReason
}

// Renew asks a server for its runs and ends and, if LeaseUntil is positive, extends its leases; its result goes to
// Leader.HandleRenewResult.
type Renew struct {
	Server ServerEntry
	// Incarnation is the server's one that the call is meant for.
	Incarnation Incarnation
	Token       int64
	// AckedSeq is the highest sequence number of an end in the server's last answer; 0 acknowledges nothing.
	AckedSeq int64
	// LeaseUntil is the end of the extended leases on the server's clock; 0 extends none.
	LeaseUntil time.Duration
	// WaitForEnd is how long the server may hold the call until a run ends.
	WaitForEnd time.Duration
	// Number identifies the renewal among those of its server.
	Number int64
	// Delay is how long to wait before the call is sent.
	Delay time.Duration
}

// SendReport sends a report to the owner of an order.
type SendReport struct {
	Owner  InstanceID
	Report Report
}

// QuarantineServer announces that a server gets no tasks for Duration, because it is slow or fails its runs.
type QuarantineServer struct {
	Server ServerID
	Reason string
	// Measure is the value behind the decision: run time over expected run time, or the number of submissions that failed in a row.
	Measure  float64
	Duration time.Duration
	// Level is the server's lasting run time over that of an average server, as learned before; 0 if speeds are not used.
	Level float64
}

// NoteIncarnation describes an incarnation of a server that isn't the one known so far.
type NoteIncarnation struct {
	Server ServerID
	// Known is the incarnation that was known, Told the one that the server or its entry told.
	Known, Told Incarnation
	// Reason says what follows from it.
	Reason string
	// Carried is the number of runs that the new incarnation has carried out or may still carry out.
	Carried int
}

// ReadList asks for a read of the list of servers that begins now.
type ReadList struct{}

// NoteReturn describes on what evidence a reassigned order is returned as run nowhere; its report follows.
type NoteReturn struct {
	Task  string
	Owner InstanceID
	// Proven is set if every server has confirmed the leader since the order came; else the runs of former leaders have expired.
	Proven bool
	// Servers is the number of servers known, OldestConfirmed the age of the oldest of their confirmations. Waited is the time since the
	// order came, MayRunFor how long a former leader could run the task then by what its owner knew.
	Servers                            int
	OldestConfirmed, Waited, MayRunFor time.Duration
}

func (ReadList) action()         {}
func (NoteIncarnation) action()  {}
func (NoteReturn) action()       {}
func (QuarantineServer) action() {}
func (StartRun) action()         {}
func (StopRun) action()          {}
func (Renew) action()            {}
func (SendReport) action()       {}

// Config holds the durations that a Leader works with.
type Config struct {
	// Lease is the length of a lease: runs on a backend server whose leader is gone end that long after the last renewal.
	Lease time.Duration
	// RenewWait is how long a renewal waits on the server for a run to end, and so the interval of renewals.
	RenewWait time.Duration
	// AdoptWait is the longest time a new leader waits for orders for the runs that it finds.
	AdoptWait time.Duration
	// StopRetryDelay is the delay before a stop without an answer is repeated.
	StopRetryDelay time.Duration
	// StopTimeout is how long a stop of a run that an order asked for may stay without an answer before the server's leases are no longer renewed.
	StopTimeout time.Duration
	// OrphanExpiry is the least time for which an orphaned task that was not found may still run; Order.MayRunFor may extend it.
	OrphanExpiry time.Duration
	// ConfirmTimeout is how long the leader may go without a server that confirms its token; an idle server is called once a second.
	ConfirmTimeout time.Duration
	// LongestLease is the longest lease that a backend server grants, as the platform's settings say.
	LongestLease time.Duration
	// OwnerTimeout is how long after its owner was last heard an order may start. It must not exceed the time until other instances take
	// the owner for lost, as the task is started elsewhere some time after that.
	OwnerTimeout time.Duration
	// ListAge is how long after a server is listed the last leader that reads the list learns of it.
	ListAge time.Duration
	// StallTimeout is how long a run may make no progress, at least.
	StallTimeout time.Duration
	// InitialQuarantine is the first quarantine of a server that fails its runs; each further one is twice as long, up to MaxQuarantine.
	InitialQuarantine, MaxQuarantine time.Duration
	// Features are the optional decisions that may act.
	Features Features
}

// clockSkew is how many times slower than true time a backend server's clock may run (2%, from the platform's documentation).
const clockSkew = 1.02

// DefaultConfig returns durations with which all runs of a lost leader or owner are over within 1.3 s of the loss; after that time a caller
// that lost its connection submits its job again (docs/notes/platform.md has the sum).
func DefaultConfig() Config {
	return Config{
		Lease:             600 * time.Millisecond,
		RenewWait:         200 * time.Millisecond,
		AdoptWait:         120 * time.Millisecond,
		StopRetryDelay:    20 * time.Millisecond,
		StopTimeout:       100 * time.Millisecond,
		OrphanExpiry:      850 * time.Millisecond,
		ConfirmTimeout:    2 * time.Second,
		LongestLease:      time.Second,
		OwnerTimeout:      450 * time.Millisecond,
		ListAge:           2 * time.Second,
		StallTimeout:      350 * time.Millisecond,
		InitialQuarantine: time.Second,
		MaxQuarantine:     8 * time.Second,
	}
}

// Expiry returns the time from sending a lease's last extension until the lease has ended by any clock and its runs are over.
func (cfg Config) Expiry() time.Duration {
	return time.Duration(float64(cfg.Lease)*clockSkew) + expiryMargin
}

// LongestExpiry is like Expiry for a lease that was meant for the clock of another incarnation. It counts from when the call may last have been carried out,
// as the server cuts such a lease to the longest that it grants.
func (cfg Config) LongestExpiry() time.Duration {
	return time.Duration(float64(cfg.LongestLease)*clockSkew) + expiryMargin
}

// expiryMargin covers a renewal's way to the server and the kill there (50 ms, from the platform's documentation).
const expiryMargin = 60 * time.Millisecond
