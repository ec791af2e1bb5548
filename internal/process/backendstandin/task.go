package backendstandin

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/job"
)

// task is a started attempt; srv.mu guards it.
type task struct {
	id      job.TaskID
	wireID  *backendpb.TaskID
	holder  *holder
	slots   uint32
	started time.Time
	endsAt  time.Time
	// The end of the lease that the start gave; the holder's renewal may move it.
	leaseEnd time.Time
	work     Work
	payload  []byte
	// A session of another holder that asked for the task while it ran.
	watcher *session
	timer   *time.Timer
	result  *backendpb.Result
}

// holder is an entry instance as the backend server sees it; srv.mu guards it.
type holder struct {
	name     string
	newest   *session
	sessions int
	running  int
	// Until when the leases of all tasks of this holder were renewed.
	renewed time.Time
}

type forgetAt struct {
	key job.TaskID
	at  time.Time
}

// start starts a task or says why not. A refusal other than for a duplicate is proof that the id
// never started, so duplicates are looked for first. The caller holds srv.mu.
func (srv *Server) start(now time.Time, hld *holder, stt *backendpb.Start) backendpb.RefusalReason {
	tid := taskID(stt.GetId())
	slots := max(1, stt.GetSlots())
	notAfter := stt.GetNotAfter().AsTime()
	if _, ok := srv.tasks[anyAttempt(tid)]; ok {
		return backendpb.RefusalReason_REFUSAL_REASON_DUPLICATE
	}
	switch {
	case srv.isRevoked(now, tid):
		return backendpb.RefusalReason_REFUSAL_REASON_REVOKED
	case now.After(notAfter), notAfter.After(now.Add(srv.cfg.Memory)):
		return backendpb.RefusalReason_REFUSAL_REASON_TOO_LATE
	case srv.isLeaving():
		return backendpb.RefusalReason_REFUSAL_REASON_LEAVING
	case slots > srv.free:
		return backendpb.RefusalReason_REFUSAL_REASON_FULL
	}
	srv.run(now, hld, stt, tid, slots)
	return backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}

// run starts a task that passed every check; the caller holds srv.mu.
func (srv *Server) run(now time.Time, hld *holder, stt *backendpb.Start, tid job.TaskID, slots uint32) {
	wrk, err := ParseWork(stt.GetPayload())
	tsk := &task{
		id:       tid,
		wireID:   stt.GetId(),
		holder:   hld,
		slots:    slots,
		started:  now,
		leaseEnd: now.Add(stt.GetLease().AsDuration()),
		work:     wrk,
		payload:  stt.GetPayload(),
	}
	srv.tasks[anyAttempt(tid)] = tsk
	srv.record(now, tid, hld)
	srv.counts.Starts++
	srv.free -= slots
	hld.running++
	if err != nil {
		srv.end(now, tsk, backendpb.Outcome_OUTCOME_FAILED, err.Error())
		return
	}
	tsk.endsAt = now.Add(srv.runTime(wrk))
	if !tsk.endsAt.After(now) {
		srv.finish(now, tsk)
		return
	}
	tsk.timer = time.AfterFunc(tsk.wakeAt().Sub(now), func() { srv.onTimer(tsk) })
}

func (srv *Server) runTime(wrk Work) time.Duration {
	if srv.faults.GetFailTasks() {
		return 0
	}
	if slw := srv.faults.GetSlowdown(); slw > 0 {
		return time.Duration(float64(wrk.Sleep) * slw)
	}
	return wrk.Sleep
}

func (srv *Server) onTimer(tsk *task) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if tsk.result != nil {
		return
	}
	now := time.Now()
	switch {
	case !now.Before(tsk.endsAt):
		srv.finish(now, tsk)
	case !now.Before(tsk.leaseUntil()):
		srv.end(now, tsk, backendpb.Outcome_OUTCOME_STOPPED, "lease lapsed")
	default:
		tsk.timer.Reset(tsk.wakeAt().Sub(now))
	}
}

func (tsk *task) leaseUntil() time.Time {
	if tsk.holder.renewed.After(tsk.leaseEnd) {
		return tsk.holder.renewed
	}
	return tsk.leaseEnd
}

func (tsk *task) wakeAt() time.Time {
	if lse := tsk.leaseUntil(); lse.Before(tsk.endsAt) {
		return lse
	}
	return tsk.endsAt
}

func (srv *Server) finish(now time.Time, tsk *task) {
	if tsk.work.Fail || srv.faults.GetFailTasks() {
		srv.end(now, tsk, backendpb.Outcome_OUTCOME_FAILED, "told to fail")
		return
	}
	srv.end(now, tsk, backendpb.Outcome_OUTCOME_OK, "")
}

// end stores the result and sends it to the sessions that wait for it; the caller holds srv.mu.
func (srv *Server) end(now time.Time, tsk *task, out backendpb.Outcome, text string) {
	tsk.result = &backendpb.Result{
		Id:      tsk.wireID,
		Outcome: out,
		Error:   text,
		RunTime: durationpb.New(now.Sub(tsk.started)),
	}
	if out == backendpb.Outcome_OUTCOME_OK {
		tsk.result.Payload = Answer(tsk.id.Submission(), tsk.id.Index(), tsk.payload)
	}
	tsk.payload = nil
	if tsk.timer != nil {
		tsk.timer.Stop()
	}
	srv.free += tsk.slots
	srv.closeIfIdle()
	srv.ended = append(srv.ended, forgetAt{key: anyAttempt(tsk.id), at: now.Add(srv.cfg.Memory)})
	hld := tsk.holder
	hld.running--
	if hld.newest != nil {
		hld.newest.addResult(tsk.result)
	}
	if wtc := tsk.watcher; wtc != nil && wtc != hld.newest {
		wtc.addResult(tsk.result)
	}
	tsk.watcher = nil
	srv.releaseHolder(hld)
}

// releaseHolder forgets a holder without sessions and tasks; the caller holds srv.mu.
func (srv *Server) releaseHolder(hld *holder) {
	if hld.sessions == 0 && hld.running == 0 && srv.holders[hld.name] == hld {
		delete(srv.holders, hld.name)
	}
}
