package submission

import (
	"slices"
	"time"
)

// HandleCallerGone records that a caller closed its connection, and cancels its submission unless another call waits for it.
func (crd *Coordinator) HandleCallerGone(cal CallID) []Action {
	jb := crd.calls[cal]
	if jb == nil {
		return crd.takeActions()
	}
	delete(crd.calls, cal)
	jb.calls = slices.DeleteFunc(jb.calls, func(oth CallID) bool { return oth == cal })
	if len(jb.calls) == 0 {
		crd.discard(jb)
	}
	return crd.takeActions()
}

// answer sends an answer to all calls that wait for a submission, and discards it.
func (crd *Coordinator) answer(jb *job, ans Answer) {
	for _, cal := range jb.calls {
		crd.emit(Reply{Call: cal, ID: jb.sub.ID, Answer: ans})
		delete(crd.calls, cal)
	}
	crd.discard(jb)
}

// discard removes a submission and cancels the orders of its tasks that are not done.
func (crd *Coordinator) discard(jb *job) {
	delete(crd.jobs, jb.sub.ID)
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			delete(crd.tasks, tsk.name)
			if !tsk.done && tsk.leader != "" {
				crd.emit(CancelOrder{Target: tsk.target(), Task: tsk.name})
			}
		}
	}
}

// HandleTick is called at short intervals: it orders held tasks, refuses jobs that can't be done in time, ends submissions whose deadline
// has passed, and orders orphaned tasks anew whose former run is surely over.
func (crd *Coordinator) HandleTick(now time.Time) []Action {
	crd.now = now
	if crd.anyServing() {
		crd.servingAt = now
	}
	if crd.sharing.active {
		crd.updateSharing()
	}
	crd.resume()
	crd.refuseClosed()
	for _, jb := range crd.jobsByArrival() {
		if !now.Before(jb.deadline) {
			crd.abandon(jb, "deadline passed")
			continue
		}
		crd.refuseIfTooLate(now, jb)
		crd.reorderExpired(now, jb)
	}
	return crd.takeActions()
}

// HandlePause takes note that this process was paused for a time: that no shard was seen to be served meanwhile is no evidence that none was. No task is
// ordered before until, as callers may have left, which is read by then.
func (crd *Coordinator) HandlePause(dur time.Duration, until time.Time) {
	crd.servingAt, crd.noOrdersUntil = crd.servingAt.Add(dur), until
}

// ResumeHeld orders the tasks that were held back by the link, as far as it has room. It is called when the link may have become free.
func (crd *Coordinator) ResumeHeld() []Action {
	crd.resume()
	return crd.takeActions()
}

// resume is ResumeHeld without returning the actions.
func (crd *Coordinator) resume() {
	if crd.heldBytes == 0 {
		return
	}
	crd.heldBytes = 0
	crd.orderAllReady()
}

// HeldBytes returns the sum of the bytes of the orders that the link has held back since the last resume; a task held back several times
// counts each time, also if its job was answered since.
func (crd *Coordinator) HeldBytes() int64 { return crd.heldBytes }

// Shutdown answers all submissions that are still open and refuses later ones. It is called before the instance ends, as a caller whose
// connection breaks without an answer can't tell whether its job has run.
func (crd *Coordinator) Shutdown() []Action {
	crd.stopping = true
	for _, jb := range crd.jobsByArrival() {
		crd.abandon(jb, reasonStopping)
	}
	return crd.takeActions()
}

// reasonStopping is the reason of answers that an instance gives because it ends.
const reasonStopping = "the instance stops"

// abandon answers a submission that is not done: NotRun if nothing of it can have run, else Unfinished.
func (crd *Coordinator) abandon(jb *job, reason string) {
	res := Unfinished
	if !jb.mayHaveRun() {
		res = NotRun
	}
	crd.answer(jb, Answer{Result: res, RetryAfter: crd.cfg.RetryAfter, Reason: reason})
}

// mayHaveRun reports whether a task of the job has run or may still start: one has started or is done, is with a leader, or is orphaned.
func (jb *job) mayHaveRun() bool {
	if jb.started {
		return true
	}
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			if tsk.done || tsk.leader != "" || !tsk.orphanedUntil.IsZero() {
				return true
			}
		}
	}
	return false
}

// reorderExpired orders a job's orphaned tasks anew once their orphanedUntil has passed, as their former runs are then surely over, and its held
// tasks.
func (crd *Coordinator) reorderExpired(now time.Time, jb *job) {
	ended := false
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			if !tsk.orphanedUntil.IsZero() && !now.Before(tsk.orphanedUntil) {
				tsk.orphanedUntil = time.Time{}
				ended = true
			}
			ended = crd.releaseHeld(tsk) || ended
		}
	}
	if ended {
		crd.orderReady(jb)
	}
}

// markOrphaned records that a task may still run with a leader that was lost or lost its server; it is not ordered anew before
// OrphanExpiry. The loss and its cause are for the logs.
func (crd *Coordinator) markOrphaned(now time.Time, tsk *task, los Loss, cause string) {
	tsk.history.noteLoss(now, los, cause)
	tsk.job.started = true
	tsk.leader, tsk.started = "", false
	tsk.orphanedUntil = now.Add(crd.cfg.OrphanExpiry)
}
