package shard

import "time"

// sameArrival is the difference up to which two submissions of a job count as simultaneous: what a leader is told of it is off by the time of a message.
const sameArrival = 50 * time.Millisecond

// reportReplaced tells the owner of an order, unless it has cancelled the order, that an order of another owner replaces it.
func (ldr *Leader) reportReplaced(old *order, newOwner InstanceID) {
	if !old.cancelled {
		ldr.sendReport(old, Report{Outcome: OrderReplaced, NewOwner: newOwner, SubmissionNumber: old.SubmissionNumber})
	}
}

// refuseEarlier has an order reported as replaced whose job was submitted earlier than that of the present order, by another owner, and reports whether
// it did: its caller has submitted the job again since. A reassigned order isn't refused, as the wait for its former run must be kept, nor is any while
// the present owner is silent.
func (ldr *Leader) refuseEarlier(now time.Time, old *order, req *Order) bool {
	if old.Owner == req.Owner || old.cancelled || req.Reassigned || old.Arrived.Sub(req.Arrived) <= sameArrival || !ldr.ownerHeardRecently(now, old) {
		return false
	}
	ldr.reportReplaced(&order{Order: *req}, old.Owner)
	return true
}
