package succession

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// The sessions and batches between nodes follow the rules of package mesh, without sockets: sessions that both sides know of, and one batch
// at a time, which is retried until there is a receipt and accepted only while it is fresh.

// fakeEpoch identifies one side of a session: the incarnation of its process, and the generation, which rises each time that side ends a
// session.
type fakeEpoch struct{ incarnation, generation int64 }

func (epo fakeEpoch) before(oth fakeEpoch) bool {
	return epo.incarnation < oth.incarnation || epo.incarnation == oth.incarnation && epo.generation < oth.generation
}

// session is one node's side of the session with a peer.
type session struct {
	nod  *node
	peer string
	// own and other are the epochs of the two sides; the session is established once the peer has answered to the own one.
	own, other  fakeEpoch
	established bool
	// sequence numbers the batches sent, inSequence those accepted.
	sequence, inSequence int64
	// outbox has the messages for the next batch, sending those of the present one; that has got its number if numbered is set.
	outbox, sending []any
	numbered        bool
	// heardAt is until when the peer was surely heard. peerStamp and heartbeatStamp are the peer's time stamps of its newest batch and
	// heartbeat; peerStampAt is when peerStamp came.
	heardAt, peerStamp, heartbeatStamp time.Time
	// aliveAt is until when it was surely alive, without counting what was read late as new.
	aliveAt time.Time
	// unackedSince and failingSince are since when a batch lacks its receipt and calls get no answer; answeredAt is when
	// this side last answered a batch of the peer, calledAt when it last sent one; shortenedAt is when the interval was last shortened.
	peerStampAt, unackedSince, failingSince, answeredAt, shortenedAt, calledAt time.Time
	interval                                                                   time.Duration
	heartbeat                                                                  heartbeat
	// calling is set while a call is in progress, callAgain if another one is to follow it.
	calling, callAgain bool
}

// heartbeat is the state of a node that goes with each batch.
type heartbeat struct {
	ins   Instance
	round int64
	// listOffset is the offset up to which the node knows all servers that may be running.
	listOffset int64
	loads      map[shard.Name]shard.Load
}

// fakeBatch is a batch or its receipt.
type fakeBatch struct {
	own, other fakeEpoch
	// stamp is the time of sending by the sender's clock, peerStamp the newest stamp that the sender has got from the receiver.
	stamp, peerStamp time.Time
	heartbeat        heartbeat
	hasHeartbeat     bool
	// stale says in a receipt that the batch was too old to be accepted.
	stale bool
	// sequence is the number of the batch; 0 if it has no messages.
	sequence int64
	msgs     []any
}

const (
	heartbeatInterval = 100 * time.Millisecond
	callTimeout       = 150 * time.Millisecond
	// freshFor is how old the echoed time stamp of a batch may be.
	freshFor = 4 * heartbeatInterval
	// idleInterval is the heartbeat interval between nodes of different domains without orders between them.
	idleInterval = 3 * heartbeatInterval
)

func (ses *session) id() shard.InstanceID { return incarnationID(ses.peer, ses.other.incarnation) }

// signal calls the peer, once no other call is in progress.
func (ses *session) signal() {
	ses.callAgain = true
	if !ses.calling {
		ses.calling = true
		ses.nod.sim.after(0, func() { ses.nod.deliver("out "+ses.peer, ses.call) })
	}
}

// push queues a message, if the session is established.
func (ses *session) push(msg any) {
	if !ses.established {
		return
	}
	ses.outbox = append(ses.outbox, msg)
	if rep, ok := msg.(reportMessage); !ok || rep.rep.Outcome != shard.Started {
		ses.signal() // The report that a task has started may wait for the next batch.
	}
}

// call sends a batch with the queued messages, or the one that has no receipt yet, and a heartbeat.
func (ses *session) call() {
	nod, sim := ses.nod, ses.nod.sim
	ses.callAgain = false
	ses.calledAt = sim.now
	if ses.established && !ses.numbered && len(ses.outbox) > 0 {
		ses.sending, ses.outbox, ses.numbered = ses.outbox, nil, true
		ses.sequence++
	}
	if len(ses.sending) > 0 && ses.unackedSince.IsZero() {
		ses.unackedSince = sim.now
	}
	bat := fakeBatch{own: ses.own, other: ses.other, stamp: sim.now, peerStamp: ses.peerStamp, heartbeat: nod.heartbeat(), hasHeartbeat: true}
	outdated := !ses.peerStamp.IsZero() && sim.now.Sub(ses.peerStampAt) > freshFor*3/4
	if ses.numbered && !outdated {
		bat.sequence, bat.msgs = ses.sequence, ses.sending
	}
	done := false
	finish := func(act func()) func() {
		return func() {
			if !done {
				done = true
				act()
			}
		}
	}
	sim.after(callTimeout, func() {
		nod.deliver("timeout "+ses.peer, finish(func() { ses.handleTimeout(sim.now) }))
	})
	if !sim.up(nod.name, ses.peer) {
		return
	}
	sim.after(sim.delay(), func() {
		oth := sim.nodes[ses.peer]
		if oth == nil || oth.dead {
			if oth != nil && !oth.powerLost && sim.up(ses.peer, nod.name) {
				nod.deliver("in "+ses.peer, finish(func() { ses.handleRefusal() }))
			}
			return
		}
		oth.deliver("batch "+nod.name, func() {
			rcp := oth.session(nod.name).handleBatch(bat)
			if !sim.up(ses.peer, nod.name) {
				return
			}
			sim.after(sim.delay(), func() {
				nod.deliver("in "+ses.peer, finish(func() { ses.handleReceipt(bat, rcp) }))
			})
		})
	})
}

// handleTimeout ends a call without an answer.
func (ses *session) handleTimeout(now time.Time) {
	if ses.established && !ses.heardAt.Before(ses.failingSince) {
		ses.failingSince = now
	}
	pause := heartbeatInterval
	if ses.established {
		pause, ses.callAgain = 10*time.Millisecond, true
	}
	ses.nod.sim.after(pause, func() { ses.finishCall() })
}

// handleRefusal handles a refused connection: the peer's process has ended.
func (ses *session) handleRefusal() {
	ses.nod.endSession(ses, "connection refused", false)
	ses.handleTimeout(ses.nod.sim.now)
}

// finishCall ends a call; a call that was asked for meanwhile begins at once.
func (ses *session) finishCall() {
	ses.calling = false
	if ses.callAgain {
		ses.signal()
	}
}

// handleReceipt handles the answer to a batch.
func (ses *session) handleReceipt(bat, rcp fakeBatch) {
	now := ses.nod.sim.now
	current, was, ended := ses.handshake(now, rcp)
	if current && !rcp.stale && ses.numbered && ses.sequence == bat.sequence && bat.own == ses.own {
		ses.sending, ses.numbered, ses.unackedSince = nil, false, time.Time{}
		if len(ses.outbox) > 0 {
			ses.unackedSince = now
			ses.callAgain = true
		}
	}
	if current {
		ses.noteStamp(now, rcp.stamp)
		ses.noteEcho(now, bat.stamp)
		if len(ses.sending) > 0 {
			ses.callAgain = true
		}
	}
	if ended {
		ses.nod.handleLost(was, false)
	}
	if current && rcp.hasHeartbeat {
		ses.nod.handleHeartbeat(ses.id(), ses.aliveAt, ses.newest(rcp.heartbeat, rcp.stamp), nil)
	}
	ses.finishCall()
}

// handleBatch handles a batch of the peer and returns its receipt.
func (ses *session) handleBatch(bat fakeBatch) fakeBatch {
	now := ses.nod.sim.now
	before := ses.established
	current, was, ended := ses.handshake(now, bat)
	echo := bat.peerStamp
	fresh := !echo.IsZero() && now.Sub(echo) <= freshFor
	next := current && fresh && bat.sequence > 0 && bat.sequence == ses.inSequence+1
	if next {
		ses.inSequence = bat.sequence
	}
	if current {
		ses.noteStamp(now, bat.stamp)
		ses.noteEcho(now, echo)
		ses.answeredAt = now
	}
	if ses.established != before || !current {
		ses.signal()
	}
	rcp := fakeBatch{own: ses.own, other: ses.other, stale: !fresh, stamp: now, peerStamp: ses.peerStamp}
	if ended {
		ses.nod.handleLost(was, false)
	}
	if !current {
		return rcp
	}
	var msgs []any
	if next {
		msgs = bat.msgs
	}
	ses.nod.handleHeartbeat(ses.id(), ses.aliveAt, ses.newest(bat.heartbeat, bat.stamp), msgs)
	rcp.heartbeat, rcp.hasHeartbeat = ses.nod.heartbeat(), true
	return rcp
}

// newest returns the newest heartbeat of the peer, by the time stamp of its batch.
func (ses *session) newest(hbt heartbeat, stamp time.Time) heartbeat {
	if stamp.Before(ses.heartbeatStamp) {
		return ses.heartbeat
	}
	ses.heartbeat, ses.heartbeatStamp = hbt, stamp
	return hbt
}

// noteStamp keeps the newest time stamp of the peer, which is sent back to it.
func (ses *session) noteStamp(now, stamp time.Time) {
	if !stamp.Before(ses.peerStamp) {
		ses.peerStamp, ses.peerStampAt = stamp, now
	}
}

// noteEcho takes in an own time stamp that the peer has sent back: the peer is heard until then, or until now if the stamp is fresh.
func (ses *session) noteEcho(now, echo time.Time) {
	if echo.After(ses.aliveAt) {
		ses.aliveAt = echo
	}
	if now.Sub(echo) <= freshFor {
		echo = now
	}
	if echo.After(ses.heardAt) {
		ses.heardAt = echo
	}
}

// handshake compares the epochs of a batch with the session's. It returns whether the batch is of the current session, and the instance
// whose session the peer's newer epoch has ended.
func (ses *session) handshake(now time.Time, bat fakeBatch) (current bool, was shard.InstanceID, ended bool) {
	if bat.own.before(ses.other) {
		return false, "", false
	}
	if ses.other.before(bat.own) {
		was, ended = ses.reset()
		if ses.other.incarnation != bat.own.incarnation {
			ses.peerStamp, ses.heartbeatStamp = time.Time{}, time.Time{}
		}
		ses.other = bat.own
		ses.clear()
	}
	if bat.other != ses.own {
		return false, was, ended
	}
	if !ses.established {
		ses.established, ses.heardAt, ses.aliveAt = true, now, now
	}
	return true, was, ended
}

// reset ends an established session and returns the instance that it was with.
func (ses *session) reset() (was shard.InstanceID, had bool) {
	if !ses.established {
		return "", false
	}
	was = ses.id()
	ses.established = false
	ses.own.generation++
	ses.clear()
	return was, true
}

func (ses *session) clear() {
	ses.sequence, ses.inSequence = 0, 0
	ses.outbox, ses.sending, ses.numbered = nil, nil, false
	ses.unackedSince, ses.failingSince = time.Time{}, time.Time{}
}

// failure returns the cause for which the session is to be ended, or "", and whether that is the peer's silence.
func (ses *session) failure(now time.Time) (cause string, silent bool) {
	since := ses.heardAt
	if ses.shortenedAt.After(since) {
		since = ses.shortenedAt
	}
	switch {
	case !ses.established:
	case now.Sub(since) > 4*ses.interval:
		return "not heard", true
	case !ses.failingSince.IsZero() && ses.heardAt.Before(ses.failingSince) && now.Sub(ses.failingSince) > freshFor:
		return "no answer", true
	case !ses.unackedSince.IsZero() && now.Sub(ses.unackedSince) > freshFor:
		return "no receipt", false
	}
	return "", false
}
