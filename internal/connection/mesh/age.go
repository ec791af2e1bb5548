package mesh

import "time"

// The age of a batch is measured by the receiver's clock alone: each side sends the age of its process, and with it the highest
// process age of the other that it has received. A side that gets its own age back knows that the message was sent after that
// time.
//
// A process that was paused finds in its sockets what the others sent meanwhile and would take it for new: it would start tasks
// that their owners have sent elsewhere by then, and count instances as alive that have ended.

// processAge returns the age of this process at now, at least a microsecond: a smaller age would be encoded as 0, which means none.
func (msh *Mesh) processAge(now time.Time) time.Duration {
	return max(now.Sub(msh.startedAt), time.Microsecond)
}

// maxBatchAge returns the highest age of a batch that is accepted. The sender takes this instance for lost no earlier than that long
// after it last heard it, and starts the tasks that it had sent here elsewhere only once the rest of the leases has expired.
func (msh *Mesh) maxBatchAge() time.Duration {
	return time.Duration(msh.cfg.MissedHeartbeats) * msh.cfg.HeartbeatInterval
}

// processAges are the process ages in a batch or receipt: the sender's own, and the highest of the receiver's that the sender has
// received.
type processAges struct{ own, echoed time.Duration }

// processAgesOf returns the process ages in a batch or receipt.
func processAgesOf(msg interface {
	GetAgeMicros() int64
	GetHeardAgeMicros() int64
},
) processAges {
	return processAges{own: micros(msg.GetAgeMicros()), echoed: micros(msg.GetHeardAgeMicros())}
}

// earliestSendTime returns the earliest time, by this process's clock, at which a batch or receipt with these ages can have been sent.
// Those of versions that send no ages count as sent now.
func (msh *Mesh) earliestSendTime(now time.Time, ags processAges) time.Time {
	if ags.own == 0 {
		return now
	}
	return msh.startedAt.Add(ags.echoed)
}

// isFresh reports whether a batch or receipt that was sent at the time sent or later is new enough at now to be acted on.
func (msh *Mesh) isFresh(now, sent time.Time) bool { return now.Sub(sent) <= msh.maxBatchAge() }

// notePeerAge notes the process age of a peer that was received at now, to send it back with the next batch.
func (per *peer) notePeerAge(now time.Time, ags processAges) {
	if ags.own > 0 && ags.own >= per.peerAge {
		per.peerAge, per.peerAgeAt = ags.own, now
	}
}

// noteHeard notes a batch or receipt of the peer that was sent at the time sent or later. A fresh one counts as heard now; a delayed
// one proves only that the peer was alive when it was sent.
func (msh *Mesh) noteHeard(per *peer, now, sent time.Time) {
	if sent.After(per.aliveAt) {
		per.aliveAt = sent
	}
	if msh.isFresh(now, sent) {
		sent = now
	}
	if sent.After(per.heardAt) {
		per.heardAt = sent
	}
}

// isPeerAgeOutdated reports whether the peer's process age that a batch would send back was received so long ago that the peer may
// reject the batch as stale. A batch without messages is sent first then: its receipt brings a new age, so that payloads aren't sent
// only to be rejected.
func (msh *Mesh) isPeerAgeOutdated(per *peer, now time.Time) bool {
	return per.peerAge > 0 && now.Sub(per.peerAgeAt) > msh.maxBatchAge()*3/4
}
