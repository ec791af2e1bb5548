package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// Limiter keeps this entry instance's share of every limit. It is not safe for concurrent use.
type Limiter struct {
	cfg  Config
	self Peer
	rnd  *rand.Rand

	classes map[string]*job.Class
	states  map[Key]*state
	// busy are the states that a sweep looks at, short those that a task waits for.
	busy  map[Key]*state
	short map[Key]*state

	tbl table
	// joined says that SetPeers was called: before, this entry instance has no units.
	joined bool
	// died says when a peer's former incarnation was last seen to be replaced or gone.
	died map[dispatch.PeerID]time.Time
	// startHold is until when units are held because others were gone when this process started.
	startHold time.Time
	// gone are the peers that are proved gone.
	gone map[dispatch.PeerID]bool
	// told are hand-overs from peers that came before this entry instance knew the same peers.
	told    map[dispatch.PeerID]handOver
	handing map[dispatch.PeerID]*handing

	epoch     time.Time
	lastEvent time.Time
	nextFlush time.Time
	nextSweep time.Time
	nextPlea  time.Time
	acts      Actions
	out       outbox
}

// New returns a Limiter that has no units until SetPeers.
func New(cfg Config, self Peer, rnd *rand.Rand) *Limiter {
	lim := &Limiter{
		cfg:     cfg,
		self:    self,
		rnd:     rnd,
		classes: make(map[string]*job.Class),
		states:  make(map[Key]*state),
		busy:    make(map[Key]*state),
		short:   make(map[Key]*state),
		died:    make(map[dispatch.PeerID]time.Time),
		told:    make(map[dispatch.PeerID]handOver),
		handing: make(map[dispatch.PeerID]*handing),
		out:     newOutbox(),
	}
	for slot := range lim.tbl.homes {
		lim.tbl.homes[slot] = noHome
	}
	return lim
}

// SetClasses takes in a new version of the catalogue. A lowered limit ends no task: its units are
// gone at once for new starts, and lent ones are called back.
func (lim *Limiter) SetClasses(now time.Time, classes []*job.Class) {
	lim.event(now)
	lim.classes = make(map[string]*job.Class, len(classes))
	for _, cls := range classes {
		lim.classes[cls.Name] = cls
	}
	for key, stt := range lim.states {
		old := stt.units
		lim.setUnits(stt)
		switch {
		case stt.units == 0 && stt.inUse == 0 && stt.quiet():
			lim.forget(key)
		case stt.units < old:
			lim.recall(now, stt)
		case stt.units > old:
			lim.settle(now, stt)
		}
	}
}

func (lim *Limiter) forget(key Key) {
	delete(lim.states, key)
	delete(lim.busy, key)
	delete(lim.short, key)
}

func (lim *Limiter) setUnits(stt *state) {
	cls := lim.classes[stt.key.Class]
	if cls == nil {
		stt.units = 0
		return
	}
	stt.units, stt.window = unitsOf(&lim.cfg, &cls.Limits, stt.key)
}

// unitsOf returns the units of a limit, 0 if there is none. A rate below one start a window has one
// unit and a longer window.
func unitsOf(cfg *Config, lmt *job.Limits, key Key) (units uint32, window time.Duration) {
	switch key.Kind {
	case Concurrency:
		return lmt.Concurrency, 0
	case TeamQuota:
		return lmt.TeamQuota[key.Team], 0
	case Rate:
		if lmt.Rate <= 0 {
			return 0, 0
		}
		units = uint32(max(1, min(math.MaxUint32, math.Floor(lmt.Rate*cfg.RateWindow.Seconds()))))
		return units, time.Duration(float64(units) / lmt.Rate * float64(time.Second))
	default:
		return 0, 0
	}
}

// taken is the limits that one task counts against; a fixed array, so that Take allocates nothing.
type taken struct {
	states [3]*state
	count  int
}

func (lim *Limiter) limitsOf(cls *job.Class, team string) taken {
	var tkn taken
	if now := lim.classes[cls.Name]; now != nil {
		cls = now
	}
	// Tasks count also while there is no limit: one that comes into force finds those that run.
	lim.add(&tkn, cls, Key{Class: cls.Name, Kind: Concurrency})
	if team != "" {
		lim.add(&tkn, cls, Key{Class: cls.Name, Kind: TeamQuota, Team: team})
	}
	if cls.Limits.Rate > 0 {
		lim.add(&tkn, cls, Key{Class: cls.Name, Kind: Rate})
	}
	return tkn
}

func (lim *Limiter) add(tkn *taken, cls *job.Class, key Key) {
	stt := lim.states[key]
	if stt == nil {
		stt = lim.newState(key)
		stt.units, stt.window = unitsOf(&lim.cfg, &cls.Limits, key)
	}
	tkn.states[tkn.count] = stt
	tkn.count++
}

func (lim *Limiter) newState(key Key) *state {
	stt := &state{key: key, offset: offsetOf(key), askSize: 1}
	lim.states[key] = stt
	return stt
}

// state returns the state of a limit that a peer named, or nil if there is no such limit here: a
// peer with another version of the catalogue, or a broken one, must not fill the memory.
func (lim *Limiter) state(key Key) *state {
	if stt := lim.states[key]; stt != nil {
		return stt
	}
	cls := lim.classes[key.Class]
	if cls == nil {
		return nil
	}
	units, window := unitsOf(&lim.cfg, &cls.Limits, key)
	if units == 0 {
		return nil
	}
	stt := lim.newState(key)
	stt.units, stt.window = units, window
	return stt
}

// Take implements dispatch.Limits.
func (lim *Limiter) Take(now time.Time, cls *job.Class, team string) bool {
	lim.event(now)
	tkn := lim.limitsOf(cls, team)
	room := true
	for _, stt := range tkn.states[:tkn.count] {
		if !lim.room(now, stt) {
			room = false
			lim.miss(now, stt)
		}
	}
	if !room {
		return false
	}
	for _, stt := range tkn.states[:tkn.count] {
		lim.take(now, stt)
	}
	return true
}

func (lim *Limiter) room(now time.Time, stt *state) bool {
	if stt.isRate() {
		stt.prune(now)
	}
	return stt.available(now, &lim.tbl) > 0
}

// miss notes that a task waits for a limit.
func (lim *Limiter) miss(now time.Time, stt *state) {
	stt.missed(now)
	if lim.short[stt.key] == nil || !now.Before(stt.nextAsk) {
		lim.short[stt.key] = stt
		lim.flushAt(now.Add(lim.cfg.BorrowEvery))
	}
}

func (lim *Limiter) take(now time.Time, stt *state) {
	free, _ := stt.borrowed(now)
	if stt.units > 0 && len(stt.loans) > 0 && stt.inUse >= stt.own(&lim.tbl)+free {
		stt.spendStart(now)
	}
	stt.use(now)
	stt.idleSince = time.Time{}
	if stt.ownStarts++; stt.ownStarts >= lim.cfg.ContestedStarts {
		stt.ownStarts = 0
		stt.peerTurns = stt.poorAsks()
	}
	if stt.isRate() || len(stt.loans) > 0 {
		lim.busy[stt.key] = stt
	}
}

// Release implements dispatch.Limits. Units of a rate come back by time alone.
func (lim *Limiter) Release(now time.Time, cls *job.Class, team string) {
	lim.event(now)
	keys := [...]Key{
		{Class: cls.Name, Kind: Concurrency},
		{Class: cls.Name, Kind: TeamQuota, Team: team},
	}
	for _, key := range keys {
		if stt := lim.states[key]; stt != nil && stt.inUse > 0 {
			stt.inUse--
			lim.settle(now, stt)
		}
	}
}

// Waiting reports whether a task of the class and team was refused a unit lately and there still is
// none, so that the task waits for a limit and not for a slot.
func (lim *Limiter) Waiting(now time.Time, cls *job.Class, team string) bool {
	tkn := lim.limitsOf(cls, team)
	for _, stt := range tkn.states[:tkn.count] {
		if stt.short(now) && !lim.room(now, stt) {
			return true
		}
	}
	return false
}

// Demand tells how many tasks of the class and team wait for their limits, so that units are
// borrowed in one message rather than a few at a time.
func (lim *Limiter) Demand(cls *job.Class, team string, tasks uint32) {
	tkn := lim.limitsOf(cls, team)
	for _, stt := range tkn.states[:tkn.count] {
		stt.demand = tasks
	}
}

// event notes the time and finds out if this process was paused: while it was, peers may have taken
// its units over, and it only learns so from the next messages.
func (lim *Limiter) event(now time.Time) {
	if lim.epoch.IsZero() {
		lim.epoch, lim.lastEvent = now, now
	}
	if now.Sub(lim.lastEvent) > lim.cfg.MaxPause {
		lim.holdAll(now, lim.cfg.PauseHold)
	}
	if now.After(lim.lastEvent) {
		lim.lastEvent = now
	}
	if !lim.tbl.nextFree.IsZero() && !now.Before(lim.tbl.nextFree) {
		lim.tbl.recount(now, lim.self.ID)
		lim.settleAll(now)
	}
}

// Disowned takes in that peers took this entry instance for gone: its units may have new homes, so
// it holds all of its own as if it had just started.
func (lim *Limiter) Disowned(now time.Time) {
	lim.event(now)
	lim.holdAll(now, lim.cfg.hold())
}

func (lim *Limiter) holdAll(now time.Time, dur time.Duration) {
	until := now.Add(dur)
	for slot := range lim.tbl.heldUntil {
		if lim.tbl.heldUntil[slot].Before(until) {
			lim.tbl.heldUntil[slot] = until
			lim.tbl.from[slot] = "" // Nobody's word shortens this hold.
		}
	}
	lim.tbl.recount(now, lim.self.ID)
}
