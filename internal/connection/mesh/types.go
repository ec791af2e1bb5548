package mesh

import (
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/domainlist"
)

// Leadership says that an instance leads a shard, and how loaded the shard is.
type Leadership struct {
	Shard shard.Name
	Token int64
	Load  shard.Load
}

// Heartbeat is what an instance sends about its own state with each batch and receipt.
type Heartbeat struct {
	Domain string
	// Processor is the processor time that the instance may use, in cores.
	Processor float64
	// Ready instances may take over shards, unless they are Stopping; Leaving ones hand theirs over.
	Ready, Stopping, Leaving bool
	// ConfigVersion is the newest configuration that the instance has.
	ConfigVersion int64
	// TokenRound is the highest round of fencing tokens that the instance has seen.
	TokenRound  int64
	Leaderships []Leadership
	// Divisions has, by failure domain, the division of its backend servers into shards, as far as the instance knows it.
	Divisions map[string]shard.Division
	// ClosedDomains is what the instance knows of closed failure domains.
	ClosedDomains domainlist.View
	// CompleteUpTo is the offset in the list of backend servers up to which the instance knows all servers that may be running,
	// each with an entry; 0 if it isn't sure of that.
	CompleteUpTo int64
	// ListOffset is the offset up to which the instance knows exactly that list; 0 if there is none.
	ListOffset int64
	// ListBytes is the size of a full read of that list, ListRate what is written to it in a second, in bytes as the instance has measured them; 0 if
	// it has not.
	ListBytes, ListRate int64
	// WantsList is set while the instance knows nothing of the list and waits for its turn to read it.
	WantsList bool
}

// Message is sent from one instance to another: Order, Cancellation, Report, Configuration, ServerChanges, ServerList, ServerSpeeds,
// LossNotice, JobQuery or JobAnswer.
type Message interface{ message() }

// Order asks the leader of a shard to run a task.
type Order struct {
	Shard shard.Name
	// Token is the fencing token of the leader for which the order is meant.
	Token int64
	Order shard.Order
}

// Cancellation ends an order that was sent to the leader of a shard. One that has Followed is with a newer leader now.
type Cancellation struct {
	Shard    shard.Name
	Token    int64
	Task     string
	Followed bool
}

// Report tells the owner of an order what became of it.
type Report struct{ Report shard.Report }

// Configuration passes on the record of a configuration, as the platform publishes it.
type Configuration struct{ Data []byte }

// ServerList passes on the whole list of backend servers to an instance that has never read it, encoded.
type ServerList struct{ Data []byte }

// ServerChanges passes on changes of the list of backend servers that the receiver lacks, encoded as a digest.
type ServerChanges struct{ Data []byte }

// ServerSpeeds tells what the sender has learned of the speeds of a shard's servers.
type ServerSpeeds struct{ Told shard.ToldSpeeds }

// LossNotice says that the sender has lost an instance.
type LossNotice struct{ Instance shard.InstanceID }

// JobQuery asks an instance for a job that it may have accepted, or to cancel that job.
type JobQuery struct {
	// Number is the sender's number of the query.
	Number     int64
	Route, Job string
	Cancel     bool
}

// JobAnswer answers the query with a number.
type JobAnswer struct {
	Number int64
	State  submission.JobState
}

func (JobQuery) message()      {}
func (JobAnswer) message()     {}
func (LossNotice) message()    {}
func (Order) message()         {}
func (Cancellation) message()  {}
func (Report) message()        {}
func (Configuration) message() {}
func (ServerChanges) message() {}
func (ServerList) message()    {}
func (ServerSpeeds) message()  {}

// Handler handles what arrives from other instances. Its methods are called one at a time for each instance, but for HandleTooLarge.
type Handler interface {
	// Heartbeat returns the current heartbeat of this instance.
	Heartbeat() Heartbeat
	// HandleBatch handles the newest heartbeat of an instance and the messages of a batch, in order. There are none with a receipt
	// and with a batch that is stale or was accepted before. The time at is the latest, by this instance's clock, at which the
	// sender is known to have been alive.
	HandleBatch(from shard.InstanceID, at time.Time, hbt Heartbeat, msgs []Message)
	// HandleStaleBatch is called when a batch with a number of messages was rejected, as it may have been sent as long as age ago. The
	// sender sends it again unless it has ended the session meanwhile.
	HandleStaleBatch(from shard.InstanceID, age time.Duration, messages int)
	// HandleInstanceLost is called when the session with an instance has ended; no message of that session follows.
	HandleInstanceLost(id shard.InstanceID, cause Cause)
	// HandleTooLarge is called by Send, which drops a message of a number of bytes as it is too large for a batch. The caller of Send may
	// hold locks.
	HandleTooLarge(to shard.InstanceID, bytes int)
}

// Cause says why a session has ended.
type Cause string

// The causes of a session's end.
const (
	// Silent peers were not heard for Config.MissedHeartbeats of their heartbeat intervals.
	Silent Cause = "not heard"
	// Suspected peers were reported lost by another instance and then did not answer this one within Config.CallTimeout.
	Suspected Cause = "missed by another and no answer"
	// Unreachable peers were called, and neither answered nor were heard, for longer than Config.MissedHeartbeats of the shortest
	// intervals. This detects the loss of a peer with a long heartbeat interval well before Silent does.
	Unreachable Cause = "no answer"
	// Unacknowledged peers may be heard but did not acknowledge messages for Config.MissedHeartbeats of the shortest intervals.
	Unacknowledged Cause = "no receipt"
	// Refused peers have no process that listens at their address, so the former one has ended.
	Refused Cause = "connection refused"
	// Reset sessions were ended by the peer, which has lost this instance or was restarted.
	Reset Cause = "ended by the peer"
)

// IsSilence reports whether the cause is only that the peer wasn't heard, which doesn't prove that its process has ended.
func (cau Cause) IsSilence() bool { return cau == Silent || cau == Unreachable || cau == Suspected }

// Peer is another instance, as the platform's store lists it.
type Peer struct {
	Name, Address string
}

// Schedule says how often two instances exchange heartbeats.
type Schedule struct {
	// Intervals is the time between heartbeats, in units of Config.HeartbeatInterval; 0 keeps the current one.
	Intervals int
	// OpenOrders says that one of the two has open orders of the other, so that a loss must be detected in time even by a process
	// that is short of processor time.
	OpenOrders bool
}

// Config holds the parameters of a Mesh.
type Config struct {
	Name        string
	Incarnation int64
	// Address is where the other instances reach this one.
	Address string
	// HeartbeatInterval is the shortest time between heartbeats, used with instances that depend on each other. A peer is lost
	// after MissedHeartbeats of its intervals without a message from it.
	HeartbeatInterval time.Duration
	MissedHeartbeats  int
	// CallTimeout is the least time to wait for the receipt of a batch, and the most for each write. Afterwards the batch is sent
	// on a new connection, as an open one may never deliver anything again.
	CallTimeout time.Duration
	// Now is the clock of the process.
	Now func() time.Time
}
