package mesh

import "time"

// The age of a batch is measured by the receiver's clock alone: each side sends the age of its process, and with it the highest
// process age of the other that it has received. A side that gets its own age back knows that the message was sent after that
// time.
//
// A process that was paused finds in its sockets what the others sent meanwhile and would take it for new: it would start tasks
// that their owners have sent elsewhere by then, and count instances as alive that are gone.

// age returns the age of this process, at least the smallest that is not encoded as 0.
func (msh *Mesh) age(now time.Time) time.Duration {
	return max(now.Sub(msh.startedAt), time.Microsecond)
}

// maxBatchAge returns the highest age of a batch that is accepted. Its sender declares this instance lost no earlier than that
// long after it last heard it, and only after the rest of the leases has expired does it start elsewhere the tasks that it had
// sent here.
func (msh *Mesh) maxBatchAge() time.Duration {
	return time.Duration(msh.cfg.MissedHeartbeats) * msh.cfg.HeartbeatInterval
}

// ages are the process ages in a batch or receipt: the sender's own, and the receiver's newest that the sender has received.
type ages struct{ own, echoed time.Duration }

// agesOf returns the ages in a batch or receipt.
func agesOf(msg interface {
	GetAgeMicros() int64
	GetHeardAgeMicros() int64
},
) ages {
	return ages{own: micros(msg.GetAgeMicros()), echoed: micros(msg.GetHeardAgeMicros())}
}

// sentAfter returns a time, by this process's clock, that is before the sending of a message with these ages. Messages of
// versions that send no ages count as sent now.
func (msh *Mesh) sentAfter(now time.Time, ags ages) time.Time {
	if ags.own == 0 {
		return now
	}
	return msh.startedAt.Add(ags.echoed)
}

// isFresh reports whether a message that was sent after a time is new enough to be acted on.
func (msh *Mesh) isFresh(now, sent time.Time) bool { return now.Sub(sent) <= msh.maxBatchAge() }

// notePeerAge notes the process age of a peer, to send it back with the next batch.
func (per *peer) notePeerAge(now time.Time, ags ages) {
	if ags.own > 0 && ags.own >= per.peerAge {
		per.peerAge, per.peerAgeAt = ags.own, now
	}
}

// noteHeard notes a message of the peer that was sent after a time. A fresh one counts as heard now; one that was long under way
// proves only that the peer was alive when it was sent.
func (msh *Mesh) noteHeard(per *peer, now, sent time.Time) {
	if msh.isFresh(now, sent) {
		sent = now
	}
	if sent.After(per.heardAt) {
		per.heardAt = sent
	}
}

// isAgeOutdated reports whether the peer would reject a batch from here as stale, as the peer age that it would carry is too old
// already. A batch without messages is sent first then: its receipt brings a new age, and the payloads aren't sent in vain.
func (msh *Mesh) isAgeOutdated(per *peer, now time.Time) bool {
	return per.peerAge > 0 && now.Sub(per.peerAgeAt) > msh.maxBatchAge()*3/4
}
