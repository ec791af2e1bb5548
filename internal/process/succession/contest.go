package succession

import (
	"maps"
	"time"

	"chestnutstack/internal/request/shard"
)

// A shard that was lost to a newer token has a leader that isn't heard. An instance that has lost more others than it hears is more likely cut off
// from them than they have ended: if it took shards over, each would be taken from a leader that the others hear, and they would take it back, for
// as long as the cut lasts.

// contest says whether the own instance may take shards over after it has lost one to another leader's token.
type contest struct {
	// unheard has the instances that fell silent without a sign that their processes have ended, and since when.
	unheard map[shard.InstanceID]time.Time
	// lost is the shard that was last lost to a token while the instance was in the minority, which bars it until barredUntil.
	lost        shard.Name
	barredUntil time.Time
}

// unheardMemory is how long an instance that fell silent counts as one that may live.
const unheardMemory = 30 * time.Second

// noteSilent notes that another instance has fallen silent.
func (elc *Elector) noteSilent(now time.Time, id shard.InstanceID) {
	maps.DeleteFunc(elc.contest.unheard, func(_ shard.InstanceID, since time.Time) bool { return now.Sub(since) > unheardMemory })
	elc.contest.unheard[id] = now
}

// inMinority reports whether the own instance has lost more others by silence than it hears.
func (elc *Elector) inMinority(now time.Time) bool {
	unheard := 0
	for _, since := range elc.contest.unheard {
		if now.Sub(since) <= unheardMemory {
			unheard++
		}
	}
	return unheard > len(elc.peers)
}

// handleFenced bars takeovers for a while after a shard was lost to another leader's token, if the own instance is in the minority.
func (elc *Elector) handleFenced(now time.Time, name shard.Name) {
	if elc.inMinority(now) {
		elc.contest.lost, elc.contest.barredUntil = name, now.Add(elc.cfg.MinorityPause)
	}
}

// BarredFor returns for how long takeovers are barred; 0 if they aren't, as once the leader that has won is heard, or enough others are.
func (elc *Elector) BarredFor(now time.Time) time.Duration {
	if !now.Before(elc.contest.barredUntil) {
		return 0
	}
	if winner, _ := elc.claims.newest(elc.contest.lost); winner != "" || !elc.inMinority(now) {
		return 0
	}
	return elc.contest.barredUntil.Sub(now)
}
