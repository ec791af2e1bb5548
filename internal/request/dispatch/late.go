package dispatch

import "time"

// recentExpired checks an attempt that has reached the age of Config.AnswerTimeout.
func (dsp *Dispatcher) recentExpired(now time.Time, att *attempt) { dsp.checkAttempt(now, att) }

// checkDue checks an attempt, unless a later timer replaced the one that fired.
func (dsp *Dispatcher) checkDue(now time.Time, att *attempt, at time.Time) {
	if att.srv != nil && att.checkAt.Equal(at) {
		dsp.checkAttempt(now, att)
	}
}

// checkAttempt queries an attempt whose answer is late, renews its lease, and opens a new connection if a query
// stays unanswered.
func (dsp *Dispatcher) checkAttempt(now time.Time, att *attempt) {
	srv := att.srv
	if !srv.up {
		// The next session queries the task; timerUnreachable loses it if there is none.
		return
	}
	if !att.firstQueriedAt.IsZero() && now.Sub(att.firstQueriedAt) >= dsp.cfg.UnreachableTimeout {
		dsp.loseTask(now, att, "backend-server-silent")
		return
	}
	if !att.queriedAt.IsZero() && now.Sub(att.queriedAt) >= dsp.cfg.QueryTimeout {
		dsp.endSession(now, srv)
		return
	}
	if att.queriedAt.IsZero() && !now.Before(att.lateAt) {
		if !dsp.heardRecently(now, att) {
			dsp.query(now, att)
			return
		}
		att.lateAt = srv.heard.Add(dsp.cfg.AnswerTimeout)
	}
	dsp.renew(now, att)
	dsp.scheduleCheck(now, att)
}

// heardRecently reports whether the backend server was heard since the start and within AnswerTimeout, so that the
// task is slow rather than lost: TCP can't lose one task's answer on a session and deliver later messages of the
// same session. It holds only up to half of a lease after the start, in case the backend server itself has lost
// the task.
func (dsp *Dispatcher) heardRecently(now time.Time, att *attempt) bool {
	if now.Sub(att.task().SentAt()) >= dsp.cfg.Lease/2 {
		return false
	}
	heard := att.srv.heard
	return heard.After(att.task().SentAt()) && now.Sub(heard) < dsp.cfg.AnswerTimeout
}

// query asks the backend server for the status of a task whose answer is late, if the session is up.
func (dsp *Dispatcher) query(now time.Time, att *attempt) {
	if att.srv.up {
		dsp.sendQuery(now, att)
	}
}

// sendQuery queries the status of the task, on a session that is up.
func (dsp *Dispatcher) sendQuery(now time.Time, att *attempt) {
	if !att.task().MarkQuerying() {
		return
	}
	dsp.act.Queries = append(dsp.act.Queries, ServerTask{Server: att.srv.id, Task: att.task().ID()})
	dsp.stats.Queries++
	att.queriedAt = now
	if att.firstQueriedAt.IsZero() {
		att.firstQueriedAt = now
	}
	dsp.scheduleCheck(now, att)
}

// renew renews the leases of all tasks on the backend server with one message, if half a lease has passed since
// the start and the last renewal. So a task that ends within half a lease costs no renewal.
func (dsp *Dispatcher) renew(now time.Time, att *attempt) {
	if now.Before(dsp.renewAt(att)) {
		return
	}
	srv := att.srv
	srv.renewed = now
	dsp.act.Renewals = append(dsp.act.Renewals, srv.id)
	dsp.stats.Renewals++
}

// renewAt returns when the lease of the attempt is to be renewed: half a lease after its start or the last
// renewal.
func (dsp *Dispatcher) renewAt(att *attempt) time.Time {
	last := att.task().SentAt()
	if att.srv.renewed.After(last) {
		last = att.srv.renewed
	}
	return last.Add(dsp.cfg.Lease / 2)
}

// scheduleCheck sets the timer for the next check of an attempt.
func (dsp *Dispatcher) scheduleCheck(now time.Time, att *attempt) {
	due := dsp.renewAt(att)
	next := att.lateAt
	if !att.queriedAt.IsZero() {
		next = att.queriedAt.Add(dsp.cfg.QueryTimeout)
	}
	if next.Before(due) {
		due = next
	}
	if !due.After(now) {
		due = now.Add(time.Millisecond)
	}
	att.checkAt = due
	dsp.timers.push(timer{at: due, kind: timerCheck, att: att})
}
