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
	// Until is the end of the lease on the server's clock.
	Until time.Duration
}

// StopRun orders the end of a run; its verdict goes to Stopped.
type StopRun struct {
	Server ServerEntry
	Run    RunID
	Token  int64
}

// Hold looks at a server and, with a positive Until, renews its lease; what comes of it goes to Looked.
type Hold struct {
	Server ServerEntry
	Token  int64
	Seen   int64
	Until  time.Duration
	Wait   time.Duration
	// Number names the look; it goes back with its answer.
	Number int64
	// Pause is how long to wait before the order is sent.
	Pause time.Duration
}

// Tell passes a report to the owner of an order.
type Tell struct {
	Owner  InstanceID
	Report Report
}

// PauseServer tells that a server gets nothing for a while, as it is slow or fails what it runs.
type PauseServer struct {
	Server ServerID
	Reason string
	// Measure is what decided: how many times as long as elsewhere runs take, or how many submissions failed in a row.
	Measure float64
	Pause   time.Duration
}

func (PauseServer) action() {}
func (StartRun) action()    {}
func (StopRun) action()     {}
func (Hold) action()        {}
func (Tell) action()        {}

// Config has the times that a Leader works with.
type Config struct {
	// Lease is what a renewal grants: what runs at a backend server whose leader is gone ends that much later.
	Lease time.Duration
	// Wait is how long a look waits for an end; leases are renewed that often.
	Wait time.Duration
	// Settle bounds how long a new leader waits for the owners of what it finds running.
	Settle time.Duration
	// StopRetry is the pause before a stop without an answer is repeated.
	StopRetry time.Duration
	// StopPatience is how long a stop may stay without an answer before its server's lease is left to lapse.
	StopPatience time.Duration
	// Doubt is the least time for which a task of a former leader may still run that was not found; its owner may know of more.
	Doubt time.Duration
	// ObeyPatience is for how long no server may show that it obeys the leader; an idle one is looked at once a second.
	ObeyPatience time.Duration
	// OwnerSilence is how long after its owner was last heard an order may start: no longer than until the owner is missed, as
	// it starts the task elsewhere some time after that.
	OwnerSilence time.Duration
	// Stall is how long the progress of a run may stand still.
	Stall time.Duration
	// Quarantine is the first pause of a server that fails what it runs; it doubles up to MaxQuarantine.
	Quarantine, MaxQuarantine time.Duration
}

// clockSkew is how much slower than true a backend server's clock may run (2%, the platform's pages).
const clockSkew = 1.02

// DefaultConfig returns the times that keep the chain of leases under 1.3 s, after which a caller that
// lost its connection sends its job again (docs/notes/platform.md has the sum).
func DefaultConfig() Config {
	return Config{
		Lease:         600 * time.Millisecond,
		Wait:          200 * time.Millisecond,
		Settle:        120 * time.Millisecond,
		StopRetry:     20 * time.Millisecond,
		StopPatience:  100 * time.Millisecond,
		Doubt:         850 * time.Millisecond,
		ObeyPatience:  2 * time.Second,
		OwnerSilence:  450 * time.Millisecond,
		Stall:         350 * time.Millisecond,
		Quarantine:    time.Second,
		MaxQuarantine: 8 * time.Second,
	}
}

// Lapse is how long after its last renewal was sent a lease has ended by any clock.
func (cfg Config) Lapse() time.Duration {
	return time.Duration(float64(cfg.Lease)*clockSkew) + lapseMargin
}

// lapseMargin covers the way of a renewal to the server and the kill there (50 ms, the platform's pages).
const lapseMargin = 60 * time.Millisecond
