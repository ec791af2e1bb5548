package submission

import (
	"slices"
	"time"
)

// HandleCallerGone ends a submission whose caller has closed its connection, unless another call waits for it.
func (dsk *Coordinator) HandleCallerGone(cal CallID) []Action {
	jb := dsk.calls[cal]
	if jb == nil {
		return dsk.take()
	}
	delete(dsk.calls, cal)
	jb.calls = slices.DeleteFunc(jb.calls, func(oth CallID) bool { return oth == cal })
	if len(jb.calls) == 0 {
		dsk.drop(jb)
	}
	return dsk.take()
}

// answer ends a submission with an answer to all who wait for it.
func (dsk *Coordinator) answer(jb *job, ans Answer) {
	for _, cal := range jb.calls {
		dsk.do(Reply{Call: cal, ID: jb.sub.ID, Answer: ans})
		delete(dsk.calls, cal)
	}
	dsk.drop(jb)
}

// drop forgets a submission and ends what is left of it.
func (dsk *Coordinator) drop(jb *job) {
	delete(dsk.jobs, jb.sub.ID)
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			delete(dsk.tasks, tsk.name)
			if !tsk.done && tsk.leader != "" {
				dsk.do(CancelOrder{Target: tsk.target(), Task: tsk.name})
			}
		}
	}
}

// HandleTick does what is due by time alone.
func (dsk *Coordinator) HandleTick(now time.Time) []Action {
	dsk.now = now
	if dsk.anyServing() {
		dsk.servingAt = now
	}
	dsk.resume()
	dsk.refuseClosed()
	for _, jb := range dsk.jobs {
		if !now.Before(jb.deadline) {
			dsk.abandon(jb, "deadline passed")
			continue
		}
		dsk.callBackDoomed(now, jb)
		dsk.endLimbo(now, jb)
	}
	return dsk.take()
}

// ResumeHeld sends what waited for the link and fits now.
func (dsk *Coordinator) ResumeHeld() []Action {
	dsk.resume()
	return dsk.take()
}

func (dsk *Coordinator) resume() {
	if dsk.heldBytes == 0 {
		return
	}
	dsk.heldBytes = 0
	dsk.advanceAll()
}

// HeldBytes is what waits here for the link, to be sent to other instances.
func (dsk *Coordinator) HeldBytes() int64 { return dsk.heldBytes }

// Shutdown answers all submissions that are still open, as their instance is about to end: a caller whose connection
// breaks without an answer can't tell whether its job has run.
func (dsk *Coordinator) Shutdown() []Action {
	dsk.closing = true
	for _, jb := range dsk.inOrder() {
		dsk.abandon(jb, stops)
	}
	return dsk.take()
}

// stops is the reason of answers that an instance gives because it ends.
const stops = "the instance stops"

// abandon ends a submission that is not done.
func (dsk *Coordinator) abandon(jb *job, reason string) {
	res := Unfinished
	if !jb.maybeRun() {
		res = NotRun
	}
	dsk.answer(jb, Answer{Result: res, RetryAfter: dsk.cfg.RetryAfter, Reason: reason})
}

// maybeRun reports whether something of a submission has run or may still start: only a submission of
// which nothing lies with a leader and nothing was begun has surely not run.
func (jb *job) maybeRun() bool {
	if jb.begun {
		return true
	}
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			if tsk.done || tsk.leader != "" || !tsk.limbo.IsZero() {
				return true
			}
		}
	}
	return false
}

func (dsk *Coordinator) endLimbo(now time.Time, jb *job) {
	ended := false
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			if !tsk.limbo.IsZero() && !now.Before(tsk.limbo) {
				tsk.limbo = time.Time{}
				ended = true
			}
		}
	}
	if ended {
		dsk.advance(jb)
	}
}
