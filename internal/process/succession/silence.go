package succession

import "time"

// Missing heartbeats are evidence against other instances only if this instance could have received them.

// HandlePause takes note that the own process was paused, that is, got too little processor time, until now.
func (elc *Elector) HandlePause(now time.Time) { elc.pausedAt = now }

// maybeIsolated reports whether the last of the other instances was lost less than IsolationTimeout ago.
func (elc *Elector) maybeIsolated(now time.Time) bool {
	return len(elc.peers) == 0 && elc.everHadPeers && now.Sub(elc.lastPeerLostAt) < elc.cfg.IsolationTimeout
}

// HandleHeard takes note that a batch or receipt of another instance was read at a time.
func (elc *Elector) HandleHeard(now time.Time) {
	if now.Sub(elc.heardAt) > elc.cfg.IsolationTimeout {
		elc.hearingSince = now
	}
	elc.heardAt = now
}

// countSilent counts an instance of the own failure domain that has fallen silent; the count restarts after IsolationTimeout without one.
func (elc *Elector) countSilent(now time.Time) {
	if now.Sub(elc.silentAt) > elc.cfg.IsolationTimeout {
		elc.silentPeers = 0
	}
	elc.silentPeers++
	elc.silentAt = now
}

// maybeOverloaded reports whether most of the own failure domain has fallen silent and may be heard again soon. That many are more likely
// missed because this instance reads too slowly or its link is full: one with a fifth of a core missed 13 others within half a second, took
// seven shards over from healthy leaders, and lost them again one after the other. The shards are taken over only once this instance has
// heard any others for IsolationTimeout, as it would then hear the silent ones too; or once it has heard nobody for maxDeafness, when it is
// more likely the only one left. Idle instances of other failure domains are heard each 1.5 s or more often, so only a longer gap begins the
// wait anew.
func (elc *Elector) maybeOverloaded(now time.Time) bool {
	if elc.silentPeers < minSilentPeers || elc.silentPeers <= silentRatio*elc.DomainPeerCount() {
		return false
	}
	if deaf := now.Sub(elc.heardAt); deaf > elc.cfg.PauseGrace {
		return deaf <= maxDeafness*elc.cfg.IsolationTimeout
	}
	since := elc.silentAt
	if elc.hearingSince.After(since) {
		since = elc.hearingSince
	}
	return now.Sub(since) <= elc.cfg.IsolationTimeout
}

const (
	// minSilentPeers is the least number of silent instances taken for own overload. Fewer may be a rack that lost power together, and in
	// a failure domain of two or three instances the shards of lost ones are always taken over at once.
	minSilentPeers = 3
	// silentRatio is the ratio of silent to remaining instances above which own overload is assumed: more than any power loss that leaves
	// some instances running.
	silentRatio = 3
	// maxDeafness is how long to wait while nobody is heard, in units of IsolationTimeout: a full link delays heartbeats for less.
	maxDeafness = 2
)
