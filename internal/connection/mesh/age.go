package mesh

import "time"

// How old a batch is shows by the receiver's clock alone: both sides tell how long their processes have run, and with that the
// newest such time of the other that they have heard. Whoever gets its own time back knows that the rest was said later.
//
// A process that got no processor for a while finds what the others sent meanwhile in its sockets, and takes it for news: it
// would start tasks that their owners have sent elsewhere, and believe in instances that are gone.

// age returns for how long the process has run, at least the smallest time that can be told.
func (msh *Mesh) age(now time.Time) time.Duration {
	return max(now.Sub(msh.began), time.Microsecond)
}

// freshFor is how old a batch may be that is acted on. A sender misses this instance no sooner after it last heard it, and starts
// what it had sent here elsewhere when the rest of the chain of leases has passed.
func (msh *Mesh) freshFor() time.Duration {
	return time.Duration(msh.cfg.MissedHeartbeats) * msh.cfg.HeartbeatInterval
}

// stamp is what a batch or a receipt says of the ages of both processes.
type stamp struct{ own, heard time.Duration }

// ageOf reads the stamp of a batch or a receipt.
func ageOf(msg interface {
	GetAgeMicros() int64
	GetHeardAgeMicros() int64
},
) stamp {
	return stamp{own: micros(msg.GetAgeMicros()), heard: micros(msg.GetHeardAgeMicros())}
}

// sentAfter returns a time by the own clock after which the peer has said something, which is no older than that: now, if it
// comes from an earlier version.
func (msh *Mesh) sentAfter(now time.Time, stm stamp) time.Time {
	if stm.own == 0 {
		return now
	}
	return msh.began.Add(stm.heard)
}

// isFresh reports whether what was said after a time may be acted on now.
func (msh *Mesh) isFresh(now, said time.Time) bool { return now.Sub(said) <= msh.freshFor() }

// noteAge notes the age of a peer's process for the next batch to it.
func (per *peer) noteAge(now time.Time, stm stamp) {
	if stm.own > 0 && stm.own >= per.heardAge {
		per.heardAge, per.heardAgeAt = stm.own, now
	}
}

// noteHeard notes that the peer was there after a time; what was long under way proves nothing later.
func (msh *Mesh) noteHeard(per *peer, now, said time.Time) {
	if msh.isFresh(now, said) {
		said = now
	}
	if said.After(per.heardAt) {
		per.heardAt = said
	}
}

// outdated reports whether a batch from here would be taken for old: the peer's time that it tells is too old to begin with. A
// batch without messages brings it up to date, which saves the way of the payloads.
func (msh *Mesh) outdated(per *peer, now time.Time) bool {
	return per.heardAge > 0 && now.Sub(per.heardAgeAt) > msh.freshFor()*3/4
}
