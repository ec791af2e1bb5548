package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Submit admits all tasks of a job or refuses the whole job; it returns nil or the reason of the refusal. A
// refusal with the verdict not-run proves that no task ran.
func (dsp *Dispatcher) Submit(now time.Time, jb *job.Job) *verdict.Error {
	dsp.beginEvent(now)
	jst := dsp.newJobState(jb)
	if err := dsp.admit(now, jst); err != nil {
		dsp.stats.JobsRefused++
		dsp.endEvent(now)
		return err
	}
	dsp.stats.JobsAdmitted++
	jst.ptn.seen = now
	if jb.Complete() {
		dsp.endJob(now, jst, nil)
		return nil
	}
	dsp.jobs[jst.spec().Submission] = jst
	jst.limitPark = dsp.parkOf(parkKey{reason: parkLimit, class: jst.cls.name, team: jst.spec().Team})
	jst.limitPark.users++
	dsp.enqueue(jst)
	dsp.endEvent(now)
	dsp.scheduleDeadline(jst)
	return nil
}

// Cancel ends a job at its caller's request: waiting tasks are dropped, started ones are stopped. It reports false
// if the job has ended or is not known here.
func (dsp *Dispatcher) Cancel(now time.Time, jb *job.Job) bool {
	return dsp.End(now, jb, job.ReasonCancelled)
}

// End does the same as Cancel, with another reason in the job's verdict.
func (dsp *Dispatcher) End(now time.Time, jb *job.Job, reason string) bool {
	dsp.beginEvent(now)
	jst := dsp.jobs[jb.Spec().Submission]
	here := jst != nil && jst.job == jb && !jb.Ended()
	if here {
		dsp.endJob(now, jst, verdict.New(jb.FailureVerdict(), reason))
	}
	dsp.endEvent(now)
	return here
}

// newJobState returns the state of a job that has not been admitted yet. Its pending tasks are those that have
// no answer.
func (dsp *Dispatcher) newJobState(jb *job.Job) *jobState {
	spc := jb.Spec()
	jst := &jobState{job: jb, cls: dsp.classOf(spc.Class.Name), attempts: make([]attempt, jb.TaskCount())}
	jst.item.Value = jst
	jst.ptn = dsp.partnerOf(spc.Class.Owner)
	jst.pending = make([]uint32, 0, jb.TaskCount())
	var declared time.Duration
	for idx := range jst.attempts {
		// The last pending task is sent first. A job taken over from another instance has some answers already.
		last := uint32(jb.TaskCount() - 1 - idx)
		if jb.Task(last).State() == job.Waiting {
			jst.pending = append(jst.pending, last)
		}
		jst.attempts[idx].jst = jst
		jst.attempts[idx].idx = uint32(idx)
		declared += spc.Tasks[idx].ExpectedRunTime
	}
	if jb.TaskCount() > 0 {
		jst.declared = declared / time.Duration(jb.TaskCount())
	}
	jst.cost = dsp.estimate(jst)
	jst.widths = dsp.pool.Widths(spc.Class.Needs, nil)
	return jst
}

// admit returns why a job is refused, or nil if it is admitted.
func (dsp *Dispatcher) admit(now time.Time, jst *jobState) *verdict.Error {
	spc := jst.spec()
	if dsp.draining {
		return verdict.New(verdict.NotRun, "leaving").WithRetryAfter(minRetryAfter)
	}
	if dsp.jobs[spc.Submission] != nil {
		// The job of the earlier submission may run, so that the verdict can't be not-run.
		return verdict.New(verdict.MayHaveRun, "duplicate-submission")
	}
	if jst.expired(now) {
		return verdict.New(verdict.NotRun, "not-after-passed")
	}
	if len(dsp.servers) == 0 {
		return verdict.New(verdict.NotRun, "no-backend-server").WithRetryAfter(time.Second)
	}
	if !fits(jst.widths) {
		return verdict.New(verdict.NotRun, "no-worker-fits")
	}
	return dsp.admitLoad(now, jst)
}

// fits reports whether a task of these widths fits on the backend servers of at least one shape.
func fits(widths []uint32) bool {
	for _, wid := range widths {
		if wid > 0 {
			return true
		}
	}
	return false
}

// admitLoad refuses a job that exceeds the queue limit of its catalogue entry, or that would wait longer than
// MaxWait or past its not-after time.
func (dsp *Dispatcher) admitLoad(now time.Time, jst *jobState) *verdict.Error {
	spc := jst.spec()
	limit := int(spc.Class.Limits.Queue)
	if limit == 0 {
		limit = dsp.cfg.DefaultQueueLimit
	}
	wait := dsp.expectedWait(jst)
	if jst.cls.waiting+len(jst.pending) > limit {
		return verdict.New(verdict.NotRun, "queue-full").WithRetryAfter(bounded(wait))
	}
	timeLeft := dsp.cfg.MaxWait
	if !spc.NotAfter.IsZero() {
		timeLeft = min(timeLeft, spc.NotAfter.Sub(now))
	}
	// Shorter jobs that arrive later overtake a long one, so that the wait is longer than the present backlog
	// alone makes it.
	if safeWait := time.Duration(dsp.cfg.AdmitWaitFactor * float64(wait)); safeWait > timeLeft {
		return verdict.New(verdict.NotRun, "overload").WithRetryAfter(bounded(safeWait - timeLeft))
	}
	return nil
}

// expectedWait returns the time until the last task of the job could start, if the partner's backlog goes first
// and the partners that have a backlog share the slots equally.
func (dsp *Dispatcher) expectedWait(jst *jobState) time.Duration {
	slots := float64(dsp.pool.InUse() + dsp.pool.Free())
	slots = max(slots, float64(dsp.pool.HomeSlots()), 1)
	ptn := jst.ptn
	others := dsp.queue.ActivePartners()
	if ptn.backlog > 0 {
		others--
	}
	atOnce := time.Duration(dsp.pool.Free()) * jst.cost
	work := ptn.backlog + max(0, time.Duration(len(jst.pending))*jst.cost-atOnce)
	return time.Duration(float64(work) * float64(1+max(others, 0)) / slots)
}

// bounded returns dur within the bounds of a retry delay told to callers.
func bounded(dur time.Duration) time.Duration {
	return min(max(dur, minRetryAfter), maxRetryAfter)
}

// scheduleDeadline sets a timer for the not-after time of a job that has waiting tasks. A job that was sent at
// once needs none.
func (dsp *Dispatcher) scheduleDeadline(jst *jobState) {
	if jst.deadline != nil || jst.job.Ended() || len(jst.pending) == 0 || jst.spec().NotAfter.IsZero() {
		return
	}
	jst.deadline = &deadline{jst: jst}
	dsp.timers.push(timer{at: jst.spec().NotAfter, kind: timerDeadline, dln: jst.deadline})
}

// deadlineDue ends a job that still has tasks to be sent at its not-after time.
func (dsp *Dispatcher) deadlineDue(now time.Time, dln *deadline) {
	jst := dln.jst
	if jst == nil || jst.job.Ended() || !jst.hasWaiting() {
		return
	}
	dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
}

// hasWaiting reports whether a task still has to be sent, whether it is pending or delayed before a retry.
func (jst *jobState) hasWaiting() bool {
	for idx := range jst.job.TaskCount() {
		if jst.job.Task(uint32(idx)).State() == job.Waiting {
			return true
		}
	}
	return false
}

// endJob ends a job with its final answer: waiting tasks are dropped without a message, and if err is set, tasks
// in flight are stopped.
func (dsp *Dispatcher) endJob(_ time.Time, jst *jobState, err *verdict.Error) {
	dsp.dequeue(jst)
	dsp.setPending(jst, nil)
	for idx := range jst.attempts {
		att := &jst.attempts[idx]
		att.task().MarkDropped()
		if err != nil && att.srv != nil && att.srv.up {
			dsp.stopTask(att)
		}
	}
	if jst.job.End(err) {
		dsp.act.Ended = append(dsp.act.Ended, Ended{Job: jst.job})
		dsp.stats.JobsEnded++
	}
	dsp.forgetIfDone(jst)
}

// forgetIfDone removes a job that has ended and has no task in flight.
func (dsp *Dispatcher) forgetIfDone(jst *jobState) {
	if jst.inFlight == 0 && jst.job.Ended() && dsp.jobs[jst.spec().Submission] == jst {
		delete(dsp.jobs, jst.spec().Submission)
		dsp.releaseLimitPark(jst.limitPark)
		if jst.deadline != nil {
			jst.deadline.jst = nil
		}
	}
}

// stopTask tells the backend server to stop the task.
func (dsp *Dispatcher) stopTask(att *attempt) {
	dsp.act.Stops = append(dsp.act.Stops, ServerTask{Server: att.srv.id, Task: att.task().ID()})
	dsp.stats.Stops++
}
