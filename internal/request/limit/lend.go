package limit

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// book is what a peer borrowed of one limit, in parts that leave the books at different times.
type book struct {
	parts []bookPart
	// recalled says that the peer was told to return the units as they come free.
	recalled bool
}

type bookPart struct {
	units   int
	expires time.Time
}

func (bok *book) units() int {
	total := 0
	for _, prt := range bok.parts {
		total += prt.units
	}
	return total
}

func (bok *book) add(units int, expires time.Time) {
	if units > 0 {
		bok.parts = append(bok.parts, bookPart{units: units, expires: expires})
	}
}

// remove takes units off the books, those that would leave first.
func (bok *book) remove(units int) {
	slices.SortFunc(bok.parts, func(one, two bookPart) int { return one.expires.Compare(two.expires) })
	for units > 0 && len(bok.parts) > 0 {
		prt := &bok.parts[0]
		cnt := min(units, prt.units)
		prt.units -= cnt
		units -= cnt
		if prt.units == 0 {
			bok.parts = bok.parts[1:]
		}
	}
}

func (bok *book) expire(now time.Time) {
	bok.parts = slices.DeleteFunc(bok.parts, func(prt bookPart) bool { return !now.Before(prt.expires) })
}

// maxRenew bounds the units that a peer may say it uses, against one that is broken.
const maxRenew = 1 << 20

// ask is a request of a peer that couldn't be met at once.
type ask struct {
	peer  dispatch.PeerID
	units uint32
	// poor says that the peer is the home of no unit, so that it has a turn also while tasks wait here.
	// Peers that all have units and tasks waiting would only pass them to and fro.
	poor bool
	// asked is the time of the peer's clock, arrived and until are of this one's.
	asked   time.Duration
	arrived time.Time
	until   time.Time
}

// BorrowAsked answers a peer's request; what can't be lent now follows as a Grant among the Actions
// once a unit comes free.
func (lim *Limiter) BorrowAsked(now time.Time, bor Borrow) Grant {
	lim.event(now)
	grt := Grant{Peer: bor.Peer, Asked: bor.Asked, For: lim.cfg.LoanFor}
	for _, wnt := range bor.Wants {
		stt := lim.state(wnt.Key)
		if stt == nil {
			continue
		}
		lon := Loan{Key: wnt.Key, Renewed: min(wnt.Renew, maxRenew)}
		if lon.Renewed > 0 {
			lim.renew(now, stt, bor.Peer, int(lon.Renewed))
			lon.Drain = lim.waitedFor(now, stt, bor.Peer)
		}
		if wnt.Units > 0 {
			lim.lendNow(now, stt, &bor, &wnt, &lon)
		}
		if lon.Units > 0 || lon.Renewed > 0 {
			grt.Loans = append(grt.Loans, lon)
		}
		lim.touch(stt)
	}
	return grt
}

// renew keeps units on the books that the peer says it uses, also if they are no longer this
// entry instance's: the books count what runs.
func (lim *Limiter) renew(now time.Time, stt *state, peer dispatch.PeerID, units int) {
	bok := stt.book(peer)
	bok.remove(units)
	bok.add(units, now.Add(lim.cfg.LoanFor+stt.bookFor(&lim.cfg)))
}

func (stt *state) book(peer dispatch.PeerID) *book {
	if stt.lent == nil {
		stt.lent = make(map[dispatch.PeerID]*book)
	}
	bok := stt.lent[peer]
	if bok == nil {
		bok = &book{}
		stt.lent[peer] = bok
	}
	return bok
}

func (lim *Limiter) lendNow(now time.Time, stt *state, bor *Borrow, wnt *Want, lon *Loan) {
	lim.giveHome(now, stt, bor.Peer)
	room := lim.lendable(now, stt)
	if len(stt.asks) == 0 && room > 0 && !stt.short(now) {
		lon.Units = uint32(min(int(wnt.Units), (room+1)/2))
		lim.lend(now, stt, bor.Peer, int(lon.Units), false)
		return
	}
	lim.remember(stt, ask{
		peer: bor.Peer, units: wnt.Units, asked: bor.Asked, arrived: now, until: now.Add(wnt.WaitFor),
	})
	lim.recall(now, stt)
}

// remember queues a request in place of an older one of the same peer.
func (lim *Limiter) remember(stt *state, one ask) {
	stt.asks = slices.DeleteFunc(stt.asks, func(old ask) bool { return old.peer == one.peer })
	one.poor = lim.tbl.ownedBy(stt, one.peer) == 0
	stt.asks = append(stt.asks, one)
}

// nextServed returns the place of the request whose turn it is, or -1: those that are poor while this
// entry instance's own tasks wait, else all.
func (stt *state) nextServed(now time.Time) int {
	if !stt.short(now) {
		return 0
	}
	return slices.IndexFunc(stt.asks, func(one ask) bool { return one.poor })
}

// lendable returns the own units that nobody uses; borrowed ones are not lent on.
func (lim *Limiter) lendable(now time.Time, stt *state) int {
	if stt.isRate() {
		stt.prune(now)
	}
	return min(stt.own(&lim.tbl), stt.available(now, &lim.tbl))
}

func (lim *Limiter) lend(now time.Time, stt *state, peer dispatch.PeerID, units int, bounded bool) {
	bok := stt.book(peer)
	// A peer whose starts are bounded returns the units by itself.
	bok.recalled = bounded && (bok.recalled || bok.units() == 0)
	bok.add(units, now.Add(lim.cfg.LoanFor+stt.bookFor(&lim.cfg)))
	lim.touch(stt)
}

// serve lends to peers that wait, each in its turn with this entry instance's own tasks.
func (lim *Limiter) serve(now time.Time, stt *state) {
	for len(stt.asks) > 0 && lim.lendable(now, stt) > 0 {
		idx := stt.nextServed(now)
		if idx < 0 || stt.short(now) && stt.peerTurns == 0 {
			return
		}
		one := stt.asks[idx]
		stt.asks = slices.Delete(stt.asks, idx, idx+1)
		if !now.Before(one.until) {
			continue
		}
		stt.peerTurns = max(0, stt.peerTurns-1)
		units := min(int(one.units), (lim.lendable(now, stt)+1)/2)
		lon := Loan{Key: stt.key, Units: uint32(units)}
		if stt.poorAsks() > 0 || stt.short(now) {
			lon.Starts = lim.cfg.ContestedStarts
		}
		lim.lend(now, stt, one.peer, units, lon.Starts > 0)
		lim.out.grant(one.peer, one.asked, lim.cfg.LoanFor+now.Sub(one.arrived), lon)
	}
}

// recall asks peers to return what they borrowed as it comes free, since others wait for it or the
// limit was lowered.
func (lim *Limiter) recall(now time.Time, stt *state) {
	for _, peer := range slices.Sorted(maps.Keys(stt.lent)) {
		bok := stt.lent[peer]
		if bok.recalled || bok.units() == 0 || !lim.waitedFor(now, stt, peer) {
			continue
		}
		bok.recalled = true
		lim.out.grant(peer, 0, 0, Loan{Key: stt.key, Drain: true})
	}
	lim.settle(now, stt)
}

// waitedFor reports whether anyone but the peer that has units on loan waits for them.
func (lim *Limiter) waitedFor(now time.Time, stt *state, holder dispatch.PeerID) bool {
	if stt.pressed(now, &lim.cfg) || stt.own(&lim.tbl) < 0 {
		return true
	}
	return slices.ContainsFunc(stt.asks, func(one ask) bool { return one.peer != holder && one.poor })
}

// Returned takes back units that a peer had borrowed.
func (lim *Limiter) Returned(now time.Time, ret Return) {
	lim.event(now)
	for _, lon := range ret.Loans {
		stt := lim.states[lon.Key]
		if stt == nil || stt.lent[ret.Peer] == nil {
			continue
		}
		bok := stt.lent[ret.Peer]
		bok.remove(int(lon.Units))
		if bok.units() == 0 {
			delete(stt.lent, ret.Peer)
		}
		if lon.Again > 0 {
			lim.remember(stt, ask{peer: ret.Peer, units: lon.Again, asked: ret.Asked, arrived: now, until: now.Add(lim.cfg.PoorAsk)})
		}
		lim.settle(now, stt)
	}
}

// settle uses what came free: first for those whose turn it is, then for this instance's own tasks.
func (lim *Limiter) settle(now time.Time, stt *state) {
	lim.serve(now, stt)
	lim.giveBack(now, stt)
	if stt.short(now) && lim.room(now, stt) {
		stt.shortAt = time.Time{}
		delete(lim.short, stt.key)
		lim.acts.Ready = append(lim.acts.Ready, stt.key)
	}
	lim.touch(stt)
}

func (lim *Limiter) settleAll(now time.Time) {
	for _, stt := range sorted(lim.busy) {
		lim.settle(now, stt)
	}
	for _, stt := range sorted(lim.short) {
		lim.settle(now, stt)
	}
}

func (lim *Limiter) touch(stt *state) {
	if stt.isRate() && stt.inUse > 0 ||
		len(stt.lent) > 0 || len(stt.loans) > 0 || len(stt.asks) > 0 || len(stt.foreign) > 0 {
		lim.busy[stt.key] = stt
	}
}
