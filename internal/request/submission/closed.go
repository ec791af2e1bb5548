package submission

import (
	"maps"
	"time"
)

// HandleClosedDomains sets the failure domains that are closed to new work: no tasks are ordered from their shards, whose leaders return
// the orders that wait there.
//
// Operators may close failure domains to empty them, even all at once. Callers whose jobs then can't start anywhere are refused at once
// with NotRun and a time to retry, rather than left to time out.
func (crd *Coordinator) HandleClosedDomains(now time.Time, domains []string) []Action {
	crd.now = now
	old := crd.closedDomains
	crd.closedDomains = make(map[string]bool, len(domains))
	for _, dom := range domains {
		crd.closedDomains[dom] = true
	}
	if maps.Equal(old, crd.closedDomains) {
		return crd.takeActions()
	}
	for _, viw := range crd.shards {
		viw.closed = crd.closedDomains[viw.domain]
		if old[viw.domain] && !viw.closed {
			viw.load.Closed = false // Its leader's next load report may take a second.
		}
	}
	crd.orderAllReady()
	crd.refuseClosed()
	return crd.takeActions()
}

// allClosed reports whether shards are known and all lie in closed failure domains.
func (crd *Coordinator) allClosed() bool {
	for _, viw := range crd.shards {
		if !viw.domainClosed() {
			return false
		}
	}
	return len(crd.shards) > 0
}

// refuseClosed answers the jobs of which nothing can have run, if all failure domains are closed.
func (crd *Coordinator) refuseClosed() {
	if !crd.allClosed() {
		return
	}
	for _, jb := range crd.jobsByArrival() {
		if !jb.mayHaveRun() {
			crd.answer(jb, crd.closedAnswer(jb))
		}
	}
}

// closedAnswer returns the answer to callers while all failure domains are closed. It is unknown when they open again, so the retry time
// is the least one, spread.
func (crd *Coordinator) closedAnswer(jb *job) Answer {
	return Answer{Result: NotRun, RetryAfter: crd.retryAfter(jb, crd.cfg.RetryAfter), Reason: "all failure domains are closed"}
}
