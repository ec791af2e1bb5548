package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// runTimeWeight is the weight of a new run time in the moving average.
const runTimeWeight = 0.01

// HandleReport processes a message from a backend server; reports of unknown servers are ignored.
func (dsp *Dispatcher) HandleReport(now time.Time, rep Report) {
	dsp.beginEvent(now)
	if srv := dsp.servers[rep.Server]; srv != nil {
		dsp.applyReport(now, srv, &rep)
	}
	dsp.endEvent(now)
}

// applyReport updates the state of the backend server and of its tasks from a report.
func (dsp *Dispatcher) applyReport(now time.Time, srv *server, rep *Report) {
	dsp.setIncarnation(now, srv, rep.Incarnation)
	srv.heard = now
	for idx := range rep.Results {
		dsp.applyResult(now, srv, &rep.Results[idx])
	}
	for _, ref := range rep.Refused {
		dsp.applyRefusal(now, srv, ref)
	}
	for idx := range rep.Statuses {
		dsp.applyStatus(now, srv, &rep.Statuses[idx])
	}
	srv.leaving = rep.Leaving
	dsp.setSlots(srv, rep.Slots)
	dsp.recordFreeSlots(now, srv, rep.FreeSlots)
	dsp.setOpen(srv)
}

// ReasonTakenOver is the reason of a job that ends because another entry instance took its submission over: a
// resubmission reached that instance while it could not reach this one.
const ReasonTakenOver = "taken-over"

// applyResult processes the end of a task: it releases the slots, and ends the job if all tasks are answered or
// this one failed.
func (dsp *Dispatcher) applyResult(now time.Time, srv *server, res *Result) {
	dsp.stats.Results++
	att := dsp.attemptOf(srv, res.Task)
	if att == nil {
		dsp.stats.LateAnswers++
		return
	}
	jst, tsk := att.jst, att.task()
	dsp.observeRunTime(att, res)
	dsp.recordOutcome(now, srv, att, res.Outcome)
	switch res.Outcome {
	case OutcomeOK:
		tsk.MarkAnswered(res.Payload)
		jst.job.RecordRunTime(res.RunTime)
	case OutcomeStopped:
		tsk.MarkFailed("stopped")
	default:
		tsk.MarkFailed(res.Error)
	}
	dsp.releaseSlots(now, att, res.RunTime, false)
	jst.ptn.earn(&dsp.cfg)
	switch {
	case jst.job.Ended():
		dsp.forgetIfDone(jst)
	case jst.job.Complete():
		dsp.endJob(now, jst, nil)
	case tsk.State() == job.RanAndFailed:
		dsp.endJob(now, jst, verdict.New(verdict.Failed, "task-failed"))
	}
}

// observeRunTime adds the run time of a successful task to the estimates.
func (dsp *Dispatcher) observeRunTime(att *attempt, res *Result) {
	if res.Outcome != OutcomeOK || res.RunTime <= 0 {
		return
	}
	att.jst.cls.run.Observe(res.RunTime, att.jst.declared)
	dsp.meanRunTime += time.Duration(runTimeWeight * float64(res.RunTime-dsp.meanRunTime))
}

// earn adds the retries for one answer to the partner's retry budget.
func (ptn *partner) earn(cfg *Config) {
	ptn.retries = min(ptn.retries+cfg.RetriesPerAnswer, cfg.RetryBurst)
}

// applyRefusal processes the refusal of a start: the task is retried, or its job ends.
func (dsp *Dispatcher) applyRefusal(now time.Time, srv *server, ref Refused) {
	dsp.stats.Refusals++
	att := dsp.attemptOf(srv, ref.Task)
	if att == nil {
		dsp.stats.LateAnswers++
		return
	}
	if ref.Reason == RefusedDuplicate {
		// The backend server has the task, from this attempt or another, and may run it: this proves nothing.
		att.duplicate = true
		dsp.query(now, att)
		return
	}
	if ref.Reason == RefusedLeaving {
		srv.leaving = true
	}
	jst := att.jst
	revokedElsewhere := ref.Reason == RefusedRevoked && att.task().State() == job.Sent
	dsp.recordNotRun(now, att)
	if revokedElsewhere && !jst.job.Ended() {
		// This instance has not revoked the task: another entry instance took the submission over and continues
		// it.
		dsp.endJob(now, jst, verdict.New(verdict.MayHaveRun, ReasonTakenOver).WithRetryAfter(minRetryAfter))
		return
	}
	if ref.Reason == RefusedTooLate && !jst.job.Ended() {
		dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
		return
	}
	dsp.retry(now, jst, att)
}

// recordNotRun records proof that the attempt did not run and never will, and releases its slots.
func (dsp *Dispatcher) recordNotRun(now time.Time, att *attempt) {
	att.task().MarkNotRun()
	dsp.releaseSlots(now, att, 0, false)
}

// retry retries a task that provably did not run: at once while the partner has a retry budget, else after a delay
// that doubles with each refusal. Without a budget, a pool that refuses everything would be overloaded with
// retries.
func (dsp *Dispatcher) retry(now time.Time, jst *jobState, att *attempt) {
	ptn := jst.ptn
	dsp.stats.Retries++
	att.refusals++
	if ptn.retries >= 1 || jst.job.Ended() {
		ptn.retries--
		dsp.requeue(jst, att.idx)
		return
	}
	pause := dsp.cfg.RetryDelay << min(att.refusals, 8)
	dsp.timers.push(timer{at: now.Add(dsp.jitter(pause)), kind: timerRetry, jst: jst, num: uint64(att.idx)})
	dsp.scheduleDeadline(jst)
}

// jitter returns a random duration between half of pause and one and a half times pause.
func (dsp *Dispatcher) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(dsp.rnd.Int64N(int64(pause)+1))
}

// applyStatus processes the answer to a query or a revoke.
func (dsp *Dispatcher) applyStatus(now time.Time, srv *server, sta *Status) {
	dsp.stats.Statuses++
	att := dsp.attemptOf(srv, sta.Task)
	if att == nil {
		dsp.stats.LateAnswers++
		return
	}
	switch sta.State {
	case TaskEnded:
		res := sta.Result
		res.Task = sta.Task
		dsp.applyResult(now, srv, &res)
	case TaskRunning:
		dsp.applyRunning(now, att)
	case TaskRevoked:
		if att.duplicate {
			dsp.loseTask(now, att, "duplicate-task")
			return
		}
		dsp.recordNotRun(now, att)
		dsp.requeue(att.jst, att.idx)
	default:
		dsp.applyUnknown(now, att)
	}
}

// applyRunning records that a queried task runs. The next query is due once the task has taken twice as long as so
// far, and at least AnswerTimeout later. A task of an ended job is stopped.
func (dsp *Dispatcher) applyRunning(now time.Time, att *attempt) {
	tsk := att.task()
	tsk.MarkRunning()
	att.queriedAt, att.firstQueriedAt = time.Time{}, time.Time{}
	att.lateAt = now.Add(max(dsp.cfg.AnswerTimeout, now.Sub(tsk.SentAt())))
	if att.jst.job.Ended() {
		dsp.stopTask(att)
	}
	dsp.scheduleCheck(now, att)
}

// applyUnknown sends a revoke for a task that the backend server does not know. This alone is no proof that the
// task will not run, since the start may still be on its way.
func (dsp *Dispatcher) applyUnknown(now time.Time, att *attempt) {
	if !att.task().MarkRevoking() {
		return
	}
	dsp.act.Revokes = append(dsp.act.Revokes, ServerTask{Server: att.srv.id, Task: att.task().ID()})
	dsp.stats.Revokes++
	att.queriedAt = now
	dsp.scheduleCheck(now, att)
}

// recordFreeSlots lets the count of free slots that the backend server reported take precedence over the own
// account for ReportValidity.
func (dsp *Dispatcher) recordFreeSlots(now time.Time, srv *server, free uint32) {
	dsp.pool.SetReportedFree(srv.acct, now, free)
	if srv.acct.UsedByOthers() == 0 {
		return
	}
	fresh := srv.reportValidUntil.IsZero()
	srv.reportValidUntil = now.Add(dsp.cfg.ReportValidity)
	if fresh {
		dsp.timers.push(timer{at: srv.reportValidUntil, kind: timerReportExpiry, srv: srv})
	}
}

// reportExpired ends the precedence of the reported free slots, or waits on if a newer report extended it.
func (dsp *Dispatcher) reportExpired(now time.Time, srv *server) {
	if srv.reportValidUntil.After(now) {
		dsp.timers.push(timer{at: srv.reportValidUntil, kind: timerReportExpiry, srv: srv})
		return
	}
	srv.reportValidUntil = time.Time{}
	dsp.pool.ForgetReport(srv.acct)
}
