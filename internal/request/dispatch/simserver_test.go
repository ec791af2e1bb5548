package dispatch_test

import (
	"fmt"
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// batch holds the messages of one flush to one backend server.
type batch struct {
	starts  []dispatch.Start
	queries []job.TaskID
	revokes []job.TaskID
	stops   []job.TaskID
	renew   bool
}

// simServer is a simulated backend server that follows the rules of backend.proto.
type simServer struct {
	cls         *cluster
	id          dispatch.ServerID
	domain      string
	rack        string
	slots       uint32
	free        uint32
	speed       float64
	incarnation int
	leaving     bool
	down        bool
	cutOff      bool
	// failAll makes each task fail after a millisecond; cutOff makes the server lose all messages.
	failAll  bool
	unlisted bool
	tasks    map[string]*simTask
	revoked  map[job.TaskID]bool
	sessions map[dispatch.PeerID]*simSession
}

// simTask is a task on a simServer; holder is the entry that started it and renews its lease.
type simTask struct {
	tid       job.TaskID
	holder    dispatch.PeerID
	slots     uint32
	leaseEnd  time.Time
	ended     bool
	result    dispatch.Result
	startedAt time.Time
}

// taskKey identifies a task regardless of the attempt; it is also the answer of the task.
func taskKey(tid job.TaskID) string { return fmt.Sprintf("%s#%d", tid.Submission(), tid.Index()) }

// restart begins a new incarnation that knows no tasks.
func (srv *simServer) restart() {
	srv.incarnation++
	srv.down = false
	srv.free = srv.slots
	srv.tasks = map[string]*simTask{}
	srv.revoked = map[job.TaskID]bool{}
	srv.sessions = map[dispatch.PeerID]*simSession{}
}

// crash ends all running tasks and breaks all open connections.
func (srv *simServer) crash() {
	srv.down = true
	srv.incarnation++
	for _, ent := range srv.cls.entries {
		ses := ent.sessions[srv.id]
		if ses == nil || ses.closed {
			continue
		}
		ses.closed = true
		srv.cls.after(srv.cls.latency(ent.domain, srv.domain), func() {
			ent.event(func(now time.Time) { ent.dsp.HandleSessionDown(now, srv.id, false) })
		})
	}
}

// report returns a report without results, refusals and statuses.
func (srv *simServer) report() dispatch.Report {
	return dispatch.Report{
		Server: srv.id, Incarnation: fmt.Sprint(srv.incarnation), Slots: srv.slots, FreeSlots: srv.free, Leaving: srv.leaving,
	}
}

// receive processes the messages of a batch and sends refusals and statuses back.
func (srv *simServer) receive(ses *simSession, bat *batch) {
	rep := srv.report()
	if bat.renew {
		for _, tsk := range srv.tasks {
			if tsk.holder == ses.ent.id && !tsk.ended {
				tsk.leaseEnd = srv.cls.now.Add(srv.cls.cfg.Lease)
			}
		}
	}
	for idx := range bat.starts {
		if ref, ok := srv.start(ses.ent.id, &bat.starts[idx]); !ok {
			rep.Refused = append(rep.Refused, ref)
		}
	}
	for _, tid := range bat.queries {
		rep.Statuses = append(rep.Statuses, srv.status(tid))
	}
	for _, tid := range bat.revokes {
		sta := srv.status(tid)
		if sta.State == dispatch.TaskUnknown {
			srv.revoked[tid] = true
			sta.State = dispatch.TaskRevoked
		}
		rep.Statuses = append(rep.Statuses, sta)
	}
	for _, tid := range bat.stops {
		if tsk := srv.tasks[taskKey(tid)]; tsk != nil && tsk.tid == tid && !tsk.ended {
			srv.end(tsk, dispatch.OutcomeStopped)
		}
	}
	if len(rep.Refused)+len(rep.Statuses) > 0 {
		srv.reply(ses, rep)
	}
}

// reply sends a report on the session, twice if the cluster duplicates messages.
func (srv *simServer) reply(ses *simSession, rep dispatch.Report) {
	rep.FreeSlots = srv.free
	ent := ses.ent
	if ses.closed || ses.silent || srv.cutOff {
		return
	}
	if srv.cls.duplicateMessages {
		again := rep
		again.FreeSlots = 0
		srv.cls.after(time.Duration(srv.cls.rnd.IntN(200))*time.Millisecond, func() {
			ent.event(func(now time.Time) { ent.dsp.HandleReport(now, again) })
		})
	}
	srv.cls.after(srv.cls.latency(ent.domain, srv.domain), func() {
		if !ses.closed && !ses.silent && !srv.cutOff {
			ent.event(func(now time.Time) { ent.dsp.HandleReport(now, rep) })
			for idx := range rep.Results {
				if srv.cls.answered != nil && rep.Results[idx].Outcome == dispatch.OutcomeOK {
					srv.cls.answered(rep.Results[idx].Task)
				}
			}
		}
	})
}

// start starts a task or returns why it is refused.
func (srv *simServer) start(holder dispatch.PeerID, stt *dispatch.Start) (dispatch.Refused, bool) {
	ref := dispatch.Refused{Task: stt.Task}
	key := taskKey(stt.Task)
	switch {
	case srv.tasks[key] != nil:
		ref.Reason = dispatch.RefusedDuplicate
	case srv.revoked[stt.Task]:
		ref.Reason = dispatch.RefusedRevoked
	case srv.leaving:
		ref.Reason = dispatch.RefusedLeaving
	case !stt.NotAfter.IsZero() && srv.cls.now.After(stt.NotAfter):
		ref.Reason = dispatch.RefusedTooLate
	case srv.free < stt.Slots:
		ref.Reason = dispatch.RefusedFull
	default:
		srv.runTask(holder, stt, key)
		return ref, true
	}
	return ref, false
}

// runTask runs an accepted task until its run time is over or its lease expires.
func (srv *simServer) runTask(holder dispatch.PeerID, stt *dispatch.Start, key string) {
	tsk := &simTask{
		tid: stt.Task, holder: holder, slots: stt.Slots, startedAt: srv.cls.now,
		leaseEnd: srv.cls.now.Add(stt.Lease),
	}
	srv.tasks[key] = tsk
	srv.free -= stt.Slots
	srv.cls.starts[key]++
	if srv.cls.starts[key] > 1 {
		srv.cls.doubleStarts++
	}
	dur, fails := srv.cls.runTime(stt.Task)
	out := dispatch.OutcomeOK
	if fails || srv.failAll {
		out = dispatch.OutcomeFailed
	}
	if srv.failAll {
		dur = time.Millisecond
	}
	epoch := srv.incarnation
	srv.cls.after(time.Duration(float64(dur)*srv.speed), func() {
		if srv.incarnation == epoch && !tsk.ended {
			srv.end(tsk, out)
		}
	})
	srv.cls.after(stt.Lease, func() { srv.leaseDue(tsk, epoch) })
}

// leaseDue stops the task if its lease has expired.
func (srv *simServer) leaseDue(tsk *simTask, epoch int) {
	if srv.incarnation != epoch || tsk.ended {
		return
	}
	if tsk.leaseEnd.After(srv.cls.now) {
		srv.cls.at(tsk.leaseEnd, func() { srv.leaseDue(tsk, epoch) })
		return
	}
	srv.end(tsk, dispatch.OutcomeStopped)
}

// end ends a task and sends the result to the entry that started it.
func (srv *simServer) end(tsk *simTask, out dispatch.Outcome) {
	tsk.ended = true
	srv.free += tsk.slots
	tsk.result = dispatch.Result{
		Task: tsk.tid, Outcome: out, Payload: []byte(taskKey(tsk.tid)), RunTime: srv.cls.now.Sub(tsk.startedAt),
	}
	if ses := srv.sessions[tsk.holder]; ses != nil {
		rep := srv.report()
		rep.Results = []dispatch.Result{tsk.result}
		srv.reply(ses, rep)
	}
}

// status returns what the server knows of the task.
func (srv *simServer) status(tid job.TaskID) dispatch.Status {
	sta := dispatch.Status{Task: tid, State: dispatch.TaskUnknown}
	tsk := srv.tasks[taskKey(tid)]
	switch {
	case tsk == nil && srv.revoked[tid]:
		sta.State = dispatch.TaskRevoked
	case tsk == nil || tsk.tid != tid:
	case tsk.ended:
		sta.State = dispatch.TaskEnded
		sta.Result = tsk.result
	default:
		sta.State = dispatch.TaskRunning
	}
	return sta
}
