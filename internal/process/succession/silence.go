package succession

import "time"

// Missing heartbeats are evidence against other instances only if this instance could have received them.

// HandlePause takes note that the own process was paused, that is, got too little processor time, until now.
func (elc *Elector) HandlePause(now time.Time) { elc.pausedAt = now }

// maybeIsolated reports whether the last of the other instances was lost less than IsolationTimeout ago.
func (elc *Elector) maybeIsolated(now time.Time) bool {
	return len(elc.peers) == 0 && elc.everHadPeers && now.Sub(elc.lastPeerLostAt) < elc.cfg.IsolationTimeout
}

// countSilent counts an instance of the own failure domain that has fallen silent; the count restarts after PauseGrace without one.
func (elc *Elector) countSilent(now time.Time) {
	if now.Sub(elc.silentAt) > elc.cfg.PauseGrace {
		elc.silentPeers = 0
	}
	elc.silentPeers++
	elc.silentAt = now
}

// maybeOverloaded reports whether most of the own failure domain fell silent less than IsolationTimeout ago. That is more likely because
// this instance reads too slowly: one with a fifth of a core and its callers' traffic missed 13 others within half a second, took seven
// shards over from healthy leaders, and lost them again one after the other. Such an instance hears the others again after 1.0 to 1.5 s,
// so it waits as long as an isolated one.
func (elc *Elector) maybeOverloaded(now time.Time) bool {
	if elc.silentPeers < minSilentPeers || now.Sub(elc.silentAt) > elc.cfg.IsolationTimeout {
		return false
	}
	return elc.silentPeers > silentRatio*elc.DomainPeerCount()
}

const (
	// minSilentPeers is the least number of silent instances taken for own overload. Fewer may be a rack that lost power together, and in
	// a failure domain of two or three instances the shards of lost ones are always taken over at once.
	minSilentPeers = 3
	// silentRatio is the ratio of silent to remaining instances above which own overload is assumed: more than any power loss that leaves
	// some instances running.
	silentRatio = 3
)
