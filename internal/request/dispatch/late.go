package dispatch

import "time"

// grown takes over a flight that outlived Config.Patience.
func (dsp *Dispatcher) grown(now time.Time, flt *flight) { dsp.check(now, flt) }

// checkDue drops timers that a newer one replaced.
func (dsp *Dispatcher) checkDue(now time.Time, flt *flight, at time.Time) {
	if flt.srv != nil && flt.checkAt.Equal(at) {
		dsp.check(now, flt)
	}
}

// check does what is due for a flight that takes long: asks when the answer is late, moves the end
// of its lease, and makes a fresh connection when an ask stays without a reply.
func (dsp *Dispatcher) check(now time.Time, flt *flight) {
	srv := flt.srv
	if !srv.up {
		// The next session asks; the timer of the lost one gives up.
		return
	}
	if !flt.askSince.IsZero() && now.Sub(flt.askSince) >= dsp.cfg.UnreachableTimeout {
		dsp.lose(now, flt, "backend-server-silent")
		return
	}
	if !flt.asked.IsZero() && now.Sub(flt.asked) >= dsp.cfg.QueryTimeout {
		dsp.endSession(now, srv)
		return
	}
	if flt.asked.IsZero() && !now.Before(flt.lateAt) {
		if !dsp.alive(now, flt) {
			dsp.ask(now, flt)
			return
		}
		flt.lateAt = srv.heard.Add(dsp.cfg.AnswerTimeout)
	}
	dsp.renew(now, flt)
	dsp.watch(now, flt)
}

// alive reports whether the backend server was heard a moment ago on the session that the answer has to
// come by, so that the task is slow and not lost: a connection that forgets one task's answer and
// delivers others' does not exist over TCP. It counts only up to half of a lease, in case the backend
// server itself has lost the task.
func (dsp *Dispatcher) alive(now time.Time, flt *flight) bool {
	if now.Sub(flt.task().SentAt()) >= dsp.cfg.Lease/2 {
		return false
	}
	heard := flt.srv.heard
	return heard.After(flt.task().SentAt()) && now.Sub(heard) < dsp.cfg.AnswerTimeout
}

// ask asks what became of a task whose answer is late.
func (dsp *Dispatcher) ask(now time.Time, flt *flight) {
	if flt.srv.up {
		dsp.askOn(now, flt)
	}
}

func (dsp *Dispatcher) askOn(now time.Time, flt *flight) {
	if !flt.task().MarkQuerying() {
		return
	}
	dsp.act.Queries = append(dsp.act.Queries, ServerTask{Server: flt.srv.id, Task: flt.task().ID()})
	dsp.stats.Queries++
	flt.asked = now
	if flt.askSince.IsZero() {
		flt.askSince = now
	}
	dsp.watch(now, flt)
}

// renew sends one message for all tasks on a backend server, and none for tasks that end within
// half a lease.
func (dsp *Dispatcher) renew(now time.Time, flt *flight) {
	if now.Before(dsp.renewAt(flt)) {
		return
	}
	srv := flt.srv
	srv.renewed = now
	dsp.act.Renewals = append(dsp.act.Renewals, srv.id)
	dsp.stats.Renewals++
}

func (dsp *Dispatcher) renewAt(flt *flight) time.Time {
	last := flt.task().SentAt()
	if flt.srv.renewed.After(last) {
		last = flt.srv.renewed
	}
	return last.Add(dsp.cfg.Lease / 2)
}

// watch sets the timer for the next check of a flight.
func (dsp *Dispatcher) watch(now time.Time, flt *flight) {
	due := dsp.renewAt(flt)
	next := flt.lateAt
	if !flt.asked.IsZero() {
		next = flt.asked.Add(dsp.cfg.QueryTimeout)
	}
	if next.Before(due) {
		due = next
	}
	if !due.After(now) {
		due = now.Add(time.Millisecond)
	}
	flt.checkAt = due
	dsp.timers.push(timer{at: due, kind: timerCheck, flt: flt})
}
