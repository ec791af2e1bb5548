package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
)

// claimWindow tells whether the claims of others that still hold have been read.
//
// A new instance knows no claims. Those that the log has forgotten were made before the oldest
// record that it keeps, and are over once Hold has passed since that one; an instance that starts
// with less than that behind it waits for the rest of the time.
type claimWindow struct {
	caughtUp bool
	// since is the first author whose record was read, and its time.
	since    string
	authors  int
	openFrom time.Time
	// bound is the latest that the window opens: what was forgotten is older than this instance.
	bound time.Time
}

func (win *claimWindow) read(now time.Time) bool {
	return win.caughtUp && !now.Before(win.openFrom)
}

// begin starts over at an offset that records were forgotten before, or at the first of all.
func (win *claimWindow) begin(forgotten bool, now time.Time, rul claim.Rules) {
	*win = claimWindow{authors: 2}
	if forgotten {
		win.authors = 0
		win.bound = now.Add(rul.Hold + rul.MaxSkew)
		win.openFrom = win.bound
	}
}

// oldest takes the time of a record in. The first records of two authors count, the later of them:
// the clock of one may be behind by hours, which would open the window too early.
func (win *claimWindow) oldest(bat claim.Batch, rul claim.Rules) {
	if win.authors >= 2 || bat.Author == win.since {
		return
	}
	frm := bat.Time.Add(rul.Hold + rul.MaxSkew)
	if win.authors > 0 && frm.Before(win.openFrom) {
		frm = win.openFrom
	}
	if frm.After(win.bound) {
		frm = win.bound
	}
	win.openFrom = frm
	win.since = bat.Author
	win.authors++
}

// follow reads the stream from its oldest record on.
func (str *claimStream) follow(ctx context.Context) error {
	bko := newBackoff(str.cfg.Seed+1, claimBackoff)
	str.mu.Lock()
	str.lastRecord = time.Now()
	str.window.begin(false, str.lastRecord, str.cfg.Rules)
	str.mu.Unlock()
	rested := false
	var looked time.Time
	for {
		// Clocks are compared by records that arrive while this instance waits for them.
		if !rested {
			looked = time.Now()
		}
		got, err := str.readPage(ctx, rested)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			bko.reset()
			rested = got && time.Since(looked) < clockLook && str.rest(ctx)
			continue
		}
		rested = false
		str.gate.shut(time.Now())
		str.mu.Lock()
		str.down = true
		str.mu.Unlock()
		if err := bko.pause(ctx); err != nil {
			return err
		}
	}
}

// rest leaves the log alone for a while if no claim is under way here, and reports whether it did.
//
// Every record wakes the readers of all instances, though only the one whose claims are in it needs it at
// once: with ten dispatch orders a second, six readers made four of five messages to the log. What comes
// meanwhile is read in one go, at the latest when this instance claims.
func (str *claimStream) rest(ctx context.Context) bool {
	if str.cfg.Rest == 0 || !str.idle() {
		return false
	}
	tmr := time.NewTimer(str.cfg.Rest)
	defer tmr.Stop()
	tck := time.NewTicker(restLook)
	defer tck.Stop()
	for busy := 0; busy < 2; {
		select {
		case <-str.rouse:
			return true
		case <-tck.C:
			// An append that gets no reply doesn't rouse anybody, and its record may be there.
			if !str.idle() {
				busy++
			}
		case <-tmr.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
	return true
}

// clockLook is how often a busy instance waits for a record, to compare clocks.
const clockLook = 30 * time.Second

// restLook is how often a rest looks whether a claim is under way here.
const restLook = 100 * time.Millisecond

func (str *claimStream) idle() bool {
	str.mu.Lock()
	defer str.mu.Unlock()
	return len(str.queue) == 0 && len(str.sent) == 0
}

// readPage reads and applies one page, and reports whether it had records, once the stream has been read
// to its end. After a rest records may be older than on arrival, and say nothing of clocks.
func (str *claimStream) readPage(ctx context.Context, rested bool) (got bool, err error) {
	off, waiting := str.position()
	waiting = waiting && !rested
	wait := time.Duration(0)
	if waiting {
		wait = str.cfg.Wait
	}
	beg := time.Now()
	pge, err := str.cfg.Log.Read(ctx, str.name, off+1, claimPage, wait)
	if err != nil {
		return false, err
	}
	if err := str.applyPage(off, pge, waiting); err != nil {
		return false, err
	}
	if len(pge.Records) == 0 && time.Since(beg) < wait/2 {
		// A log that does not wait would have this loop spin.
		return false, sleep(ctx, wait/2)
	}
	return len(pge.Records) > 0 && str.ready(), nil
}

// ready reports whether the stream has been read to its end once.
func (str *claimStream) ready() bool {
	_, waiting := str.position()
	return waiting
}

// position returns the last offset that was read, and whether that was the end of the stream.
func (str *claimStream) position() (uint64, bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.table.Offset(), str.window.caughtUp && !str.down
}

func (str *claimStream) applyPage(off uint64, pge Page, waiting bool) error {
	str.mu.Lock()
	defer str.mu.Unlock()
	now := time.Now()
	if pge.Next > 0 && pge.Next < off+1 {
		return errors.Newf("claims end at offset %d, before offset %d that was read", pge.Next, off)
	}
	if pge.Earliest > off+1 {
		// Records were forgotten before they were read, at the start or after a long pause.
		str.restart(pge.Earliest-1, now)
		return nil
	}
	for _, raw := range pge.Records {
		bat, err := claim.Decode(raw.Data)
		if errors.Is(err, claim.ErrNewerRule) {
			return err
		}
		if err != nil {
			str.table.Skip(raw.Offset)
			continue
		}
		str.lastRecord = now
		str.apply(raw.Offset, bat)
		if waiting {
			str.skew.Observe(bat.Author, bat.Time, now)
		}
	}
	str.window.caughtUp = str.window.caughtUp || str.table.Offset()+1 >= pge.Next
	str.down = false
	return nil
}

// restart goes on after records that were forgotten before they were read. Claims under way may be
// decided by what is missing, so none of them is granted; the lock is held.
func (str *claimStream) restart(off uint64, now time.Time) {
	str.table = claim.New(str.cfg.Rules)
	str.table.Skip(off)
	str.window.begin(true, now, str.cfg.Rules)
	str.down = false
	for idn, snt := range str.sent {
		delete(str.sent, idn)
		for _, cal := range snt.calls {
			str.releaseLocked(claim.Release{Key: cal.claim.Key, Holder: cal.claim.Holder})
			cal.end(claimResult{err: verdict.New(verdict.NotRun, ReasonClaimWindow).WithRetryAfter(windowRetry)})
		}
	}
}

// apply takes a record in and ends the calls that wait for it; the lock is held.
func (str *claimStream) apply(off uint64, bat claim.Batch) {
	str.window.oldest(bat, str.cfg.Rules)
	ous := str.table.Apply(off, bat)
	snt := str.sent[bat.ID]
	delete(str.sent, bat.ID)
	for idx, cal := range snt.calls {
		if cal.over && ous[idx].Granted {
			str.releaseLocked(claim.Release{Key: cal.claim.Key, Holder: cal.claim.Holder})
		}
		cal.end(claimResult{outcome: ous[idx], offset: off})
	}
}
