package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
)

// judge adds a task's outcome to the evidence on its backend server and its catalogue entry.
func (dsp *Dispatcher) judge(now time.Time, srv *server, flt *flight, out Outcome) {
	changed := false
	switch out {
	case OutcomeOK:
		changed = dsp.detector.HandleSuccess(&srv.fault, &flt.jst.cls.evidence)
	case OutcomeFailed:
		sub := string(flt.jst.spec().Submission)
		changed = dsp.detector.HandleFailure(now, &srv.fault, sub, &flt.jst.cls.evidence)
	default:
		// A stopped task says nothing of either.
		return
	}
	if changed {
		dsp.trusted(srv)
	}
}

// trusted acts on a change of trust.
func (dsp *Dispatcher) trusted(srv *server) {
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

func (dsp *Dispatcher) probeDue(now time.Time, srv *server) {
	if dsp.detector.StartProbe(now, &srv.fault) {
		dsp.trusted(srv)
	}
}
