package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
)

// Parts of Hold: when a stream counts as quiet, and over what time instances spread their turns. A
// stream has a record at least every half of Hold.
const (
	markAfter  = 3
	markSpread = 6
	// minMarkWait bounds how often a stream is looked at that cannot be written now.
	minMarkWait = time.Second
)

// claimStream is the part of a Claimer that belongs to one stream, under its own lock.
type claimStream struct {
	cfg  ClaimerConfig
	name string
	kick chan struct{}
	// rouse ends a rest.
	rouse chan struct{}
	gate  *claimGate

	mu       sync.Mutex
	table    *claim.Table
	skew     *claim.Skew
	queue    []*claimCall
	releases []claim.Release
	// sent has the calls of each record that is not read back yet, by the record's id.
	sent map[string]sentClaims
	// window is what has been read of the claims of others.
	window claimWindow
	// lastRecord is when a record was read last, and mark asks for one without claims.
	lastRecord time.Time
	mark       bool
	// down is set while the stream cannot be read.
	down bool
}

type claimCall struct {
	claim claim.Claim
	// sent is set once a record with the claim may be on its way.
	sent bool
	// over is set once the caller was told that nothing will be started.
	over bool
	done chan claimResult
}

type sentClaims struct {
	calls []*claimCall
	at    time.Time
}

// end hands the result over; only the first counts.
func (cal *claimCall) end(res claimResult) {
	select {
	case cal.done <- res:
	default:
	}
}

type claimResult struct {
	outcome claim.Outcome
	offset  uint64
	// err is set if the claim is proved not to be in the log.
	err *verdict.Error
}

func newClaimStream(cfg ClaimerConfig, name string, gte *claimGate) *claimStream {
	return &claimStream{
		cfg:   cfg,
		name:  name,
		kick:  make(chan struct{}, 1),
		rouse: make(chan struct{}, 1),
		gate:  gte,
		table: claim.New(cfg.Rules),
		skew:  claim.NewSkew(cfg.Author, cfg.Rules.MaxSkew),
		sent:  make(map[string]sentClaims),
	}
}

// check returns why this instance may not claim now, or nil.
func (str *claimStream) check(now time.Time) *verdict.Error {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.checkLocked(now)
}

func (str *claimStream) checkLocked(now time.Time) *verdict.Error {
	switch {
	case str.down:
		return verdict.New(verdict.NotRun, ReasonClaimLogDown).WithRetryAfter(maxPause)
	case !str.window.read(now):
		return verdict.New(verdict.NotRun, ReasonClaimWindow).WithRetryAfter(windowRetry)
	case str.skew.Suspect(now):
		return verdict.New(verdict.NotRun, ReasonClaimClock).WithRetryAfter(windowRetry)
	case str.gate.rest(now) > 0:
		return verdict.New(verdict.NotRun, ReasonClaimSlow).WithRetryAfter(str.gate.retryAfter(now))
	case str.table.Len() >= str.cfg.Rules.MaxClaims:
		return verdict.New(verdict.NotRun, ReasonClaimsFull).WithRetryAfter(str.cfg.Rules.MaxAhead)
	case len(str.queue) >= claimQueue:
		return verdict.New(verdict.NotRun, ReasonClaimQueueFull).WithRetryAfter(windowRetry)
	default:
		return nil
	}
}

func (str *claimStream) enqueue(now time.Time, req claim.Claim) (*claimCall, *verdict.Error) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if win, ok := str.table.Winner(req.Key); ok {
		return nil, claimedError(win)
	}
	if err := str.checkLocked(now); err != nil {
		return nil, err
	}
	cal := &claimCall{claim: req, done: make(chan claimResult, 1)}
	str.queue = append(str.queue, cal)
	str.wake()
	return cal, nil
}

func (str *claimStream) wake() {
	signal(str.kick)
}

func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}

func (str *claimStream) release(rel claim.Release) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.releaseLocked(rel)
}

func (str *claimStream) releaseLocked(rels ...claim.Release) {
	if len(str.releases)+len(rels) <= claimQueue {
		str.releases = append(str.releases, rels...)
		str.wake()
	}
}

// await returns the result of a call, or gives it up once it takes too long.
func (str *claimStream) await(ctx context.Context, cal *claimCall) (claimResult, *verdict.Error) {
	tmr := time.NewTimer(str.cfg.Timeout)
	defer tmr.Stop()
	reason := ReasonClaimSlow
	select {
	case res := <-cal.done:
		return res, res.err
	case <-tmr.C:
	case <-ctx.Done():
		reason = ReasonClaimGaveUp
	}
	return str.giveUp(cal, reason)
}

// giveUp ends a call without a result. The claim may still win in the log, by a write that is under
// way: nobody is told then, so nothing is started on it, and it is released once it is read. Before
// that a release could overtake the claim and would free nothing.
func (str *claimStream) giveUp(cal *claimCall, reason string) (claimResult, *verdict.Error) {
	str.mu.Lock()
	defer str.mu.Unlock()
	select {
	case res := <-cal.done:
		return res, res.err
	default:
	}
	cal.over = true
	if !cal.sent {
		str.queue = slices.DeleteFunc(str.queue, func(oth *claimCall) bool { return oth == cal })
	}
	now := time.Now()
	if reason == ReasonClaimSlow {
		str.gate.shut(now)
	}
	return claimResult{}, verdict.New(verdict.NotRun, reason).WithRetryAfter(str.gate.retryAfter(now))
}

// forget drops records that have not come for so long that they no longer matter; the lock is held.
func (str *claimStream) forget(now time.Time) {
	for idn, snt := range str.sent {
		if now.Sub(snt.at) > str.cfg.Rules.Hold {
			delete(str.sent, idn)
		}
	}
}

// write appends the claims and releases of one window after the other.
func (str *claimStream) write(ctx context.Context) error {
	for {
		if err := str.awaitWork(ctx); err != nil {
			return err
		}
		// Releases wait until the gate opens, or they would hammer a log that fails.
		if err := sleep(ctx, max(str.cfg.Window, str.gate.rest(time.Now()))); err != nil {
			return err
		}
		if err := str.cfg.Budget.wait(ctx); err != nil {
			return err
		}
		if err := str.writeWindow(ctx); err != nil {
			return err
		}
	}
}

func (str *claimStream) writeWindow(ctx context.Context) error {
	bat, cls, mark := str.take()
	if len(bat.Claims)+len(bat.Releases) == 0 && !mark {
		return nil
	}
	dat, err := claim.Encode(bat)
	if err != nil {
		str.fail(bat, cls, verdict.New(verdict.NotRun, string(claim.ReasonTooLate)).WithCause(err))
		return nil
	}
	_, err = str.cfg.Log.Append(ctx, str.name, [][]byte{dat})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if len(cls) > 0 {
		// Reading now gets all that came before this record and itself in one page.
		signal(str.rouse)
	}
	str.wrote(bat, cls, err)
	return nil
}

// awaitWork returns once there are claims or releases, or a record is due in a quiet stream.
func (str *claimStream) awaitWork(ctx context.Context) error {
	for {
		tmr := time.NewTimer(max(str.quietFor(time.Now()), minMarkWait))
		select {
		case <-str.kick:
			tmr.Stop()
			return nil
		case <-tmr.C:
			if str.markQuiet(time.Now()) {
				return nil
			}
		case <-ctx.Done():
			tmr.Stop()
			return ctx.Err()
		}
	}
}

// quietFor returns for how much longer the stream has to be quiet until it is this instance's turn.
func (str *claimStream) quietFor(now time.Time) time.Duration {
	str.mu.Lock()
	defer str.mu.Unlock()
	hld := str.cfg.Rules.Hold
	turn := time.Duration(xxhash.Sum64String(str.cfg.Author) % uint64(hld/markSpread))
	return hld/markAfter + turn - now.Sub(str.lastRecord)
}

// markQuiet asks for a record without claims if the stream has been quiet for long.
//
// A new instance can claim once the oldest record that the log keeps is older than Hold. Were the
// claims of a quiet night all forgotten, instances that start in the morning would have to wait for
// Hold to pass. Instances take their turn by the hash of their names, so that one record is enough.
func (str *claimStream) markQuiet(now time.Time) bool {
	if str.quietFor(now) > 0 {
		return false
	}
	str.mu.Lock()
	defer str.mu.Unlock()
	str.mark = str.window.caughtUp && !str.down
	return str.mark
}

func (str *claimStream) take() (claim.Batch, []*claimCall, bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	bat := claim.Batch{ID: ulid.Make().String(), Author: str.cfg.Author, Time: time.Now()}
	cls := str.queue
	str.queue = nil
	bat.Releases = str.releases
	str.releases = nil
	for _, cal := range cls {
		cal.sent = true
		bat.Claims = append(bat.Claims, cal.claim)
	}
	if len(cls) > 0 {
		str.forget(bat.Time)
		str.sent[bat.ID] = sentClaims{calls: cls, at: bat.Time}
	}
	mark := str.mark
	str.mark = false
	return bat, cls, mark
}

// wrote takes in how an append ended. Without a reply nothing is done about its claims: if they are
// in the log, reading it will say so, and else their callers run out of time. Releases go again,
// which does no harm.
func (str *claimStream) wrote(bat claim.Batch, cls []*claimCall, err error) {
	if err == nil {
		str.gate.works()
		return
	}
	if verdict.Of(err) == verdict.NotRun {
		str.fail(bat, cls, verdict.New(verdict.NotRun, ReasonClaimLogDown).WithCause(err))
		return
	}
	str.gate.shut(time.Now())
	str.mu.Lock()
	defer str.mu.Unlock()
	str.releaseLocked(bat.Releases...)
}

// fail ends calls whose record is proved not to be in the log.
func (str *claimStream) fail(bat claim.Batch, cls []*claimCall, err *verdict.Error) {
	str.mu.Lock()
	defer str.mu.Unlock()
	now := time.Now()
	str.gate.shut(now)
	delete(str.sent, bat.ID)
	for _, cal := range cls {
		cal.end(claimResult{err: err.WithRetryAfter(str.gate.retryAfter(now))})
	}
	str.releaseLocked(bat.Releases...)
}
