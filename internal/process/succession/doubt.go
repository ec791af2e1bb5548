package succession

import "time"

// What an instance misses says something of the others only if it could have heard them.

// HandlePause tells the council that its own process was short of processor a moment ago.
func (cnc *Elector) HandlePause(now time.Time) { cnc.heldUpAt = now }

// mayBeCutOff reports whether the instance hears nobody although there were others a moment ago.
func (cnc *Elector) mayBeCutOff(now time.Time) bool {
	return len(cnc.others) == 0 && cnc.everHeard && now.Sub(cnc.aloneAt) < cnc.cfg.IsolationTimeout
}

// noteSilent notes that an instance of the own failure domain has fallen silent.
func (cnc *Elector) noteSilent(now time.Time) {
	if now.Sub(cnc.silentAt) > cnc.cfg.PauseGrace {
		cnc.silent = 0
	}
	cnc.silent++
	cnc.silentAt = now
}

// mayBeDeaf reports whether most of the own failure domain has just fallen silent. It is more likely that this instance reads too
// slowly: one that had started with a fifth of a core, and the traffic of its callers, missed 13 others within half a second,
// took seven shards over from leaders that were fine, and lost them again one after the other. It heard them again after 1.0 to
// 1.5 s, so that it waits as one does that hears nobody.
func (cnc *Elector) mayBeDeaf(now time.Time) bool {
	if cnc.silent < fewSilent || now.Sub(cnc.silentAt) > cnc.cfg.IsolationTimeout {
		return false
	}
	return cnc.silent > silentRatio*cnc.DomainPeerCount()
}

const (
	// fewSilent instances may lose their power together, in a rack; a failure domain of two or three is always followed at once.
	fewSilent = 3
	// silentRatio is how many times as many have to fall silent as are left: more than any loss of power that leaves some.
	silentRatio = 3
)
