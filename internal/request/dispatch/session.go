package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
	"chestnutstack/internal/request/verdict"
)

// refusedUntilLost is the number of refused connections in a row after which the backend server's process is taken
// for gone and its tasks for lost.
const refusedUntilLost = 2

// HandleSessionUp processes the first report of a new session.
//
// Messages in both directions may have been lost with an earlier session, so that all tasks on the backend server
// are queried.
func (dsp *Dispatcher) HandleSessionUp(now time.Time, sid ServerID, rep Report) {
	dsp.beginEvent(now)
	if srv := dsp.servers[sid]; srv != nil {
		srv.up = true
		srv.pause = 0
		srv.refusedConns = 0
		dsp.applyReport(now, srv, &rep)
		srv.each(func(att *attempt) { dsp.sendQuery(now, att) })
	}
	dsp.endEvent(now)
}

// HandleSessionDown records the end of a session, or a refused connection if refused is true.
func (dsp *Dispatcher) HandleSessionDown(now time.Time, sid ServerID, refused bool) {
	dsp.beginEvent(now)
	if srv := dsp.servers[sid]; srv != nil {
		if refused {
			srv.refusedConns++
		}
		dsp.sessionLost(now, srv)
	}
	dsp.endEvent(now)
}

// HandleSendFailure processes starts that were never written to any connection: these tasks did not run and are
// requeued.
func (dsp *Dispatcher) HandleSendFailure(now time.Time, tasks []ServerTask) {
	dsp.beginEvent(now)
	for _, tsk := range tasks {
		srv := dsp.servers[tsk.Server]
		if srv == nil {
			continue
		}
		att := dsp.attemptOf(srv, tsk.Task)
		if att == nil || att.task().State() != job.Sent {
			continue
		}
		dsp.recordNotRun(now, att)
		dsp.requeue(att.jst, att.idx)
	}
	dsp.endEvent(now)
}

// endSession abandons a session that seems to be broken and opens a new one at once. A connection can stop
// delivering for good, without an error, if a device on its path has dropped its state, while new connections
// work; the sign of it is an unanswered query on a session that is still up.
func (dsp *Dispatcher) endSession(now time.Time, srv *server) {
	dsp.markDown(now, srv)
	dsp.reconnect(now, srv)
}

// sessionLost records a lost session or refused connection and schedules the next connection attempt.
func (dsp *Dispatcher) sessionLost(now time.Time, srv *server) {
	dsp.markDown(now, srv)
	if srv.refusedConns >= refusedUntilLost {
		dsp.loseTasks(now, srv, "backend-server-gone")
	}
	dsp.reconnectLater(now, srv)
}

// markDown records that there is no session: the outcome of the server's tasks has to be queried, and
// timerUnreachable is set.
func (dsp *Dispatcher) markDown(now time.Time, srv *server) {
	wasUp := srv.up
	srv.up = false
	dsp.setOpen(srv)
	srv.each(func(att *attempt) {
		att.task().MarkQuerying()
		att.queriedAt = time.Time{}
	})
	if wasUp {
		srv.session++
		dsp.timers.push(timer{at: now.Add(dsp.cfg.UnreachableTimeout), kind: timerUnreachable, srv: srv, num: srv.session})
	}
}

// unreachableDue loses the tasks of a backend server that has had no session since the one with the given count
// ended.
func (dsp *Dispatcher) unreachableDue(now time.Time, srv *server, session uint64) {
	if !srv.up && srv.session == session {
		dsp.loseTasks(now, srv, "backend-server-unreachable")
	}
}

// loseTasks takes all tasks on the backend server for lost, with the reason.
func (dsp *Dispatcher) loseTasks(now time.Time, srv *server, reason string) {
	srv.each(func(att *attempt) { dsp.loseTask(now, att, reason) })
}

// loseTask takes a task for lost that may have run, and ends its job.
func (dsp *Dispatcher) loseTask(now time.Time, att *attempt, reason string) {
	jst := att.jst
	att.task().MarkLost()
	dsp.stats.Lost++
	dsp.releaseSlots(now, att, att.estimate, true)
	if jst.job.Ended() {
		dsp.forgetIfDone(jst)
		return
	}
	dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), reason))
}

// setIncarnation detects a restart of a backend server. The former process may have run what was sent to it, and
// the new one knows nothing of it: neither an unknown status nor a revoke from it proves anything, so that all
// tasks on the server are lost.
func (dsp *Dispatcher) setIncarnation(now time.Time, srv *server, incarnation string) {
	if incarnation == "" || incarnation == srv.incarnation {
		return
	}
	known := srv.incarnation != ""
	srv.incarnation = incarnation
	if known {
		dsp.loseTasks(now, srv, "backend-server-restarted")
		dsp.detector.Remove(&srv.fault)
		dsp.pool.SetMaxInUse(srv.acct, 0)
	}
}

// setSlots records a changed number of slots that the backend server reported.
func (dsp *Dispatcher) setSlots(srv *server, slots uint32) {
	if slots == 0 || slots == srv.acct.Slots() {
		return
	}
	srv.info.Slots = slots
	dsp.putServer(srv, srv.acct.Home())
}

// putServer updates the account of the backend server from its description; home tells whether it is assigned to
// this instance.
func (dsp *Dispatcher) putServer(srv *server, home bool) {
	srv.acct = dsp.pool.Put(slot.Params{
		ID:    string(srv.id),
		Rack:  srv.info.Rack,
		Local: srv.info.FailureDomain == dsp.cfg.FailureDomain,
		Home:  home,
		Shape: slot.Shape{Slots: srv.info.Slots, Capacity: srv.info.Capacity},
	})
	dsp.setOpen(srv)
}

// setOpen updates in the account whether new tasks may be started on the backend server.
func (dsp *Dispatcher) setOpen(srv *server) { dsp.pool.SetOpen(srv.acct, srv.open()) }

// reconnect opens a connection to the backend server and schedules the next connection attempt.
func (dsp *Dispatcher) reconnect(now time.Time, srv *server) {
	dsp.act.Reconnects = append(dsp.act.Reconnects, srv.id)
	dsp.stats.Reconnects++
	dsp.reconnectLater(now, srv)
}

// reconnectLater schedules the next connection attempt, unless one is scheduled already.
func (dsp *Dispatcher) reconnectLater(now time.Time, srv *server) {
	if srv.reconnecting {
		return
	}
	srv.reconnecting = true
	srv.pause = min(max(2*srv.pause, dsp.cfg.ReconnectDelay), dsp.cfg.MaxReconnectDelay)
	dsp.timers.push(timer{at: now.Add(dsp.jitter(srv.pause)), kind: timerReconnect, srv: srv})
}

// reconnectDue opens a connection if there is still no session and one is needed.
func (dsp *Dispatcher) reconnectDue(now time.Time, srv *server) {
	srv.reconnecting = false
	if !srv.up && dsp.servers[srv.id] == srv && dsp.sessionNeeded(srv) {
		dsp.reconnect(now, srv)
	}
}

// sessionNeeded reports whether a session to the backend server is to be kept: it has tasks in flight, or slots
// that this instance may use, or sessions are kept to all servers.
func (dsp *Dispatcher) sessionNeeded(srv *server) bool {
	if srv.attempts != nil {
		return true
	}
	return srv.listed && (srv.acct.Home() || srv.acct.Borrowed() > 0 || len(dsp.serverList) <= dsp.cfg.MaxSessions)
}
