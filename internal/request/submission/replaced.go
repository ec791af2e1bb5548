package submission

import "chestnutstack/internal/request/shard"

// isCurrent reports whether a report of a leader is on the order that the task has now. The leader may have sent an OrderReplaced before it knew
// that this owner has cancelled the replaced order, whose job was submitted here once more since.
func (tsk *task) isCurrent(from shard.InstanceID, rep *shard.Report) bool {
	if rep.Outcome == shard.OrderReplaced && rep.SubmissionNumber != int64(tsk.job.firstCall) {
		return false
	}
	return tsk.leader == from && tsk.token == rep.Token
}

// endReplaced answers a job that was submitted to another owner, too, whose order of a task has replaced the one of this owner, and withdraws all other
// orders of the job. An order sent anew would stop the other owner's run, and the two would take turns; so would callers that retry before that
// owner can be done.
func (crd *Coordinator) endReplaced(tsk *task, newOwner shard.InstanceID) {
	jb := tsk.job
	tsk.leader = "" // The leader has no order of this owner.
	crd.answer(jb, Answer{
		Result: Unfinished, RetryAfter: crd.retryAfter(jb, jb.expectedRunTime()),
		Reason: "the job was also submitted to instance " + string(newOwner) + ", which has ordered its tasks",
	})
}
