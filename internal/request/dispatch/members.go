package dispatch

import (
	"slices"
	"time"
)

// SetMembership replaces the view of the pool after a change of membership. What is in flight on a
// backend server that is not in the view any more goes on to its end.
func (dsp *Dispatcher) SetMembership(now time.Time, servers []Server, homes []Home, peers []Peer) {
	dsp.enter(now)
	own := make(map[ServerID]bool, len(homes))
	for _, hom := range homes {
		own[hom.Server] = hom.Peer == dsp.cfg.Self
	}
	for _, srv := range dsp.listing {
		srv.listed = false
	}
	for _, inf := range servers {
		dsp.list(inf, own[inf.ID])
	}
	dsp.sweep()
	dsp.setPeers(peers)
	dsp.detector.SetServerCount(len(dsp.listing))
	for _, srv := range dsp.listing {
		if !srv.up && !srv.reconnecting && dsp.wanted(srv) {
			dsp.reconnect(now, srv)
		}
	}
	dsp.advance(now)
}

func (dsp *Dispatcher) list(inf Server, home bool) {
	srv := dsp.servers[inf.ID]
	if srv == nil {
		srv = &server{id: inf.ID}
		dsp.servers[inf.ID] = srv
		dsp.listing = append(dsp.listing, srv)
	}
	if srv.up && srv.info.Slots > 0 {
		// The server's own word on its slots is newer than the list, which lags.
		inf.Slots = srv.info.Slots
	}
	srv.info = inf
	srv.listed = true
	dsp.putServer(srv, home)
}

// sweep forgets the unlisted servers that have nothing in flight.
func (dsp *Dispatcher) sweep() {
	kept := dsp.listing[:0]
	for _, srv := range dsp.listing {
		if srv.listed || srv.flights != nil {
			dsp.setOpen(srv)
			kept = append(kept, srv)
			continue
		}
		if dsp.held == srv {
			dsp.held, dsp.heldFor = nil, nil
		}
		dsp.detector.Remove(&srv.fault)
		dsp.pool.Remove(srv.acct)
		delete(dsp.servers, srv.id)
	}
	clear(dsp.listing[len(kept):])
	dsp.listing = kept
}

func (dsp *Dispatcher) setPeers(peers []Peer) {
	dsp.askAfter = time.Time{}
	var next []*peer
	for _, inf := range peers {
		if inf.ID == dsp.cfg.Self {
			continue
		}
		per := dsp.peerOf(inf.ID)
		if per == nil {
			per = &peer{id: inf.ID}
		}
		per.local = inf.FailureDomain == dsp.cfg.FailureDomain
		next = append(next, per)
	}
	for _, per := range dsp.peers {
		if !slices.Contains(next, per) {
			dsp.settle(per)
		}
	}
	dsp.peers = next
}

func (dsp *Dispatcher) peerOf(pid PeerID) *peer {
	for _, per := range dsp.peers {
		if per.id == pid {
			return per
		}
	}
	return nil
}
