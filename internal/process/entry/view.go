package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/backend"
	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/version/platform"
)

// view keeps the tracker of members fed, and tells dispatch, limits and the session pool of changes.
type view struct {
	ins *Instance
	lst platform.Instances

	mu      sync.Mutex
	trk     *member.Tracker
	current *member.View
	// self is what the platform's list is to say of this instance.
	self member.Instance
	// last is the list as it was last read, for peers that start while the platform is out of reach; fromPlatform is set once it was
	// read there, and not only had from peers.
	last         []member.Instance
	fromPlatform bool
	peers        map[dispatch.PeerID]member.Peer
	wake         chan struct{}

	// addrMu is a leaf: a decision asks for an address while it holds its own lock.
	addrMu    sync.Mutex
	addresses map[dispatch.ServerID]string
}

func newView(ins *Instance, lst platform.Instances) *view {
	cfg := ins.cfg
	self := member.Instance{
		ID:            cfg.ID,
		Incarnation:   cfg.Incarnation,
		Kind:          member.KindEntry,
		Address:       cfg.Callers.Addr().String(),
		PeerAddress:   cfg.Peers.Addr().String(),
		FailureDomain: cfg.FailureDomain,
	}
	return &view{
		ins:   ins,
		lst:   lst,
		self:  self,
		trk:   member.New(member.DefaultConfig(), self, rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+2))),
		peers: make(map[dispatch.PeerID]member.Peer),
		wake:  make(chan struct{}, 1),
	}
}

// note takes in one piece of evidence and acts on what follows from it.
func (vie *view) note(event func(now time.Time, trk *member.Tracker)) {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	now := vie.ins.now()
	event(now, vie.trk)
	act := vie.trk.Actions(now)
	for _, snd := range act.Sends {
		vie.send(snd)
	}
	if act.Disowned {
		vie.ins.decide(vie.ins.limits.Disowned)
	}
	if act.ViewChanged {
		vie.apply(vie.trk.View(now))
	}
	select {
	case vie.wake <- struct{}{}:
	default:
	}
}

// send exchanges heartbeats with a peer, outside the lock.
func (vie *view) send(snd member.Send) {
	ins := vie.ins
	ins.metrics.Count(metrics.Heartbeat, 1)
	ins.group.Go(func() error {
		tgt := peer.Target{ID: snd.Peer, Address: snd.Address}
		rep, err := ins.peers.Heartbeat(ins.ctx, tgt, snd.Heartbeat)
		if err != nil {
			ins.peerEvidence(snd.Peer, err)
			return nil
		}
		ins.metrics.Count(metrics.Heartbeat, 1)
		vie.note(func(now time.Time, trk *member.Tracker) { trk.Heard(now, rep) })
		ins.catalogue.hint(rep.CatalogueOffset)
		return nil
	})
}

// apply runs under vie.mu; the order of locks is always view before decision.
func (vie *view) apply(cur *member.View) {
	vie.current = cur
	ins := vie.ins
	clear(vie.peers)
	var pers []dispatch.Peer
	for _, per := range cur.Entries() {
		vie.peers[per.ID] = per
		if per.ID != dispatch.PeerID(ins.cfg.ID) && !per.Leaving {
			pers = append(pers, dispatch.Peer{ID: per.ID, FailureDomain: per.FailureDomain})
		}
	}
	servers := vie.connect(cur)
	ins.budget.SetLive(len(cur.Entries()))
	ins.decide(func(now time.Time) {
		ins.dsp.SetMembership(now, servers, cur.Homes(), pers)
		if cur.Ready() {
			ins.limits.SetPeers(now, limitPeers(cur.UnitPeers()), limitPeers(cur.Gone()))
		}
	})
	ins.log.Info().Uint64("generation", cur.Generation()).Int("entries", len(cur.Entries())).
		Int("backend-servers", len(servers)).Msg("view changed")
}

func limitPeers(prs []member.Peer) []limit.Peer {
	out := make([]limit.Peer, 0, len(prs))
	for _, per := range prs {
		out = append(out, limit.Peer{ID: per.ID, Incarnation: per.Incarnation})
	}
	return out
}

// connect keeps links to the backend servers of the view, as many as settings allow, and always to
// those that this instance is the home of.
func (vie *view) connect(cur *member.View) []dispatch.Server {
	addresses := make(map[dispatch.ServerID]string, len(cur.Servers()))
	servers := make([]dispatch.Server, 0, len(cur.Servers()))
	for _, srv := range cur.Servers() {
		servers = append(servers, srv.Server)
		addresses[srv.ID] = srv.Address
	}
	all := len(servers) <= vie.ins.cfg.Dispatch.MaxSessions
	for _, hom := range cur.Homes() {
		if all || hom.Peer == dispatch.PeerID(vie.ins.cfg.ID) {
			vie.ins.servers.Connect(hom.Server, addresses[hom.Server])
		}
	}
	vie.addrMu.Lock()
	old := vie.addresses
	vie.addresses = addresses
	vie.addrMu.Unlock()
	for id := range old {
		if _, ok := addresses[id]; !ok {
			vie.ins.servers.Disconnect(id)
		}
	}
	return servers
}

func (vie *view) address(id dispatch.ServerID) (string, bool) {
	vie.addrMu.Lock()
	defer vie.addrMu.Unlock()
	adr, ok := vie.addresses[id]
	return adr, ok
}

// allAddresses returns every backend server that is not known to be gone.
func (vie *view) allAddresses() map[dispatch.ServerID]string {
	vie.addrMu.Lock()
	defer vie.addrMu.Unlock()
	return maps.Clone(vie.addresses)
}

func (vie *view) run(ctx context.Context) error {
	vie.ins.group.Go(func() error { return vie.runList(ctx) })
	tim := time.NewTimer(0)
	defer tim.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vie.wake:
		case <-tim.C:
			vie.note(func(now time.Time, trk *member.Tracker) { trk.Wake(now) })
		}
		tim.Reset(vie.untilDue())
	}
}

func (vie *view) untilDue() time.Duration {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	next := vie.trk.NextWake()
	if next.IsZero() {
		return time.Hour
	}
	return max(time.Millisecond, next.Sub(vie.ins.now()))
}

// leave tells the peers, which stop lending to this instance and take over its homes.
func (vie *view) leave() {
	vie.note(func(now time.Time, trk *member.Tracker) { trk.Leave(now) })
}

// left tells the peers that nothing of this instance runs any more.
func (vie *view) left() {
	vie.note(func(now time.Time, trk *member.Tracker) {
		trk.Left(now)
		trk.Wake(now)
	})
}

// rank returns the instance's place for a duty, or -1 if it takes none.
func (vie *view) rank(duty string) int {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	if vie.current == nil || !vie.current.Ready() {
		return -1
	}
	return vie.current.Rank(duty)
}

// backendEvidence takes in what a session tells of its backend server's life.
func (vie *view) backendEvidence(evt backend.Event) {
	switch evt.Kind {
	case backend.Up:
		vie.note(func(now time.Time, trk *member.Tracker) {
			trk.ServerHeard(now, evt.Server, evt.Report.Incarnation)
			if evt.Report.Leaving {
				trk.ServerLeaving(now, evt.Server, evt.Report.Incarnation)
			}
		})
	case backend.Reported:
		if evt.Report.Leaving {
			vie.note(func(now time.Time, trk *member.Tracker) {
				trk.ServerLeaving(now, evt.Server, evt.Report.Incarnation)
			})
		}
	case backend.Down:
		if evt.Refused {
			vie.note(func(now time.Time, trk *member.Tracker) { trk.ServerRefused(now, evt.Server) })
		}
	}
}

// heard answers a peer's heartbeat.
func (ins *Instance) heard(hb member.Heartbeat) member.Heartbeat {
	var rep member.Heartbeat
	ins.view.note(func(now time.Time, trk *member.Tracker) { rep = trk.Answer(now, hb) })
	ins.catalogue.hint(hb.CatalogueOffset)
	return rep
}

// peerEvidence takes in what the failure of a call tells of the peer's life.
func (ins *Instance) peerEvidence(id dispatch.PeerID, err error) {
	switch {
	case err == nil:
	case peer.Refused(err):
		ins.view.note(func(now time.Time, trk *member.Tracker) { trk.PeerRefused(now, id) })
	case peer.TimedOut(err):
		ins.view.note(func(now time.Time, trk *member.Tracker) { trk.PeerTimedOut(now, id) })
	}
}

// target returns where a peer is reached.
func (ins *Instance) target(id dispatch.PeerID) (peer.Target, error) {
	ins.view.mu.Lock()
	defer ins.view.mu.Unlock()
	per, ok := ins.view.peers[id]
	if !ok {
		return peer.Target{}, errors.Newf("entry instance %s is not known", id)
	}
	return peer.Target{ID: id, Address: per.Address}, nil
}

// peerTargets returns every other live entry instance.
func (ins *Instance) peerTargets() []peer.Target {
	ins.view.mu.Lock()
	defer ins.view.mu.Unlock()
	var tgts []peer.Target
	for id, per := range ins.view.peers {
		if id != dispatch.PeerID(ins.cfg.ID) {
			tgts = append(tgts, peer.Target{ID: id, Address: per.Address})
		}
	}
	return tgts
}
