package shard

import "time"

// Evidence says why a leader counts a run as over.
type Evidence string

// The kinds of evidence.
const (
	// ListedAsDone, ListedAsFailed and ListedAsStopped mean that the server lists the run's end, which is not reported to an owner.
	ListedAsDone    Evidence = "done"
	ListedAsFailed  Evidence = "failed"
	ListedAsStopped Evidence = "stopped"
	// ListedAsLapsed means that the server lists the run's end, as its lease expired there.
	ListedAsLapsed Evidence = "lapsed"
	// NotListed means that an answer of the server has the run neither as running nor as ended.
	NotListed Evidence = "not-listed"
	// LeaseOver means that the leases which this leader extended have expired by any clock.
	LeaseOver Evidence = "lease-over"
	// FormerIncarnation means that the run's server has started again.
	FormerIncarnation Evidence = "former-incarnation"
	// ServerReplaced means that another server has the address.
	ServerReplaced Evidence = "replaced"
)

// listedAs returns the evidence of an end that a server lists.
func listedAs(knd EndKind) Evidence {
	switch knd {
	case EndedDone:
		return ListedAsDone
	case EndedFailed:
		return ListedAsFailed
	case EndedLapsed:
		return ListedAsLapsed
	case EndedStopped:
	}
	return ListedAsStopped
}

// LeaseState is what a leader knows of the leases on a server.
type LeaseState struct {
	Incarnation Incarnation
	// Until is the latest end of a lease that this leader has sent, on the server's clock; 0 if it has sent none.
	Until time.Duration
	// Clock is the newest reading of the server's clock, ClockAge the time since then.
	Clock, ClockAge time.Duration
}

// NoteRunOver describes a run that is counted as over.
type NoteRunOver struct {
	Server   ServerID
	Run      RunID
	Evidence Evidence
	Lease    LeaseState
	// Extended is the time since the last call was sent that may extend the lease, Accepted the time since the start was known to be carried
	// out; 0 if it never was.
	Extended, Accepted time.Duration
	// Followed is set if the order was with a former leader.
	Followed bool
	// StopReason says why the run was stopped, empty if it was not. StopSent is the time since its first stop, StopAccepted that since the server
	// has accepted one; 0 if there was none.
	StopReason             StopReason
	StopSent, StopAccepted time.Duration
}

// NoteOutlivedLease describes a run that a server lists though each lease that this leader has sent is over by the server's clock: another one has extended
// it, or the server counts the lease from another time.
type NoteOutlivedLease struct {
	Server ServerID
	Run    RunID
	Lease  LeaseState
}

func (NoteRunOver) action()       {}
func (NoteOutlivedLease) action() {}

// leaseState returns what is known of the leases on a server.
func (srv *server) leaseState(now time.Time) LeaseState {
	return LeaseState{Incarnation: srv.incarnation, Until: srv.leaseEnd, Clock: srv.clock, ClockAge: now.Sub(srv.clockAt)}
}

// noteOver describes on what evidence a run is counted as over.
func (ldr *Leader) noteOver(now time.Time, srv *server, rn *run, evd Evidence) {
	note := NoteRunOver{
		Server: srv.ent.ID, Run: rn.id, Evidence: evd, Lease: srv.leaseState(now), Extended: now.Sub(srv.renewedAt),
		Followed: rn.ord != nil && rn.ord.Reassigned, StopReason: rn.stopReason,
		Accepted: sinceSet(now, rn.acceptedAt), StopSent: sinceSet(now, rn.stopAt), StopAccepted: sinceSet(now, rn.stopAcceptedAt),
	}
	ldr.emit(note)
}

// sinceSet returns the time since at, 0 if at is not set.
func sinceSet(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// noteOutlived describes a listed run, once, if it has outlived the leases that this leader has sent.
func (ldr *Leader) noteOutlived(now time.Time, srv *server, rn *run) {
	if rn.outlived || srv.leaseEnd == 0 || srv.clock <= srv.leaseEnd+killTime {
		return
	}
	rn.outlived = true
	ldr.emit(NoteOutlivedLease{Server: srv.ent.ID, Run: rn.id, Lease: srv.leaseState(now)})
}

// killTime is the longest time that a server takes to kill a run (50 ms, from the platform's documentation).
const killTime = 50 * time.Millisecond
