package limit

import (
	"slices"
	"time"
)

// Wake does what is due; call it at NextWake or later.
func (lim *Limiter) Wake(now time.Time) {
	lim.event(now)
	if !lim.nextFlush.IsZero() && !now.Before(lim.nextFlush) {
		lim.flush(now)
	}
	if !now.Before(lim.nextSweep) {
		lim.nextSweep = now.Add(lim.cfg.SweepEvery)
		lim.sweep(now)
	}
}

// NextWake returns when Wake has something to do; it is never far, since a long time without any
// event is taken for a pause of this process.
func (lim *Limiter) NextWake() time.Time {
	next := lim.nextSweep
	if !lim.nextFlush.IsZero() && lim.nextFlush.Before(next) {
		next = lim.nextFlush
	}
	if !lim.tbl.nextFree.IsZero() && lim.tbl.nextFree.Before(next) {
		next = lim.tbl.nextFree
	}
	return next
}

// Actions returns what is to be done since the last call.
func (lim *Limiter) Actions(now time.Time) Actions {
	lim.out.drain(&lim.acts, now.Sub(lim.epoch))
	acts := lim.acts
	lim.acts = Actions{}
	return acts
}

func (lim *Limiter) sweep(now time.Time) {
	for _, stt := range sorted(lim.busy) {
		if stt.isRate() {
			stt.prune(now)
		}
		stt.expire(now)
		lim.settle(now, stt)
		lim.renewals(now, stt)
		if stt.quiet() {
			delete(lim.busy, stt.key)
		}
	}
	lim.sendHandOvers(now)
	lim.plead(now)
}

// expire drops what peers asked, borrowed or used so long ago that it is over.
func (stt *state) expire(now time.Time) {
	stt.asks = slices.DeleteFunc(stt.asks, func(one ask) bool { return !now.Before(one.until) })
	for peer, bok := range stt.lent {
		bok.expire(now)
		if bok.units() == 0 {
			delete(stt.lent, peer)
		}
	}
	for peer, frn := range stt.foreign {
		if !now.Before(frn.until) {
			delete(stt.foreign, peer)
		}
	}
}

// quiet reports whether a sweep has nothing to look at.
func (stt *state) quiet() bool {
	return len(stt.lent) == 0 && len(stt.loans) == 0 && len(stt.foreign) == 0 && len(stt.asks) == 0 &&
		(!stt.isRate() || stt.inUse == 0)
}
