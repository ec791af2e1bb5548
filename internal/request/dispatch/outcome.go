package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
)

// recordOutcome adds the outcome of a task to the fault statistics of its backend server and its catalogue entry.
func (dsp *Dispatcher) recordOutcome(now time.Time, srv *server, att *attempt, out Outcome) {
	changed := false
	switch out {
	case OutcomeOK:
		changed = dsp.detector.HandleSuccess(&srv.fault, &att.jst.cls.evidence)
	case OutcomeFailed:
		sub := string(att.jst.spec().Submission)
		changed = dsp.detector.HandleFailure(now, &srv.fault, sub, &att.jst.cls.evidence)
	default:
		// A stopped task is no evidence about the server or the catalogue entry.
		return
	}
	if changed {
		dsp.applyFaultState(srv)
	}
}

// applyFaultState applies a new fault state of a backend server: an ejected one gets no tasks until it is probed,
// and a probed one gets one slot's worth at a time.
func (dsp *Dispatcher) applyFaultState(srv *server) {
	var ceiling uint32
	switch srv.fault.State() {
	case fault.Ejected:
		dsp.stats.Ejections++
		dsp.timers.push(timer{at: srv.fault.ProbeAt(), kind: timerProbe, srv: srv})
	case fault.Probing:
		ceiling = 1
	default:
	}
	dsp.pool.SetMaxInUse(srv.acct, ceiling)
	dsp.setOpen(srv)
}

// probeDue starts to probe an ejected backend server.
func (dsp *Dispatcher) probeDue(now time.Time, srv *server) {
	if dsp.detector.StartProbe(now, &srv.fault) {
		dsp.applyFaultState(srv)
	}
}
