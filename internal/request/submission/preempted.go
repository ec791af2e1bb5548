package submission

import "chestnutstack/internal/request/shard"

// notePreempted records that the run of a task is being stopped for a more urgent task. Its order waits at its leader again, from where it may be
// recalled if another shard has room.
func (crd *Coordinator) notePreempted(tsk *task) {
	tsk.job.started = true
	tsk.started, tsk.recalled, tsk.queued = false, false, true
	if tsk.job.refusing {
		crd.completeRefusal(tsk.job)
	}
}

// noteNoRoom records that the shard which returned a task's order has no free capacity for it until the next load report. If the free capacity is
// kept for urgent tasks, there is still some for those.
func (crd *Coordinator) noteNoRoom(tsk *task, rsn shard.ReturnReason) {
	viw := crd.shards[tsk.shard]
	if viw != nil && rsn == shard.KeptForUrgent {
		viw.load.KeepAll(tsk.job.sub.Priority)
		return
	}
	crd.markFull(tsk.shard)
}
