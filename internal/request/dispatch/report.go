package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// runTimeWeight is the weight of one more task in the average run time.
const runTimeWeight = 0.01

// HandleReport takes in a message from a backend server.
func (dsp *Dispatcher) HandleReport(now time.Time, rep Report) {
	dsp.enter(now)
	if srv := dsp.servers[rep.Server]; srv != nil {
		dsp.report(now, srv, &rep)
	}
	dsp.advance(now)
}

func (dsp *Dispatcher) report(now time.Time, srv *server, rep *Report) {
	dsp.setIncarnation(now, srv, rep.Incarnation)
	srv.heard = now
	for idx := range rep.Results {
		dsp.result(now, srv, &rep.Results[idx])
	}
	for _, ref := range rep.Refused {
		dsp.refused(now, srv, ref)
	}
	for idx := range rep.Statuses {
		dsp.status(now, srv, &rep.Statuses[idx])
	}
	srv.leaving = rep.Leaving
	dsp.setSlots(srv, rep.Slots)
	dsp.believe(now, srv, rep.FreeSlots)
	dsp.setOpen(srv)
}

// ReasonTakenOver ends a job whose submission another entry instance took over, because a
// resubmission reached it and this one was out of its reach.
const ReasonTakenOver = "taken-over"

func (dsp *Dispatcher) result(now time.Time, srv *server, res *Result) {
	dsp.stats.Results++
	flt := dsp.find(srv, res.Task)
	if flt == nil {
		dsp.stats.LateAnswers++
		return
	}
	jst, tsk := flt.jst, flt.task()
	dsp.learn(flt, res)
	dsp.judge(now, srv, flt, res.Outcome)
	switch res.Outcome {
	case OutcomeOK:
		tsk.MarkAnswered(res.Payload)
		jst.job.RecordRunTime(res.RunTime)
	case OutcomeStopped:
		tsk.MarkFailed("stopped")
	default:
		tsk.MarkFailed(res.Error)
	}
	dsp.vacate(now, flt, res.RunTime, false)
	jst.ptn.earn(&dsp.cfg)
	switch {
	case jst.job.Ended():
		dsp.forget(jst)
	case jst.job.Complete():
		dsp.endJob(now, jst, nil)
	case tsk.State() == job.RanAndFailed:
		dsp.endJob(now, jst, verdict.New(verdict.Failed, "task-failed"))
	}
}

func (dsp *Dispatcher) learn(flt *flight, res *Result) {
	if res.Outcome != OutcomeOK || res.RunTime <= 0 {
		return
	}
	flt.jst.cls.run.Observe(res.RunTime, flt.jst.declared)
	dsp.meanRun += time.Duration(runTimeWeight * float64(res.RunTime-dsp.meanRun))
}

func (ptn *partner) earn(cfg *Config) {
	ptn.retries = min(ptn.retries+cfg.RetriesPerAnswer, cfg.RetryBurst)
}

// refused takes in a start that had no effect.
func (dsp *Dispatcher) refused(now time.Time, srv *server, ref Refused) {
	dsp.stats.Refusals++
	flt := dsp.find(srv, ref.Task)
	if flt == nil {
		dsp.stats.LateAnswers++
		return
	}
	if ref.Reason == RefusedDuplicate {
		// The task is there, from this attempt or another, and may run: no proof at all.
		flt.duplicate = true
		dsp.ask(now, flt)
		return
	}
	if ref.Reason == RefusedLeaving {
		srv.leaving = true
	}
	jst := flt.jst
	fenced := ref.Reason == RefusedRevoked && flt.task().State() == job.Sent
	dsp.proved(now, flt)
	if fenced && !jst.job.Ended() {
		// Not revoked by us: another entry instance took the submission over and goes on with it.
		dsp.endJob(now, jst, verdict.New(verdict.MayHaveRun, ReasonTakenOver).WithRetryAfter(minRetryAfter))
		return
	}
	if ref.Reason == RefusedTooLate && !jst.job.Ended() {
		dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), "not-after-passed"))
		return
	}
	dsp.retry(now, jst, flt)
}

// proved records proof that the attempt did not run and never will.
func (dsp *Dispatcher) proved(now time.Time, flt *flight) {
	flt.task().MarkNotRun()
	dsp.vacate(now, flt, 0, false)
}

// retry sends a task again that is proved not to have run: at once within the partner's budget,
// else after a pause that doubles. A budget keeps a pool that refuses everything from drowning in
// its own retries.
func (dsp *Dispatcher) retry(now time.Time, jst *jobState, flt *flight) {
	ptn := jst.ptn
	dsp.stats.Retries++
	flt.refusals++
	if ptn.retries >= 1 || jst.job.Ended() {
		ptn.retries--
		dsp.requeue(jst, flt.idx)
		return
	}
	pause := dsp.cfg.RetryDelay << min(flt.refusals, 8)
	dsp.timers.push(timer{at: now.Add(dsp.jitter(pause)), kind: timerRetry, jst: jst, num: uint64(flt.idx)})
	dsp.watchDeadline(jst)
}

// jitter spreads a pause over half to one and a half of it.
func (dsp *Dispatcher) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(dsp.rnd.Int64N(int64(pause)+1))
}

// status takes in the answer to an ask or a revoke.
func (dsp *Dispatcher) status(now time.Time, srv *server, sta *Status) {
	dsp.stats.Statuses++
	flt := dsp.find(srv, sta.Task)
	if flt == nil {
		dsp.stats.LateAnswers++
		return
	}
	switch sta.State {
	case TaskEnded:
		res := sta.Result
		res.Task = sta.Task
		dsp.result(now, srv, &res)
	case TaskRunning:
		dsp.running(now, flt)
	case TaskRevoked:
		if flt.duplicate {
			dsp.lose(now, flt, "duplicate-task")
			return
		}
		dsp.proved(now, flt)
		dsp.requeue(flt.jst, flt.idx)
	default:
		dsp.unknown(now, flt)
	}
}

// running puts the next ask off for as long as the task has taken so far.
func (dsp *Dispatcher) running(now time.Time, flt *flight) {
	tsk := flt.task()
	tsk.MarkRunning()
	flt.asked, flt.askSince = time.Time{}, time.Time{}
	flt.lateAt = now.Add(max(dsp.cfg.AnswerTimeout, now.Sub(tsk.SentAt())))
	if flt.jst.job.Ended() {
		dsp.stop(flt)
	}
	dsp.watch(now, flt)
}

// unknown goes on to the revoke: that the backend server does not know a task is no proof, since
// the start may still be on its way.
func (dsp *Dispatcher) unknown(now time.Time, flt *flight) {
	if !flt.task().MarkRevoking() {
		return
	}
	dsp.act.Revokes = append(dsp.act.Revokes, ServerTask{Server: flt.srv.id, Task: flt.task().ID()})
	dsp.stats.Revokes++
	flt.asked = now
	dsp.watch(now, flt)
}

// believe lets the backend server's own count of free slots go before the account for a while.
func (dsp *Dispatcher) believe(now time.Time, srv *server, free uint32) {
	dsp.pool.SetReportedFree(srv.acct, now, free)
	if srv.acct.UsedByOthers() == 0 {
		return
	}
	fresh := srv.trustUntil.IsZero()
	srv.trustUntil = now.Add(dsp.cfg.ReportValidity)
	if fresh {
		dsp.timers.push(timer{at: srv.trustUntil, kind: timerTrust, srv: srv})
	}
}

func (dsp *Dispatcher) trustDue(now time.Time, srv *server) {
	if srv.trustUntil.After(now) {
		dsp.timers.push(timer{at: srv.trustUntil, kind: timerTrust, srv: srv})
		return
	}
	srv.trustUntil = time.Time{}
	dsp.pool.ForgetReport(srv.acct)
}
