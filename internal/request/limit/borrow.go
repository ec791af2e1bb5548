package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// loan is what this entry instance borrowed of one limit from one peer.
type loan struct {
	// units may be used for new starts until useUntil.
	units    int
	useUntil time.Time
	// starts is how many starts the units are good for; 0 is no bound.
	starts int
	// tail are units that are wanted back or whose time is over: they go back once nothing runs on
	// them.
	tail int
	// renewAt is when the lender is to be told again that the units are in use.
	renewAt time.Time
}

// drain stops new starts.
func (lon *loan) drain() {
	lon.tail += lon.units
	lon.units = 0
	lon.starts = 0
}

// spendStart counts a start on a loan whose starts are bounded.
func (stt *state) spendStart(now time.Time) {
	for _, peer := range slices.Sorted(maps.Keys(stt.loans)) {
		lon := stt.loans[peer]
		if lon.starts == 0 || !now.Before(lon.useUntil) {
			continue
		}
		lon.starts--
		if lon.starts == 0 {
			lon.drain()
		}
		return
	}
}

// Granted takes in units that a peer lent, or its word that lent ones are wanted back.
//
// The time of use counts from when this entry instance asked, by its own clock: a grant that is
// read late, after a pause or a jam, is then no longer good for a start, and so never outlives the
// lender's books.
func (lim *Limiter) Granted(now time.Time, grt Grant) {
	lim.event(now)
	until := lim.epoch.Add(grt.Asked + grt.For)
	for _, got := range grt.Loans {
		stt := lim.states[got.Key]
		if stt == nil {
			continue
		}
		lon := stt.loans[grt.Peer]
		if got.Units > 0 {
			lon = stt.addLoan(now, grt.Peer, &got, until)
			stt.granted(now, grt.Peer)
		}
		if lon == nil {
			continue
		}
		if int(got.Renewed) >= lon.units+lon.tail {
			lon.useUntil = until
		}
		if got.Drain {
			lon.drain()
		}
		lon.renewAt = lon.useUntil.Add(-lim.cfg.LoanFor / 2)
		lim.settle(now, stt)
	}
}

func (stt *state) addLoan(now time.Time, peer dispatch.PeerID, got *Loan, until time.Time) *loan {
	if stt.loans == nil {
		stt.loans = make(map[dispatch.PeerID]*loan)
	}
	lon := stt.loans[peer]
	if lon == nil {
		lon = &loan{}
		stt.loans[peer] = lon
	}
	if !now.Before(lon.useUntil) {
		lon.drain()
	}
	if lon.units == 0 || until.Before(lon.useUntil) {
		lon.useUntil = until
	}
	lon.units += int(got.Units)
	if got.Starts > 0 {
		lon.starts += int(got.Starts) * int(got.Units)
	}
	return lon
}

// granted ends the back-off and asks for more the next time.
func (stt *state) granted(now time.Time, peer dispatch.PeerID) {
	const maxAsk = 256
	stt.askSize = min(2*stt.askSize, maxAsk)
	stt.patience = 0
	stt.nextAsk = now
	delete(stt.asked, peer)
}

// BorrowFailed takes in that a request got no answer. The peer may have lent units all the same;
// its books end by themselves.
func (lim *Limiter) BorrowFailed(now time.Time, bor Borrow) {
	lim.event(now)
	for _, wnt := range bor.Wants {
		if stt := lim.states[wnt.Key]; stt != nil && stt.short(now) {
			lim.miss(now, stt)
		}
	}
}

// giveBack returns borrowed units that are wanted back, or whose time is over, and that nothing
// runs on, and those that were idle for long.
func (lim *Limiter) giveBack(now time.Time, stt *state) {
	if len(stt.loans) == 0 {
		return
	}
	for _, lon := range stt.loans {
		if !now.Before(lon.useUntil) {
			lon.drain()
		}
	}
	free, bounded := stt.borrowed(now)
	spare := stt.own(&lim.tbl) + free + bounded - stt.inUse
	// Tasks that run count against own and usable units first, so that the others go back.
	needed := max(0, -spare)
	for _, peer := range slices.Sorted(maps.Keys(stt.loans)) {
		lon := stt.loans[peer]
		keep := min(needed, lon.tail)
		needed -= keep
		lim.giveUnits(now, stt, peer, lon.tail-keep)
		lon.tail = keep
		if lon.units+lon.tail == 0 {
			delete(stt.loans, peer)
		}
	}
	lim.giveIdle(now, stt, min(spare, free+bounded))
}

func (lim *Limiter) giveIdle(now time.Time, stt *state, spare int) {
	if spare <= 0 || stt.short(now) {
		stt.idleSince = time.Time{}
		return
	}
	if stt.idleSince.IsZero() {
		stt.idleSince = now
	}
	if now.Sub(stt.idleSince) < lim.cfg.IdleFor {
		return
	}
	stt.askSize = 1
	for _, peer := range slices.Sorted(maps.Keys(stt.loans)) {
		lon := stt.loans[peer]
		back := min(spare, lon.units)
		spare -= back
		lim.giveUnits(now, stt, peer, back)
		lon.units -= back
		if lon.units+lon.tail == 0 {
			delete(stt.loans, peer)
		}
	}
}

// giveHome returns idle units to their home, which asks for units itself: without it, entry
// instances come to work on each other's units while their own are out, and idle ones can't be lent.
func (lim *Limiter) giveHome(now time.Time, stt *state, home dispatch.PeerID) {
	lon := stt.loans[home]
	if lon == nil {
		return
	}
	back := max(0, min(lon.units, stt.available(now, &lim.tbl)))
	lim.giveUnits(now, stt, home, back)
	lon.units -= back
	if lon.units+lon.tail == 0 {
		delete(stt.loans, home)
	}
}

func (lim *Limiter) giveUnits(now time.Time, stt *state, peer dispatch.PeerID, units int) {
	if units <= 0 {
		return
	}
	lon := Loan{Key: stt.key, Units: uint32(units)}
	if stt.short(now) && sum(&lim.tbl.owned, stt.offset, stt.units) == 0 {
		lon.Again = lon.Units
		stt.noteAsked(peer, now.Add(lim.cfg.PoorAsk))
	}
	lim.out.giveBack(peer, lon)
}

func (stt *state) noteAsked(peer dispatch.PeerID, until time.Time) {
	if stt.asked == nil {
		stt.asked = make(map[dispatch.PeerID]time.Time)
	}
	stt.asked[peer] = until
}

// shortage is a limit that tasks wait for, and the peers that could lend units of it.
type shortage struct {
	stt   *state
	peers []dispatch.PeerID
}

// shortages returns the limits that tasks still wait for. One that no task asked for in a while is
// reported as ready: a task that still waits then asks again, and one that is gone doesn't.
func (lim *Limiter) shortages(now time.Time) []*state {
	var list []*state
	for _, stt := range sorted(lim.short) {
		if stt.short(now) {
			lim.recall(now, stt)
		}
		switch {
		case stt.short(now):
			list = append(list, stt)
		case lim.short[stt.key] != nil:
			delete(lim.short, stt.key)
			stt.demand = 0
			stt.shortAt = time.Time{}
			lim.acts.Ready = append(lim.acts.Ready, stt.key)
		}
	}
	return list
}

// nextFlush returns when a limit that is short needs another look.
func (stt *state) nextFlush(now time.Time, every time.Duration) time.Time {
	next := stt.nextAsk
	if stt.isRate() && len(stt.starts) > 0 && stt.starts[0].until.Before(next) {
		next = stt.starts[0].until
	}
	if expiry := stt.shortAt.Add(shortFor); expiry.Before(next) {
		next = expiry
	}
	if soon := now.Add(every); next.Before(soon) {
		next = soon
	}
	return next
}

func (lim *Limiter) flushAt(tim time.Time) {
	if lim.nextFlush.IsZero() || tim.Before(lim.nextFlush) {
		lim.nextFlush = tim
	}
}

// flush sends what is short to the peers that have units of it, in one message to each.
func (lim *Limiter) flush(now time.Time) {
	var list []shortage
	votes := make(map[dispatch.PeerID]int)
	lim.nextFlush = time.Time{}
	for _, stt := range lim.shortages(now) {
		if now.Before(stt.nextAsk) {
			lim.flushAt(stt.nextFlush(now, lim.cfg.BorrowEvery))
			continue
		}
		prs := lim.lenders(now, stt)
		if len(prs) == 0 || stt.row >= lim.cfg.AsksInRow {
			stt.row = 0
			stt.nextAsk = now.Add(max(stt.patience, lim.cfg.MinAsk))
			stt.patience = min(2*stt.patience, lim.cfg.MaxAsk)
			lim.flushAt(stt.nextFlush(now, lim.cfg.BorrowEvery))
			continue
		}
		for _, per := range prs {
			votes[per]++
		}
		list = append(list, shortage{stt: stt, peers: prs})
	}
	for _, one := range list {
		// The peer that most of the shortages could go to makes the fewest messages.
		best := slices.MaxFunc(one.peers, func(left, right dispatch.PeerID) int {
			return cmp.Compare(votes[left], votes[right])
		})
		lim.askPeer(now, one.stt, best)
		lim.flushAt(one.stt.nextFlush(now, lim.cfg.BorrowEvery))
	}
}

func (lim *Limiter) askPeer(now time.Time, stt *state, peer dispatch.PeerID) {
	least := lim.cfg.MinAsk
	if sum(&lim.tbl.owned, stt.offset, stt.units) == 0 {
		least = lim.cfg.PoorAsk
	}
	stt.patience = max(stt.patience, least)
	stt.noteAsked(peer, now.Add(stt.patience))
	stt.nextAsk = now.Add(lim.cfg.AskEvery)
	stt.row++
	units := min(max(stt.askSize, stt.demand), stt.units)
	lim.out.want(peer, Want{Key: stt.key, Units: units, WaitFor: stt.patience})
}

// lendersTried bounds the units whose homes are looked up for one request.
const lendersTried = 64

// lenders returns peers that are homes of units of a limit and that don't already know of the
// shortage, in a random order.
func (lim *Limiter) lenders(now time.Time, stt *state) []dispatch.PeerID {
	var prs []dispatch.PeerID
	step, start := uint32(1), uint32(0)
	if stt.units > lendersTried {
		step = stt.units / lendersTried
		start = lim.rnd.Uint32N(step)
	}
	for unit := start; unit < stt.units; unit += step {
		per := lim.tbl.home((stt.offset + int(unit%slotCount)) % slotCount)
		if per == "" || per == lim.self.ID || now.Before(stt.asked[per]) || slices.Contains(prs, per) {
			continue
		}
		prs = append(prs, per)
	}
	lim.rnd.Shuffle(len(prs), func(one, two int) { prs[one], prs[two] = prs[two], prs[one] })
	return prs
}

// renewals asks to keep borrowed units of which half the time is over and that are needed.
func (lim *Limiter) renewals(now time.Time, stt *state) {
	for peer, lon := range stt.loans {
		if now.Before(lon.renewAt) {
			continue
		}
		lon.renewAt = now.Add(lim.cfg.LoanFor / 2)
		lim.out.want(peer, Want{Key: stt.key, Renew: uint32(lon.units + lon.tail)})
	}
}

// sorted returns states in the order of their keys, so that the same events lead to the same actions.
func sorted(states map[Key]*state) []*state {
	list := make([]*state, 0, len(states))
	for _, stt := range states {
		list = append(list, stt)
	}
	slices.SortFunc(list, func(one, two *state) int { return compareKeys(one.key, two.key) })
	return list
}

func compareKeys(one, two Key) int {
	if res := cmp.Compare(one.Class, two.Class); res != 0 {
		return res
	}
	if res := cmp.Compare(one.Kind, two.Kind); res != 0 {
		return res
	}
	return cmp.Compare(one.Team, two.Team)
}
