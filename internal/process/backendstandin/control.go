package backendstandin

import (
	"time"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/job"
)

// status says what is known of one attempt and lets the session that asks know how it ends. The
// caller holds srv.mu.
func (srv *Server) status(now time.Time, ses *session, id *backendpb.TaskID) *backendpb.Status {
	sts := &backendpb.Status{Id: id, State: backendpb.TaskState_TASK_STATE_UNKNOWN}
	tid := taskID(id)
	if tsk, ok := srv.tasks[anyAttempt(tid)]; ok && tsk.id == tid {
		srv.fillStatus(ses, tsk, sts)
		return sts
	}
	if srv.isRevoked(now, tid) {
		sts.State = backendpb.TaskState_TASK_STATE_REVOKED
	}
	return sts
}

func (srv *Server) fillStatus(ses *session, tsk *task, sts *backendpb.Status) {
	if tsk.result != nil {
		sts.State = backendpb.TaskState_TASK_STATE_ENDED
		sts.Result = tsk.result
		return
	}
	sts.State = backendpb.TaskState_TASK_STATE_RUNNING
	tsk.watcher = ses
}

// revoke makes sure that an attempt never starts, unless it already did. The caller holds srv.mu.
//
// A start that is still on its way arrives after the revoke and would run although its sender was
// told that it did not. The id is kept until no copy can be in time any more. When too many ids are
// kept, the answer stays unknown, which proves nothing.
func (srv *Server) revoke(now time.Time, ses *session, id *backendpb.TaskID) *backendpb.Status {
	sts := srv.status(now, ses, id)
	if sts.GetState() != backendpb.TaskState_TASK_STATE_UNKNOWN {
		return sts
	}
	if len(srv.revoked) >= srv.cfg.RevokeLimit {
		return sts
	}
	srv.revoked[taskID(id)] = now.Add(srv.cfg.Memory)
	sts.State = backendpb.TaskState_TASK_STATE_REVOKED
	return sts
}

func (srv *Server) isRevoked(now time.Time, tid job.TaskID) bool {
	if len(srv.revoked) > 0 {
		if until, ok := srv.revoked[tid]; ok && !now.After(until) {
			return true
		}
	}
	if len(srv.fenced) > 0 {
		fnc, ok := srv.fenced[string(tid.Submission())]
		if ok && tid.Attempt() < fnc.below && !now.After(fnc.until) {
			return true
		}
	}
	return false
}

// stop ends a task that runs; the caller holds srv.mu.
func (srv *Server) stop(now time.Time, id *backendpb.TaskID) {
	tid := taskID(id)
	if tsk, ok := srv.tasks[anyAttempt(tid)]; ok && tsk.id == tid && tsk.result == nil {
		srv.end(now, tsk, backendpb.Outcome_OUTCOME_STOPPED, "stopped")
	}
}

// fenceInForce keeps attempts below a number from starting, for one holder.
type fenceInForce struct {
	below  uint32
	holder string
	until  time.Time
}

// fence grants the highest fence, to one holder, and says what is known of the submission's tasks.
// Fences are rare, so they pay for the search. The caller holds srv.mu.
func (srv *Server) fence(now time.Time, ses *session, req *backendpb.Fence) *backendpb.FenceReply {
	sub := req.GetSubmission()
	cur := srv.fenced[sub]
	again := req.GetBelowAttempt() == cur.below && ses.hold.name == cur.holder
	granted := req.GetBelowAttempt() > cur.below || again
	if granted {
		cur = fenceInForce{below: req.GetBelowAttempt(), holder: ses.hold.name, until: now.Add(srv.cfg.Memory)}
		srv.fenced[sub] = cur
	}
	rpl := &backendpb.FenceReply{Submission: sub, BelowAttempt: cur.below, Granted: granted}
	for _, tsk := range srv.tasks {
		if string(tsk.id.Submission()) == sub {
			sts := &backendpb.Status{Id: tsk.wireID}
			srv.fillStatus(ses, tsk, sts)
			rpl.Known = append(rpl.Known, sts)
		}
	}
	return rpl
}

// forget drops what is older than Config.Memory; the caller holds srv.mu.
func (srv *Server) forget(now time.Time) {
	old := 0
	for old < len(srv.ended) && now.After(srv.ended[old].at) {
		delete(srv.tasks, srv.ended[old].key)
		old++
	}
	srv.ended = srv.ended[old:]
	if now.Sub(srv.swept) < time.Second {
		return
	}
	srv.swept = now
	for tid, until := range srv.revoked {
		if now.After(until) {
			delete(srv.revoked, tid)
		}
	}
	for sub, fnc := range srv.fenced {
		if now.After(fnc.until) {
			delete(srv.fenced, sub)
		}
	}
}
