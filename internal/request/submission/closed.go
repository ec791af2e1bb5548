package submission

import (
	"maps"
	"time"
)

// HandleClosedDomains tells the desk which failure domains are closed to new work: their room counts no more, and their leaders give back what
// waits there.
//
// It answers operators who empty failure domains, all of them even: callers whose jobs can start nowhere hear so at once, truthfully
// and with a time to come back.
func (dsk *Coordinator) HandleClosedDomains(now time.Time, domains []string) []Action {
	dsk.now = now
	was := dsk.closed
	dsk.closed = make(map[string]bool, len(domains))
	for _, dom := range domains {
		dsk.closed[dom] = true
	}
	if maps.Equal(was, dsk.closed) {
		return dsk.take()
	}
	for _, viw := range dsk.shards {
		viw.closed = dsk.closed[viw.domain]
		if was[viw.domain] && !viw.closed {
			viw.load.Closed = false // The next word of its leader may be a second away.
		}
	}
	dsk.advanceAll()
	dsk.refuseClosed()
	return dsk.take()
}

// allClosed reports whether every shard that is known lies in a closed failure domain.
func (dsk *Coordinator) allClosed() bool {
	for _, viw := range dsk.shards {
		if !viw.shut() {
			return false
		}
	}
	return len(dsk.shards) > 0
}

// refuseClosed answers the jobs that can start nowhere and of which nothing has begun.
func (dsk *Coordinator) refuseClosed() {
	if !dsk.allClosed() {
		return
	}
	for _, jb := range dsk.inOrder() {
		if !jb.maybeRun() {
			dsk.answer(jb, dsk.closedAnswer(jb))
		}
	}
}

// closedAnswer is what callers are told while all failure domains are closed. Nobody knows when they open again; the time to come back
// is the least one, spread.
func (dsk *Coordinator) closedAnswer(jb *job) Answer {
	return Answer{Result: NotRun, RetryAfter: dsk.comeBack(jb, dsk.cfg.RetryAfter), Reason: "all failure domains are closed"}
}
