package dispatch

import (
	"slices"
	"time"

	"chestnutstack/internal/request/job"
)

const (
	// reportedFreeValidity is how long the free slots that a peer reported are taken as current.
	reportedFreeValidity = time.Second
	// defaultFreeShare is how many slots a peer is assumed to have free before any grant was received, as a share
	// of this instance's own slots.
	defaultFreeShare = 0.5
	// freeAverageWeight is the weight of a new grant in the moving average of a peer's free slots.
	freeAverageWeight = 0.2
)

// borrowSlots requests slots from peers if waiting for this instance's own slots would take longer than the policy
// of the waiting job allows. If no task waits for a slot, it gives idle borrowed slots back and offers idle own
// slots.
func (dsp *Dispatcher) borrowSlots(now time.Time) {
	if dsp.queued == 0 {
		dsp.giveBackIdle(now)
		dsp.offerSlots(now)
		return
	}
	dsp.idleSince = time.Time{}
	dsp.shortenLoans()
	if now.Before(dsp.requestAfter) {
		return
	}
	want := dsp.shortage(now)
	for num := 0; want > 0 && num < dsp.cfg.Loan.MaxParallelRequests; num++ {
		per := dsp.bestLender(now)
		if per == nil {
			break
		}
		// Each peer is asked for as many slots as it probably has free, so that the next one is asked only for the
		// rest; the last one is asked for all of the rest.
		part := min(want, max(dsp.estimatedFree(now, per), 1))
		if num+1 == dsp.cfg.Loan.MaxParallelRequests || dsp.onlyLender(now, per) {
			part = want
		}
		dsp.requestLoan(now, per, part)
		want -= part
	}
}

// policyOf returns the loan policy that the job's catalogue entry prefers.
func (dsp *Dispatcher) policyOf(jst *jobState) *LoanPolicy {
	if jst.spec().Class.Prefer == job.PreferMessages {
		return &dsp.cfg.Loan.PreferMessages
	}
	return &dsp.cfg.Loan.PreferResponse
}

// shortage returns how many more slots to borrow now, or 0. If waiting longer would make borrowing worth while, it
// sets a timer for that time.
func (dsp *Dispatcher) shortage(now time.Time) uint32 {
	if len(dsp.peers) == 0 {
		return 0
	}
	jst := dsp.firstWaiting()
	acceptableWait := time.Duration(dsp.policyOf(jst).WaitShare * float64(dsp.estimate(jst)))
	endingSoon := dsp.completionRate * acceptableWait.Seconds()
	want := float64(dsp.queued) - endingSoon
	if want < 1 {
		since := now.Sub(jst.spec().Admitted)
		if since < acceptableWait {
			dsp.scheduleBorrow(now.Add(acceptableWait - since))
			return 0
		}
		want = float64(dsp.queued)
	}
	return uint32(max(want-float64(dsp.requestedSlots), 0))
}

// scheduleBorrow sets a timerBorrow, unless an earlier one is set.
func (dsp *Dispatcher) scheduleBorrow(at time.Time) {
	if !dsp.borrowAt.IsZero() && !at.Before(dsp.borrowAt) {
		return
	}
	dsp.borrowAt = at
	dsp.timers.push(timer{at: at, kind: timerBorrow})
}

// bestLender returns the peer with the most free slots, by estimate, among those that may be asked; a peer of the
// own failure domain wins a tie. If no peer may be asked, it returns nil and sets requestAfter, so that events
// before that time need not examine every peer.
func (dsp *Dispatcher) bestLender(now time.Time) *peer {
	var best *peer
	var most uint32
	var soonest time.Time
	for _, per := range dsp.peers {
		if !dsp.mayRequest(now, per) {
			if at := dsp.requestAllowedAt(per); soonest.IsZero() || at.Before(soonest) {
				soonest = at
			}
			continue
		}
		free := dsp.estimatedFree(now, per)
		if best == nil || free > most || free == most && per.local && !best.local {
			best, most = per, free
		}
	}
	if best == nil {
		dsp.requestAfter = soonest
		dsp.scheduleBorrow(soonest)
	}
	return best
}

// onlyLender reports whether no peer but last may be asked now.
func (dsp *Dispatcher) onlyLender(now time.Time, last *peer) bool {
	for _, per := range dsp.peers {
		if per != last && dsp.mayRequest(now, per) {
			return false
		}
	}
	return true
}

// mayRequest reports whether the peer may be asked for slots now. It first closes a request that has timed out.
func (dsp *Dispatcher) mayRequest(now time.Time, per *peer) bool {
	if !per.requestedAt.IsZero() {
		if now.Sub(per.requestedAt) < dsp.cfg.Loan.Timeout {
			return false
		}
		dsp.backOff(now, per)
	}
	return !now.Before(per.notBefore)
}

// requestAllowedAt returns from when on a peer that may not be asked now may be asked.
func (dsp *Dispatcher) requestAllowedAt(per *peer) time.Time {
	if !per.requestedAt.IsZero() {
		return per.requestedAt.Add(dsp.cfg.Loan.Timeout)
	}
	return per.notBefore
}

// endRequest closes the open request to a peer.
func (dsp *Dispatcher) endRequest(per *peer) {
	if !per.requestedAt.IsZero() {
		per.requestedAt = time.Time{}
		dsp.requestedSlots -= per.requested
	}
	dsp.requestAfter = time.Time{}
}

// estimatedFree returns how many slots the peer probably has free: by its own recent message, else by the
// average of all grants.
func (dsp *Dispatcher) estimatedFree(now time.Time, per *peer) uint32 {
	if !per.freeAt.IsZero() && now.Sub(per.freeAt) < reportedFreeValidity {
		return per.free
	}
	if dsp.stats.GrantsReceived == 0 {
		return uint32(defaultFreeShare * float64(dsp.pool.HomeSlots()))
	}
	return uint32(dsp.peerFree)
}

// requestLoan sends a request for num slots to the peer.
func (dsp *Dispatcher) requestLoan(now time.Time, per *peer, num uint32) {
	jst := dsp.firstWaiting()
	per.requestedAt = now
	per.requested = num
	dsp.requestedSlots += num
	per.pause = dsp.policyOf(jst).BackOff
	dsp.act.Borrows = append(dsp.act.Borrows, Borrow{
		Peer:     per.id,
		Slots:    num,
		Free:     dsp.lendableNow(),
		RunTime:  dsp.estimate(jst),
		NoOffers: jst.spec().Class.Prefer == job.PreferMessages,
	})
	dsp.stats.Borrows++
	dsp.scheduleBorrow(now.Add(dsp.cfg.Loan.Timeout))
}

// backOff delays the next request to a peer that has nothing to lend or does not answer.
func (dsp *Dispatcher) backOff(now time.Time, per *peer) {
	dsp.endRequest(per)
	per.free, per.freeAt = 0, now
	per.notBefore = now.Add(dsp.jitter(per.pause << min(per.emptyReplies, 1)))
	per.emptyReplies++
}

// HandleGrant processes the answer of a peer to a request for slots, also an empty one, or an offer of a peer.
func (dsp *Dispatcher) HandleGrant(now time.Time, grt Grant) {
	dsp.beginEvent(now)
	dsp.stats.GrantsReceived++
	per := dsp.peerOf(grt.Peer)
	if per != nil {
		dsp.recordGrant(now, per, &grt)
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
		if !srv.inBorrowed {
			srv.inBorrowed = true
			dsp.borrowedServers = append(dsp.borrowedServers, srv)
		}
		if !srv.up {
			dsp.reconnect(now, srv)
		}
	}
	dsp.endEvent(now)
}

// recordGrant updates the state of the lending peer from a grant: a peer that granted less than was requested has
// no more.
func (dsp *Dispatcher) recordGrant(now time.Time, per *peer, grt *Grant) {
	got := grt.slots()
	dsp.peerFree += freeAverageWeight * (float64(got+grt.Free) - dsp.peerFree)
	if got == 0 {
		dsp.backOff(now, per)
		return
	}
	partial := got < per.requested
	dsp.endRequest(per)
	per.emptyReplies = 0
	per.notBefore = time.Time{}
	per.free, per.freeAt = grt.Free, now
	if partial {
		per.notBefore = now.Add(dsp.jitter(per.pause))
	}
}

// HandlePeerFailure records that a peer does not answer. Loans in both directions stay until they expire, since
// the slots that the peer borrowed may be in use.
func (dsp *Dispatcher) HandlePeerFailure(now time.Time, pid PeerID) {
	dsp.beginEvent(now)
	if per := dsp.peerOf(pid); per != nil {
		dsp.backOff(now, per)
	}
	dsp.endEvent(now)
}

// giveBackIdle gives back the unused borrowed slots, in one message to each lender: at once if they are at least
// ReturnSlots or this instance drains, else after ReturnDelay.
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
	if unused < dsp.cfg.Loan.ReturnSlots && now.Before(due) && !dsp.draining {
		dsp.scheduleBorrow(due)
		return
	}
	dsp.idleSince = time.Time{}
	var rets []Return
	kept := dsp.borrowedServers[:0]
	for _, srv := range dsp.borrowedServers {
		rets = dsp.giveBack(now, srv, rets)
		srv.inBorrowed = srv.acct.Borrowed() > 0
		if srv.inBorrowed {
			kept = append(kept, srv)
		}
	}
	dsp.borrowedServers = kept
	for idx := range rets {
		rets[idx].Free = dsp.lendableNow()
	}
	dsp.stats.Returns += uint64(len(rets))
	dsp.act.Returns = append(dsp.act.Returns, rets...)
}

// giveBack adds the unused borrowed slots of one backend server to rets, by lender. Slots in use are not given
// back: their loan ends when it expires.
func (dsp *Dispatcher) giveBack(now time.Time, srv *server, rets []Return) []Return {
	unused := srv.acct.Borrowed() - min(srv.acct.Borrowed(), srv.acct.InUse())
	for _, lon := range srv.acct.BorrowedLoans() {
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

// addReturn adds a loan to the return to the peer, which it creates if necessary.
func addReturn(rets []Return, pid PeerID, lon Loan) []Return {
	pos := slices.IndexFunc(rets, func(ret Return) bool { return ret.Peer == pid })
	if pos < 0 {
		pos = len(rets)
		rets = append(rets, Return{Peer: pid})
	}
	rets[pos].Loans = append(rets[pos].Loans, lon)
	return rets
}
