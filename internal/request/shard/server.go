package shard

import (
	"slices"
	"time"
)

// serverState says whether a backend server follows this leader.
type serverState int

const (
	// claiming servers have not yet accepted the leader's fencing token.
	claiming serverState = iota
	// confirmed servers have accepted it and answer.
	confirmed
	// unreachable servers have accepted it and no longer answer.
	unreachable
)

// server is the leader's state of one backend server.
type server struct {
	ent   ServerEntry
	state serverState
	// incarnation is the newest one that has answered or, before any has, that of the entry; all below is about it.
	incarnation Incarnation
	// unlisted servers have no entry in the list now. Those that are unreadable have one that can't be read: nothing is known of their room.
	unlisted, unreadable bool
	// addedAt is when a server was listed that is to get no task yet (see admitAdded); zero for the others.
	addedAt time.Time
	// newlyListed is set if the server was added because it was listed, not because it has started again, and the leader had others before. A successor
	// that has no server at all proves nothing.
	newlyListed bool
	// runs is changed only by add and drop, which keep the used and unclaimed counts right.
	runs map[RunID]*run
	// runList has the same runs in the order in which they were added.
	runList                   []*run
	usedProcessor, usedMemory int64
	unclaimed                 int
	// handledSeq is the highest sequence number of an end that was handled. ackDue is the highest one in the last answer: each is
	// acknowledged once, as a later incarnation would take the number for its own and forget ends that nobody has read.
	handledSeq, ackDue int64
	// foreignLeaseAt is when the incarnation may last have taken a lease that was meant for the one before it, whose clock was ahead; zero if it has not.
	// noStartsUntil is when such leases have ended that it is known to have taken.
	foreignLeaseAt, noStartsUntil time.Time
	// clock is the server's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// renewedAt is when the last call was sent that may extend the leases of the server's runs.
	renewedAt time.Time
	// extensionLostAt is when the last such call was given up without an answer: until then it may have been carried out.
	extensionLostAt time.Time
	// leaseEnd is the latest end of a lease that was sent to the incarnation, on its clock; 0 if none was.
	leaseEnd time.Duration
	// renewing is set while the latest renewal, whose number is renewals, is in progress; renewAt is when it was sent or the next is due.
	renewing bool
	renewals int64
	renewAt  time.Time
	// delayNext is set to send the next renewal after renewDelay.
	delayNext bool
	// confirmedAt is the time of sending of the newest renewal that the server answered with this leader's token, listing all that ended.
	confirmedAt time.Time
	// proofPending is set while a renewal is in progress that returns at once, because an order waits for the proof that its task does not
	// run here.
	proofPending bool
	// missed counts the renewals in a row that got no answer.
	missed int
	// failures counts the submissions that failed here since the last success; the last was lastFailed. No task is started before
	// quarantinedUntil.
	failures         int
	lastFailed       string
	spd              speed
	quarantinedUntil time.Time
	// openTo is the number of priorities, the most urgent ones, whose tasks may start here; 0 if it was not decided yet, which means all.
	openTo int
}

// run is one start of a task on a server.
type run struct {
	id    RunID
	state runState
	// incarnation is the server's one that the start was sent to, clock the last reading of its clock before, and leastClock what its clock showed at
	// least when the start was sent.
	incarnation       Incarnation
	clock, leastClock time.Duration
	// confirmed is set once it is known that the incarnation which the start was sent to has carried it out, so that its lease ends by that clock.
	confirmed bool
	// ord is nil for an unclaimed run, whose size is not known.
	ord    *order
	sentAt time.Time
	// firstStart is set if no earlier start of the order was sent that may have been carried out.
	firstStart bool
	// repeats counts how often the start was sent again after no answer.
	repeats int
	// acceptedAt is when the server accepted the start or first listed the run.
	acceptedAt time.Time
	// percent is the progress of the run, reached at progressAt.
	percent    int
	progressAt time.Time
	// stopAt is when the first stop was sent, stopDue when the next is due, stopAcceptedAt when the server accepted one.
	stopAt, stopDue, stopAcceptedAt time.Time
	// stopReason says why it is stopped.
	stopReason StopReason
	// ownerLost is set once the owner that the run was started for is lost.
	ownerLost bool
	// stopInProgress is set from a StopRun until its result.
	stopInProgress bool
	// timeHandled is set once the run time was used as evidence of its server's speed, or if it can't be used. spansPause is set if the
	// leader was paused during the run: its time, as seen here, also stays out of the mean run time.
	timeHandled, spansPause bool
	// outlived is set once the run was seen to outlive the leases that this leader has sent.
	outlived bool
}

type runState int

const (
	// starting runs have no answer yet.
	starting runState = iota
	// running runs were accepted.
	running
	// ending runs are being stopped; they keep their capacity until the server shows that they are over.
	ending
)

func newServer(ent ServerEntry, now time.Time) *server {
	return &server{ent: ent, incarnation: ent.Incarnation, runs: map[RunID]*run{}, renewAt: now}
}

// add adds a run to the server and counts its size.
func (srv *server) add(rn *run) {
	if old := srv.runs[rn.id]; old != nil {
		srv.runList = without(srv.runList, old)
	}
	srv.runs[rn.id] = rn
	srv.runList = append(srv.runList, rn)
	srv.count(rn, 1)
}

// drop removes a run from the server and from the counts.
func (srv *server) drop(rn *run) {
	if srv.runs[rn.id] == rn {
		delete(srv.runs, rn.id)
		srv.runList = without(srv.runList, rn)
		srv.count(rn, -1)
	}
}

// count adds a run to the counts of the server, or removes it if sign is -1.
func (srv *server) count(rn *run, sign int64) {
	if rn.ord == nil {
		srv.unclaimed += int(sign)
		return
	}
	srv.usedProcessor += sign * rn.ord.Processor
	srv.usedMemory += sign * rn.ord.Memory
}

// assign connects a run of the server to an order, or to none if ord is nil.
func (srv *server) assign(rn *run, ord *order) {
	srv.count(rn, -1)
	rn.ord = ord
	srv.count(rn, 1)
}

// free returns the processor and memory that are certainly free, both 0 if one of them is used up: every run that may exist counts, and an
// unclaimed one, whose size is not known, takes up the whole server.
func (srv *server) free() (processor, memory int64) {
	processor, memory = srv.ent.Processor-srv.usedProcessor, srv.ent.Memory-srv.usedMemory
	if srv.unclaimed > 0 || processor <= 0 || memory <= 0 {
		return 0, 0
	}
	return processor, memory
}

// overfull reports whether the runs whose sizes are known need more than the server's room, which may have shrunk since they started.
func (srv *server) overfull() bool {
	return srv.usedProcessor > srv.ent.Processor || srv.usedMemory > srv.ent.Memory
}

// acceptsTasks reports whether a new task may start on the server, which may have missed up to tolerated renewals in a row. After a
// quarantine it is on trial, with one task at a time.
func (srv *server) acceptsTasks(now time.Time, tolerated int) bool {
	switch {
	case srv.state != confirmed || srv.missed > tolerated || srv.ent.Leaving || srv.unreadable || !srv.addedAt.IsZero():
		return false
	case srv.ent.Incarnation != srv.incarnation || now.Before(srv.noStartsUntil):
		return false // The size of a new incarnation is known from its entry only.
	case now.Before(srv.quarantinedUntil) || now.Before(srv.spd.quarantinedUntil):
		return false
	}
	return !srv.onTrial() || len(srv.runs) == 0
}

// confirmedSince reports whether the server has answered a renewal sent at or after since with this leader's token.
func (srv *server) confirmedSince(since time.Time) bool {
	return srv.state == confirmed && !srv.confirmedAt.Before(since)
}

// inService reports whether the server counts for the shard's capacity; a quarantined one does.
func (srv *server) inService() bool {
	return srv.state == confirmed && !srv.ent.Leaving && !srv.unreadable && srv.ent.Memory > 0
}

// onTrial reports whether the next end decides if a server that was quarantined is sound.
func (srv *server) onTrial() bool { return srv.failures >= failuresToQuarantine || srv.spd.onTrial() }

// suits reports whether the server may run an order, apart from free capacity.
func (srv *server) suits(ord *order) bool {
	if srv.ent.Service != ord.Service {
		return false
	}
	if ord.Label != "" && !slices.Contains(srv.ent.Labels, ord.Label) {
		return false
	}
	return ord.MaxPerServer <= 0 || srv.countStep(ord.Step) < ord.MaxPerServer
}

// countStep returns how many runs of a step the server has.
func (srv *server) countStep(step string) int {
	num := 0
	for _, rn := range srv.runList {
		if rn.ord != nil && rn.ord.Step == step {
			num++
		}
	}
	return num
}

// takeAck returns the sequence number to acknowledge with the next renewal. If that is lost, or none is due now, the server lists the ends
// again. With runs on the server, ends of an answer that is not fresh are left to the next one: those of a new incarnation may have the same
// numbers, and would be forgotten unread.
func (srv *server) takeAck(now time.Time) int64 {
	ack := srv.ackDue
	srv.ackDue = 0
	if len(srv.runs) > 0 && now.Sub(srv.clockAt) > maxAckAge {
		return 0
	}
	return ack
}

// maxAckAge is shorter than a server takes to start again, and longer than the delay of a renewal after ends.
const maxAckAge = 50 * time.Millisecond

// idle reports whether nothing runs or may start on the server.
func (srv *server) idle() bool { return srv.state == confirmed && len(srv.runs) == 0 }

// setClock records a reading of the server's clock, taken at now or before.
func (srv *server) setClock(now time.Time, clock time.Duration) {
	srv.clock, srv.clockAt = clock, now
}

// hasAcceptedStop reports whether a run has an accepted stop, so that the next renewal may prove it over and should not wait for an end.
func (srv *server) hasAcceptedStop() bool {
	for _, rn := range srv.runList {
		if !rn.stopAcceptedAt.IsZero() {
			return true
		}
	}
	return false
}

const (
	// failuresToQuarantine is how many submissions in a row must fail before a server is quarantined: one in 500 tasks fails on sound
	// servers, so two in a row are rare.
	failuresToQuarantine = 2
	maxDoublings         = 8
)

// succeeded ends the count of failures, and any quarantine for them.
func (srv *server) succeeded() {
	srv.failures, srv.lastFailed, srv.quarantinedUntil = 0, "", time.Time{}
}
