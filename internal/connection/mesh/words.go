package mesh

import (
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/domainlist"
)

// Leadership says that an instance leads a shard.
type Leadership struct {
	Shard shard.Name
	Token int64
	Load  shard.Load
}

// Heartbeat is what an instance says of itself with each batch.
type Heartbeat struct {
	Domain string
	// Processor is the share of a core that the instance has.
	Processor float64
	// Ready instances may take over shards; Leaving ones hand theirs over.
	Ready, Leaving bool
	// ConfigVersion is the newest configuration that the instance has.
	ConfigVersion int64
	// TokenRound is the highest round of fencing tokens that the instance has seen.
	TokenRound int64
	Leaderships []Leadership
	// Divisions is how the instance sees the pool cut into shards.
	Divisions map[string]shard.Division
	// ClosedDomains is what the instance knows of closed failure domains.
	ClosedDomains domainlist.View
	// CompleteUpTo is the offset of the list of backend servers up to which the instance knows all that may live, and none of them lacks
	// its entry; 0 if it can't tell.
	CompleteUpTo int64
}

// Message is something that one instance has for another: Order, Withdrawal, Report, Configuration or Missed.
type Message interface{ message() }

// Order is an order for the leader of a shard.
type Order struct {
	Shard shard.Name
	// Token is that of the leader that is meant.
	Token int64
	Order shard.Order
}

// Cancellation ends an order.
type Cancellation struct {
	Shard shard.Name
	Token int64
	Task  string
}

// Report says what came of an order.
type Report struct{ Report shard.Report }

// Configuration passes a record of a configuration on, as the platform publishes it.
type Configuration struct{ Data []byte }

// LossNotice passes on that the sender has missed an instance.
type LossNotice struct{ Instance shard.InstanceID }

func (LossNotice) message()        {}
func (Order) message()         {}
func (Cancellation) message()    {}
func (Report) message()        {}
func (Configuration) message() {}

// Handler takes what arrives. Its methods are called one at a time for each instance.
type Handler interface {
	// Heartbeat returns what to tell the others.
	Heartbeat() Heartbeat
	// HandleBatch takes a batch; the beat is the sender's newest. The sender was there at a time, by the own clock.
	HandleBatch(from shard.InstanceID, at time.Time, beat Heartbeat, msgs []Message)
	// HandleStaleBatch says that a batch with messages was not taken, as it was sent too long ago; its sender sends it again if it has not
	// given up on it.
	HandleStaleBatch(from shard.InstanceID, age time.Duration, messages int)
	// HandleInstanceLost says that an instance is not heard any more; nothing of its old session follows.
	HandleInstanceLost(id shard.InstanceID, cause Cause)
}

// Cause says why a session has ended.
type Cause string

// The causes of a session's end.
const (
	// Silent peers were not heard for several beats.
	Silent Cause = "not heard"
	// Suspected peers were missed by another instance and did not answer when asked.
	Suspected Cause = "missed by another and no answer"
	// Unreachable peers are called seldom and have answered none of several calls in a row.
	Unreachable Cause = "no answer"
	// Unacknowledged peers are heard and have given no receipt.
	Unacknowledged Cause = "no receipt"
	// Refused peers have no process at their address.
	Refused Cause = "connection refused"
	// Reset sessions were ended by the peer, which has missed this instance or is another life.
	Reset Cause = "ended by the peer"
)

// IsSilence reports whether the peer was only not heard, and not seen to end.
func (cau Cause) IsSilence() bool { return cau == Silent || cau == Unreachable || cau == Suspected }

// Peer is another instance as the platform's store names it.
type Peer struct {
	Name, Address string
}

// Schedule is how two instances talk.
type Schedule struct {
	// Intervals is how many intervals lie between beats.
	Intervals int
	// OpenOrders says that orders lie open between the two, so that silence has to be noticed in time whatever else goes on.
	OpenOrders bool
}

// Config has what a Mesh is told.
type Config struct {
	Name string
	Incarnation int64
	// Address is where the others reach this instance.
	Address string
	// HeartbeatInterval is the pause between beats with instances that depend on each other. An instance may go unheard
	// for SilentBeats of the intervals that hold for it.
	HeartbeatInterval    time.Duration
	MissedHeartbeats int
	// CallTimeout bounds a batch's way there and back; after it a fresh connection is tried, as an open
	// one may have gone silent for good.
	CallTimeout time.Duration
	// Now is the clock of the process.
	Now func() time.Time
}
