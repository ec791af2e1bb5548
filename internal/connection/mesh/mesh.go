package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/request/shard"
)

// DialFunc opens a connection; net.Dialer's DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Mesh holds the connections of this instance to all other instances, and the sessions with them.
type Mesh struct {
	cfg  Config
	dial DialFunc
	hdl  Handler
	cnt  rpc.Counters
	// startedAt is when New was called; the process age that batches carry counts from it.
	startedAt time.Time
	// unackedPayload counts the bytes of payloads in messages that wait to be sent or were not acknowledged yet.
	unackedPayload atomic.Int64

	// mu guards peers, group and ctx; it is not held during calls of the Handler, which may call Send.
	mu    sync.Mutex
	peers map[string]*peer
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // set by Run for the peers that are added later
}

// New returns a mesh without peers; it connects and accepts connections only while Run runs.
func New(cfg Config, dial DialFunc, hdl Handler) *Mesh {
	return &Mesh{cfg: cfg, dial: dial, hdl: hdl, startedAt: cfg.Now(), peers: map[string]*peer{}}
}

// Stats returns the bytes and calls since New.
func (msh *Mesh) Stats() rpc.Stats { return msh.cnt.Stats() }

// UnacknowledgedBytes returns the size on the wire, in bytes, of the payloads that wait to be sent to other instances or were
// sent and not acknowledged yet.
func (msh *Mesh) UnacknowledgedBytes() int64 { return msh.unackedPayload.Load() * 4 / 3 } // Base64 encodes three bytes as four.

// Run accepts connections from lis and calls all peers until ctx is done; it returns the first error of accepting.
func (msh *Mesh) Run(ctx context.Context, lis net.Listener) error {
	grp, ctx := errgroup.WithContext(ctx)
	msh.mu.Lock()
	msh.group, msh.ctx = grp, ctx
	for _, per := range msh.peers {
		grp.Go(func() error { return msh.runPeer(ctx, per) })
	}
	msh.mu.Unlock()
	grp.Go(func() error { return msh.serve(ctx, lis) })
	grp.Go(func() error { return msh.detectLosses(ctx) })
	return grp.Wait()
}

// SetPeers adds the instances that the platform's store lists, except this one, and updates their addresses. Instances are never
// removed: an instance that is gone only costs a refused dial now and then.
func (msh *Mesh) SetPeers(prs []Peer) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, prm := range prs {
		if prm.Name == msh.cfg.Name {
			continue
		}
		per := msh.peer(prm.Name)
		per.address = prm.Address
		signal(per.wake)
	}
}

// peer returns the peer with a name and adds it if it is missing; the caller holds the lock.
func (msh *Mesh) peer(name string) *peer {
	per := msh.peers[name]
	if per == nil {
		per = newPeer(name, msh.cfg.Incarnation, msh.cfg.HeartbeatInterval)
		msh.peers[name] = per
		if msh.group != nil {
			msh.group.Go(func() error { return msh.runPeer(msh.ctx, per) })
		}
	}
	return per
}

// signal makes runPeer send a batch at once; it never blocks.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Send queues a message for delivery within the current session with an instance. Without a session the message is dropped, as the
// Handler was or will be told of the loss of that instance; so is one that is too large for any batch, of which the Handler is told at once.
func (msh *Mesh) Send(to shard.InstanceID, msg Message) {
	if size := messageBytes(msg); size > maxMessage {
		msh.hdl.HandleTooLarge(to, size)
		return
	}
	msh.mu.Lock()
	defer msh.mu.Unlock()
	name, _ := splitID(to)
	per := msh.peers[name]
	if per == nil || !per.established || per.id() != to {
		return
	}
	msh.unackedPayload.Add(per.enqueue(msg))
	if !isDeferrable(msg) {
		per.startAckWait(msh.cfg.Now())
		signal(per.wake)
	}
}

// SetSchedules sets how often each instance gets a heartbeat. An instance that has none in schedules counts as one without open orders
// and keeps its interval, as does one without a session. While no messages wait, the side with the shorter interval makes the calls;
// the receipts that the other side returns have its heartbeats, so it needs no calls of its own.
func (msh *Mesh) SetSchedules(schedules map[shard.InstanceID]Schedule) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, per := range msh.peers {
		sch := schedules[per.id()]
		per.openOrders = sch.OpenOrders
		want := time.Duration(sch.Intervals) * msh.cfg.HeartbeatInterval
		if !per.established || want == 0 || per.interval == want {
			continue
		}
		if want < per.interval {
			per.shortenedAt = msh.cfg.Now()
			signal(per.wake)
		}
		per.interval = want
	}
}

// Suspect notes that another instance reported the loss of a peer: the peer is called at once, and is lost if it doesn't answer
// within Config.CallTimeout. A peer that was heard within the last Config.HeartbeatInterval isn't suspected.
func (msh *Mesh) Suspect(id shard.InstanceID) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	name, _ := splitID(id)
	per := msh.peers[name]
	now := msh.cfg.Now()
	if per == nil || !per.established || per.id() != id || per.unheardSince(per.suspectedAt) ||
		now.Sub(per.heardAt) < msh.cfg.HeartbeatInterval {
		return
	}
	per.suspectedAt = now
	signal(per.wake)
}

// isDeferrable reports whether a message may wait until a batch is sent for another reason. It may if it reports that a task has
// started: the owner needs that only to choose which orders to recall, and it would cause a third of all batches.
func isDeferrable(msg Message) bool {
	rep, ok := msg.(Report)
	return ok && rep.Report.Outcome == shard.Started
}

// SendHeartbeats sends a heartbeat to all instances at once, also to those whose session is just being set up: their first
// heartbeats may have been encoded before the state of this instance changed. Without that, two instances that did not know that the
// other was ready both took a shard over, and its jobs waited for a second.
func (msh *Mesh) SendHeartbeats() { msh.SendHeartbeatsIf(func(shard.InstanceID) bool { return true }) }

// SendHeartbeatsIf sends a heartbeat to the instances for which needed returns true, and to those without a session.
func (msh *Mesh) SendHeartbeatsIf(needed func(id shard.InstanceID) bool) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, per := range msh.peers {
		if !per.established || needed(per.id()) {
			signal(per.wake)
		}
	}
}

// detectLosses ends the sessions with instances that were not heard for too long, until ctx is done.
func (msh *Mesh) detectLosses(ctx context.Context) error {
	tck := time.NewTicker(msh.cfg.HeartbeatInterval / lossChecksPerInterval)
	defer tck.Stop()
	checked := msh.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
		}
		now := msh.cfg.Now()
		paused := now.Sub(checked) > msh.cfg.HeartbeatInterval
		if paused {
			// This process was paused: what the others sent meanwhile is unread in the sockets, and they would count as silent. The
			// sleep lets it be read. While orders are open with a peer, its loss must be detected even by a process that is always
			// short of processor time; for the other peers the next check decides.
			time.Sleep(SocketReadTime)
			now = msh.cfg.Now()
		}
		checked = now
		msh.mu.Lock()
		lost := map[*peer]Cause{}
		for _, per := range msh.peers {
			if paused && !per.openOrders {
				continue
			}
			if cau := per.lossCause(now, msh.cfg); cau != "" {
				lost[per] = cau
			}
		}
		msh.mu.Unlock()
		for per, cau := range lost {
			msh.endSession(per, cau)
		}
	}
}

// SocketReadTime is how long a process that was paused reads what has arrived before it checks for lost peers: enough for some
// hundred batches on a fifth of a core.
const SocketReadTime = 20 * time.Millisecond

// lossChecksPerInterval is the number of checks for lost peers in one heartbeat interval.
const lossChecksPerInterval = 2

// subtractDropped subtracts the bytes of the payloads that ended sessions with a peer dropped from unackedPayload; the caller holds
// the lock.
func (msh *Mesh) subtractDropped(per *peer) {
	msh.unackedPayload.Add(-per.droppedBytes)
	per.droppedBytes = 0
}

// endSession ends the session with a peer, if there is one, and tells the Handler.
func (msh *Mesh) endSession(per *peer, cau Cause) {
	per.eventMu.Lock()
	defer per.eventMu.Unlock()
	msh.mu.Lock()
	former, ended := per.end()
	msh.subtractDropped(per)
	msh.mu.Unlock()
	if ended {
		msh.hdl.HandleInstanceLost(former, cau)
	}
}
