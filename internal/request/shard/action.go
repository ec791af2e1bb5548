package shard

import "time"

// Name names a shard: a part of a failure domain's backend servers.
type Name string

// Action is something that the shell does for a Leader: StartRun, StopRun, Hold, PauseServer or Tell.
type Action interface{ action() }

// StartRun orders a run; its verdict goes to Started.
type StartRun struct {
	Server  ServerEntry
	Run     RunID
	Payload string
	Token   int64
	// LeaseUntil is the end of the lease on the server's clock.
	LeaseUntil time.Duration
}

// StopRun orders the end of a run; its verdict goes to Stopped.
type StopRun struct {
	Server ServerEntry
	Run    RunID
	Token  int64
}

// Renew looks at a server and, with a positive Until, renews its lease; what comes of it goes to Looked.
type Renew struct {
	Server ServerEntry
	Token  int64
	AckedSeq   int64
	LeaseUntil  time.Duration
	WaitForEnd   time.Duration
	// Number names the look; it goes back with its answer.
	Number int64
	// Delay is how long to wait before the order is sent.
	Delay time.Duration
}

// SendReport passes a report to the owner of an order.
type SendReport struct {
	Owner  InstanceID
	Report Report
}

// QuarantineServer tells that a server gets nothing for a while, as it is slow or fails what it runs.
type QuarantineServer struct {
	Server ServerID
	Reason string
	// Measure is what decided: how many times as long as elsewhere runs take, or how many submissions failed in a row.
	Measure float64
	Duration   time.Duration
}

func (QuarantineServer) action() {}
func (StartRun) action()    {}
func (StopRun) action()     {}
func (Renew) action()        {}
func (SendReport) action()        {}

// Config has the times that a Leader works with.
type Config struct {
	// Lease is what a renewal grants: what runs at a backend server whose leader is gone ends that much later.
	Lease time.Duration
	// RenewWait is how long a look waits for an end; leases are renewed that often.
	RenewWait time.Duration
	// TakeoverWait bounds how long a new leader waits for the owners of what it finds running.
	TakeoverWait time.Duration
	// StopRetryDelay is the pause before a stop without an answer is repeated.
	StopRetryDelay time.Duration
	// StopTimeout is how long a stop may stay without an answer before its server's lease is left to lapse.
	StopTimeout time.Duration
	// OrphanExpiry is the least time for which a task of a former leader may still run that was not found; its owner may know of more.
	OrphanExpiry time.Duration
	// ConfirmTimeout is for how long no server may show that it obeys the leader; an idle one is looked at once a second.
	ConfirmTimeout time.Duration
	// OwnerTimeout is how long after its owner was last heard an order may start: no longer than until the owner is missed, as
	// it starts the task elsewhere some time after that.
	OwnerTimeout time.Duration
	// StallTimeout is how long the progress of a run may stand still.
	StallTimeout time.Duration
	// InitialQuarantine is the first pause of a server that fails what it runs; it doubles up to MaxQuarantine.
	InitialQuarantine, MaxQuarantine time.Duration
}

// clockSkew is how much slower than true a backend server's clock may run (2%, the platform's pages).
const clockSkew = 1.02

// DefaultConfig returns the times that keep the chain of leases under 1.3 s, after which a caller that
// lost its connection sends its job again (docs/notes/platform.md has the sum).
func DefaultConfig() Config {
	return Config{
		Lease:         600 * time.Millisecond,
		RenewWait:          200 * time.Millisecond,
		TakeoverWait:        120 * time.Millisecond,
		StopRetryDelay:     20 * time.Millisecond,
		StopTimeout:  100 * time.Millisecond,
		OrphanExpiry:         850 * time.Millisecond,
		ConfirmTimeout:  2 * time.Second,
		OwnerTimeout:  450 * time.Millisecond,
		StallTimeout:         350 * time.Millisecond,
		InitialQuarantine:    time.Second,
		MaxQuarantine: 8 * time.Second,
	}
}

// Expiry is how long after its last renewal was sent a lease has ended by any clock.
func (cfg Config) Expiry() time.Duration {
	return time.Duration(float64(cfg.Lease)*clockSkew) + lapseMargin
}

// lapseMargin covers the way of a renewal to the server and the kill there (50 ms, the platform's pages).
const lapseMargin = 60 * time.Millisecond
