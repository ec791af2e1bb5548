package dispatch

import (
	"math"
	"time"

	"chestnutstack/internal/request/slot"
)

const (
	// loanGrowth and loanShrink adapt the maximum duration of loans: each grant lengthens it, and tasks of this
	// instance that wait while slots are lent shorten it.
	loanGrowth = 1.25
	loanShrink = 0.5
	// minMaxLoan is the lower bound of the maximum duration of loans.
	minMaxLoan = 400 * time.Millisecond
)

// HandleBorrow answers a request of a peer for slots; the grant is empty if none can be lent. Only idle slots of
// the backend servers assigned to this instance are lent, less a reserve for own arrivals.
func (dsp *Dispatcher) HandleBorrow(now time.Time, bor Borrow) Grant {
	dsp.beginEvent(now)
	dsp.stats.BorrowsReceived++
	grt := Grant{Peer: dsp.cfg.Self}
	if per := dsp.peerOf(bor.Peer); per != nil {
		per.free, per.freeAt = bor.Free, now
		per.runTime = bor.RunTime
		per.policy = &dsp.cfg.Loan.PreferResponse
		if bor.NoOffers {
			per.policy = &dsp.cfg.Loan.PreferMessages
		}
		dsp.lend(now, per, bor.Slots, &grt)
		per.unmet = bor.Slots - grt.slots()
		if bor.NoOffers {
			per.unmet = 0
		}
		per.unmetUntil = now.Add(per.policy.RequestValidity)
		if per.unmet > 0 {
			dsp.unmetUntil = later(dsp.unmetUntil, per.unmetUntil)
		}
	}
	dsp.endEvent(now)
	return grt
}

// slots returns the sum of the slots of all loans of the grant.
func (grt *Grant) slots() uint32 {
	var tot uint32
	for _, lon := range grt.Loans {
		tot += lon.Slots
	}
	return tot
}

// lend fills the grant with up to want slots for the peer, as many as can be lent now.
func (dsp *Dispatcher) lend(now time.Time, per *peer, want uint32, grt *Grant) {
	num := min(want, dsp.lendableNow())
	grt.Duration = dsp.loanDuration(per, want, num)
	if num > 0 {
		dsp.lendSlots(now, per, num, grt)
	}
	grt.Free = dsp.lendableNow()
}

// lendSlots lends num slots to the peer for the duration in the grant, and lengthens the maximum duration of
// later loans.
func (dsp *Dispatcher) lendSlots(now time.Time, per *peer, num uint32, grt *Grant) {
	lon := slot.Loan{Peer: string(per.id), Slots: num, Until: now.Add(grt.Duration + dsp.cfg.Loan.Slack)}
	// A task that starts at the very end of the loan uses the slot for its run time after that.
	lon.DrainedAt = lon.Until.Add(dsp.runTimeOf(per))
	dsp.pool.Lend(lon, func(acc *slot.Server, slots uint32) {
		grt.Loans = append(grt.Loans, Loan{Server: ServerID(acc.ID()), Slots: slots})
		dsp.stats.SlotsLent += uint64(slots)
		dsp.timers.push(timer{at: lon.DrainedAt, kind: timerLoan, srv: dsp.servers[ServerID(acc.ID())]})
	})
	dsp.stats.Grants++
	dsp.maxLoan = min(time.Duration(loanGrowth*float64(dsp.maxLoan)), dsp.cfg.Loan.MaxDuration)
}

// runTimeOf returns the run time of the peer's waiting tasks, or the average of all tasks here if the peer
// didn't tell.
func (dsp *Dispatcher) runTimeOf(per *peer) time.Duration {
	if per.runTime > 0 {
		return per.runTime
	}
	return dsp.meanRunTime
}

// loanDuration returns the duration of a loan of num slots for want waiting tasks: the time in which all of them
// can run on these slots one after another. So the loan of a burst that fits at once expires by itself, and a
// larger burst needs no further request.
func (dsp *Dispatcher) loanDuration(per *peer, want, num uint32) time.Duration {
	rounds := float64(want)/float64(max(num, 1)) - 1
	need := time.Duration(rounds * float64(dsp.runTimeOf(per)))
	return min(max(need, per.policy.MinDuration), dsp.maxLoan)
}

// offerSlots lends slots that came free to the peers whose requests are still open, the largest unmet request
// first.
func (dsp *Dispatcher) offerSlots(now time.Time) {
	if !now.Before(dsp.unmetUntil) {
		return
	}
	for spare := dsp.lendableNow(); spare > 0; spare = dsp.lendableNow() {
		per := dsp.largestUnmet(now)
		if per == nil {
			return
		}
		due := per.offeredAt.Add(dsp.cfg.Loan.OfferDelay)
		if spare < dsp.cfg.Loan.OfferSlots && now.Before(due) {
			dsp.scheduleBorrow(due)
			return
		}
		off := Offer{To: per.id, Grant: Grant{Peer: dsp.cfg.Self}}
		dsp.lend(now, per, per.unmet, &off.Grant)
		per.unmet -= off.Grant.slots()
		per.offeredAt = now
		dsp.act.Offers = append(dsp.act.Offers, off)
		dsp.stats.Offers++
	}
}

// later returns the later of two times.
func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// largestUnmet returns the peer with the largest unmet request that is still open, or nil.
func (dsp *Dispatcher) largestUnmet(now time.Time) *peer {
	var best *peer
	for _, per := range dsp.peers {
		if per.unmet > 0 && now.Before(per.unmetUntil) && (best == nil || per.unmet > best.unmet) {
			best = per
		}
	}
	return best
}

// lendableNow returns how many idle slots of this instance's own backend servers can be lent, beyond the reserve;
// 0 while own tasks wait or this instance drains.
func (dsp *Dispatcher) lendableNow() uint32 {
	if dsp.queued > 0 || dsp.draining {
		return 0
	}
	free := dsp.pool.HomeFree()
	reserve := uint32(math.Ceil(dsp.cfg.Loan.ReserveShare * float64(dsp.pool.InUse())))
	if reserve >= free {
		return 0
	}
	return min(free-reserve, dsp.lendLimitLeft())
}

// lendLimitLeft returns how many more slots may be lent until only KeepShare of the own slots is left. The next
// short job of an instance without own slots would have to wait for tasks of other instances to end.
func (dsp *Dispatcher) lendLimitLeft() uint32 {
	most := uint32((1 - dsp.cfg.Loan.KeepShare) * float64(dsp.pool.HomeSlots()))
	if dsp.pool.Lent() >= most {
		return 0
	}
	return most - dsp.pool.Lent()
}

// shortenLoans reduces the maximum duration of loans; it is called when own tasks wait, and has an effect while
// slots are lent.
func (dsp *Dispatcher) shortenLoans() {
	if dsp.pool.Lent() > 0 {
		dsp.maxLoan = max(time.Duration(loanShrink*float64(dsp.maxLoan)), minMaxLoan)
	}
}

// HandleReturn takes back lent slots that a peer returns before the loan expires.
func (dsp *Dispatcher) HandleReturn(now time.Time, ret Return) {
	dsp.beginEvent(now)
	dsp.stats.ReturnsReceived++
	if per := dsp.peerOf(ret.Peer); per != nil {
		per.free, per.freeAt = ret.Free, now
		per.unmet = 0
	}
	for _, lon := range ret.Loans {
		if srv := dsp.servers[lon.Server]; srv != nil {
			dsp.pool.TakeBack(srv.acct, string(ret.Peer), lon.Slots)
		}
	}
	dsp.endEvent(now)
}
