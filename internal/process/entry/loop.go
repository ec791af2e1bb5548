package entry

import (
	"context"
	"time"

	"chestnutstack/internal/connection/backend"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// decide makes one decision and carries out what came of it. Everything that it carries out only
// enqueues, so that the lock is held for microseconds.
func (ins *Instance) decide(event func(now time.Time)) {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	now := ins.now()
	event(now)
	ins.act(now)
	ins.arm()
}

// act carries out the actions in their order; it runs under mu, so that what is said to one
// backend server leaves in the order in which it was decided.
func (ins *Instance) act(now time.Time) {
	act := ins.dsp.Actions()
	for idx := range act.Starts {
		ins.start(now, &act.Starts[idx])
	}
	for _, tsk := range act.Queries {
		ins.warn("ask", ins.servers.Ask(tsk.Server, tsk.Task))
	}
	for _, tsk := range act.Revokes {
		ins.warn("revoke", ins.servers.Revoke(tsk.Server, tsk.Task))
	}
	for _, tsk := range act.Stops {
		ins.warn("stop", ins.servers.Stop(tsk.Server, tsk.Task))
	}
	for _, srv := range act.Renewals {
		ins.warn("renew", ins.servers.Renew(srv, ins.cfg.Dispatch.Lease))
	}
	for _, srv := range act.Reconnects {
		ins.reconnect(srv)
	}
	for _, bor := range act.Borrows {
		ins.borrow(bor)
	}
	for _, off := range act.Offers {
		ins.offer(off)
	}
	for _, ret := range act.Returns {
		ins.giveBack(ret)
	}
	for idx := range act.Ended {
		ins.ended(now, act.Ended[idx].Job)
	}
	act.Reset()
	ins.actLimits(now)
}

// start enqueues a start. If the outbox is full nothing was sent, and dispatch is told so at its
// next wake: telling it here would change the actions that are being carried out.
func (ins *Instance) start(now time.Time, stt *dispatch.Start) {
	if stt.AtMostOnce && !ins.claimHolds(now, stt.Task.Submission()) {
		ins.lapsed = append(ins.lapsed, stt.Task.Submission())
	} else if err := ins.servers.Start(*stt); err == nil {
		return
	}
	ins.unsent = append(ins.unsent, dispatch.ServerTask{Server: stt.Server, Task: stt.Task})
}

// claimHolds is asked right before each start of work that must run at most once. The failure: the
// process was paused after its claim was granted, another instance got the next one meanwhile, and on
// waking this one would start the work a second time. Both clocks of the grant show the pause.
func (ins *Instance) claimHolds(now time.Time, sub job.SubmissionID) bool {
	rec := ins.table.bySubmission(sub)
	return rec != nil && rec.mayStart(now)
}

// reconnect opens a fresh connection, or the first one to a backend server that was not needed yet.
func (ins *Instance) reconnect(srv dispatch.ServerID) {
	adr, ok := ins.view.address(srv)
	if !ok {
		return
	}
	ins.servers.Connect(srv, adr)
	ins.servers.Reconnect(srv)
}

// warn logs a request that did not get onto its session; dispatch asks again when it is overdue.
func (ins *Instance) warn(what string, err error) {
	if err != nil {
		ins.log.Warn().Err(err).Str("request", what).Msg("not sent to the backend server")
	}
}

// arm wakes the timer if something is due before what it waits for.
func (ins *Instance) arm() {
	next := earliest(ins.dsp.NextTick(), ins.limits.NextWake())
	if len(ins.unsent) > 0 {
		next = ins.now()
	}
	if next.IsZero() || (!ins.armed.IsZero() && !next.Before(ins.armed)) {
		return
	}
	ins.armed = next
	select {
	case ins.wake <- struct{}{}:
	default:
	}
}

// runTimer wakes dispatch when something is due.
func (ins *Instance) runTimer(ctx context.Context) error {
	tim := time.NewTimer(time.Hour)
	defer tim.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ins.wake:
		case <-tim.C:
			ins.decide(ins.due)
		}
		tim.Reset(ins.untilDue())
	}
}

func (ins *Instance) due(now time.Time) {
	ins.armed = time.Time{}
	if len(ins.unsent) > 0 {
		tasks := ins.unsent
		ins.unsent = nil
		ins.dsp.HandleSendFailure(now, tasks)
	}
	for _, sub := range ins.lapsed {
		if rec := ins.table.bySubmission(sub); rec != nil && rec.running() != nil {
			ins.dsp.End(now, rec.running(), reasonClaimLapsed)
		}
	}
	ins.lapsed = nil
	ins.limits.Wake(now)
	ins.dsp.HandleTick(now)
}

// earliest returns the earlier of two times, of which zero is none.
func earliest(one, two time.Time) time.Time {
	if one.IsZero() || !two.IsZero() && two.Before(one) {
		return two
	}
	return one
}

func (ins *Instance) untilDue() time.Duration {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	if ins.armed.IsZero() {
		return time.Hour
	}
	return max(0, ins.armed.Sub(ins.now()))
}

// onBackend hands what happened on a session to dispatch.
func (ins *Instance) onBackend(evt backend.Event) {
	ins.view.backendEvidence(evt)
	ins.decide(func(now time.Time) {
		switch evt.Kind {
		case backend.Up:
			ins.dsp.HandleSessionUp(now, evt.Server, evt.Report)
		case backend.Reported:
			ins.countOccupancy(&evt.Report)
			ins.dsp.HandleReport(now, evt.Report)
		case backend.Down:
			ins.sessionDown(now, evt)
		}
	})
}

// countOccupancy counts a report that says nothing but how full its backend server is.
func (ins *Instance) countOccupancy(rep *dispatch.Report) {
	if len(rep.Results)+len(rep.Refused)+len(rep.Statuses) == 0 {
		ins.metrics.Count(metrics.Occupancy, 1)
	}
}

// sessionDown tells dispatch first what is proved not to have been sent, then what is in doubt. The
// end of a session that a newer one replaced says nothing of the backend server.
func (ins *Instance) sessionDown(now time.Time, evt backend.Event) {
	if len(evt.Unsent) > 0 {
		ins.dsp.HandleSendFailure(now, evt.Unsent)
	}
	if !evt.Superseded {
		ins.dsp.HandleSessionDown(now, evt.Server, evt.Refused)
	}
}
