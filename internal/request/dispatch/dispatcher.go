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

// Dispatcher decides for one entry instance. It is not safe for concurrent use.
type Dispatcher struct {
	cfg Config
	lim Limits
	rnd *rand.Rand
	act Actions

	pool  *slot.Pool
	queue *order.Queue[*jobState]
	parks map[parkKey]*park
	// shapeParks holds the parks that wait for slots rather than limits.
	shapeParks []*park
	jobs       map[job.SubmissionID]*jobState
	classes    map[string]*class
	partners   map[job.Partner]*partner
	servers    map[ServerID]*server
	// listing holds the servers in a stable order, since maps are walked in a random one.
	listing  []*server
	peers    []*peer
	detector *fault.Detector
	timers   timers
	young    youngFlights

	// queued counts the tasks that only wait for a slot.
	queued int
	// waiting counts these and the parked ones.
	waiting int
	// longInUse counts the slots that long tasks use.
	longInUse uint32
	// drain is how many own tasks end a second, by estimate.
	drain float64
	// meanRun is the average run time of all tasks.
	meanRun time.Duration
	// loanFor is the present bound of the length of loans.
	loanFor time.Duration
	// peerFree is how many slots a peer has free on average, by what grants told.
	peerFree float64
	// asking is how many slots peers are asked for at present, and askAfter the earliest time at
	// which a peer may be asked again if none may be now.
	asking   uint32
	askAfter time.Time
	// owedUntil is how long the last request stands that a peer's need is not met.
	owedUntil time.Time
	debts     []*server
	held      *server
	heldFor   *jobState
	borrowAt  time.Time
	// idleSince is when the last waiting task found a slot.
	idleSince time.Time
	leaving   bool
	stats     Stats
}

// New returns a Dispatcher that knows no backend servers and no peers.
func New(cfg Config, lim Limits, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		lim:      lim,
		rnd:      rnd,
		pool:     slot.New(rnd),
		queue:    order.NewQueue[*jobState](cfg.Ageing),
		parks:    map[parkKey]*park{},
		jobs:     map[job.SubmissionID]*jobState{},
		classes:  map[string]*class{},
		partners: map[job.Partner]*partner{},
		servers:  map[ServerID]*server{},
		detector: fault.New(cfg.Fault),
		meanRun:  cfg.DefaultRunTime,
		loanFor:  cfg.Loan.MaxDuration,
	}
}

// Actions returns what is to be done since the last Reset. Stops are in the order of the backend
// servers, so that a wave of cancels becomes one message to each.
func (dsp *Dispatcher) Actions() *Actions {
	if len(dsp.act.Stops) > 1 {
		slices.SortStableFunc(dsp.act.Stops, func(one, two ServerTask) int {
			return strings.Compare(string(one.Server), string(two.Server))
		})
	}
	return &dsp.act
}

// HandleTick does what is due.
func (dsp *Dispatcher) HandleTick(now time.Time) {
	dsp.enter(now)
	dsp.advance(now)
}

// NextTick returns when Wake is to be called, or the zero time if nothing is due.
func (dsp *Dispatcher) NextTick() time.Time {
	var due time.Time
	if len(dsp.timers) > 0 {
		due = dsp.timers[0].at
	}
	if fst, ok := dsp.young.first(); ok && (due.IsZero() || fst.Before(due)) {
		due = fst
	}
	return due
}

// Drain starts a planned stop: new jobs are refused, jobs in progress go on to their ends, and
// loans go back.
func (dsp *Dispatcher) Drain(now time.Time) {
	dsp.enter(now)
	dsp.leaving = true
	dsp.advance(now)
}

// Idle reports whether no job is in progress.
func (dsp *Dispatcher) Idle() bool { return len(dsp.jobs) == 0 }

// enter does what fell due before an event.
//
// A process that was paused for longer than a lease wakes up with a view that no longer holds:
// its tasks were ended, its backend servers may have another home. It shows as a timer that fires
// that much too late; all sessions are then made anew, which asks for every task before anything
// is started or renewed.
func (dsp *Dispatcher) enter(now time.Time) {
	if due := dsp.NextTick(); !due.IsZero() && now.Sub(due) > dsp.cfg.Lease {
		dsp.stats.Pauses++
		for _, srv := range dsp.listing {
			if srv.up {
				dsp.endSession(now, srv)
			}
		}
	}
	for {
		fst, ok := dsp.young.first()
		if !ok || fst.After(now) {
			break
		}
		dsp.grown(now, dsp.young.pop())
	}
	for len(dsp.timers) > 0 && !dsp.timers[0].at.After(now) {
		dsp.fire(now, dsp.timers.pop())
	}
}

// advance draws the conclusions of an event.
func (dsp *Dispatcher) advance(now time.Time) {
	dsp.place(now)
	dsp.borrow(now)
}

func (dsp *Dispatcher) fire(now time.Time, tmr timer) {
	switch tmr.kind {
	case timerCheck:
		dsp.checkDue(now, tmr.flt, tmr.at)
	case timerRetry:
		dsp.retryDue(tmr.jst, uint32(tmr.num))
	case timerDeadline:
		dsp.deadlineDue(now, tmr.dln)
	case timerRelease:
		dsp.lim.Release(now, tmr.jst.spec().Class, tmr.jst.spec().Team)
		dsp.unparkOne(tmr.jst.limit)
	case timerReconnect:
		dsp.reconnectDue(now, tmr.srv)
	case timerGiveUp:
		dsp.giveUpDue(now, tmr.srv, tmr.num)
	case timerLoan:
		dsp.pool.Expire(tmr.srv.acct, now)
	case timerTrust:
		dsp.trustDue(now, tmr.srv)
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

func (dsp *Dispatcher) classOf(name string) *class {
	cls := dsp.classes[name]
	if cls == nil {
		cls = &class{name: name}
		dsp.classes[name] = cls
	}
	return cls
}

func (dsp *Dispatcher) partnerOf(name job.Partner) *partner {
	ptn := dsp.partners[name]
	if ptn == nil {
		ptn = &partner{name: name, retries: dsp.cfg.RetryBurst}
		dsp.partners[name] = ptn
	}
	return ptn
}

// estimate returns the expected run time of a job's task.
func (dsp *Dispatcher) estimate(jst *jobState) time.Duration {
	fallback := jst.spec().Class.RunTime
	if fallback <= 0 {
		fallback = dsp.cfg.DefaultRunTime
	}
	return jst.cls.run.Estimate(jst.declared, fallback)
}

// find returns the flight that a backend server's word is about, or nil if the word is late,
// doubled or crossed.
func (dsp *Dispatcher) find(srv *server, tid job.TaskID) *flight {
	jst := dsp.jobs[tid.Submission()]
	if jst == nil || int(tid.Index()) >= len(jst.flights) {
		return nil
	}
	flt := &jst.flights[tid.Index()]
	if flt.srv != srv || !flt.task().Current(tid) {
		return nil
	}
	return flt
}
