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

// Mesh is an instance's end of the connections to all others.
type Mesh struct {
	cfg  Config
	dial DialFunc
	hdl  Handler
	cnt  rpc.Counters
	// began is when the mesh was made.
	began time.Time
	// outstanding counts the bytes of payloads in batches without a receipt.
	outstanding atomic.Int64

	// mu guards the peers; it is not held while a Handler works.
	mu    sync.Mutex
	peers map[string]*peer
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // set by Run for the peers that are added later
}

// New returns a mesh without peers that works while Run does.
func New(cfg Config, dial DialFunc, hdl Handler) *Mesh {
	return &Mesh{cfg: cfg, dial: dial, hdl: hdl, began: cfg.Now(), peers: map[string]*peer{}}
}

// Stats returns the bytes and calls since the start.
func (msh *Mesh) Stats() rpc.Stats { return msh.cnt.Stats() }

// UnacknowledgedBytes returns the bytes of payloads that are on their way to other instances: sent and not yet acknowledged, or about
// to be sent.
func (msh *Mesh) UnacknowledgedBytes() int64 { return msh.outstanding.Load() * 4 / 3 } // Base64 makes four of three.

// Run serves and calls until ctx is done.
func (msh *Mesh) Run(ctx context.Context, lis net.Listener) error {
	grp, ctx := errgroup.WithContext(ctx)
	msh.mu.Lock()
	msh.group, msh.ctx = grp, ctx
	for _, per := range msh.peers {
		grp.Go(func() error { return msh.runPeer(ctx, per) })
	}
	msh.mu.Unlock()
	grp.Go(func() error { return msh.serve(ctx, lis) })
	grp.Go(func() error { return msh.watch(ctx) })
	return grp.Wait()
}

// SetPeers tells the mesh which instances there are, besides its own. Instances are never forgotten: one
// that is gone costs a refused dial now and then.
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

// peer returns the peer of a name; the lock is held.
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

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Send has a message delivered within the session that is in progress; without one it is dropped,
// as the Handler has been or will be told that the instance was lost.
func (msh *Mesh) Send(to shard.InstanceID, msg Message) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	name, _ := splitID(to)
	per := msh.peers[name]
	if per == nil || !per.up || per.id() != to {
		return
	}
	msh.outstanding.Add(per.push(msg))
	if !lazy(msg) {
		per.waitsSince(msh.cfg.Now())
		signal(per.wake)
	}
}

// SetSchedules tells the mesh how to talk to each instance. The side with the faster pace does the calling.
func (msh *Mesh) SetSchedules(paces map[shard.InstanceID]Schedule) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, per := range msh.peers {
		pce := paces[per.id()]
		per.openOrders = pce.OpenOrders
		want := time.Duration(pce.Intervals) * msh.cfg.HeartbeatInterval
		if !per.up || want == 0 || per.interval == want {
			continue
		}
		if want < per.interval {
			per.pacedAt = msh.cfg.Now()
			signal(per.wake)
		}
		per.interval = want
	}
}

// Suspect tells the mesh that another instance has missed a peer: it is asked at once, and given up sooner than its own silence
// would tell. One that was heard a moment ago is fine.
func (msh *Mesh) Suspect(id shard.InstanceID) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	name, _ := splitID(id)
	per := msh.peers[name]
	now := msh.cfg.Now()
	if per == nil || !per.up || per.id() != id || per.unheardSince(per.doubtedAt) ||
		now.Sub(per.heardAt) < msh.cfg.HeartbeatInterval {
		return
	}
	per.doubtedAt = now
	signal(per.wake)
}

// lazy reports whether a message may wait for the next batch: that a task has begun changes nothing for its
// owner but whom it calls back, and would be a third of all batches.
func lazy(msg Message) bool {
	rep, ok := msg.(Report)
	return ok && rep.Report.Outcome == shard.Begun
}

// SendHeartbeats has a beat sent to all at once, also where a session is just coming about: its first beats may have been written down
// before the news. Two instances that did not know of each other that they were ready both took a shard over, and its
// jobs waited for a second.
func (msh *Mesh) SendHeartbeats() { msh.SendHeartbeatsIf(func(shard.InstanceID) bool { return true }) }

// SendHeartbeatsIf is Nudge for the instances of which a condition holds, and for those that were not heard yet.
func (msh *Mesh) SendHeartbeatsIf(concerns func(id shard.InstanceID) bool) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	for _, per := range msh.peers {
		if !per.up || concerns(per.id()) {
			signal(per.wake)
		}
	}
}

// watch gives up the sessions of instances that are not heard.
func (msh *Mesh) watch(ctx context.Context) error {
	tck := time.NewTicker(msh.cfg.HeartbeatInterval / silenceChecks)
	defer tck.Stop()
	checked := msh.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
		}
		now := msh.cfg.Now()
		late := now.Sub(checked) > msh.cfg.HeartbeatInterval
		if late {
			// This process had no processor for a while: what the others sent meanwhile lies unread, and would be
			// taken for silence. Where orders lie open, a process that is short of processor all the time has to
			// miss the other all the same; else the next check tells.
			time.Sleep(SocketReadTime)
			now = msh.cfg.Now()
		}
		checked = now
		msh.mu.Lock()
		quiet := map[*peer]Cause{}
		for _, per := range msh.peers {
			if late && !per.openOrders {
				continue
			}
			if cau := per.missing(now, msh.cfg); cau != "" {
				quiet[per] = cau
			}
		}
		msh.mu.Unlock()
		for per, cau := range quiet {
			msh.lose(per, cau)
		}
	}
}

// SocketReadTime is what a process that was held up gets to read what has come: some hundred batches on a fifth of a core.
const SocketReadTime = 20 * time.Millisecond

// silenceChecks is how often within an interval silence is looked for.
const silenceChecks = 2

// forget counts the payloads of a session that has ended no more; the lock is held.
func (msh *Mesh) forget(per *peer) {
	msh.outstanding.Add(-per.dropped)
	per.dropped = 0
}

// lose gives up the session with a peer.
func (msh *Mesh) lose(per *peer, cau Cause) {
	per.turn.Lock()
	defer per.turn.Unlock()
	msh.mu.Lock()
	was, had := per.reset()
	msh.forget(per)
	msh.mu.Unlock()
	if had {
		msh.hdl.HandleInstanceLost(was, cau)
	}
}
