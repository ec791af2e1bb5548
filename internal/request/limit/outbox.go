package limit

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// outbox collects what is to be said to each peer until the next Actions.
type outbox struct {
	wants   map[dispatch.PeerID][]Want
	returns map[dispatch.PeerID][]Loan
	grants  map[dispatch.PeerID][]Grant
}

func newOutbox() outbox {
	return outbox{
		wants:   make(map[dispatch.PeerID][]Want),
		returns: make(map[dispatch.PeerID][]Loan),
		grants:  make(map[dispatch.PeerID][]Grant),
	}
}

func (out *outbox) want(peer dispatch.PeerID, wnt Want) {
	for idx := range out.wants[peer] {
		have := &out.wants[peer][idx]
		if have.Key == wnt.Key {
			have.Units += wnt.Units
			have.Renew += wnt.Renew
			have.WaitFor = max(have.WaitFor, wnt.WaitFor)
			return
		}
	}
	out.wants[peer] = append(out.wants[peer], wnt)
}

func (out *outbox) giveBack(peer dispatch.PeerID, lon Loan) {
	out.returns[peer] = append(out.returns[peer], lon)
}

func (out *outbox) grant(peer dispatch.PeerID, asked, dur time.Duration, lon Loan) {
	grts := out.grants[peer]
	for idx := range grts {
		if grts[idx].Asked == asked && grts[idx].For == dur {
			grts[idx].Loans = append(grts[idx].Loans, lon)
			return
		}
	}
	out.grants[peer] = append(grts, Grant{Peer: peer, Asked: asked, For: dur, Loans: []Loan{lon}})
}

// drain moves everything into actions, in the order of peers.
func (out *outbox) drain(acts *Actions, asked time.Duration) {
	for _, peer := range slices.Sorted(maps.Keys(out.wants)) {
		acts.Borrows = append(acts.Borrows, Borrow{Peer: peer, Asked: asked, Wants: out.wants[peer]})
	}
	for _, peer := range slices.Sorted(maps.Keys(out.returns)) {
		acts.Returns = append(acts.Returns, Return{Peer: peer, Asked: asked, Loans: out.returns[peer]})
	}
	for _, peer := range slices.Sorted(maps.Keys(out.grants)) {
		acts.Grants = append(acts.Grants, out.grants[peer]...)
	}
	clear(out.wants)
	clear(out.returns)
	clear(out.grants)
}
