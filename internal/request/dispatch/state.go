package dispatch

import (
	"time"

	"chestnutstack/internal/request/fault"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/order"
	"chestnutstack/internal/request/slot"
)

// jobState is a job with what the Dispatcher needs to place it. It stays until no task is in
// flight any more, also past the end of the job, so that slots and limits are given back right.
type jobState struct {
	job  *job.Job
	cls  *class
	ptn  *partner
	item order.Item[*jobState]
	park *park
	// limit is where the job parks when a limit holds it back.
	limit *park
	// pending holds the indexes of waiting tasks, the next one last.
	pending  []uint32
	counted  int
	flights  []flight
	inFlight int
	widths   []uint32
	declared time.Duration
	// cost is the estimate of one task that the backlog counts it with.
	cost time.Duration
	// deadline is the hold of the not-after time's timer, nil without one.
	deadline *deadline
	// wideTimed is set while a timer may keep a backend server for the job.
	wideTimed bool
}

// deadline is what the timer of a job's not-after time holds. Most jobs end long before, and a timer
// that held the job itself would keep all of its tasks in memory until then.
type deadline struct{ jst *jobState }

func (jst *jobState) spec() *job.Spec { return jst.job.Spec() }

// expired reports whether no task of the job may start any more.
func (jst *jobState) expired(now time.Time) bool {
	end := jst.spec().NotAfter
	return !end.IsZero() && !now.Before(end)
}

// class is what was learnt of a catalogue entry.
type class struct {
	name     string
	run      order.RunTimeEstimator
	evidence fault.Class
	waiting  int
}

// partner is a partner's retry budget and backlog.
type partner struct {
	name job.Partner
	// retries is how many retries the partner has saved up.
	retries float64
	// inUse is how many slots its tasks use, and seen when it last submitted a job.
	inUse uint32
	seen  time.Time
	// backlog is the slot time of its waiting tasks.
	backlog time.Duration
}

// flight is the way of one attempt at a task; the flights of a job are allocated once.
type flight struct {
	jst *jobState
	idx uint32
	srv *server
	// prev and next link the flights on one backend server.
	prev, next *flight
	// turn counts the attempts, so that an old entry of a list is told from a new one.
	turn     uint32
	width    uint32
	long     bool
	estimate time.Duration
	// busy is the busy period of the queue that the slot time was charged in.
	busy        uint64
	incarnation string
	lateAt      time.Time
	// asked is when the open ask or revoke was sent; askSince when the first of the attempt was.
	asked    time.Time
	askSince time.Time
	// checkAt is when the newest check is due.
	checkAt  time.Time
	refusals int
	// duplicate is set if the backend server refused the start because it has the task already.
	duplicate bool
}

func (flt *flight) task() *job.Task { return flt.jst.job.Task(flt.idx) }

// server is a backend server with its session.
type server struct {
	id          ServerID
	acct        *slot.Server
	info        Server
	incarnation string
	up          bool
	listed      bool
	// leaving is the server's own word; the list's word is in info.
	leaving bool
	heard   time.Time
	renewed time.Time
	flights *flight
	// session counts the sessions that ended, so that a timer knows whether it is stale.
	session      uint64
	reconnecting bool
	pause        time.Duration
	// refusedConns counts connections in a row that were never made.
	refusedConns int
	trustUntil   time.Time
	fault        fault.Server
	indebted     bool
}

func (srv *server) open() bool {
	return srv.up && srv.listed && !srv.leaving && !srv.info.Leaving && srv.fault.State() != fault.Ejected
}

func (srv *server) link(flt *flight) {
	flt.srv = srv
	flt.prev = nil
	flt.next = srv.flights
	if srv.flights != nil {
		srv.flights.prev = flt
	}
	srv.flights = flt
}

func (srv *server) unlink(flt *flight) {
	if flt.prev != nil {
		flt.prev.next = flt.next
	} else {
		srv.flights = flt.next
	}
	if flt.next != nil {
		flt.next.prev = flt.prev
	}
	flt.prev, flt.next, flt.srv = nil, nil, nil
}

// each calls fun for every flight on the server; fun may unlink the flight it is given.
func (srv *server) each(fun func(flt *flight)) {
	for flt := srv.flights; flt != nil; {
		nxt := flt.next
		fun(flt)
		flt = nxt
	}
}

// peer is what is believed of another entry instance.
type peer struct {
	id    PeerID
	local bool
	// free is how many slots it had idle at that time; it is not known if the time is zero.
	free   uint32
	freeAt time.Time
	// pause is the first back-off, by the style of the last request; misses counts the requests
	// in a row that brought nothing.
	pause  time.Duration
	misses int
	// notBefore is when it may be asked again.
	notBefore time.Time
	// asked is when the open request was sent, and want what it asked for.
	asked time.Time
	want  uint32
	// owed is what it asked for beyond what was idle; the request stands until owedUntil.
	owed      uint32
	owedUntil time.Time
	offered   time.Time
	// runTime is that of the tasks it has waiting, and style how it asked.
	runTime time.Duration
	style   *LoanPolicy
}
