package dispatch

import (
	"math"
	"time"

	"chestnutstack/internal/request/slot"
)

const (
	// loanGrowth and loanCut adapt the length of loans: longer while lending does no harm, and
	// shorter at once when own tasks had to wait for slots that were lent.
	loanGrowth = 1.25
	loanCut    = 0.5
	// minLoan is the length below which loans are not cut.
	minLoan = 400 * time.Millisecond
)

// HandleBorrow answers a peer that asks for slots. Only idle slots of own backend servers are lent,
// less a reserve for own arrivals.
func (dsp *Dispatcher) HandleBorrow(now time.Time, bor Borrow) Grant {
	dsp.enter(now)
	dsp.stats.BorrowsReceived++
	grt := Grant{Peer: dsp.cfg.Self}
	if per := dsp.peerOf(bor.Peer); per != nil {
		per.free, per.freeAt = bor.Free, now
		per.runTime = bor.RunTime
		per.style = &dsp.cfg.Loan.PreferResponse
		if bor.NoOffers {
			per.style = &dsp.cfg.Loan.PreferMessages
		}
		dsp.lend(now, per, bor.Slots, &grt)
		per.owed = bor.Slots - grt.slots()
		if bor.NoOffers {
			per.owed = 0
		}
		per.owedUntil = now.Add(per.style.RequestValidity)
		if per.owed > 0 {
			dsp.owedUntil = later(dsp.owedUntil, per.owedUntil)
		}
	}
	dsp.advance(now)
	return grt
}

func (grt *Grant) slots() uint32 {
	var tot uint32
	for _, lon := range grt.Loans {
		tot += lon.Slots
	}
	return tot
}

func (dsp *Dispatcher) lend(now time.Time, per *peer, want uint32, grt *Grant) {
	num := min(want, dsp.spare())
	grt.Duration = dsp.lengthOf(per, want, num)
	if num > 0 {
		dsp.lendSlots(now, per, num, grt)
	}
	grt.Free = dsp.spare()
}

func (dsp *Dispatcher) lendSlots(now time.Time, per *peer, num uint32, grt *Grant) {
	lon := slot.Loan{Peer: string(per.id), Slots: num, Until: now.Add(grt.Duration + dsp.cfg.Loan.Slack)}
	// A task that starts at the very end of the loan still takes its run time.
	lon.DrainedAt = lon.Until.Add(dsp.runTimeOf(per))
	dsp.pool.Lend(lon, func(acc *slot.Server, slots uint32) {
		grt.Loans = append(grt.Loans, Loan{Server: ServerID(acc.ID()), Slots: slots})
		dsp.stats.SlotsLent += uint64(slots)
		dsp.timers.push(timer{at: lon.DrainedAt, kind: timerLoan, srv: dsp.servers[ServerID(acc.ID())]})
	})
	dsp.stats.Grants++
	dsp.loanFor = min(time.Duration(loanGrowth*float64(dsp.loanFor)), dsp.cfg.Loan.MaxDuration)
}

func (dsp *Dispatcher) runTimeOf(per *peer) time.Duration {
	if per.runTime > 0 {
		return per.runTime
	}
	return dsp.meanRun
}

// lengthOf returns how long a loan of num slots is to run when want tasks wait for them: as many
// rounds as it takes, so that a burst that fits into one round ends its loan by itself, and one
// that does not needs no further request.
func (dsp *Dispatcher) lengthOf(per *peer, want, num uint32) time.Duration {
	rounds := float64(want)/float64(max(num, 1)) - 1
	need := time.Duration(rounds * float64(dsp.runTimeOf(per)))
	return min(max(need, per.style.MinDuration), dsp.loanFor)
}

// offer lends slots that came free to the peers whose requests still stand, the largest first.
func (dsp *Dispatcher) offer(now time.Time) {
	if !now.Before(dsp.owedUntil) {
		return
	}
	for spare := dsp.spare(); spare > 0; spare = dsp.spare() {
		per := dsp.creditor(now)
		if per == nil {
			return
		}
		due := per.offered.Add(dsp.cfg.Loan.OfferDelay)
		if spare < dsp.cfg.Loan.OfferSlots && now.Before(due) {
			dsp.borrowLater(due)
			return
		}
		off := Offer{To: per.id, Grant: Grant{Peer: dsp.cfg.Self}}
		dsp.lend(now, per, per.owed, &off.Grant)
		per.owed -= off.Grant.slots()
		per.offered = now
		dsp.act.Offers = append(dsp.act.Offers, off)
		dsp.stats.Offers++
	}
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

func (dsp *Dispatcher) creditor(now time.Time) *peer {
	var best *peer
	for _, per := range dsp.peers {
		if per.owed > 0 && now.Before(per.owedUntil) && (best == nil || per.owed > best.owed) {
			best = per
		}
	}
	return best
}

// spare returns the idle own slots beyond the reserve.
func (dsp *Dispatcher) spare() uint32 {
	if dsp.queued > 0 || dsp.leaving {
		return 0
	}
	free := dsp.pool.HomeFree()
	reserve := uint32(math.Ceil(dsp.cfg.Loan.ReserveShare * float64(dsp.pool.InUse())))
	if reserve >= free {
		return 0
	}
	return min(free-reserve, dsp.lendable())
}

// lendable returns how many more slots may be lent at all. An entry instance without slots of its
// own would make its next short job wait for as long as somebody else's tasks run.
func (dsp *Dispatcher) lendable() uint32 {
	most := uint32((1 - dsp.cfg.Loan.KeepShare) * float64(dsp.pool.HomeSlots()))
	if dsp.pool.Lent() >= most {
		return 0
	}
	return most - dsp.pool.Lent()
}

// regret shortens loans when own tasks wait while slots are lent.
func (dsp *Dispatcher) regret() {
	if dsp.pool.Lent() > 0 {
		dsp.loanFor = max(time.Duration(loanCut*float64(dsp.loanFor)), minLoan)
	}
}

// HandleReturn takes back slots from a peer before the loan ran out.
func (dsp *Dispatcher) HandleReturn(now time.Time, ret Return) {
	dsp.enter(now)
	dsp.stats.ReturnsReceived++
	if per := dsp.peerOf(ret.Peer); per != nil {
		per.free, per.freeAt = ret.Free, now
		per.owed = 0
	}
	for _, lon := range ret.Loans {
		if srv := dsp.servers[lon.Server]; srv != nil {
			dsp.pool.TakeBack(srv.acct, string(ret.Peer), lon.Slots)
		}
	}
	dsp.advance(now)
}
