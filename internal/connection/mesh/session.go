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

// ID returns the name of one life of an instance.
func ID(name string, life int64) shard.InstanceID {
	return shard.InstanceID(name + "/" + strconv.FormatInt(life, 10))
}

// splitID returns the name and the life that an ID was made of.
func splitID(id shard.InstanceID) (name string, life int64) {
	idx := strings.LastIndexByte(string(id), '/')
	if idx < 0 {
		return string(id), 0
	}
	life, _ = strconv.ParseInt(string(id[idx+1:]), 10, 64) // It was made by ID; another one names no life.
	return string(id[:idx]), life
}

// epoch is one side's part of a session: the life of its process and how often it has given up sessions
// with the other in that life.
type epoch struct{ life, generation int64 }

func (epo epoch) before(oth epoch) bool {
	return epo.life < oth.life || epo.life == oth.life && epo.generation < oth.generation
}

// peer is this instance's end of the sessions with another one; it is guarded by the mesh's lock.
//
// A session is up from the moment when both sides know each other's epoch. A side that gives it up raises its
// own generation, and the other follows once; a side that has none up does not follow, or two resets that
// meet would call each other forth for ever.
type peer struct {
	name, address string
	own, other    epoch
	// made is the id of the life madeFor.
	made    shard.InstanceID
	madeFor int64
	up      bool
	// sequence counts the batches of the session that were sent, inSequence those that were taken.
	sequence, inSequence int64
	outbox               []Message
	// sending is the batch that has no receipt yet.
	sending []Message
	counted bool
	// waitingBytes are those of the payloads in outbox, sendingBytes in sending; dropped ones await their end in the count.
	waitingBytes, sendingBytes, dropped int64
	// divisions are those that the peer has last told in this session, toldDivisions those that it surely has from here.
	divisions, toldDivisions map[string]shard.Division
	heardAt                  time.Time
	// heardAge is the newest age of the peer's process that was heard, at heardAgeAt.
	heardAge   time.Duration
	heardAgeAt time.Time
	// beat is the peer's newest, told at beatAge.
	beat    Heartbeat
	beatAge time.Duration
	// turn is held from a change of the session until the Handler has heard of it, so that it hears of all in order. It is taken
	// before the mesh's lock.
	turn sync.Mutex
	// stuckSince is since when something waits for its receipt.
	stuckSince time.Time
	// answeredAt is when a batch of the peer's was last answered, with a beat.
	answeredAt time.Time
	// interval is the pause between beats, since pacedAt.
	interval   time.Duration
	pacedAt    time.Time
	openOrders bool
	// failingSince is since when calls of the peer fail, doubtedAt when another instance has told that it missed the peer. Neither
	// counts once the peer was heard after it.
	failingSince, doubtedAt time.Time
	// receipts are the times until receipts came.
	receipts roundtrip.Estimate
	wake     chan struct{}
}

func newPeer(name string, life int64, interval time.Duration) *peer {
	return &peer{name: name, own: epoch{life: life}, interval: interval, wake: make(chan struct{}, 1)}
}

// id returns the peer's life; it is made once for each, as it is asked for with all peers at a time.
func (per *peer) id() shard.InstanceID {
	if per.madeFor != per.other.life || per.made == "" {
		per.made, per.madeFor = ID(per.name, per.other.life), per.other.life
	}
	return per.made
}

// silent reports whether the peer has not been heard for too long. A pace that was just raised counts from
// then on: the peer may not know of it yet.
func (per *peer) silent(now time.Time, beats int) bool {
	since := per.heardAt
	if per.pacedAt.After(since) {
		since = per.pacedAt
	}
	return per.up && now.Sub(since) > time.Duration(beats)*per.interval
}

// unreachable reports whether calls of the peer have failed for longer than a patience, and it was not heard meanwhile: one that
// is called seldom is missed long before its beats are.
func (per *peer) unreachable(now time.Time, patience time.Duration) bool {
	return per.up && per.unheardSince(per.failingSince) && now.Sub(per.failingSince) > patience
}

// doubted reports whether another instance has missed the peer, and it was not heard here for a while after that.
func (per *peer) doubted(now time.Time, patience time.Duration) bool {
	return per.up && per.unheardSince(per.doubtedAt) && now.Sub(per.doubtedAt) > patience
}

func (per *peer) unheardSince(since time.Time) bool { return per.heardAt.Before(since) }

// stuck reports whether messages have been without a receipt for too long. The peer may be heard all the while, as it
// reaches this instance, and wait for what can't reach it: reports of tasks that were done stayed away until their
// callers' deadlines.
func (per *peer) stuck(now time.Time, patience time.Duration) bool {
	return per.up && !per.stuckSince.IsZero() && now.Sub(per.stuckSince) > patience
}

// missing says why the peer is to be given up, if it is.
func (per *peer) missing(now time.Time, cfg Config) Cause {
	patience := time.Duration(cfg.MissedHeartbeats) * cfg.HeartbeatInterval
	switch {
	case per.silent(now, cfg.MissedHeartbeats):
		return Silent
	case per.doubted(now, cfg.CallTimeout):
		return Suspected
	case per.unreachable(now, patience):
		return Unreachable
	case per.stuck(now, patience):
		return Unacknowledged
	}
	return ""
}

// waitsSince notes that something waits for its receipt; an earlier wait goes first.
func (per *peer) waitsSince(now time.Time) {
	if per.stuckSince.IsZero() {
		per.stuckSince = now
	}
}

// lostInterval is the pause between calls of a peer that was given up: one that is back leads again, and is to be known.
const lostInterval = time.Second

// reset gives the session up if one is up, and reports whose it was.
func (per *peer) reset() (was shard.InstanceID, had bool) {
	if !per.up {
		return "", false
	}
	was = per.id()
	per.up = false
	per.own.generation++
	per.interval = min(per.interval, lostInterval)
	per.clear()
	return was, true
}

// push puts a message into the next batch and returns the bytes of the payload that it adds there.
func (per *peer) push(msg Message) int64 {
	var byt int64
	if ord, ok := msg.(Order); ok && !per.carries(ord.Order.Payload) {
		byt = int64(len(ord.Order.Payload))
	}
	per.outbox = append(per.outbox, msg)
	per.waitingBytes += byt
	return byt
}

// carries reports whether an order of the next batch has a payload.
func (per *peer) carries(payload string) bool {
	return slices.ContainsFunc(per.outbox, func(msg Message) bool {
		ord, ok := msg.(Order)
		return ok && ord.Order.Payload == payload
	})
}

func (per *peer) clear() {
	per.sequence, per.inSequence = 0, 0
	per.outbox, per.sending, per.counted = nil, nil, false
	per.dropped += per.waitingBytes + per.sendingBytes
	per.waitingBytes, per.sendingBytes = 0, 0
	per.divisions, per.toldDivisions = nil, nil
	per.stuckSince, per.failingSince, per.doubtedAt = time.Time{}, time.Time{}, time.Time{}
}

// delivered notes that the peer has taken what was sent.
func (per *peer) delivered(now time.Time) (bytes int64) {
	per.sending, per.counted, per.stuckSince = nil, false, time.Time{}
	if len(per.outbox) > 0 {
		per.waitsSince(now)
	}
	bytes, per.sendingBytes = per.sendingBytes, 0
	return bytes
}

// greeting is what one side says of a session: its own epoch, and the other's as it knows it.
type greeting struct{ from, to epoch }

// greet takes a greeting in that came at a time. It reports whether the greeting belongs to the session that is up now, and
// whose session ended by it, if any.
func (per *peer) greet(now time.Time, grt greeting) (current bool, was shard.InstanceID, ended bool) {
	if grt.from.before(per.other) {
		return false, "", false
	}
	if per.other.before(grt.from) {
		was, ended = per.reset()
		if per.other.life != grt.from.life {
			per.heardAge, per.beatAge = 0, 0
		}
		per.other = grt.from
		per.clear()
	}
	if grt.to != per.own {
		return false, was, ended
	}
	if !per.up {
		per.up, per.heardAt = true, now
	}
	return true, was, ended
}

// isNext reports whether a batch of the current session is to be taken; a repeated one was, and its
// receipt was lost.
func (per *peer) isNext(sequence int64) bool {
	if sequence != per.inSequence+1 {
		return false
	}
	per.inSequence = sequence
	return true
}

// newest takes in a beat, and returns the newest one with what the peer has said before in this session. A batch and the receipt
// of another one pass each other: an instance that had just taken a shard over seemed to lead it no more, and its orders
// followed to the leader before it.
func (per *peer) newest(bet Heartbeat, age time.Duration) Heartbeat {
	if age > 0 && age < per.beatAge {
		return per.beat
	}
	if len(bet.Divisions) > 0 {
		per.divisions = bet.Divisions
	}
	bet.Divisions = per.divisions
	per.beat, per.beatAge = bet, age
	return bet
}

// news leaves out of a beat what the peer has had before in this session: without them, idle instances
// send 24 KB a second to 15 others in place of 32.
func (per *peer) news(bet Heartbeat) Heartbeat {
	if per.up && maps.Equal(per.toldDivisions, bet.Divisions) {
		bet.Divisions = nil
	}
	return bet
}
