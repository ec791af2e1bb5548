package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/request/dispatch"
)

var (
	errShut      = errors.New("link closed")
	errRestarted = errors.New("backend server restarted")
)

// link is the way to one backend server: at most one current session, and older ones that are still
// read.
type link struct {
	pol     *Pool
	server  dispatch.ServerID
	address string
	redial  chan struct{}

	mu sync.Mutex
	// Ends run; nil before run has begun.
	cancel  context.CancelCauseFunc
	box     outbox
	current *session
	// The session that current took the place of.
	older *session
	// What the current session last told of the backend server itself; no results.
	state  dispatch.Report
	isShut bool
}

func newLink(pol *Pool, srv dispatch.ServerID, address string) *link {
	return &link{
		pol:     pol,
		server:  srv,
		address: address,
		redial:  make(chan struct{}, 1),
	}
}

func (lnk *link) enqueue(add func(*outbox) bool) error {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.current == nil || lnk.isShut {
		return errNoSession
	}
	if !add(&lnk.box) {
		return errQueueFull
	}
	signal(lnk.current.wake)
	return nil
}

func (lnk *link) shut() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.isShut = true
	if lnk.cancel != nil {
		lnk.cancel(errShut)
	}
}

// begin lets shut end run; it reports false if the link was shut before.
func (lnk *link) begin(cancel context.CancelCauseFunc) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.cancel = cancel
	return !lnk.isShut
}

// run keeps a session up until ctx ends or the link is shut.
func (lnk *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errShut)
	if !lnk.begin(cancel) {
		return nil
	}
	var grp errgroup.Group
	pause := lnk.pol.cfg.RedialMin
	for ctx.Err() == nil {
		dialled := time.Now()
		ses, err := lnk.dial(ctx)
		if err != nil {
			lnk.emit(Event{Kind: Down, NeverMade: true, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err})
			lnk.rest(ctx, &pause)
			continue
		}
		// A Reconnect asked for while this connection was being made has got what it wanted.
		drain(lnk.redial)
		grp.Go(func() error {
			ses.run(ctx)
			return nil
		})
		lnk.awaitRedial(ctx)
		if time.Since(dialled) > lnk.pol.cfg.RedialMax {
			pause = lnk.pol.cfg.RedialMin
			continue
		}
		lnk.rest(ctx, &pause)
	}
	return grp.Wait()
}

func (lnk *link) awaitRedial(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-lnk.redial:
	}
}

// rest waits before the next attempt to connect and doubles the wait. A backend server that is gone,
// or that ends each session at once, would otherwise get a storm of attempts; the random half keeps
// entry instances apart that lost it at the same moment. A Reconnect does not shorten the wait.
func (lnk *link) rest(ctx context.Context, pause *time.Duration) {
	half := *pause / 2
	tmr := time.NewTimer(half + rand.N(half+1))
	defer tmr.Stop()
	*pause = min(2**pause, lnk.pol.cfg.RedialMax)
	select {
	case <-ctx.Done():
	case <-tmr.C:
	}
}

func (lnk *link) emit(evt Event) {
	evt.Server = lnk.server
	lnk.pol.cfg.OnEvent(evt)
}

// promote makes a session the one that new requests go over. What waits in the outbox goes with it:
// no transport has seen it. After a restart of the backend server it is returned as unsent instead:
// all else that was sent there is in doubt, and what waits must not be taken for a part of that.
func (lnk *link) promote(ses *session, rep *dispatch.Report) []dispatch.ServerTask {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.older != nil {
		lnk.older.cancel(errShut)
	}
	lnk.older = lnk.current
	lnk.current = ses
	if old := lnk.older; old != nil {
		old.lingerEnd = time.AfterFunc(lnk.pol.cfg.Linger, func() { old.cancel(errShut) })
	}
	restarted := lnk.state.Incarnation != rep.Incarnation
	lnk.state = stateOf(rep)
	if restarted {
		return lnk.clear()
	}
	if !lnk.box.empty() {
		signal(ses.wake)
	}
	return nil
}

// clear empties the outbox and returns its starts; the caller holds lnk.mu.
func (lnk *link) clear() []dispatch.ServerTask {
	unsent := lnk.box.unsent()
	lnk.box.reset()
	return unsent
}

// settle keeps the state of a report on the current session. A report on an older one may come
// late, even from before a restart, so its state is replaced by the newer one; its results count.
func (lnk *link) settle(ses *session, rep *dispatch.Report) (superseded bool) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.current == ses {
		lnk.state = stateOf(rep)
		return false
	}
	rep.Incarnation = lnk.state.Incarnation
	rep.Slots = lnk.state.Slots
	rep.FreeSlots = lnk.state.FreeSlots
	rep.Leaving = lnk.state.Leaving
	return true
}

func stateOf(rep *dispatch.Report) dispatch.Report {
	return dispatch.Report{
		Incarnation: rep.Incarnation,
		Slots:       rep.Slots,
		FreeSlots:   rep.FreeSlots,
		Leaving:     rep.Leaving,
	}
}

// take swaps what waits for an empty outbox, if the session is still the current one.
func (lnk *link) take(ses *session, box *outbox) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.current != ses || lnk.box.empty() {
		return false
	}
	lnk.box, *box = *box, lnk.box
	return true
}

// ended forgets a session; if it was the current one, what waits is returned as unsent.
func (lnk *link) ended(ses *session) (unsent []dispatch.ServerTask, superseded bool) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if ses.lingerEnd != nil {
		ses.lingerEnd.Stop()
	}
	if lnk.older == ses {
		lnk.older = nil
	}
	if lnk.current != ses {
		return nil, true
	}
	lnk.current = nil
	return lnk.clear(), false
}
