package shard

import "time"

// StopReason says why a run is stopped.
type StopReason string

// The reasons for stops.
const (
	// StoppedByOwner means that the owner has cancelled the order: its caller has left, or the job was answered.
	StoppedByOwner StopReason = "cancelled"
	// OwnerWasLost means that the owner is taken for lost.
	OwnerWasLost StopReason = "owner-lost"
	// OrderFollowed means that the order has followed to a newer leader, of which this one has not heard in time.
	OrderFollowed StopReason = "followed"
	// OtherOrder means that another order of the task has come.
	OtherOrder StopReason = "other-order"
	// NotClaimed means that no order has come for a run that was found.
	NotClaimed StopReason = "unclaimed"
	// StartUnanswered means that the start got no answer, StartRefused that it was refused after one without an answer.
	StartUnanswered StopReason = "start-unanswered"
	StartRefused    StopReason = "start-refused"
	// NoProgress means that the run made no progress, TooSlow that its server is slow.
	NoProgress StopReason = "no-progress"
	TooSlow    StopReason = "slow-server"
	// MoreUrgent means that a more urgent task waits for the room.
	MoreUrgent StopReason = "more-urgent"
	// OtherIncarnation means that another incarnation of the server has the run, or may have it.
	OtherIncarnation StopReason = "incarnation"
	// LeaseGone means that the leases are over, and that a start without an answer may still be carried out.
	LeaseGone StopReason = "lease-over"
)

// stopRun sends the first stop of a run. The run keeps its capacity until the server shows that it is over.
func (ldr *Leader) stopRun(now time.Time, srv *server, rn *run, rsn StopReason) {
	if rn.state == ending {
		return
	}
	rn.state, rn.stopReason = ending, rsn
	rn.stopAt = now
	ldr.sendStop(srv, rn)
}

func (ldr *Leader) sendStop(srv *server, rn *run) {
	rn.stopInProgress = true
	ldr.emit(StopRun{Server: srv.ent, Incarnation: srv.incarnation, Run: rn.id, Token: ldr.token, Reason: rn.stopReason})
}
