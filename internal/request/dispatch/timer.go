package dispatch

import "time"

// timerKind says what a timer does when it fires.
type timerKind uint8

const (
	// timerCheck checks an attempt whose answer is missing.
	timerCheck timerKind = iota
	// timerRetry requeues a refused task.
	timerRetry
	// timerDeadline ends a job that has waiting tasks at its not-after time.
	timerDeadline
	// timerRelease releases the units of limits of a lost task, once its lease has surely expired.
	timerRelease
	// timerReconnect opens the next connection to a backend server.
	timerReconnect
	// timerUnreachable loses the tasks of a backend server that stayed unreachable.
	timerUnreachable
	// timerLoan ends the expired loans of a backend server.
	timerLoan
	// timerReportExpiry ends the precedence of the free slots that a backend server reported.
	timerReportExpiry
	// timerProbe starts to probe an ejected backend server.
	timerProbe
	// timerParked tries a job again that a limit blocked.
	timerParked
	// timerWide reserves a backend server for a task of several slots.
	timerWide
	// timerBorrow makes borrowing, returning and offering be considered again: a request timed out, tasks waited
	// longer, or borrowed slots stayed idle.
	timerBorrow
)

// timer is a timed event. It may be outdated when it fires, which its handler checks.
type timer struct {
	at   time.Time
	kind timerKind
	srv  *server
	att  *attempt
	jst  *jobState
	dln  *deadline
	park *park
	// num is the session count of a backend server, or the index of a task.
	num uint64
}

// timers is a binary heap ordered by time.
type timers []timer

// push adds a timer.
func (tms *timers) push(tmr timer) {
	*tms = append(*tms, tmr)
	hep := *tms
	pos := len(hep) - 1
	for pos > 0 {
		par := (pos - 1) / 2
		if !hep[pos].at.Before(hep[par].at) {
			return
		}
		hep[pos], hep[par] = hep[par], hep[pos]
		pos = par
	}
}

// pop removes and returns the timer that is due first.
func (tms *timers) pop() timer {
	hep := *tms
	top := hep[0]
	last := len(hep) - 1
	hep[0] = hep[last]
	hep[last] = timer{}
	hep = hep[:last]
	*tms = hep
	for pos := 0; ; {
		kid := 2*pos + 1
		if kid >= last {
			return top
		}
		if kid+1 < last && hep[kid+1].at.Before(hep[kid].at) {
			kid++
		}
		if !hep[kid].at.Before(hep[pos].at) {
			return top
		}
		hep[pos], hep[kid] = hep[kid], hep[pos]
		pos = kid
	}
}
