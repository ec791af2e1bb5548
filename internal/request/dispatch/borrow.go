package dispatch

import (
	"slices"
	"time"

	"chestnutstack/internal/request/job"
)

const (
	// freeTrust is how long the free count that a peer told of itself is believed.
	freeTrust = time.Second
	// guessShare is the share of the own slots that a peer is thought to have free before any told.
	guessShare = 0.5
	// guessWeight is the weight of one more grant in what peers are thought to have free.
	guessWeight = 0.2
)

// borrow asks peers for slots when waiting for own ones would take longer than a loan is worth,
// and gives idle loans back.
func (dsp *Dispatcher) borrow(now time.Time) {
	if dsp.queued == 0 {
		dsp.giveBackIdle(now)
		dsp.offer(now)
		return
	}
	dsp.idleSince = time.Time{}
	dsp.regret()
	if now.Before(dsp.askAfter) {
		return
	}
	want := dsp.shortage(now)
	for num := 0; want > 0 && num < dsp.cfg.Loan.MaxParallelRequests; num++ {
		per := dsp.lender(now)
		if per == nil {
			break
		}
		// The rest goes to the next peer only if this one can't have it all.
		part := min(want, max(dsp.believedFree(now, per), 1))
		if num+1 == dsp.cfg.Loan.MaxParallelRequests || dsp.lastLender(now, per) {
			part = want
		}
		dsp.askLoan(now, per, part)
		want -= part
	}
}

// style returns what the job's catalogue entry would rather spend.
func (dsp *Dispatcher) style(jst *jobState) *LoanPolicy {
	if jst.spec().Class.Prefer == job.PreferMessages {
		return &dsp.cfg.Loan.PreferMessages
	}
	return &dsp.cfg.Loan.PreferResponse
}

// shortage returns how many slots more are worth borrowing now, or 0; it sets a timer if waiting
// makes them so.
func (dsp *Dispatcher) shortage(now time.Time) uint32 {
	if len(dsp.peers) == 0 {
		return 0
	}
	jst := dsp.firstWaiting()
	worth := time.Duration(dsp.style(jst).WaitShare * float64(dsp.estimate(jst)))
	soon := dsp.drain * worth.Seconds()
	want := float64(dsp.queued) - soon
	if want < 1 {
		since := now.Sub(jst.spec().Admitted)
		if since < worth {
			dsp.borrowLater(now.Add(worth - since))
			return 0
		}
		want = float64(dsp.queued)
	}
	return uint32(max(want-float64(dsp.asking), 0))
}

func (dsp *Dispatcher) borrowLater(at time.Time) {
	if !dsp.borrowAt.IsZero() && !at.Before(dsp.borrowAt) {
		return
	}
	dsp.borrowAt = at
	dsp.timers.push(timer{at: at, kind: timerBorrow})
}

// lender returns the peer believed to have the most free slots among those that may be asked; the
// own failure domain wins a tie. If there is none it notes when there may be one, so that events
// meanwhile need not look at every peer.
func (dsp *Dispatcher) lender(now time.Time) *peer {
	var best *peer
	var most uint32
	var soonest time.Time
	for _, per := range dsp.peers {
		if !dsp.mayAsk(now, per) {
			if at := dsp.askableAt(per); soonest.IsZero() || at.Before(soonest) {
				soonest = at
			}
			continue
		}
		free := dsp.believedFree(now, per)
		if best == nil || free > most || free == most && per.local && !best.local {
			best, most = per, free
		}
	}
	if best == nil {
		dsp.askAfter = soonest
		dsp.borrowLater(soonest)
	}
	return best
}

func (dsp *Dispatcher) lastLender(now time.Time, last *peer) bool {
	for _, per := range dsp.peers {
		if per != last && dsp.mayAsk(now, per) {
			return false
		}
	}
	return true
}

func (dsp *Dispatcher) mayAsk(now time.Time, per *peer) bool {
	if !per.asked.IsZero() {
		if now.Sub(per.asked) < dsp.cfg.Loan.Timeout {
			return false
		}
		dsp.refusedLoan(now, per)
	}
	return !now.Before(per.notBefore)
}

// askableAt returns when a peer that may not be asked now may be.
func (dsp *Dispatcher) askableAt(per *peer) time.Time {
	if !per.asked.IsZero() {
		return per.asked.Add(dsp.cfg.Loan.Timeout)
	}
	return per.notBefore
}

// settle ends the open request to a peer.
func (dsp *Dispatcher) settle(per *peer) {
	if !per.asked.IsZero() {
		per.asked = time.Time{}
		dsp.asking -= per.want
	}
	dsp.askAfter = time.Time{}
}

func (dsp *Dispatcher) believedFree(now time.Time, per *peer) uint32 {
	if !per.freeAt.IsZero() && now.Sub(per.freeAt) < freeTrust {
		return per.free
	}
	if dsp.stats.GrantsReceived == 0 {
		return uint32(guessShare * float64(dsp.pool.HomeSlots()))
	}
	return uint32(dsp.peerFree)
}

func (dsp *Dispatcher) askLoan(now time.Time, per *peer, num uint32) {
	jst := dsp.firstWaiting()
	per.asked = now
	per.want = num
	dsp.asking += num
	per.pause = dsp.style(jst).BackOff
	dsp.act.Borrows = append(dsp.act.Borrows, Borrow{
		Peer:    per.id,
		Slots:   num,
		Free:    dsp.spare(),
		RunTime: dsp.estimate(jst),
		NoOffers:    jst.spec().Class.Prefer == job.PreferMessages,
	})
	dsp.stats.Borrows++
	dsp.borrowLater(now.Add(dsp.cfg.Loan.Timeout))
}

// refusedLoan backs off from a peer that has nothing to lend or does not answer.
func (dsp *Dispatcher) refusedLoan(now time.Time, per *peer) {
	dsp.settle(per)
	per.free, per.freeAt = 0, now
	per.notBefore = now.Add(dsp.jitter(per.pause << min(per.misses, 1)))
	per.misses++
}

// HandleGrant takes in the answer to a request for slots; an empty one too.
func (dsp *Dispatcher) HandleGrant(now time.Time, grt Grant) {
	dsp.enter(now)
	dsp.stats.GrantsReceived++
	per := dsp.peerOf(grt.Peer)
	if per != nil {
		dsp.answered(now, per, &grt)
	}
	until := now.Add(grt.Duration)
	for _, lon := range grt.Loans {
		srv := dsp.servers[lon.Server]
		if srv == nil || lon.Slots == 0 {
			continue
		}
		dsp.pool.Borrow(srv.acct, string(grt.Peer), lon.Slots, until)
		dsp.stats.SlotsBorrowed += uint64(lon.Slots)
		dsp.timers.push(timer{at: until, kind: timerLoan, srv: srv})
		if !srv.indebted {
			srv.indebted = true
			dsp.debts = append(dsp.debts, srv)
		}
		if !srv.up {
			dsp.reconnect(now, srv)
		}
	}
	dsp.advance(now)
}

// answered learns from a grant: a peer that gave less than it was asked for has no more.
func (dsp *Dispatcher) answered(now time.Time, per *peer, grt *Grant) {
	got := grt.slots()
	dsp.peerFree += guessWeight * (float64(got+grt.Free) - dsp.peerFree)
	if got == 0 {
		dsp.refusedLoan(now, per)
		return
	}
	partial := got < per.want
	dsp.settle(per)
	per.misses = 0
	per.notBefore = time.Time{}
	per.free, per.freeAt = grt.Free, now
	if partial {
		per.notBefore = now.Add(dsp.jitter(per.pause))
	}
}

// HandlePeerFailure takes in that a peer does not answer. Its loans run to their ends both ways: the
// slots it borrowed may be in use.
func (dsp *Dispatcher) HandlePeerFailure(now time.Time, pid PeerID) {
	dsp.enter(now)
	if per := dsp.peerOf(pid); per != nil {
		dsp.refusedLoan(now, per)
	}
	dsp.advance(now)
}

// giveBackIdle returns borrowed slots that nothing waits for, in one message to each lender: at
// once if they are many, else after a while.
func (dsp *Dispatcher) giveBackIdle(now time.Time) {
	unused := dsp.pool.Free() - dsp.pool.HomeFree()
	if unused == 0 {
		dsp.idleSince = time.Time{}
		return
	}
	if dsp.idleSince.IsZero() {
		dsp.idleSince = now
	}
	due := dsp.idleSince.Add(dsp.cfg.Loan.ReturnDelay)
	if unused < dsp.cfg.Loan.ReturnSlots && now.Before(due) && !dsp.leaving {
		dsp.borrowLater(due)
		return
	}
	dsp.idleSince = time.Time{}
	var rets []Return
	kept := dsp.debts[:0]
	for _, srv := range dsp.debts {
		rets = dsp.giveBack(now, srv, rets)
		srv.indebted = srv.acct.Borrowed() > 0
		if srv.indebted {
			kept = append(kept, srv)
		}
	}
	dsp.debts = kept
	for idx := range rets {
		rets[idx].Free = dsp.spare()
	}
	dsp.stats.Returns += uint64(len(rets))
	dsp.act.Returns = append(dsp.act.Returns, rets...)
}

// giveBack collects the unused slots of one backend server by lender. Slots in use are not given
// back: their loan runs out at its end.
func (dsp *Dispatcher) giveBack(now time.Time, srv *server, rets []Return) []Return {
	unused := srv.acct.Borrowed() - min(srv.acct.Borrowed(), srv.acct.InUse())
	for _, lon := range srv.acct.Loans() {
		if unused == 0 {
			break
		}
		if lon.Until.Sub(now) < dsp.cfg.Loan.MinReturnTime {
			continue
		}
		cut := dsp.pool.GiveBack(srv.acct, lon.Peer, min(lon.Slots, unused))
		unused -= cut
		rets = addReturn(rets, PeerID(lon.Peer), Loan{Server: srv.id, Slots: cut})
	}
	return rets
}

func addReturn(rets []Return, pid PeerID, lon Loan) []Return {
	pos := slices.IndexFunc(rets, func(ret Return) bool { return ret.Peer == pid })
	if pos < 0 {
		pos = len(rets)
		rets = append(rets, Return{Peer: pid})
	}
	rets[pos].Loans = append(rets[pos].Loans, lon)
	return rets
}
