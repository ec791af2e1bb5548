package shard

// reportReplaced tells the owner of an order, unless it has cancelled the order, that an order of another owner replaces it.
func (ldr *Leader) reportReplaced(old *order, newOwner InstanceID) {
	if !old.cancelled {
		ldr.sendReport(old, Report{Outcome: OrderReplaced, NewOwner: newOwner, SubmissionNumber: old.SubmissionNumber})
	}
}
