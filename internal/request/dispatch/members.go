package dispatch

import (
	"slices"
	"time"
)

// SetMembership replaces the lists of backend servers, their homes and the peers. Tasks in flight on a backend
// server that is no longer listed are finished.
func (dsp *Dispatcher) SetMembership(now time.Time, servers []Server, homes []Home, peers []Peer) {
	dsp.beginEvent(now)
	own := make(map[ServerID]bool, len(homes))
	for _, hom := range homes {
		own[hom.Server] = hom.Peer == dsp.cfg.Self
	}
	for _, srv := range dsp.serverList {
		srv.listed = false
	}
	for _, inf := range servers {
		dsp.updateServer(inf, own[inf.ID])
	}
	dsp.removeUnlisted()
	dsp.setPeers(peers)
	dsp.detector.SetServerCount(len(dsp.serverList))
	for _, srv := range dsp.serverList {
		if !srv.up && !srv.reconnecting && dsp.sessionNeeded(srv) {
			dsp.reconnect(now, srv)
		}
	}
	dsp.endEvent(now)
}

// updateServer adds a backend server from the list or updates its description.
func (dsp *Dispatcher) updateServer(inf Server, home bool) {
	srv := dsp.servers[inf.ID]
	if srv == nil {
		srv = &server{id: inf.ID}
		dsp.servers[inf.ID] = srv
		dsp.serverList = append(dsp.serverList, srv)
	}
	if srv.up && srv.info.Slots > 0 {
		// The slots that the server reported are more recent than those of the list, which lags behind.
		inf.Slots = srv.info.Slots
	}
	srv.info = inf
	srv.listed = true
	dsp.putServer(srv, home)
}

// removeUnlisted removes the backend servers that are not listed and have no task in flight.
func (dsp *Dispatcher) removeUnlisted() {
	kept := dsp.serverList[:0]
	for _, srv := range dsp.serverList {
		if srv.listed || srv.attempts != nil {
			dsp.setOpen(srv)
			kept = append(kept, srv)
			continue
		}
		if dsp.reserved == srv {
			dsp.reserved, dsp.reservedFor = nil, nil
		}
		dsp.detector.Remove(&srv.fault)
		dsp.pool.Remove(srv.acct)
		delete(dsp.servers, srv.id)
	}
	clear(dsp.serverList[len(kept):])
	dsp.serverList = kept
}

// setPeers replaces the peers and keeps the state of those that are still listed. Requests to the others are
// closed.
func (dsp *Dispatcher) setPeers(peers []Peer) {
	dsp.requestAfter = time.Time{}
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
			dsp.endRequest(per)
		}
	}
	dsp.peers = next
}

// peerOf returns the state of the peer, or nil if it is not listed.
func (dsp *Dispatcher) peerOf(pid PeerID) *peer {
	for _, per := range dsp.peers {
		if per.id == pid {
			return per
		}
	}
	return nil
}
