package mesh

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutstack/internal/request/roundtrip"
	"chestnutstack/internal/request/shard"
)

// ID returns the ID of an instance in one incarnation, NAME/INCARNATION.
func ID(name string, incarnation int64) shard.InstanceID {
	return shard.InstanceID(name + "/" + strconv.FormatInt(incarnation, 10))
}

// Name returns the name of the instance whose incarnation an ID identifies.
func Name(id shard.InstanceID) string {
	name, _ := splitID(id)
	return name
}

// splitID returns the name and the incarnation in an ID; the incarnation is 0 if it has none.
func splitID(id shard.InstanceID) (name string, incarnation int64) {
	idx := strings.LastIndexByte(string(id), '/')
	if idx < 0 {
		return string(id), 0
	}
	incarnation, _ = strconv.ParseInt(string(id[idx+1:]), 10, 64) // IDs that ID returned always parse; no instance has another.
	return string(id[:idx]), incarnation
}

// epoch is one side's part of a session's identity: the incarnation of its process, and the number of sessions with the other
// side that it has ended in that incarnation.
type epoch struct{ incarnation, generation int64 }

// before reports whether the epoch is older than another one of the same side.
func (epo epoch) before(oth epoch) bool {
	return epo.incarnation < oth.incarnation || epo.incarnation == oth.incarnation && epo.generation < oth.generation
}

// peer is the state of the sessions with another instance; it is guarded by the mesh's lock.
//
// A session is established once both sides know each other's epoch. A side that ends it raises its own generation, and the other
// side ends it in turn, once. A side without an established session ends none, as otherwise two resets that cross each other
// would cause further resets for ever.
type peer struct {
	name, address       string
	ownEpoch, peerEpoch epoch
	// cachedID is the ID of the peer's incarnation cachedFor.
	cachedID    shard.InstanceID
	cachedFor   int64
	established bool
	// sentSequence is the number of the last batch that was sent in the session, receivedSequence that of the last one accepted.
	sentSequence, receivedSequence int64
	// outbox has the messages that wait for the next batch.
	outbox []Message
	// inFlight has the messages of the batch that was not acknowledged yet; numbered says that it has a sequence number.
	inFlight []Message
	numbered bool
	// outboxBytes and inFlightBytes count the bytes of the payloads in outbox and inFlight. droppedBytes are payloads of ended
	// sessions that Mesh.unackedPayload still counts.
	outboxBytes, inFlightBytes, droppedBytes int64
	// divisions are those of the latest heartbeat of the peer that had any, in this session; ackedDivisions are those of this
	// instance that the peer has acknowledged.
	divisions, ackedDivisions map[string]shard.Division
	// heardAt is the latest time, by this instance's clock, at which the peer is known to have been alive.
	heardAt time.Time
	// aliveAt is the latest such time that doesn't count what was read late as new.
	aliveAt time.Time
	// peerAge is the highest process age that the peer has sent, received at peerAgeAt.
	peerAge   time.Duration
	peerAgeAt time.Time
	// heartbeat is the peer's latest, sent at its process age heartbeatAge.
	heartbeat    Heartbeat
	heartbeatAge time.Duration
	// eventMu is held from a change of the session until the Handler was told of it, so that the Handler is told of all changes
	// in order. It is locked before the mesh's lock.
	eventMu sync.Mutex
	// unackedSince is the time since which messages wait for their acknowledgement; zero if none do.
	unackedSince time.Time
	// repliedAt is when a batch of the peer was last answered; the answer has a heartbeat.
	repliedAt time.Time
	// interval is the time between heartbeats. It was last shortened at shortenedAt.
	interval    time.Duration
	shortenedAt time.Time
	openOrders  bool
	// failingSince is the time since which calls of the peer fail; suspectedAt is when another instance reported its loss. Both have no
	// effect once the peer was heard afterwards.
	failingSince, suspectedAt time.Time
	// ackTimes estimates how long acknowledgements take.
	ackTimes roundtrip.Estimator
	// wake makes runPeer send a batch at once.
	wake chan struct{}
}

// newPeer returns a peer without a session; incarnation is that of this instance, interval the first time between heartbeats.
func newPeer(name string, incarnation int64, interval time.Duration) *peer {
	return &peer{name: name, ownEpoch: epoch{incarnation: incarnation}, interval: interval, wake: make(chan struct{}, 1)}
}

// id returns the ID of the peer's incarnation. It is cached, as each change of the schedules asks for the IDs of all peers.
func (per *peer) id() shard.InstanceID {
	if per.cachedFor != per.peerEpoch.incarnation || per.cachedID == "" {
		per.cachedID, per.cachedFor = ID(per.name, per.peerEpoch.incarnation), per.peerEpoch.incarnation
	}
	return per.cachedID
}

// isSilent reports whether the peer was not heard for more than a number of heartbeat intervals. After the interval was shortened
// the time counts from then on, as the peer may not know of it yet.
func (per *peer) isSilent(now time.Time, missed int) bool {
	since := per.heardAt
	if per.shortenedAt.After(since) {
		since = per.shortenedAt
	}
	return per.established && now.Sub(since) > time.Duration(missed)*per.interval
}

// isUnreachable reports whether calls of the peer have failed for longer than timeout while it was not heard. It detects the loss
// of a peer with a long interval well before isSilent does.
func (per *peer) isUnreachable(now time.Time, timeout time.Duration) bool {
	return per.established && per.unheardSince(per.failingSince) && now.Sub(per.failingSince) > timeout
}

// isSuspected reports whether another instance reported the loss of the peer more than timeout ago, and the peer was not heard
// since.
func (per *peer) isSuspected(now time.Time, timeout time.Duration) bool {
	return per.established && per.unheardSince(per.suspectedAt) && now.Sub(per.suspectedAt) > timeout
}

// unheardSince reports whether the peer was last heard before a time; it is false for the zero time.
func (per *peer) unheardSince(since time.Time) bool { return per.heardAt.Before(since) }

// isUnacknowledged reports whether messages were not acknowledged for longer than timeout. The peer may be heard meanwhile, if it can
// reach this instance but not the other way round. It would wait for messages that can't arrive: without this check reports of ended
// tasks did not arrive until the deadlines of their callers.
func (per *peer) isUnacknowledged(now time.Time, timeout time.Duration) bool {
	return per.established && !per.unackedSince.IsZero() && now.Sub(per.unackedSince) > timeout
}

// lossCause returns why the session with the peer has to end, or "" if it goes on.
func (per *peer) lossCause(now time.Time, cfg Config) Cause {
	timeout := time.Duration(cfg.MissedHeartbeats) * cfg.HeartbeatInterval
	switch {
	case per.isSilent(now, cfg.MissedHeartbeats):
		return Silent
	case per.isSuspected(now, cfg.CallTimeout):
		return Suspected
	case per.isUnreachable(now, timeout):
		return Unreachable
	case per.isUnacknowledged(now, timeout):
		return Unacknowledged
	}
	return ""
}

// startAckWait notes that a message waits for its acknowledgement; the time counts from the first message that waits.
func (per *peer) startAckWait(now time.Time) {
	if per.unackedSince.IsZero() {
		per.unackedSince = now
	}
}

// maxLostPeerInterval bounds the time between calls of a peer without a session: a peer that runs again may lead shards, so its
// heartbeat is needed soon.
const maxLostPeerInterval = time.Second

// end ends the session, if one is established, and returns the ID of the instance that it was with. It doesn't tell the Handler.
func (per *peer) end() (former shard.InstanceID, ended bool) {
	if !per.established {
		return "", false
	}
	former = per.id()
	per.established = false
	per.ownEpoch.generation++
	per.interval = min(per.interval, maxLostPeerInterval)
	per.clear()
	return former, true
}

// enqueue adds a message to the outbox and returns the number of bytes by which the payloads in it grow; equal payloads are sent once.
func (per *peer) enqueue(msg Message) int64 {
	var byt int64
	if ord, ok := msg.(Order); ok && !per.outboxHasPayload(ord.Order.Payload) {
		byt = int64(len(ord.Order.Payload))
	}
	per.outbox = append(per.outbox, msg)
	per.outboxBytes += byt
	return byt
}

// outboxHasPayload reports whether an order in the outbox has this payload.
func (per *peer) outboxHasPayload(payload string) bool {
	return slices.ContainsFunc(per.outbox, func(msg Message) bool {
		ord, ok := msg.(Order)
		return ok && ord.Order.Payload == payload
	})
}

// clear drops the messages and the state of a session; it adds the bytes of their payloads to droppedBytes.
func (per *peer) clear() {
	per.sentSequence, per.receivedSequence = 0, 0
	per.outbox, per.inFlight, per.numbered = nil, nil, false
	per.droppedBytes += per.outboxBytes + per.inFlightBytes
	per.outboxBytes, per.inFlightBytes = 0, 0
	per.divisions, per.ackedDivisions = nil, nil
	per.unackedSince, per.failingSince, per.suspectedAt = time.Time{}, time.Time{}, time.Time{}
}

// acknowledge notes that the peer accepted the batch in flight, and returns the bytes of its payloads.
func (per *peer) acknowledge(now time.Time) (bytes int64) {
	per.inFlight, per.numbered, per.unackedSince = nil, false, time.Time{}
	if slices.ContainsFunc(per.outbox, func(msg Message) bool { return !isDeferrable(msg) }) {
		per.startAckWait(now) // A deferrable message waits for the next batch, however long that takes.
		signal(per.wake)
	}
	bytes, per.inFlightBytes = per.inFlightBytes, 0
	return bytes
}

// sessionEpochs identifies the session that a batch or receipt belongs to: the sender's own epoch and the receiver's as the sender
// knows it.
type sessionEpochs struct{ from, to epoch }

// updateSession ends or establishes the session according to the epochs in a batch or receipt that was received at now. It reports
// whether they are those of the session that is established now, and the instance whose session has ended, if one has.
func (per *peer) updateSession(now time.Time, eps sessionEpochs) (current bool, former shard.InstanceID, ended bool) {
	if eps.from.before(per.peerEpoch) {
		return false, "", false
	}
	if per.peerEpoch.before(eps.from) {
		former, ended = per.end()
		if per.peerEpoch.incarnation != eps.from.incarnation {
			per.peerAge, per.heartbeatAge = 0, 0
		}
		per.peerEpoch = eps.from
		per.clear()
	}
	if eps.to != per.ownEpoch {
		return false, former, ended
	}
	if !per.established {
		per.established, per.heardAt, per.aliveAt = true, now, now
	}
	return true, former, ended
}

// accept reports whether a batch of the current session is the next one by its sequence number, and if so notes it as received. A
// batch that is sent again because its receipt was lost is not accepted twice.
func (per *peer) accept(sequence int64) bool {
	if sequence != per.receivedSequence+1 {
		return false
	}
	per.receivedSequence = sequence
	return true
}

// mergeHeartbeat returns the newest heartbeat of the peer: hbt, sent at the peer's process age age, or one that was received before
// but sent later. It adds the divisions that the peer left out as already acknowledged. A batch and the receipt of another one may
// overtake each other: taken in the order of arrival, an instance that had just taken a shard over seemed not to lead it any more,
// and its orders were reassigned to the former leader.
func (per *peer) mergeHeartbeat(hbt Heartbeat, age time.Duration) Heartbeat {
	if age > 0 && age < per.heartbeatAge {
		return per.heartbeat
	}
	if len(hbt.Divisions) > 0 {
		per.divisions = hbt.Divisions
	}
	hbt.Divisions = per.divisions
	per.heartbeat, per.heartbeatAge = hbt, age
	return hbt
}

// withoutAckedDivisions returns a heartbeat of this instance without its divisions if the peer has acknowledged the same in this
// session: with them an idle instance would send 32 KB a second to 15 others, without them 24 KB.
func (per *peer) withoutAckedDivisions(hbt Heartbeat) Heartbeat {
	if per.established && maps.Equal(per.ackedDivisions, hbt.Divisions) {
		hbt.Divisions = nil
	}
	return hbt
}
