package mesh

import (
	"strconv"
	"time"

	"chestnutstack/internal/request/shard"
)

// ID returns the name of one life of an instance.
func ID(name string, life int64) shard.InstanceID {
	return shard.InstanceID(name + "/" + strconv.FormatInt(life, 10))
}

// peer is this instance's end of the sessions with another one; it is guarded by the mesh's lock.
type peer struct {
	name, address string
	// generation counts our sessions, sequence the batches of the one in progress.
	generation, sequence int64
	outbox               []Message
	// sending is the batch that has no receipt yet.
	sending []Message
	// heard is set while a session of the other's is in progress; inLife, inGeneration and inSequence
	// belong to it.
	heard                            bool
	inLife, inGeneration, inSequence int64
	heardAt                          time.Time
	// answeredAt is when a batch of the peer's was last answered, with a beat.
	answeredAt time.Time
	// interval is the pause between beats, since pacedAt.
	interval time.Duration
	pacedAt  time.Time
	wake     chan struct{}
}

func newPeer(name string, interval time.Duration) *peer {
	return &peer{name: name, interval: interval, wake: make(chan struct{}, 1)}
}

// silent reports whether the peer has not been heard for too long. A pace that was just raised counts from
// then on: the peer may not know of it yet.
func (per *peer) silent(now time.Time, beats int) bool {
	since := per.heardAt
	if per.pacedAt.After(since) {
		since = per.pacedAt
	}
	return per.heard && now.Sub(since) > time.Duration(beats)*per.interval
}

func (per *peer) id() shard.InstanceID { return ID(per.name, per.inLife) }

// reset ends both directions of the session, and reports whether there was one.
func (per *peer) reset() (was shard.InstanceID, had bool) {
	was, had = per.id(), per.heard
	per.heard = false
	per.generation++
	per.sequence = 0
	per.outbox, per.sending = nil, nil
	return was, had
}

// arrival says what to do with a batch.
type arrival int

const (
	// fresh batches begin a session, next ones continue it.
	fresh arrival = iota
	next
	// repeated batches were taken already; their receipt was lost.
	repeated
	// outdated batches belong to a session that was given up.
	outdated
)

// sort says what a batch is in the session that is in progress.
func (per *peer) sort(dlv *wireDelivery) arrival {
	older := dlv.Life < per.inLife || dlv.Life == per.inLife && dlv.Generation < per.inGeneration
	same := dlv.Life == per.inLife && dlv.Generation == per.inGeneration
	switch {
	case older || same && !per.heard:
		return outdated
	case !same:
		return fresh
	case dlv.Sequence <= per.inSequence:
		return repeated
	case dlv.Sequence == per.inSequence+1:
		return next
	}
	return outdated // A batch is missing, which only a session given up explains.
}

// begin starts the session that a batch belongs to.
func (per *peer) begin(dlv *wireDelivery) {
	per.heard = true
	per.inLife, per.inGeneration = dlv.Life, dlv.Generation
}
