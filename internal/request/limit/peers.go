package limit

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// untilTold is a hold that only the former home's word or proof of its end shortens.
const untilTold = 365 * 24 * time.Hour

// SetPeers takes in the entry instances that units have their homes at, and those that are proved
// gone. One that merely can't be reached must stay among the peers.
//
// Units whose former home is gone are held until nothing of it can run. Units whose former home
// isn't proved gone are held until it says what it still uses of them: it may be cut off, know
// nothing of this entry instance, and go on using them.
func (lim *Limiter) SetPeers(now time.Time, peers, gone []Peer) {
	lim.event(now)
	old := lim.tbl
	lim.noteDeaths(now, peers, gone)
	lim.tbl.peers = slices.Clone(peers)
	computeHomes(&lim.tbl.homes, peers)
	if !lim.joined {
		lim.holdAtStart(now, gone)
		// What was before this entry instance came is what is there without it.
		old.peers = lim.others()
		computeHomes(&old.homes, old.peers)
	}
	lim.noteFormer(&old)
	lim.holdGained(now, &old)
	lim.askNextInLine(now)
	lim.startHanding(&old)
	lim.joined = true
	lim.nextPlea = now.Add(pleaEvery)
	for _, hov := range lim.told {
		lim.accept(&hov)
	}
	lim.tbl.recount(now, lim.self.ID)
	lim.sendHandOvers(now)
	lim.settleAll(now)
}

func (lim *Limiter) noteDeaths(now time.Time, peers, gone []Peer) {
	maps.DeleteFunc(lim.died, func(_ dispatch.PeerID, at time.Time) bool { return now.Sub(at) >= lim.cfg.hold() })
	for _, per := range peers {
		old := lim.tbl.incarnation(per.ID)
		if old != "" && old != per.Incarnation {
			lim.died[per.ID] = now
		}
		if lim.joined && old != per.Incarnation {
			delete(lim.told, per.ID)
		}
	}
	lim.gone = make(map[dispatch.PeerID]bool, len(gone))
	for _, per := range gone {
		lim.gone[per.ID] = true
		if lim.tbl.has(per.ID) {
			lim.died[per.ID] = now
			delete(lim.told, per.ID)
		}
	}
}

// holdAtStart holds every unit of a process that starts while others are known to be gone: it can't
// tell which units they had, nor since when.
func (lim *Limiter) holdAtStart(now time.Time, gone []Peer) {
	if len(gone) == 0 {
		return
	}
	lim.startHold = now.Add(lim.cfg.hold())
	for slot := range slotCount {
		lim.tbl.heldUntil[slot] = lim.startHold
	}
}

// noteFormer marks the units that this entry instance lost, for as long as it hands any over.
func (lim *Limiter) noteFormer(old *table) {
	if !lim.joined {
		// The units that a new process doesn't have were never its own, but its holds are passed on.
		for slot := range slotCount {
			lim.tbl.former[slot] = lim.tbl.home(slot) != lim.self.ID
		}
		return
	}
	for slot := range slotCount {
		mine, was := lim.tbl.home(slot) == lim.self.ID, old.home(slot) == lim.self.ID
		lim.tbl.former[slot] = !mine && (was || len(lim.handing) > 0 && lim.tbl.former[slot])
	}
}

func (lim *Limiter) holdGained(now time.Time, old *table) {
	until := now.Add(lim.cfg.hold())
	for slot := range slotCount {
		if lim.tbl.home(slot) == lim.self.ID && old.home(slot) != lim.self.ID {
			lim.gain(now, slot, old.home(slot))
		}
		if lim.gone[lim.tbl.from[slot]] && until.Before(lim.tbl.heldUntil[slot]) {
			lim.tbl.heldUntil[slot] = until
		}
	}
}

// askNextInLine makes units that are still held wait for the peer that comes after this entry
// instance in the order of their homes.
//
// Of two that start at once, each is told by an older one that it may use its units before both know
// of each other: a unit that is this one's among all may be the other's among those that the other
// knows. Once both are known, the other has to hand it over, too. The same goes for units that went
// on to another peer, which is told how long this one would hold them.
func (lim *Limiter) askNextInLine(now time.Time) {
	far := now.Add(2 * lim.cfg.hold())
	ord := newOrder(lim.tbl.peers)
	for slot := range slotCount {
		mine := lim.tbl.former[slot] || lim.tbl.home(slot) == lim.self.ID
		if !mine || !lim.tbl.heldUntil[slot].After(far) || !lim.tbl.has(lim.tbl.from[slot]) {
			continue
		}
		if next := ord.after(slot, lim.self.ID); next != "" {
			lim.tbl.from[slot] = next
		}
	}
}

func (lim *Limiter) others() []Peer {
	return slices.DeleteFunc(slices.Clone(lim.tbl.peers), func(per Peer) bool { return per.ID == lim.self.ID })
}

func (lim *Limiter) gain(now time.Time, slot int, from dispatch.PeerID) {
	lim.tbl.from[slot] = from
	switch {
	case from != "":
		lim.tbl.heldUntil[slot] = now.Add(untilTold)
	case lim.joined:
		lim.tbl.heldUntil[slot] = time.Time{}
	}
}
