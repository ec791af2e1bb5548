package platform

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/catalogue"
)

// PeerSource is what other entry instances know of the catalogue.
type PeerSource interface {
	// Since returns the records after an offset that the peer which is furthest ahead has. It
	// reports false if that peer no longer keeps some of them: a snapshot is needed then.
	Since(ctx context.Context, offset uint64) ([]Record, bool, error)
	// Snapshot returns the encoded state of the peer which is furthest ahead.
	Snapshot(ctx context.Context) ([]byte, error)
}

// Why a follower is not current, in kebab case.
const (
	ReasonStarting       = "starting"
	ReasonLogUnreachable = "log-unreachable"
	ReasonNoSnapshot     = "no-snapshot"
	ReasonLogWentBack    = "log-went-back"
	ReasonNewerRule      = "newer-rule"
	// ReasonOutcomeUnknown goes with the error of an edit that is in the log but too far back.
	ReasonOutcomeUnknown = "outcome-unknown"
)

const (
	followPage    = 512
	followBackoff = 100 * time.Millisecond
	peerTimeout   = time.Second
	sinceLimit    = 512
	// hintGrace is how long the log itself has for what a peer already knows.
	hintGrace = time.Second
)

// FollowerConfig is what a Follower works with.
type FollowerConfig struct {
	Log    Log
	Stream string
	// Peers may be nil.
	Peers PeerSource
	// Wait is how long one read of the log waits for new records.
	Wait time.Duration
	// Observe, if set, is told of records that were applied, and with nil of a snapshot. It is called
	// once at a time, in the order of the offsets, and the state does not change meanwhile.
	Observe func([]Logged)
	// Seed makes the pauses between attempts differ between instances.
	Seed uint64
}

// Follower keeps the catalogue of this instance current, and hands it on to peers. It never goes
// back: whatever the log or a peer hands it, only greater offsets count.
type Follower struct {
	cfg  FollowerConfig
	bko  *backoff
	hint chan struct{}

	// turn is held while the state changes and is observed. The log and peers bring records at the
	// same time; an observer that was told of the older state last would put it back in force.
	// It is a channel, because observers may wait, and virtual time stands still for a mutex.
	turn chan struct{}

	mu      sync.RWMutex
	state   *catalogue.State
	history history
	asm     catalogue.Assembler
	known   catalogue.Known
	ready   bool
	reason  string
	ahead   uint64
	grown   chan struct{}
}

// NewFollower returns a follower that works while Run does.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg:    cfg,
		bko:    newBackoff(cfg.Seed, followBackoff),
		hint:   make(chan struct{}, 1),
		turn:   make(chan struct{}, 1),
		state:  catalogue.New(),
		known:  catalogue.Known{Time: time.Now()},
		reason: ReasonStarting,
		grown:  make(chan struct{}),
	}
}

// Run follows the stream until the context ends.
func (flw *Follower) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return flw.followLog(ctx) })
	grp.Go(func() error { return flw.followHints(ctx) })
	return grp.Wait()
}

func (flw *Follower) followLog(ctx context.Context) error {
	// Peers first: their snapshot is smaller than the log, and they answer during its outages.
	flw.askPeers(ctx)
	for {
		err := flw.readLog(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			flw.bko.reset()
			continue
		}
		flw.askPeers(ctx)
		if err := flw.bko.pause(ctx); err != nil {
			return err
		}
	}
}

// readLog reads and applies one page.
func (flw *Follower) readLog(ctx context.Context) error {
	off := flw.Offset()
	wait := flw.cfg.Wait
	if rdy, _ := flw.Ready(); !rdy {
		wait = 0
	}
	beg := time.Now()
	pge, err := flw.cfg.Log.Read(ctx, flw.cfg.Stream, off+1, followPage, wait)
	if err != nil {
		flw.setReason(ReasonLogUnreachable)
		return err
	}
	if pge.Earliest > off+1 {
		return flw.recover(ctx, pge)
	}
	if pge.Next > 0 && pge.Next < off+1 {
		flw.setReason(ReasonLogWentBack)
		return errors.Newf("log ends at offset %d, before the applied offset %d", pge.Next, off)
	}
	if err := flw.apply(pge.Records); err != nil {
		return err
	}
	if flw.Offset()+1 < pge.Next {
		if len(pge.Records) == 0 {
			return errors.Newf("log has records up to offset %d and returned none", pge.Next-1)
		}
		return nil
	}
	flw.setReady()
	if len(pge.Records) == 0 && time.Since(beg) < wait/2 {
		// A log that does not wait would have this loop spin.
		return sleep(ctx, wait/2)
	}
	return nil
}

// recover goes on from the newest snapshot after the log has forgotten records that were not read.
// It shows as an earliest offset past the next one that is due; to skip the gap would revert edits.
func (flw *Follower) recover(ctx context.Context, pge Page) error {
	flw.askPeers(ctx)
	if flw.Offset()+1 >= pge.Earliest {
		return nil
	}
	sta, err := flw.findSnapshot(ctx, pge)
	if err != nil {
		flw.setReason(ReasonLogUnreachable)
		return err
	}
	if sta == nil {
		flw.setReason(ReasonNoSnapshot)
		return errors.Newf("log has nothing before offset %d and no snapshot", pge.Earliest)
	}
	flw.install(sta)
	return nil
}

// findSnapshot returns the newest whole snapshot of the log whose following records are kept.
func (flw *Follower) findSnapshot(ctx context.Context, pge Page) (*catalogue.State, error) {
	var asm catalogue.Assembler
	var best []byte
	var top uint64
	from := pge.Earliest
	for from < pge.Next {
		cur, err := flw.cfg.Log.Read(ctx, flw.cfg.Stream, from, followPage, 0)
		if err != nil {
			return nil, err
		}
		if len(cur.Records) == 0 {
			break
		}
		for _, raw := range cur.Records {
			from = raw.Offset + 1
			rec, err := catalogue.Decode(raw.Data)
			if err != nil || rec.Chunk == nil {
				continue
			}
			dat, whole := asm.Add(*rec.Chunk)
			if whole && rec.Chunk.Offset >= top && rec.Chunk.Offset+1 >= pge.Earliest {
				best, top = dat, rec.Chunk.Offset
			}
		}
	}
	if best == nil {
		return nil, nil
	}
	return catalogue.DecodeSnapshot(best)
}

// apply takes records in that follow each other without a gap. They are decoded before the lock is
// taken: after an outage a page of them takes long enough to hold up requests.
func (flw *Follower) apply(raws []Record) error {
	rcs, err := decodeAll(raws)
	flw.turn <- struct{}{}
	defer func() { <-flw.turn }()
	lgs := flw.applyDecoded(raws[:len(rcs)], rcs)
	if err != nil {
		flw.setReason(ReasonNewerRule)
	}
	if len(lgs) > 0 && flw.cfg.Observe != nil {
		flw.cfg.Observe(lgs)
	}
	return err
}

// decodeAll decodes records up to the first that needs a newer rule; one that cannot be read becomes
// the empty record.
func decodeAll(raws []Record) ([]catalogue.Record, error) {
	rcs := make([]catalogue.Record, 0, len(raws))
	for _, raw := range raws {
		rec, err := catalogue.Decode(raw.Data)
		if errors.Is(err, catalogue.ErrNewerRule) {
			return rcs, err
		}
		rcs = append(rcs, rec)
	}
	return rcs, nil
}

func (flw *Follower) applyDecoded(raws []Record, rcs []catalogue.Record) []Logged {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	var lgs []Logged
	for idx, raw := range raws {
		if raw.Offset <= flw.state.Offset() {
			continue
		}
		rec := rcs[idx]
		lgd := Logged{Record: rec, Outcome: flw.state.Apply(raw.Offset, rec), Applied: time.Now()}
		flw.noteSnapshot(rec)
		flw.history.add(raw, lgd)
		lgs = append(lgs, lgd)
	}
	if len(lgs) > 0 {
		flw.wake()
	}
	return lgs
}

// noteSnapshot remembers the newest snapshot that others will find in the stream.
func (flw *Follower) noteSnapshot(rec catalogue.Record) {
	if rec.Chunk == nil {
		return
	}
	_, whole := flw.asm.Add(*rec.Chunk)
	if !whole || rec.Chunk.Offset < flw.known.Offset {
		return
	}
	flw.known.Offset = rec.Chunk.Offset
	flw.known.Time = time.Now()
	if rec.Time.Before(flw.known.Time) {
		flw.known.Time = rec.Time
	}
}

// install replaces the state by a snapshot, if that is newer.
func (flw *Follower) install(sta *catalogue.State) bool {
	flw.turn <- struct{}{}
	defer func() { <-flw.turn }()
	newer := flw.replace(sta)
	if newer && flw.cfg.Observe != nil {
		flw.cfg.Observe(nil)
	}
	return newer
}

func (flw *Follower) replace(sta *catalogue.State) bool {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	if sta.Offset() <= flw.state.Offset() {
		return false
	}
	flw.state = sta
	flw.history.restart(sta.Offset())
	flw.wake()
	return true
}

// wake tells everyone who waits for an offset to look again; the lock is held.
func (flw *Follower) wake() {
	close(flw.grown)
	flw.grown = make(chan struct{})
}

func (flw *Follower) setReady() {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.ready = true
	flw.reason = ""
}

func (flw *Follower) setReason(reason string) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.reason = reason
}

// Ready reports whether this instance has a catalogue to serve by; once it has, an outage does not
// take it away. The reason says why it is not current, and is empty if it is.
func (flw *Follower) Ready() (bool, string) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.ready, flw.reason
}

// Offset returns the offset of the last record that was applied.
func (flw *Follower) Offset() uint64 {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Offset()
}

// Await returns the outcome of the record with that id once the offset was applied here.
func (flw *Follower) Await(ctx context.Context, offset uint64, idn catalogue.RecordID) (catalogue.Outcome, error) {
	for {
		flw.mu.RLock()
		done := flw.state.Offset() >= offset
		out, found := flw.history.outcome(idn)
		grown := flw.grown
		flw.mu.RUnlock()
		switch {
		case found:
			return out, nil
		case done && offset == 0:
			return catalogue.Outcome{Record: idn, Reason: catalogue.ReasonOffset}, nil
		case done:
			return catalogue.Outcome{}, verdict.New(verdict.MayHaveRun, ReasonOutcomeUnknown)
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return catalogue.Outcome{}, verdict.New(verdict.MayHaveRun, ReasonOutcomeUnknown).WithCause(ctx.Err())
		}
	}
}
