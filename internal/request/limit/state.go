package limit

import (
	"math"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// state is what this entry instance knows of one limit.
type state struct {
	key    Key
	offset int
	// units is the limit; a rate has as many as starts fit into its window.
	units  uint32
	window time.Duration

	// inUse counts running tasks, or starts within the window, of this entry instance.
	inUse  int
	starts []startCount

	// lent is what peers borrowed, loans what this entry instance did.
	lent  map[dispatch.PeerID]*book
	loans map[dispatch.PeerID]*loan
	// foreign is what the former homes of own units still use.
	foreign map[dispatch.PeerID]foreign

	asks []ask
	// peerTurns is how many peers are served before this entry instance itself may take again.
	peerTurns int
	// ownStarts counts the starts of this entry instance's own turn.
	ownStarts uint32

	// shortAt is when a task was refused last, pressedAt when the row of refusals began.
	shortAt   time.Time
	lastMiss  time.Time
	pressedAt time.Time
	patience  time.Duration
	// row counts the requests since the last pause between them.
	row     int
	demand  uint32
	askSize uint32
	nextAsk time.Time
	// asked says until when a peer remembers that it was asked.
	asked     map[dispatch.PeerID]time.Time
	idleSince time.Time
}

// startCount is a number of starts that count against a rate until a time.
type startCount struct {
	until time.Time
	count int
}

// foreign is a number of own units that another entry instance still uses.
type foreign struct {
	units int
	until time.Time
}

// rateGrain is the share of a window to which the ends of starts are rounded up, so that a state
// holds a bounded number of them.
const rateGrain = 64

// shortFor is how long a task that was refused a unit counts as waiting for it.
const shortFor = time.Second

func (stt *state) poorAsks() int {
	count := 0
	for idx := range stt.asks {
		if stt.asks[idx].poor {
			count++
		}
	}
	return count
}

func (stt *state) isRate() bool { return stt.key.Kind == Rate }

// bookFor is how long a loan stays on the books past its use: as long as a start may count.
func (stt *state) bookFor(cfg *Config) time.Duration {
	if stt.isRate() {
		return stt.window
	}
	return cfg.Lease
}

func (stt *state) short(now time.Time) bool {
	return !stt.shortAt.IsZero() && now.Sub(stt.shortAt) < shortFor
}

// missed notes a refusal.
func (stt *state) missed(now time.Time) {
	if now.Sub(stt.lastMiss) > rowGap {
		stt.pressedAt = now
	}
	if now.Sub(stt.lastMiss) > shortFor {
		stt.patience, stt.row = 0, 0
	}
	stt.lastMiss, stt.shortAt = now, now
}

// rowGap is the time without a refusal that ends a row of them.
const rowGap = 200 * time.Millisecond

// pressed reports whether tasks have been waiting for long.
func (stt *state) pressed(now time.Time, cfg *Config) bool {
	return stt.short(now) && now.Sub(stt.pressedAt) >= cfg.RecallAfter
}

// prune drops starts that left the window.
func (stt *state) prune(now time.Time) {
	gone := 0
	for gone < len(stt.starts) && !now.Before(stt.starts[gone].until) {
		stt.inUse -= stt.starts[gone].count
		gone++
	}
	if gone > 0 {
		stt.starts = append(stt.starts[:0], stt.starts[gone:]...)
	}
}

// use counts one start.
func (stt *state) use(now time.Time) {
	stt.inUse++
	if !stt.isRate() {
		return
	}
	grain := stt.window / rateGrain
	until := now.Add(stt.window)
	if last := len(stt.starts) - 1; last >= 0 && until.Sub(stt.starts[last].until) < 0 {
		stt.starts[last].count++
		return
	}
	stt.starts = append(stt.starts, startCount{until: until.Add(grain), count: 1})
}

// own returns the usable units that this entry instance is the home of, less what others have of
// them; it is negative while a lowered limit or a lost home still has tasks running.
func (stt *state) own(tbl *table) int {
	own := sum(&tbl.usable, stt.offset, stt.units)
	for _, bok := range stt.lent {
		own -= bok.units()
	}
	for _, frn := range stt.foreign {
		own -= frn.units
	}
	return own
}

// borrowed returns the units on loan that may be used for new starts: without bound, and in all.
func (stt *state) borrowed(now time.Time) (free, bounded int) {
	for _, lon := range stt.loans {
		if !now.Before(lon.useUntil) {
			continue
		}
		if lon.starts > 0 {
			bounded += lon.units
		} else {
			free += lon.units
		}
	}
	return free, bounded
}

// available returns how many more tasks may start now.
func (stt *state) available(now time.Time, tbl *table) int {
	free, bounded := stt.borrowed(now)
	if stt.units == 0 {
		return math.MaxInt32
	}
	return stt.own(tbl) + free + bounded - stt.inUse
}
