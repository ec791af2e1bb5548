package member

import (
	"time"

	"chestnutstack/internal/request/dispatch"
)

const (
	domainRing = iota
	poolRing
)

// ring goes through peers in a shuffled order, so that each is reached within a bounded time.
type ring struct {
	ids  []string
	next int
}

// round queues the heartbeats of one interval.
func (trk *Tracker) round(now time.Time) {
	taken := map[string]bool{trk.self.ins.ID: true}
	pool := trk.cfg.PoolFanOut
	if rpr := trk.repair; rpr != nil {
		trk.repair = nil
		if rec := trk.records[rpr.peer]; rec != nil && rec.state != Gone {
			trk.send(now, rec, rpr.buckets)
			taken[rpr.peer] = true
			pool--
		}
	}
	short := trk.fanOut(now, domainRing, trk.cfg.DomainFanOut, taken)
	trk.fanOut(now, poolRing, pool+short, taken)
}

// fanOut queues heartbeats to the next peers of a ring and returns how many it lacked.
func (trk *Tracker) fanOut(now time.Time, which, count int, taken map[string]bool) int {
	rng := &trk.rings[which]
	for tries := len(rng.ids) + 1; count > 0 && tries > 0; tries-- {
		if rng.next >= len(rng.ids) {
			trk.refill(rng, which)
			if len(rng.ids) == 0 {
				return count
			}
			tries = min(tries, len(rng.ids)+1)
		}
		id := rng.ids[rng.next]
		rng.next++
		rec := trk.records[id]
		if taken[id] || rec == nil || !trk.due(now, rec) {
			continue
		}
		taken[id] = true
		trk.send(now, rec, nil)
		count--
	}
	return count
}

// due reports whether a peer is to be called: one that doesn't answer is probed with back-off, also
// one that refused while the list still has it, since the list and the refusal may both be wrong.
func (trk *Tracker) due(now time.Time, rec *record) bool {
	if rec.ins.PeerAddress == "" || rec.state == Gone && !rec.listed {
		return false
	}
	return !now.Before(rec.probeAt)
}

func (trk *Tracker) refill(rng *ring, which int) {
	var recs []*record
	for _, rec := range trk.records {
		if rec.ins.Kind != KindEntry || rec == trk.self {
			continue
		}
		if which == poolRing || rec.ins.FailureDomain == trk.self.ins.FailureDomain {
			recs = append(recs, rec)
		}
	}
	trk.shuffle(recs)
	rng.ids, rng.next = rng.ids[:0], 0
	for _, rec := range recs {
		rng.ids = append(rng.ids, rec.ins.ID)
	}
}

func (trk *Tracker) send(now time.Time, rec *record, want []uint32) {
	hb := trk.heartbeat(now, rec.ins.ID, want)
	hb.Want = want
	trk.sends = append(trk.sends, Send{
		Peer: dispatch.PeerID(rec.ins.ID), Address: rec.ins.PeerAddress, Heartbeat: hb,
	})
}

func (trk *Tracker) heartbeat(now time.Time, peer string, buckets []uint32) Heartbeat {
	return Heartbeat{
		From:            dispatch.PeerID(trk.self.ins.ID),
		Incarnation:     trk.self.ins.Incarnation,
		CatalogueOffset: trk.offset,
		Digest:          trk.digest,
		Facts:           trk.facts(now, peer, buckets),
	}
}
