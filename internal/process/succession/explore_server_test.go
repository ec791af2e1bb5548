package succession

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
)

// fakeServer is a backend server without sockets, which follows the rules for tokens and leases but does no admission of its own: too
// many or duplicate runs are reported as violations.
type fakeServer struct {
	sim    *simRun
	id     shard.ServerID
	domain string
	// clockRate is the speed of the server's clock relative to true time.
	clockRate float64
	// incarnation is the start of the incarnation, startedAt the same in the simulation's time. Between two incarnations the server is down, until downUntil.
	incarnation          shard.Incarnation
	startedAt, downUntil time.Time
	// token is the highest token seen, lease until when the runs may go on by the server's clock; highestRun has the highest run number of each
	// task; ended are the ends that no renewal has acknowledged, endSeq the number of the last; waiting are the renewals that wait for an end.
	token      int64
	lease      time.Duration
	running    map[string]*fakeRun
	highestRun map[string]int64
	ended      []shard.End
	endSeq     int64
	waiting    []func()
	// lostAnswers is how many of the next calls are carried out after a delay and not answered.
	lostAnswers int
	// losesStops is set while stops neither get an answer nor are carried out.
	losesStops bool
	// losesStartAnswers is set while starts are carried out and not answered, losesRenewals while renewals are neither.
	losesStartAnswers, losesRenewals bool
}

type fakeRun struct {
	id       shard.RunID
	stopping bool
	// latestEnd is until when the run may last at most since it is being ended.
	began, latestEnd time.Time
	runTime          time.Duration
}

const (
	serverSize = 32000
	taskSize   = 14000
	stopTime   = 50 * time.Millisecond
	clockSkew  = 1.02
)

func (srv *fakeServer) entry() shard.ServerEntry {
	return shard.ServerEntry{
		ID: srv.id, Incarnation: srv.incarnation, FailureDomain: srv.domain, Service: "render", Processor: serverSize, Memory: 1 << 20,
	}
}

// clock returns the reading of the server's clock.
func (srv *fakeServer) clock() time.Duration {
	return time.Duration(float64(srv.sim.now.Sub(srv.startedAt))*srv.clockRate) + time.Minute
}

// restart crashes the server, which starts again under its ID after a time: calls that wait are never answered.
func (srv *fakeServer) restart(down time.Duration) {
	if srv.down() {
		return
	}
	srv.sim.note("%s crashes and starts again after %v", srv.id, down)
	srv.downUntil = srv.sim.now.Add(down)
	for _, task := range sortedKeys(srv.running) {
		srv.endRun(srv.running[task], shard.EndedStopped)
	}
	srv.waiting, srv.lostAnswers = nil, 0
	srv.sim.after(down, func() {
		srv.incarnation, srv.startedAt = srv.incarnation+1, srv.sim.now
		srv.token, srv.lease, srv.endSeq, srv.ended = 0, 0, 0, nil
		clear(srv.highestRun)
		srv.sim.setListed(srv, srv.sim.listed[srv.id]) // The changed entry is a record of the list.
	})
}

// down reports whether the server is down between two incarnations.
func (srv *fakeServer) down() bool { return srv.sim.now.Before(srv.downUntil) }

// start handles a StartRun.
func (srv *fakeServer) start(act shard.StartRun, runTime time.Duration) shard.CallResult {
	switch {
	case act.Token < srv.token:
		return shard.Fenced
	case act.Run.Number < srv.highestRun[act.Run.Task]:
		return shard.Outdated
	case act.LeaseUntil <= srv.clock():
		return shard.Refused
	case act.Run.Number == srv.highestRun[act.Run.Task]:
		if rn := srv.running[act.Run.Task]; rn != nil && rn.id == act.Run && !rn.stopping {
			return shard.Accepted
		}
		return shard.Outdated
	}
	srv.token = act.Token
	srv.extendLease(act.LeaseUntil)
	srv.highestRun[act.Run.Task] = act.Run.Number
	srv.sim.checkStart(srv, act.Run)
	srv.sim.noteGap(srv, act)
	srv.sim.noteStartAfterDone(act.Run.Task)
	rn := &fakeRun{id: act.Run, began: srv.sim.now, runTime: runTime}
	srv.running[act.Run.Task] = rn
	if len(srv.running)*taskSize > serverSize {
		srv.sim.violation("over capacity at %s: %s", srv.id, act.Run.Task)
	}
	srv.sim.after(runTime, func() {
		if !rn.stopping {
			srv.endRun(rn, shard.EndedDone)
		}
	})
	return shard.Accepted
}

// stop handles a StopRun; the run ends within stopTime.
func (srv *fakeServer) stop(act shard.StopRun) shard.CallResult {
	if act.Token < srv.token {
		return shard.Fenced
	}
	srv.token = act.Token
	srv.highestRun[act.Run.Task] = max(srv.highestRun[act.Run.Task], act.Run.Number)
	if rn := srv.running[act.Run.Task]; rn != nil && rn.id.Number <= act.Run.Number && !rn.stopping {
		rn.stopping, rn.latestEnd = true, srv.sim.now.Add(stopTime)
		srv.sim.after(srv.sim.within(stopTime), func() { srv.endRun(rn, shard.EndedStopped) })
	}
	return shard.Accepted
}

// handleRenew handles a renewal and replies with the server's runs, once a run has ended or the wait is over.
func (srv *fakeServer) handleRenew(act shard.Renew, reply func(shard.RenewResult, shard.CallResult)) {
	if act.Token < srv.token {
		reply(shard.RenewResult{}, shard.Fenced)
		return
	}
	srv.token = act.Token
	if act.LeaseUntil > 0 {
		srv.extendLease(act.LeaseUntil)
	}
	srv.ended = slices.DeleteFunc(srv.ended, func(end shard.End) bool {
		if end.Seq <= act.AckedSeq {
			srv.sim.noteAcked(srv, end)
		}
		return end.Seq <= act.AckedSeq
	})
	if act.WaitForEnd == 0 || len(srv.ended) > 0 {
		reply(srv.renewResult(), shard.Accepted)
		return
	}
	done, inc := false, srv.incarnation
	answer := func() {
		if srv.sim.strict && (srv.down() || srv.incarnation != inc) {
			return // The call ended with the incarnation.
		}
		if !done {
			done = true
			reply(srv.renewResult(), shard.Accepted)
		}
	}
	srv.waiting = append(srv.waiting, answer)
	srv.sim.after(act.WaitForEnd, answer)
}

// renewResult returns the runs and the ends that the server lists.
func (srv *fakeServer) renewResult() shard.RenewResult {
	res := shard.RenewResult{Incarnation: srv.incarnation, Clock: srv.clock(), Ended: slices.Clone(srv.ended)}
	for _, task := range sortedKeys(srv.running) {
		rn := srv.running[task]
		pct := int(min(99, srv.sim.now.Sub(rn.began)*100/max(rn.runTime, 1)))
		res.Running = append(res.Running, shard.Progress{Run: rn.id, Percent: pct})
	}
	return res
}

// extendLease extends the lease of all runs, to at most a second from now by the server's clock; it never shortens the lease.
func (srv *fakeServer) extendLease(until time.Duration) {
	until = min(until, srv.clock()+time.Second)
	if until <= srv.lease {
		return
	}
	if srv.lease <= srv.clock() {
		srv.sim.noteLapse(srv)
	}
	srv.lease = until
	left, inc := time.Duration(float64(until-srv.clock())/srv.clockRate), srv.incarnation
	srv.sim.after(left, func() {
		if srv.lease > until || srv.sim.strict && srv.incarnation != inc {
			return
		}
		for _, task := range sortedKeys(srv.running) {
			rn := srv.running[task]
			if rn.latestEnd.IsZero() {
				rn.latestEnd = srv.sim.now.Add(stopTime)
			}
			srv.sim.after(srv.sim.within(stopTime), func() {
				if srv.lease <= until || srv.sim.strict {
					srv.endRun(rn, shard.EndedStopped)
				}
			})
		}
	})
}

// endRun ends a run and answers the waiting renewals.
func (srv *fakeServer) endRun(rn *fakeRun, how shard.EndKind) {
	if srv.running[rn.id.Task] != rn {
		return
	}
	delete(srv.running, rn.id.Task)
	srv.sim.noteEnd(srv, rn, how)
	srv.endSeq++
	srv.ended = append(srv.ended, shard.End{Seq: srv.endSeq, Run: rn.id, Kind: how})
	srv.sim.note("%s ended %s %d how %d", srv.id, rn.id.Task, rn.id.Number, how)
	wts := srv.waiting
	srv.waiting = nil
	for _, answer := range wts {
		answer()
	}
}

// checkStart counts a start and reports a violation if the task already runs on some server.
func (sim *simRun) checkStart(at *fakeServer, run shard.RunID) {
	sim.note("%s begins %s %d", at.id, run.Task, run.Number)
	sim.starts[run.Task]++
	for _, srv := range sim.servers {
		if rn := srv.running[run.Task]; rn != nil {
			sim.violation("%s runs twice: at %s since %v, and at %s", run.Task, srv.id, rn.began.Sub(sim.began), at.id)
		}
	}
}

// note adds a line to the trace.
func (sim *simRun) note(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8.1f ", float64(sim.now.Sub(sim.began).Microseconds())/1000)+fmt.Sprintf(format, args...))
}

// violation records a broken guarantee.
func (sim *simRun) violation(format string, args ...any) {
	sim.note("BROKEN "+format, args...)
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(sim.began))+fmt.Sprintf(format, args...))
}
