package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/request/fault"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/order"
	"chestnutstack/internal/request/slot"
)

// Dispatcher is the scheduler of one entry instance. It is not safe for concurrent use.
type Dispatcher struct {
	cfg Config
	lim Limits
	rnd *rand.Rand
	act Actions

	pool  *slot.Pool
	queue *order.Queue[*jobState]
	// parks holds the parks by reason and by what blocks their jobs.
	parks map[parkKey]*park
	// shapeParks holds the parks whose jobs wait for slots rather than for units of limits.
	shapeParks []*park
	jobs       map[job.SubmissionID]*jobState
	classes    map[string]*class
	partners   map[job.Partner]*partner
	servers    map[ServerID]*server
	// serverList holds the values of servers in a fixed order, since the iteration order of a map is random.
	serverList []*server
	peers      []*peer
	detector   *fault.Detector
	timers     timers
	recent     recentAttempts

	// queued counts the tasks that wait only for a free slot.
	queued int
	// waiting counts the queued tasks and the parked ones.
	waiting int
	// longInUse counts the slots that long tasks use.
	longInUse uint32
	// completionRate is the estimated number of this instance's tasks that end per second.
	completionRate float64
	// meanRunTime is the moving average of the run times of all tasks.
	meanRunTime time.Duration
	// maxLoan is the current upper bound of the duration of a loan.
	maxLoan time.Duration
	// peerFree is the moving average of the free slots of a peer, from the grants received.
	peerFree float64
	// requestedSlots is how many slots the open requests to peers ask for. requestAfter is the earliest time at
	// which a peer may be asked again, set when no peer may be asked now.
	requestedSlots uint32
	requestAfter   time.Time
	// unmetUntil is the latest time until which a peer's request for more slots than were idle stays open.
	unmetUntil time.Time
	// borrowedServers lists the backend servers on which slots are borrowed.
	borrowedServers []*server
	// reserved is the backend server that is kept for the wide job reservedFor; both are nil if there is none.
	reserved    *server
	reservedFor *jobState
	// borrowAt is when the earliest timerBorrow is due; zero if none is set.
	borrowAt time.Time
	// idleSince is since when borrowed slots have been unused; zero while none are.
	idleSince time.Time
	// draining is true after Drain.
	draining bool
	stats    Stats
}

// New returns a Dispatcher without backend servers and peers; SetMembership adds them.
func New(cfg Config, lim Limits, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		cfg:         cfg,
		lim:         lim,
		rnd:         rnd,
		pool:        slot.New(rnd),
		queue:       order.NewQueue[*jobState](cfg.Ageing),
		parks:       map[parkKey]*park{},
		jobs:        map[job.SubmissionID]*jobState{},
		classes:     map[string]*class{},
		partners:    map[job.Partner]*partner{},
		servers:     map[ServerID]*server{},
		detector:    fault.New(cfg.Fault),
		meanRunTime: cfg.DefaultRunTime,
		maxLoan:     cfg.Loan.MaxDuration,
	}
}

// Actions returns the actions collected since the last Reset. Stops are sorted by backend server, so that the
// stops of many cancelled jobs fit into one message to each server.
func (dsp *Dispatcher) Actions() *Actions {
	if len(dsp.act.Stops) > 1 {
		slices.SortStableFunc(dsp.act.Stops, func(one, two ServerTask) int {
			return strings.Compare(string(one.Server), string(two.Server))
		})
	}
	return &dsp.act
}

// HandleTick runs the timers that are due; it is called at the time that NextTick returns.
func (dsp *Dispatcher) HandleTick(now time.Time) {
	dsp.beginEvent(now)
	dsp.endEvent(now)
}

// NextTick returns when HandleTick is to be called, or the zero time if no timer is set.
func (dsp *Dispatcher) NextTick() time.Time {
	var due time.Time
	if len(dsp.timers) > 0 {
		due = dsp.timers[0].at
	}
	if fst, ok := dsp.recent.first(); ok && (due.IsZero() || fst.Before(due)) {
		due = fst
	}
	return due
}

// Drain begins a planned shutdown: new jobs are refused, jobs in progress are finished, and unused borrowed slots
// are given back.
func (dsp *Dispatcher) Drain(now time.Time) {
	dsp.beginEvent(now)
	dsp.draining = true
	dsp.endEvent(now)
}

// Idle reports whether no job is in progress and no task of an ended job is still in flight.
func (dsp *Dispatcher) Idle() bool { return len(dsp.jobs) == 0 }

// beginEvent runs the timers that are due by the time of an event, before the event itself is handled.
//
// After a pause of the process that is longer than a lease, the state here is stale: the backend servers have
// ended the tasks, and may have been assigned to another instance. Such a pause is detected by a timer that fires
// later than its due time by more than a lease. Then all sessions are opened anew, and each task is queried before
// anything is started or renewed.
func (dsp *Dispatcher) beginEvent(now time.Time) {
	if due := dsp.NextTick(); !due.IsZero() && now.Sub(due) > dsp.cfg.Lease {
		dsp.stats.Pauses++
		for _, srv := range dsp.serverList {
			if srv.up {
				dsp.endSession(now, srv)
			}
		}
	}
	for {
		fst, ok := dsp.recent.first()
		if !ok || fst.After(now) {
			break
		}
		dsp.recentExpired(now, dsp.recent.pop())
	}
	for len(dsp.timers) > 0 && !dsp.timers[0].at.After(now) {
		dsp.runTimer(now, dsp.timers.pop())
	}
}

// endEvent starts tasks and borrows or returns slots as the new state allows, after an event has been handled.
func (dsp *Dispatcher) endEvent(now time.Time) {
	dsp.startWaiting(now)
	dsp.borrowSlots(now)
}

// runTimer calls the handler of a timer that is due.
func (dsp *Dispatcher) runTimer(now time.Time, tmr timer) {
	switch tmr.kind {
	case timerCheck:
		dsp.checkDue(now, tmr.att, tmr.at)
	case timerRetry:
		dsp.retryDue(tmr.jst, uint32(tmr.num))
	case timerDeadline:
		dsp.deadlineDue(now, tmr.dln)
	case timerRelease:
		dsp.lim.Release(now, tmr.jst.spec().Class, tmr.jst.spec().Team)
		dsp.unparkOne(tmr.jst.limitPark)
	case timerReconnect:
		dsp.reconnectDue(now, tmr.srv)
	case timerUnreachable:
		dsp.unreachableDue(now, tmr.srv, tmr.num)
	case timerLoan:
		dsp.pool.Expire(tmr.srv.acct, now)
	case timerReportExpiry:
		dsp.reportExpired(now, tmr.srv)
	case timerProbe:
		dsp.probeDue(now, tmr.srv)
	case timerParked:
		dsp.parkedDue(now, tmr.park)
	case timerWide:
		dsp.wideDue(now, tmr.jst)
	case timerBorrow:
		if tmr.at.Equal(dsp.borrowAt) {
			dsp.borrowAt = time.Time{}
		}
	}
}

// classOf returns the state of a catalogue entry and creates it if necessary.
func (dsp *Dispatcher) classOf(name string) *class {
	cls := dsp.classes[name]
	if cls == nil {
		cls = &class{name: name}
		dsp.classes[name] = cls
	}
	return cls
}

// partnerOf returns the state of a partner and creates it, with a full retry budget, if necessary.
func (dsp *Dispatcher) partnerOf(name job.Partner) *partner {
	ptn := dsp.partners[name]
	if ptn == nil {
		ptn = &partner{name: name, retries: dsp.cfg.RetryBurst}
		dsp.partners[name] = ptn
	}
	return ptn
}

// estimate returns the expected run time of a task of the job.
func (dsp *Dispatcher) estimate(jst *jobState) time.Duration {
	fallback := jst.spec().Class.RunTime
	if fallback <= 0 {
		fallback = dsp.cfg.DefaultRunTime
	}
	return jst.cls.run.Estimate(jst.declared, fallback)
}

// attemptOf returns the attempt that a message from the backend server refers to, or nil if the message is late, a
// duplicate, or about an attempt that a newer one has replaced.
func (dsp *Dispatcher) attemptOf(srv *server, tid job.TaskID) *attempt {
	jst := dsp.jobs[tid.Submission()]
	if jst == nil || int(tid.Index()) >= len(jst.attempts) {
		return nil
	}
	att := &jst.attempts[tid.Index()]
	if att.srv != srv || !att.task().Current(tid) {
		return nil
	}
	return att
}
