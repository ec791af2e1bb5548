package dispatch

import (
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
	"chestnutstack/internal/request/verdict"
)

// refusedToGiveUp is how many refused connections in a row show that nothing listens any more.
const refusedToGiveUp = 2

// HandleSessionUp takes in the first report of a new session.
//
// What was sent on an older session may have been lost either way, so all of it is asked for.
func (dsp *Dispatcher) HandleSessionUp(now time.Time, sid ServerID, rep Report) {
	dsp.enter(now)
	if srv := dsp.servers[sid]; srv != nil {
		srv.up = true
		srv.pause = 0
		srv.refusedConns = 0
		dsp.report(now, srv, &rep)
		srv.each(func(flt *flight) { dsp.askOn(now, flt) })
	}
	dsp.advance(now)
}

// HandleSessionDown takes in the end of a session, or with neverMade a connection that was refused.
func (dsp *Dispatcher) HandleSessionDown(now time.Time, sid ServerID, neverMade bool) {
	dsp.enter(now)
	if srv := dsp.servers[sid]; srv != nil {
		if neverMade {
			srv.refusedConns++
		}
		dsp.sessionLost(now, srv)
	}
	dsp.advance(now)
}

// HandleSendFailure takes in starts that were never written to any connection.
func (dsp *Dispatcher) HandleSendFailure(now time.Time, tasks []ServerTask) {
	dsp.enter(now)
	for _, tsk := range tasks {
		srv := dsp.servers[tsk.Server]
		if srv == nil {
			continue
		}
		flt := dsp.find(srv, tsk.Task)
		if flt == nil || flt.task().State() != job.Sent {
			continue
		}
		dsp.proved(now, flt)
		dsp.requeue(flt.jst, flt.idx)
	}
	dsp.advance(now)
}

// endSession gives up a session that looks dead and opens a new one at once. A connection can go
// silent for good because something between its ends forgot it, while new ones work; it shows as
// an ask without a reply on a session that is still up.
func (dsp *Dispatcher) endSession(now time.Time, srv *server) {
	dsp.markDown(now, srv)
	dsp.reconnect(now, srv)
}

// sessionLost waits before the next connection.
func (dsp *Dispatcher) sessionLost(now time.Time, srv *server) {
	dsp.markDown(now, srv)
	if srv.refusedConns >= refusedToGiveUp {
		dsp.loseAll(now, srv, "backend-server-gone")
	}
	dsp.reconnectLater(now, srv)
}

func (dsp *Dispatcher) markDown(now time.Time, srv *server) {
	wasUp := srv.up
	srv.up = false
	dsp.setOpen(srv)
	srv.each(func(flt *flight) {
		flt.task().MarkQuerying()
		flt.asked = time.Time{}
	})
	if wasUp {
		srv.session++
		dsp.timers.push(timer{at: now.Add(dsp.cfg.UnreachableTimeout), kind: timerGiveUp, srv: srv, num: srv.session})
	}
}

// giveUpDue loses the tasks of a server to which there was no session since.
func (dsp *Dispatcher) giveUpDue(now time.Time, srv *server, session uint64) {
	if !srv.up && srv.session == session {
		dsp.loseAll(now, srv, "backend-server-unreachable")
	}
}

func (dsp *Dispatcher) loseAll(now time.Time, srv *server, reason string) {
	srv.each(func(flt *flight) { dsp.lose(now, flt, reason) })
}

// lose gives up on a task that may have run, and with it on the job.
func (dsp *Dispatcher) lose(now time.Time, flt *flight, reason string) {
	jst := flt.jst
	flt.task().MarkLost()
	dsp.stats.Lost++
	dsp.vacate(now, flt, flt.estimate, true)
	if jst.job.Ended() {
		dsp.forget(jst)
		return
	}
	dsp.endJob(now, jst, verdict.New(jst.job.FailureVerdict(), reason))
}

// setIncarnation notices a restart: what the old process was sent it may have run, and the new one
// knows nothing of it, so that neither its unknown nor its revoke proves anything.
func (dsp *Dispatcher) setIncarnation(now time.Time, srv *server, incarnation string) {
	if incarnation == "" || incarnation == srv.incarnation {
		return
	}
	known := srv.incarnation != ""
	srv.incarnation = incarnation
	if known {
		dsp.loseAll(now, srv, "backend-server-restarted")
		dsp.detector.Remove(&srv.fault)
		dsp.pool.SetMaxInUse(srv.acct, 0)
	}
}

func (dsp *Dispatcher) setSlots(srv *server, slots uint32) {
	if slots == 0 || slots == srv.acct.Slots() {
		return
	}
	srv.info.Slots = slots
	dsp.putServer(srv, srv.acct.Home())
}

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

func (dsp *Dispatcher) setOpen(srv *server) { dsp.pool.SetOpen(srv.acct, srv.open()) }

func (dsp *Dispatcher) reconnect(now time.Time, srv *server) {
	dsp.act.Reconnects = append(dsp.act.Reconnects, srv.id)
	dsp.stats.Reconnects++
	dsp.reconnectLater(now, srv)
}

// reconnectLater keeps one timer for the next attempt.
func (dsp *Dispatcher) reconnectLater(now time.Time, srv *server) {
	if srv.reconnecting {
		return
	}
	srv.reconnecting = true
	srv.pause = min(max(2*srv.pause, dsp.cfg.ReconnectDelay), dsp.cfg.MaxReconnectDelay)
	dsp.timers.push(timer{at: now.Add(dsp.jitter(srv.pause)), kind: timerReconnect, srv: srv})
}

func (dsp *Dispatcher) reconnectDue(now time.Time, srv *server) {
	srv.reconnecting = false
	if !srv.up && dsp.servers[srv.id] == srv && dsp.wanted(srv) {
		dsp.reconnect(now, srv)
	}
}

// wanted reports whether a session to the backend server is worth having.
func (dsp *Dispatcher) wanted(srv *server) bool {
	if srv.flights != nil {
		return true
	}
	return srv.listed && (srv.acct.Home() || srv.acct.Borrowed() > 0 || len(dsp.listing) <= dsp.cfg.MaxSessions)
}
