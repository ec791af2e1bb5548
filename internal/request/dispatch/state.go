package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/order"
	"chestnutstack/internal/request/slot"
)

// jobState is a job with the state for its scheduling. It is kept until the job has ended and none of its tasks is
// in flight any more, so that their slots and units of limits are given back.
type jobState struct {
	job  *job.Job
	cls  *class
	ptn  *partner
	item order.Item[*jobState]
	park *park
	// limitPark is the park for the job's catalogue entry and team, which the job is moved to when a limit blocks it.
	limitPark *park
	// pending holds the indexes of the waiting tasks; the last one is sent next.
	pending []uint32
	// countedWaiting is how many tasks of the job the counts of waiting tasks include.
	countedWaiting int
	// attempts has one entry for each task; inFlight counts those that are on a backend server.
	attempts []attempt
	inFlight int
	// widths is how many slots a task takes on backend servers of each shape; 0 where it never fits.
	widths []uint32
	// declared is the average of the expected run times that the submission declares for its tasks.
	declared time.Duration
	// cost is the estimated run time of one task with which it counts in the partner's backlog.
	cost time.Duration
	// deadline is referenced by the timer of the not-after time; nil while there is no such timer.
	deadline *deadline
	// wideTimerSet is true while a timerWide is set for the job.
	wideTimerSet bool
}

// deadline is the reference from the timer of a not-after time to its job; jst is set to nil when the job is
// forgotten. Most jobs end long before that time, and a timer that referenced the job itself would keep all of its
// tasks in memory until then.
type deadline struct{ jst *jobState }

// spec returns the specification of the job.
func (jst *jobState) spec() *job.Spec { return jst.job.Spec() }

// expired reports whether the job's not-after time has passed, so that no task of it may start any more.
func (jst *jobState) expired(now time.Time) bool {
	end := jst.spec().NotAfter
	return !end.IsZero() && !now.Before(end)
}

// class holds the estimates and counts of a catalogue entry.
type class struct {
	name     string
	run      order.RunTimeEstimator
	evidence fault.EntryRate
	waiting  int
}

// partner holds the retry budget, the slots in use and the backlog of a partner.
type partner struct {
	name job.Partner
	// retries is the retry budget that is left.
	retries float64
	// inUse is how many slots the partner's tasks use; seen is when the partner last submitted a job.
	inUse uint32
	seen  time.Time
	// backlog is the estimated run time of the partner's waiting tasks, summed.
	backlog time.Duration
}

// attempt is the state of the current attempt at a task. The attempts of a job are allocated once, one for each
// task, and reused for retries.
type attempt struct {
	jst *jobState
	idx uint32
	// srv is the backend server that the task was sent to; nil while the attempt isn't in flight.
	srv *server
	// prev and next form the list of the attempts on one backend server.
	prev, next *attempt
	// number counts the attempts at the task, so that an outdated entry of recentAttempts is recognised.
	number uint32
	// width is how many slots the attempt takes, long whether it counts as a long task.
	width uint32
	long  bool
	// estimate is the estimated run time at the start.
	estimate time.Duration
	// busyPeriod is the busy period of the queue in which the estimated run time was charged to the partner.
	busyPeriod uint64
	// incarnation is that of the backend server at the start.
	incarnation string
	// lateAt is from when on a missing answer counts as late.
	lateAt time.Time
	// queriedAt is when the unanswered query or revoke was sent; firstQueriedAt is when the first query of the
	// attempt was sent.
	queriedAt      time.Time
	firstQueriedAt time.Time
	// checkAt is when the latest timerCheck is due; earlier ones are outdated.
	checkAt time.Time
	// refusals counts the refused starts of the task.
	refusals int
	// duplicate is true if the backend server refused the start because it has the task already.
	duplicate bool
}

// task returns the task of the attempt.
func (att *attempt) task() *job.Task { return att.jst.job.Task(att.idx) }

// server is the state of a backend server and of the session to it.
type server struct {
	id   ServerID
	acct *slot.Server
	// info is the description from the list, with the number of slots that the server last reported.
	info        Server
	incarnation string
	// up is true while there is a session, listed while the server is in the list.
	up     bool
	listed bool
	// leaving is as in the server's last report; info.Leaving is as in the list.
	leaving bool
	// heard is when the last report arrived, renewed when the last renewal was sent.
	heard   time.Time
	renewed time.Time
	// attempts is the first of the attempts in flight on the server; nil if there is none.
	attempts *attempt
	// session counts the ended sessions, so that a timerUnreachable of an earlier one is recognised.
	session uint64
	// reconnecting is true while a timerReconnect is set; pause is the delay it was set with, before jitter.
	reconnecting bool
	pause        time.Duration
	// refusedConns counts the refused connections since the last session.
	refusedConns int
	// reportValidUntil is until when the reported free slots take precedence; zero if they do not.
	reportValidUntil time.Time
	fault            fault.Server
	// inBorrowed is true if the server is in Dispatcher.borrowedServers.
	inBorrowed bool
}

// open reports whether new tasks may be started on the server.
func (srv *server) open() bool {
	return srv.up && srv.listed && !srv.leaving && !srv.info.Leaving && srv.fault.State() != fault.Ejected
}

// link adds an attempt to those on the server.
func (srv *server) link(att *attempt) {
	att.srv = srv
	att.prev = nil
	att.next = srv.attempts
	if srv.attempts != nil {
		srv.attempts.prev = att
	}
	srv.attempts = att
}

// unlink removes an attempt from those on the server.
func (srv *server) unlink(att *attempt) {
	if att.prev != nil {
		att.prev.next = att.next
	} else {
		srv.attempts = att.next
	}
	if att.next != nil {
		att.next.prev = att.prev
	}
	att.prev, att.next, att.srv = nil, nil, nil
}

// each calls fun for every attempt on the server; fun may unlink the attempt that it is given.
func (srv *server) each(fun func(att *attempt)) {
	for att := srv.attempts; att != nil; {
		nxt := att.next
		fun(att)
		att = nxt
	}
}

// peer is another entry instance, as far as its messages tell.
type peer struct {
	id    PeerID
	local bool
	// free is how many slots the peer could lend at freeAt; not known if freeAt is zero.
	free   uint32
	freeAt time.Time
	// pause is the back-off of the policy of the last request; emptyReplies counts the requests in a row that
	// brought no slots.
	pause        time.Duration
	emptyReplies int
	// notBefore is when the peer may be asked for slots again.
	notBefore time.Time
	// requestedAt is when the open request was sent, zero if none is open; requested is how many slots it asked
	// for.
	requestedAt time.Time
	requested   uint32
	// unmet is how many slots the peer's request asked for beyond those lent; the request stays open until
	// unmetUntil.
	unmet      uint32
	unmetUntil time.Time
	// offeredAt is when the last offer was made to the peer.
	offeredAt time.Time
	// runTime is the run time of the peer's waiting tasks; policy is the one that its last request implies.
	runTime time.Duration
	policy  *LoanPolicy
}
