package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutstack/internal/request/dispatch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool runs Trackers in virtual time. Calls between them take no time, are refused if the callee is
// down, and time out if the two are cut off from each other.
type pool struct {
	now      time.Time
	cfg      Config
	rnd      *rand.Rand
	trackers map[string]*Tracker
	list     map[string]Instance
	cut      map[[2]string]bool
	domains  int
	starts   int
	// sent, if set, sees every heartbeat and reply.
	sent func(from, to string, hb Heartbeat)
}

func newPool(entries, servers, domains int, seed uint64) *pool {
	pol := &pool{
		now: start, cfg: DefaultConfig(), rnd: rand.New(rand.NewPCG(seed, 1)),
		trackers: make(map[string]*Tracker), list: make(map[string]Instance), cut: make(map[[2]string]bool),
		domains: domains,
	}
	for idx := range servers {
		id := fmt.Sprintf("s%d", idx)
		pol.list[id] = Instance{
			ID: id, Incarnation: "1", Kind: KindServer, Address: id, Slots: 8, FailureDomain: pol.domain(idx),
		}
	}
	for idx := range entries {
		pol.startEntry(idx)
	}
	pol.readLists()
	return pol
}

func (pol *pool) domain(idx int) string { return fmt.Sprintf("d%d", idx%pol.domains) }

func entryID(idx int) string { return fmt.Sprintf("e%d", idx) }

// startEntry starts an entry instance, or replaces it by a new incarnation.
func (pol *pool) startEntry(idx int) {
	id := entryID(idx)
	pol.starts++
	ins := Instance{
		ID: id, Incarnation: fmt.Sprintf("i%d", pol.starts), Kind: KindEntry,
		PeerAddress: "10.0.0.1:4000", FailureDomain: pol.domain(idx),
	}
	pol.list[id] = ins
	pol.trackers[id] = New(pol.cfg, ins, rand.New(rand.NewPCG(uint64(pol.starts), 2)))
}

func (pol *pool) instances() []Instance {
	ins := make([]Instance, 0, len(pol.list))
	for _, one := range pol.list {
		ins = append(ins, one)
	}
	return ins
}

func (pol *pool) readLists() {
	for _, trk := range pol.trackers {
		trk.ListRead(pol.now, pol.instances())
	}
}

// run lets time pass.
func (pol *pool) run(dur time.Duration) {
	for end := pol.now.Add(dur); pol.now.Before(end); {
		pol.now = pol.now.Add(pol.cfg.Interval)
		for idx := range pol.starts {
			if trk := pol.trackers[entryID(idx)]; trk != nil {
				trk.Wake(pol.now)
				pol.deliver(entryID(idx), trk)
			}
		}
	}
}

func (pol *pool) deliver(from string, trk *Tracker) {
	for _, snd := range trk.Actions(pol.now).Sends {
		to := string(snd.Peer)
		callee := pol.trackers[to]
		switch {
		case pol.cut[pair(from, to)]:
			trk.PeerTimedOut(pol.now, snd.Peer)
		case callee == nil:
			trk.PeerRefused(pol.now, snd.Peer)
		default:
			rep := callee.Answer(pol.now, snd.Heartbeat)
			trk.Heard(pol.now, rep)
			if pol.sent != nil {
				pol.sent(from, to, snd.Heartbeat)
				pol.sent(to, from, rep)
			}
		}
	}
}

func pair(one, two string) [2]string {
	if one > two {
		one, two = two, one
	}
	return [2]string{one, two}
}

func (pol *pool) setCut(one, two string, cut bool) { pol.cut[pair(one, two)] = cut }

// partition cuts a failure domain off from all others, or joins it again.
func (pol *pool) partition(domain string, cut bool) {
	for one, ins := range pol.list {
		for two, other := range pol.list {
			if (ins.FailureDomain == domain) != (other.FailureDomain == domain) {
				pol.setCut(one, two, cut)
			}
		}
	}
}

func (pol *pool) view(idx int) *View { return pol.trackers[entryID(idx)].View(pol.now) }

func ids(prs []Peer) []dispatch.PeerID {
	var out []dispatch.PeerID
	for _, per := range prs {
		out = append(out, per.ID)
	}
	return out
}
