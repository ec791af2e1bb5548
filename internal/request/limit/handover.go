package limit

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// handOver is what a peer said of units that became this entry instance's.
type handOver struct {
	HandOver
	at time.Time
}

// handing is a peer that gained units of this entry instance, and what it was told last.
type handing struct {
	sentAt  time.Time
	last    []Loan
	heldEnd time.Time
}

// pleaEvery is the time between two requests for a hand-over that doesn't come.
const pleaEvery = 2 * time.Second

// startHanding notes the peers that gained units of this entry instance: those that are new, or
// all once this one is leaving.
func (lim *Limiter) startHanding(old *table) {
	leaving := !lim.tbl.has(lim.self.ID)
	for _, per := range lim.tbl.peers {
		known := lim.joined && old.incarnation(per.ID) == per.Incarnation
		if per.ID != lim.self.ID && (leaving || !known) {
			lim.handing[per.ID] = &handing{}
		}
	}
	maps.DeleteFunc(lim.handing, func(id dispatch.PeerID, _ *handing) bool { return !lim.tbl.has(id) })
}

// sendHandOvers tells peers what is still used of their units, at first, whenever that changed, and
// often enough that it isn't forgotten.
func (lim *Limiter) sendHandOvers(now time.Time) {
	if len(lim.handing) == 0 {
		return
	}
	inUse := lim.overhang(now)
	for _, id := range slices.Sorted(maps.Keys(lim.handing)) {
		hnd, cur, held := lim.handing[id], inUse[id], lim.heldEnd(now, id)
		same := slices.Equal(cur, hnd.last) && held.Equal(hnd.heldEnd)
		if hnd.sentAt.IsZero() || !same || now.Sub(hnd.sentAt) >= lim.cfg.LoanFor {
			lim.acts.HandOvers = append(lim.acts.HandOvers, lim.handOverTo(now, id, cur, held))
			hnd.sentAt, hnd.last, hnd.heldEnd = now, cur, held
		}
		if len(cur) == 0 && held.IsZero() {
			delete(lim.handing, id)
		}
	}
}

// heldEnd returns until when units that became a peer's must be held because of others than this
// entry instance, zero if they needn't: one that died lately and that may have been the home of
// units which the peer has, or a home before this one that hasn't said yet what it uses.
func (lim *Limiter) heldEnd(now time.Time, id dispatch.PeerID) time.Time {
	var end time.Time
	for _, at := range lim.died {
		if until := at.Add(lim.cfg.hold()); until.After(end) {
			end = until
		}
	}
	for slot := range slotCount {
		if lim.tbl.former[slot] && lim.tbl.heldUntil[slot].After(end) && lim.tbl.home(slot) == id {
			end = lim.tbl.heldUntil[slot]
		}
	}
	if !end.After(now) {
		return time.Time{}
	}
	return end
}

func (lim *Limiter) handOverTo(now time.Time, id dispatch.PeerID, inUse []Loan, held time.Time) HandOver {
	hov := HandOver{Peer: id, InUse: inUse}
	for _, per := range lim.tbl.peers {
		hov.Peers = append(hov.Peers, per.ID)
	}
	if !held.IsZero() {
		hov.HoldFor = held.Sub(now)
	}
	return hov
}

// HandOverFailed takes in that a peer didn't get a hand-over; the next sweep sends it again.
func (lim *Limiter) HandOverFailed(now time.Time, hov HandOver) {
	lim.event(now)
	if lim.tbl.has(hov.Peer) && !hov.Please {
		lim.handing[hov.Peer] = &handing{}
	}
}

// overhang returns, by peer, the units that tasks here use although the peer is their home now.
func (lim *Limiter) overhang(now time.Time) map[dispatch.PeerID][]Loan {
	over := make(map[dispatch.PeerID][]Loan)
	for _, stt := range sorted(lim.states) {
		rest := stt.overhang(now, &lim.tbl)
		for _, per := range lim.tbl.peers {
			if rest <= 0 {
				break
			}
			if cnt := min(rest, lim.tbl.lostTo(stt, per.ID)); cnt > 0 {
				over[per.ID] = append(over[per.ID], Loan{Key: stt.key, Units: uint32(cnt)})
				rest -= cnt
			}
		}
	}
	return over
}

// overhang returns how many units are in use or lent beyond those that are owned or borrowed. What
// a home before this one still uses is passed on: the next home doesn't hear of it from there.
func (stt *state) overhang(now time.Time, tbl *table) int {
	if stt.units == 0 {
		return 0
	}
	if stt.isRate() {
		stt.prune(now)
	}
	used := stt.inUse
	for _, bok := range stt.lent {
		used += bok.units()
	}
	for _, frn := range stt.foreign {
		used += frn.units
	}
	for _, lon := range stt.loans {
		used -= lon.units + lon.tail
	}
	// Units that are held can't be those in use.
	return used - sum(&tbl.usable, stt.offset, stt.units)
}

// ownedBy counts the units of a limit that have their home at a peer.
func (tbl *table) ownedBy(stt *state, id dispatch.PeerID) int {
	return tbl.count(stt, id, func(int) bool { return true })
}

// lostTo counts the units of a limit that were this entry instance's own and are a peer's now.
func (tbl *table) lostTo(stt *state, id dispatch.PeerID) int {
	return tbl.count(stt, id, func(slot int) bool { return tbl.former[slot] })
}

func (tbl *table) count(stt *state, id dispatch.PeerID, counts func(slot int) bool) int {
	place := slices.IndexFunc(tbl.peers, func(per Peer) bool { return per.ID == id })
	if place < 0 {
		return 0
	}
	total := 0
	for unit := range min(stt.units, slotCount) {
		slot := (stt.offset + int(unit)) % slotCount
		if int(tbl.homes[slot]) == place && counts(slot) {
			total++
		}
	}
	return total * max(1, int(stt.units/slotCount))
}

// HandedOver takes in a peer's hand-over, or its request for one.
func (lim *Limiter) HandedOver(now time.Time, hov HandOver) {
	lim.event(now)
	if hov.Please {
		if lim.joined && lim.tbl.has(hov.Peer) {
			lim.handing[hov.Peer] = &handing{}
			lim.sendHandOvers(now)
		}
		return
	}
	tld := handOver{HandOver: hov, at: now}
	lim.told[hov.Peer] = tld
	lim.accept(&tld)
	lim.tbl.recount(now, lim.self.ID)
	lim.settleAll(now)
}

// accept ends the hold of units that came from a peer that no longer uses them.
//
// The peer said so of the units that are this entry instance's among the peers that it knew. If
// those are all known here, as peers or as gone, the units that are this one's here are among them:
// another peer only takes units away, and units of one that is gone have a hold of their own. A
// peer unknown here might have units that are counted here.
func (lim *Limiter) accept(hov *handOver) {
	known := lim.knows(hov.Peers)
	lim.setForeign(hov, known)
	if !known {
		return
	}
	until := hov.at.Add(hov.HoldFor)
	if at, ok := lim.died[hov.Peer]; ok && until.Before(at.Add(lim.cfg.hold())) {
		// The peer speaks for itself, not for the process that it replaced.
		until = at.Add(lim.cfg.hold())
	}
	if until.Before(lim.startHold) {
		until = lim.startHold
	}
	for slot := range slotCount {
		if lim.tbl.from[slot] == hov.Peer && until.Before(lim.tbl.heldUntil[slot]) {
			lim.tbl.heldUntil[slot] = until
		}
	}
}

func (lim *Limiter) knows(ids []dispatch.PeerID) bool {
	for _, id := range ids {
		if !lim.tbl.has(id) && !lim.gone[id] {
			return false
		}
	}
	return true
}

// setForeign takes in what a peer still uses of own units. While the peer knows others that aren't
// known here, it may say that it uses theirs in place of units that still count as own here: until
// then what it said before stands, too.
func (lim *Limiter) setForeign(hov *handOver, known bool) {
	if known {
		for _, stt := range lim.busy {
			delete(stt.foreign, hov.Peer)
		}
	}
	for _, lon := range hov.InUse {
		stt := lim.state(lon.Key)
		if stt == nil {
			continue
		}
		if stt.foreign == nil {
			stt.foreign = make(map[dispatch.PeerID]foreign)
		}
		units := max(int(lon.Units), stt.foreign[hov.Peer].units)
		stt.foreign[hov.Peer] = foreign{units: units, until: hov.at.Add(lim.cfg.hold())}
		lim.busy[lon.Key] = stt
	}
}

// plead asks the former homes of held units for their word: they may have sent it when they knew
// other peers, or not have heard of this entry instance.
func (lim *Limiter) plead(now time.Time) {
	if now.Before(lim.nextPlea) {
		return
	}
	lim.nextPlea = now.Add(pleaEvery)
	far := now.Add(2 * lim.cfg.hold())
	var ids []dispatch.PeerID
	for slot := range slotCount {
		id := lim.tbl.from[slot]
		if lim.tbl.home(slot) == lim.self.ID && lim.tbl.heldUntil[slot].After(far) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		lim.acts.HandOvers = append(lim.acts.HandOvers, HandOver{Peer: id, Please: true})
	}
}
