package shard

import (
	"cmp"
	"slices"
	"time"
)

// A backend server that crashes may start again under its ID and address. The new incarnation runs nothing, has seen no fencing token, and
// numbers its ends and counts its clock anew. It tells its incarnation in its entry and in each answer to a renewal. Only such an answer begins a new
// incarnation here, as it also shows which starts the new incarnation has carried out that were meant for the former one.

// updateEntry applies a listed entry to a known server. One of a new incarnation has it called at once, and it gets no task before it answers.
func (ldr *Leader) updateEntry(now time.Time, srv *server, ent ServerEntry) {
	srv.ent, srv.unlisted, srv.unreadable = ent, false, false
	switch {
	case srv.incarnation == 0:
		srv.incarnation = ent.Incarnation
	case ent.Incarnation > srv.incarnation && srv.state == confirmed:
		ldr.emit(NoteIncarnation{Server: ent.ID, Known: srv.incarnation, Told: ent.Incarnation, Reason: "the list has a new incarnation of the server"})
		ldr.callAgain(now, srv)
	}
}

// callAgain sends a renewal at once to a server that may have a new incarnation. It extends no lease and acknowledges nothing.
func (ldr *Leader) callAgain(now time.Time, srv *server) {
	srv.state, srv.ackDue = unreachable, 0
	srv.renewAt, srv.renewing, srv.delayNext = now, false, false
}

// checkIncarnation compares the incarnation in the answer to a renewal that was sent at sent with the known one. It returns the server, of which a new
// incarnation may have begun, and the result to go on with: an answer of a former incarnation, or without an incarnation from a server that told one, counts
// as none.
func (ldr *Leader) checkIncarnation(now, sent time.Time, srv *server, act Renew, ans *RenewResult) (*server, CallResult) {
	inc := ans.Incarnation
	switch {
	case inc == srv.incarnation:
		return srv, Accepted
	case srv.incarnation == 0:
		srv.incarnation = inc
		return srv, Accepted
	case inc == 0:
		ldr.emit(NoteIncarnation{Server: srv.ent.ID, Known: srv.incarnation, Reason: "answer without an incarnation is not used"})
		return srv, Unknown
	case inc < srv.incarnation:
		ldr.emit(NoteIncarnation{Server: srv.ent.ID, Known: srv.incarnation, Told: inc, Reason: "answer of a former incarnation is not used"})
		return srv, Unknown
	}
	srv = ldr.beginIncarnation(now, sent, srv, ans)
	if act.LeaseUntil > 0 {
		srv.noteForeignLease(now, ldr.cfg)
	}
	ldr.requestConfirmations(now, now)
	return srv, Accepted
}

// beginIncarnation replaces the state of a server by that of the incarnation that has answered a renewal which was sent at sent. What the former one
// ran is over and is queued again. Runs that the new one has carried out or may still carry out stay, and are stopped: their leases were
// meant for another clock.
//
// The new incarnation obeys any token until it has seen this leader's, so it is treated like a server that was just listed (see admitAdded).
func (ldr *Leader) beginIncarnation(now, sent time.Time, old *server, ans *RenewResult) *server {
	srv := newServer(old.ent, now)
	srv.incarnation, srv.unlisted, srv.unreadable = ans.Incarnation, old.unlisted, old.unreadable
	// Answers to earlier renewals are told from those to the next ones by the number.
	srv.renewals = old.renewals
	srv.renewedAt, srv.extensionLostAt, srv.noStartsUntil = old.renewedAt, old.extensionLostAt, old.noStartsUntil
	if last := old.lastExtension(); !last.IsZero() && last.After(now.Add(-time.Duration(float64(ans.Clock)*clockSkew))) {
		srv.foreignLeaseAt = last // The incarnation had begun by then, and may have carried the call out.
	}
	srv.addedAt, srv.newlyListed = now, old.newlyListed
	if old.addedAt.IsZero() {
		ldr.added++
	}
	ldr.putServer(srv)
	for _, rn := range old.runList {
		switch {
		case ans.listsEnd(rn.id):
			srv.add(rn)
		case rn.endedWithFormer(sent) && !ans.listsRunning(rn.id) && !ans.MoreEnds:
			ldr.requeue(now, old, rn, FormerIncarnation)
		default:
			rn.state, rn.timeHandled, rn.confirmed = ending, true, false
			rn.stopReason = cmp.Or(rn.stopReason, OtherIncarnation)
			rn.stopAt, rn.stopDue, rn.stopAcceptedAt, rn.stopInProgress = now, now, time.Time{}, false
			srv.add(rn)
		}
	}
	ldr.emit(NoteIncarnation{
		Server: srv.ent.ID, Known: old.incarnation, Told: srv.incarnation, Reason: "the server answers as a new incarnation", Carried: len(srv.runs),
	})
	return srv
}

// endedWithFormer reports whether a run that the next incarnation doesn't list, in answer to a call sent at sent, was one of the former incarnation
// and is over with it. A start without an answer before that call may still be carried out.
func (rn *run) endedWithFormer(sent time.Time) bool {
	return !rn.acceptedAt.IsZero() && sent.After(rn.acceptedAt)
}

func (ans *RenewResult) listsEnd(id RunID) bool {
	return slices.ContainsFunc(ans.Ended, func(end End) bool { return end.Run == id })
}

func (ans *RenewResult) listsRunning(id RunID) bool {
	return slices.ContainsFunc(ans.Running, func(prg Progress) bool { return prg.Run == id })
}

// handleStartInNewIncarnation handles the answer to a start whose clock is behind the reading before the start was sent: a new incarnation has
// answered, which took a lease that was meant for another clock. The run is stopped, and the next renewal tells the incarnation.
func (ldr *Leader) handleStartInNewIncarnation(now time.Time, srv *server, rn *run) {
	ldr.emit(NoteIncarnation{
		Server: srv.ent.ID, Known: srv.incarnation, Reason: "the clock in the answer to a start went back: a new incarnation has answered",
	})
	srv.noteForeignLease(now, ldr.cfg)
	ldr.callAgain(now, srv)
	ldr.stopRun(now, srv, rn, OtherIncarnation)
}

// noteForeignLease records that the server has taken a lease by now that was meant for another incarnation.
func (srv *server) noteForeignLease(now time.Time, cfg Config) {
	srv.foreignLeaseAt, srv.noStartsUntil = now, now.Add(cfg.LongestLease)
}
