package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Submit takes a job whole or refuses it whole; a refusal proves that nothing ran.
func (dsp *Dispatcher) Submit(now time.Time, jb *job.Job) *verdict.Error {
	dsp.enter(now)
	jst := dsp.newJobState(jb)
	if err := dsp.admit(now, jst); err != nil {
		dsp.stats.JobsRefused++
		dsp.advance(now)
		return err
	}
	dsp.stats.JobsAdmitted++
	jst.ptn.seen = now
	if jb.Complete() {
		dsp.endJob(now, jst, nil)
		return nil
	}
	dsp.jobs[jst.spec().Submission] = jst
	jst.limit = dsp.parkFor(parkKey{reason: parkLimit, class: jst.cls.name, team: jst.spec().Team})
	jst.limit.users++
	dsp.enqueue(jst)
	dsp.advance(now)
	dsp.watchDeadline(jst)
	return nil
}

// Cancel ends a job: waiting tasks are dropped, started ones stopped. It reports false if the job
// had ended, or is not here.
func (dsp *Dispatcher) Cancel(now time.Time, jb *job.Job) bool {
	return dsp.End(now, jb, job.ReasonCancelled)
}

// End is Cancel for another reason than the caller's wish.
func (dsp *Dispatcher) End(now time.Time, jb *job.Job, reason string) bool {
	dsp.enter(now)
	jst := dsp.jobs[jb.Spec().Submission]
	here := jst != nil && jst.job == jb && !jb.Ended()
	if here {
		dsp.endJob(now, jst, verdict.New(jb.FailureVerdict(), reason))
	}
	dsp.advance(now)
	return here
}

func (dsp *Dispatcher) newJobState(jb *job.Job) *jobState {
	spc := jb.Spec()
	jst := &jobState{job: jb, cls: dsp.classOf(spc.Class.Name), flights: make([]flight, jb.TaskCount())}
	jst.item.Value = jst
	jst.ptn = dsp.partnerOf(spc.Class.Owner)
	jst.pending = make([]uint32, 0, jb.TaskCount())
	var declared time.Duration
	for idx := range jst.flights {
		// The last pending task is sent first. A job that was taken over has some answers already.
		last := uint32(jb.TaskCount() - 1 - idx)
		if jb.Task(last).State() == job.Waiting {
			jst.pending = append(jst.pending, last)
		}
		jst.flights[idx].jst = jst
		jst.flights[idx].idx = uint32(idx)
		declared += spc.Tasks[idx].ExpectedRunTime
	}
	if jb.TaskCount() > 0 {
		jst.declared = declared / time.Duration(jb.TaskCount())
	}
	jst.cost = dsp.estimate(jst)
	jst.widths = dsp.pool.Widths(spc.Class.Needs, nil)
	return jst
}

func (dsp *Dispatcher) admit(now time.Time, jst *jobState) *verdict.Error {
	spc := jst.spec()
	if dsp.leaving {
		return verdict.New(verdict.NotRun, "leaving").WithRetryAfter(minRetryAfter)
	}
	if dsp.jobs[spc.Submission] != nil {
		// The other arrival of the submission may run, so that not-run can't be said.
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

func fits(widths []uint32) bool {
	for _, wid := range widths {
		if wid > 0 {
			return true
		}
	}
	return false
}

// admitLoad refuses what would wait in vain: past the queue limit of the catalogue entry, or past
// the time at which its own deadline can still be met.
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
	room := dsp.cfg.MaxWait
	if !spc.NotAfter.IsZero() {
		room = min(room, spc.NotAfter.Sub(now))
	}
	// Shorter jobs that arrive later overtake a long one, so that it waits longer than for what is
	// there now.
	if hopeless := time.Duration(dsp.cfg.AdmitWaitFactor * float64(wait)); hopeless > room {
		return verdict.New(verdict.NotRun, "overload").WithRetryAfter(bounded(hopeless - room))
	}
	return nil
}

// expectedWait returns when the last task of the job could start if the partner's backlog goes
// first and the partners that have one share the slots alike.
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

func bounded(dur time.Duration) time.Duration {
	return min(max(dur, minRetryAfter), maxRetryAfter)
}

// watchDeadline sets a timer for a job that could not be sent at once; jobs that could need none.
func (dsp *Dispatcher) watchDeadline(jst *jobState) {
	if jst.deadline != nil || jst.job.Ended() || len(jst.pending) == 0 || jst.spec().NotAfter.IsZero() {
		return
	}
	jst.deadline = &deadline{jst: jst}
	dsp.timers.push(timer{at: jst.spec().NotAfter, kind: timerDeadline, dln: jst.deadline})
}

func (dsp *Dispatcher) deadlineDue(now time.Time, dln *deadline) {
	jst := dln.jst
	if jst == nil || jst.job.Ended() || !jst.hasWaiting() {
		return
	}
	dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
}

// hasWaiting reports whether a task still has to be sent, be it pending or between two attempts.
func (jst *jobState) hasWaiting() bool {
	for idx := range jst.job.TaskCount() {
		if jst.job.Task(uint32(idx)).State() == job.Waiting {
			return true
		}
	}
	return false
}

// endJob gives a job its final answer: waiting tasks are dropped without a message, tasks in
// flight are stopped.
func (dsp *Dispatcher) endJob(_ time.Time, jst *jobState, err *verdict.Error) {
	dsp.dequeue(jst)
	dsp.setPending(jst, nil)
	for idx := range jst.flights {
		flt := &jst.flights[idx]
		flt.task().MarkDropped()
		if err != nil && flt.srv != nil && flt.srv.up {
			dsp.stop(flt)
		}
	}
	if jst.job.End(err) {
		dsp.act.Ended = append(dsp.act.Ended, Ended{Job: jst.job})
		dsp.stats.JobsEnded++
	}
	dsp.forget(jst)
}

// forget drops a job that has ended and has nothing in flight.
func (dsp *Dispatcher) forget(jst *jobState) {
	if jst.inFlight == 0 && jst.job.Ended() && dsp.jobs[jst.spec().Submission] == jst {
		delete(dsp.jobs, jst.spec().Submission)
		dsp.leavePark(jst.limit)
		if jst.deadline != nil {
			jst.deadline.jst = nil
		}
	}
}

func (dsp *Dispatcher) stop(flt *flight) {
	dsp.act.Stops = append(dsp.act.Stops, ServerTask{Server: flt.srv.id, Task: flt.task().ID()})
	dsp.stats.Stops++
}
