package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/dispatch"
)

// Peer is an entry instance in a View.
type Peer struct {
	ID            dispatch.PeerID
	Incarnation   string
	Address       string
	FailureDomain string
	Leaving       bool
}

// Server is a backend server in a View, with where it is reached.
type Server struct {
	dispatch.Server
	Address     string
	Incarnation string
}

// View is the pool as one entry instance knows it at one moment; it doesn't change.
type View struct {
	generation uint64
	ready      bool
	self       dispatch.PeerID
	domain     string
	entries    []Peer
	unitPeers  []Peer
	gone       []Peer
	servers    []Server
	homes      []dispatch.Home
}

// Generation grows with every change.
func (viw *View) Generation() uint64 { return viw.generation }

// Ready reports whether a list showed this process or a peer was heard. Before, an entry instance
// would take itself for the only one and hold every unit of every limit.
func (viw *View) Ready() bool { return viw.ready }

// Entries returns the entry instances that are live, this one included, by id.
func (viw *View) Entries() []Peer { return viw.entries }

// InDomain returns the live entry instances of this one's failure domain.
func (viw *View) InDomain() []Peer {
	var prs []Peer
	for _, per := range viw.entries {
		if per.FailureDomain == viw.domain {
			prs = append(prs, per)
		}
	}
	return prs
}

// UnitPeers returns the entry instances that units of limits have their homes at: all that are
// neither leaving nor proved gone. One that can't be reached keeps its units: it may be serving on
// the other side of a partition.
func (viw *View) UnitPeers() []Peer { return viw.unitPeers }

// Gone returns the entry instances that are proved gone, by a refused connection, their own word
// or the platform's.
func (viw *View) Gone() []Peer { return viw.gone }

// Servers returns the backend servers that are listed and not known to be gone.
func (viw *View) Servers() []Server { return viw.servers }

// Homes returns which entry instance gives out the slots of each backend server.
func (viw *View) Homes() []dispatch.Home { return viw.homes }

// Rank returns this entry instance's place among the live ones for a duty, from 0, or -1 if it
// takes no duty because it is leaving. The order differs by duty and is the same everywhere.
func (viw *View) Rank(duty string) int { return rankOf(viw.self, viw.entries, duty) }

// RankInDomain is Rank among the live entry instances of the failure domain.
func (viw *View) RankInDomain(duty string) int { return rankOf(viw.self, viw.InDomain(), duty) }

func rankOf(self dispatch.PeerID, prs []Peer, duty string) int {
	key := xxhash.Sum64String(duty)
	own := score(newCandidate(string(self)), key)
	rank, found := 0, false
	for _, per := range prs {
		switch scr := score(newCandidate(string(per.ID)), key); {
		case per.Leaving:
		case per.ID == self:
			found = true
		case scr > own || scr == own && per.ID < self:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// View returns the pool as it is known; it is the same until ViewChanged.
func (trk *Tracker) View(now time.Time) *View {
	trk.refresh(now)
	return trk.view
}

// refresh builds a new view if something changed and reports whether the new one differs.
func (trk *Tracker) refresh(now time.Time) bool {
	if trk.view != nil && !trk.dirty && !trk.suspicionRanOut(now) {
		return false
	}
	trk.dirty = false
	old := trk.view
	viw := trk.build(now, old)
	trk.dirtyServers = false
	if old != nil && old.same(viw) {
		return false
	}
	if old != nil {
		viw.generation = old.generation + 1
	}
	trk.view = viw
	return true
}

// suspicionRanOut reports whether the view has an entry that failed by the passing of time alone.
func (trk *Tracker) suspicionRanOut(now time.Time) bool {
	for idx := range trk.view.entries {
		rec := trk.records[string(trk.view.entries[idx].ID)]
		if rec != nil && rec.failed(now, trk.cfg.FailAfter) {
			return true
		}
	}
	return false
}

func (viw *View) same(other *View) bool {
	return viw.ready == other.ready &&
		slices.Equal(viw.entries, other.entries) &&
		slices.Equal(viw.unitPeers, other.unitPeers) &&
		slices.Equal(viw.gone, other.gone) &&
		slices.Equal(viw.servers, other.servers) &&
		slices.Equal(viw.homes, other.homes)
}

func (trk *Tracker) build(now time.Time, old *View) *View {
	viw := &View{
		ready:  trk.ready,
		self:   dispatch.PeerID(trk.self.ins.ID),
		domain: trk.self.ins.FailureDomain,
	}
	for _, rec := range trk.records {
		if rec.ins.Kind == KindEntry {
			viw.addEntry(rec, rec.failed(now, trk.cfg.FailAfter))
		}
	}
	if len(viw.unitPeers) == 0 {
		viw.unitPeers = viw.leavingEntries()
	}
	viw.servers = trk.buildServers(old)
	byID := func(one, two Peer) int { return cmp.Compare(one.ID, two.ID) }
	slices.SortFunc(viw.entries, byID)
	slices.SortFunc(viw.unitPeers, byID)
	slices.SortFunc(viw.gone, byID)
	trk.setHomes(viw)
	return viw
}

func (trk *Tracker) buildServers(old *View) []Server {
	if old != nil && !trk.dirtyServers {
		return old.servers
	}
	if trk.ordered == nil {
		for _, rec := range trk.records {
			if rec.ins.Kind == KindServer {
				trk.ordered = append(trk.ordered, rec)
			}
		}
		slices.SortFunc(trk.ordered, func(one, two *record) int { return cmp.Compare(one.ins.ID, two.ins.ID) })
	}
	srvs := make([]Server, 0, len(trk.ordered))
	for _, rec := range trk.ordered {
		if rec.listed && rec.state != Gone {
			srvs = append(srvs, rec.server())
		}
	}
	return srvs
}

// leavingEntries stands in for the homes of units when every entry instance is leaving. The failure: all
// were told to stop at once, no unit had a home, and tasks that still waited for a limit were cut off
// at their not-after time.
func (viw *View) leavingEntries() []Peer {
	var prs []Peer
	for _, per := range viw.entries {
		if per.Leaving {
			prs = append(prs, per)
		}
	}
	return prs
}

func (viw *View) addEntry(rec *record, failed bool) {
	per := Peer{
		ID: dispatch.PeerID(rec.ins.ID), Incarnation: rec.ins.Incarnation, Address: rec.ins.PeerAddress,
		FailureDomain: rec.ins.FailureDomain, Leaving: rec.leaving(),
	}
	if rec.state == Gone {
		viw.gone = append(viw.gone, per)
		return
	}
	if !per.Leaving {
		viw.unitPeers = append(viw.unitPeers, per)
	}
	if !failed {
		viw.entries = append(viw.entries, per)
	}
}

func (rec *record) server() Server {
	return Server{
		Server: dispatch.Server{
			ID: dispatch.ServerID(rec.ins.ID), FailureDomain: rec.ins.FailureDomain, Rack: rec.ins.Rack,
			Worker: rec.ins.Worker, Slots: rec.ins.Slots, Capacity: rec.ins.Capacity, Leaving: rec.leaving(),
		},
		Address:     rec.ins.Address,
		Incarnation: rec.ins.Incarnation,
	}
}

func (trk *Tracker) setHomes(viw *View) {
	live, leaving := make(map[string][]candidate), make(map[string][]candidate)
	for _, per := range viw.entries {
		group := live
		if per.Leaving {
			group = leaving
		}
		group[per.FailureDomain] = append(group[per.FailureDomain], newCandidate(string(per.ID)))
	}
	byDomain := make(map[string][]candidate)
	viw.homes = make([]dispatch.Home, 0, len(viw.servers))
	for idx := range viw.servers {
		srv := &viw.servers[idx]
		cans, ok := byDomain[srv.FailureDomain]
		if !ok {
			cans = trk.candidatesFor(srv.FailureDomain, live, leaving)
			byDomain[srv.FailureDomain] = cans
		}
		if len(cans) == 0 {
			continue
		}
		hom := trk.homes.home(string(srv.ID), srv.FailureDomain, cans)
		viw.homes = append(viw.homes, dispatch.Home{Server: srv.ID, Peer: hom})
	}
}

func (trk *Tracker) entryCount() int {
	if trk.view == nil {
		return 1
	}
	return len(trk.view.unitPeers)
}
