package submission

import (
	"fmt"
	"time"
)

// HandleSubmit admits a submission and orders its ready tasks, or refuses it at once. A call with the id of an open submission waits for
// the answer to that one.
func (crd *Coordinator) HandleSubmit(now time.Time, cal CallID, sub Submission) []Action {
	crd.now = now
	switch old := crd.jobs[sub.ID]; {
	case old == nil:
	case old.sub.Route != sub.Route:
		// Their tasks have the same names.
		crd.emit(Reply{Call: cal, ID: sub.ID, Answer: Answer{Result: NotRun, RetryAfter: crd.cfg.RetryAfter, Reason: reasonIDInUse}})
		return crd.takeActions()
	default:
		// The caller lost its connection and submitted the job again; both calls get the same answer.
		old.calls = append(old.calls, cal)
		old.deadline = now.Add(sub.CallerTimeout - sub.Waited)
		crd.calls[cal] = old
		return crd.takeActions()
	}
	jb := newJob(now, cal, sub)
	if ans, refused := crd.refuseUnservable(now, jb); refused {
		crd.emit(Reply{Call: cal, ID: sub.ID, Answer: ans})
		return crd.takeActions()
	}
	crd.correctEstimates(jb)
	crd.setDueTimes(jb)
	if ans, refused := crd.admit(now, jb); refused {
		crd.emit(Reply{Call: cal, ID: sub.ID, Answer: ans})
		return crd.takeActions()
	}
	crd.jobs[sub.ID] = jb
	crd.calls[cal] = jb
	for _, tks := range jb.tasks {
		for _, tsk := range tks {
			crd.tasks[tsk.name] = tsk
		}
	}
	crd.orderReady(jb)
	return crd.takeActions()
}

// reasonIDInUse is the reason of the answer to a job whose ID an open job of another route has.
const reasonIDInUse = "a job of another queue has this ID"

// newJob returns the state of a new submission, with no task ordered.
func newJob(now time.Time, cal CallID, sub Submission) *job {
	arrived := now.Add(-sub.Waited)
	jb := &job{sub: sub, calls: []CallID{cal}, firstCall: cal, arrived: arrived, deadline: arrived.Add(sub.CallerTimeout)}
	for num, stp := range sub.Steps {
		tks := make([]*task, stp.Count)
		for idx := range tks {
			// The 0 is the number of the occurrence of a repeated job; these jobs have one occurrence.
			tks[idx] = &task{name: fmt.Sprintf("%s.0.%d.%d", sub.ID, num, idx), job: jb, step: num}
		}
		jb.tasks = append(jb.tasks, tks)
		jb.remaining = append(jb.remaining, stp.Count)
	}
	return jb
}
