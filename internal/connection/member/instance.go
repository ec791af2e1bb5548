package member

import (
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// Instance is what the platform's list says of an entry instance or backend server.
type Instance struct {
	ID          string
	Incarnation string
	Kind        Kind
	// Address is where entry instances reach a backend server, and callers an entry instance.
	Address       string
	PeerAddress   string
	FailureDomain string
	Rack          string
	Worker        string
	Leaving       bool
	Slots         uint32
	Capacity      job.Needs
}

// Config holds the bounds of a Tracker.
type Config struct {
	// Interval is the time between two rounds of heartbeats while there is news to pass on.
	Interval time.Duration
	// QuietInterval is the time between two rounds while there is none; Interval if 0.
	QuietInterval time.Duration
	// DomainFanOut and PoolFanOut are the peers that a round reaches inside and outside of the
	// failure domain.
	DomainFanOut int
	PoolFanOut   int
	// FailAfter is how long a suspicion stands uncontradicted before the instance loses its homes.
	FailAfter time.Duration
	// MaxProbe bounds the back-off between probes of an instance that doesn't answer.
	MaxProbe time.Duration
	// RemovalShare bounds what a list may remove within a RemovalWindow, as a share of the listed
	// instances of that kind; one is always allowed.
	RemovalShare  float64
	RemovalWindow time.Duration
	// EvidenceLife is how long evidence of leaving or an end outlives a list that lags.
	EvidenceLife time.Duration
	// RefusedLife is how long a backend server that refused a connection stays out of the view.
	RefusedLife time.Duration
	// MaxFacts bounds the facts in one heartbeat.
	MaxFacts int
	// Near lists, by failure domain, the others that serve it while it has no live entry instance,
	// nearest first; those not named come last.
	Near map[string][]string
}

// DefaultConfig returns the bounds that the measurements were made with.
func DefaultConfig() Config {
	return Config{
		Interval:      time.Second,
		QuietInterval: 4 * time.Second,
		DomainFanOut:  1,
		PoolFanOut:    1,
		FailAfter:     5 * time.Second,
		MaxProbe:      30 * time.Second,
		RemovalShare:  0.1,
		RemovalWindow: time.Minute,
		EvidenceLife:  10 * time.Minute,
		RefusedLife:   30 * time.Second,
		MaxFacts:      12,
	}
}

// Send is a heartbeat that is to be sent to a peer.
type Send struct {
	Peer      dispatch.PeerID
	Address   string
	Heartbeat Heartbeat
}

// Actions is what the caller of a Tracker has to do after an event.
type Actions struct {
	Sends []Send
	// ViewChanged says that View returns something new.
	ViewChanged bool
	// Disowned says that peers took this entry instance for gone, so that its units of limits may have
	// other homes.
	Disowned bool
}

// record is all that is known of one instance.
type record struct {
	ins Instance
	// listed says that the last list that was believed has it.
	listed bool
	// held says that a list lacks it and isn't believed for that.
	held bool
	// past has the former incarnations and when they may be forgotten, so that a list that lags
	// doesn't bring one back.
	past     map[string]time.Time
	replaces string
	epoch    uint32
	state    State
	found    time.Time
	// expires is when the evidence behind the state is too old; zero for none.
	expires   time.Time
	probeAt   time.Time
	probeWait time.Duration
	// spread is how many more heartbeats carry the record's fact.
	spread int
	// hash is what the record adds to the digest; 0 if nothing.
	hash uint64
}

func (rec *record) leaving() bool {
	return rec.ins.Leaving || rec.state == Leaving
}

// failed reports whether the instance gets no more work: proof, or a suspicion that stood too long.
func (rec *record) failed(now time.Time, after time.Duration) bool {
	if rec.state == Gone {
		return true
	}
	return rec.state == Suspect && !now.Before(rec.found.Add(after))
}

// setState records evidence found at a time.
func (rec *record) setState(stt State, found, expires time.Time) {
	rec.state = stt
	rec.found = found
	rec.expires = expires
}

// replace makes another incarnation the current one.
func (rec *record) replace(incarnation string, now, keepUntil time.Time) {
	if rec.past == nil {
		rec.past = make(map[string]time.Time)
	}
	rec.past[rec.ins.Incarnation] = keepUntil
	delete(rec.past, incarnation)
	rec.replaces = rec.ins.Incarnation
	rec.ins.Incarnation = incarnation
	rec.ins.Leaving = false
	rec.epoch = 0
	rec.setState(Alive, now, time.Time{})
	rec.probeAt, rec.probeWait = time.Time{}, 0
}

func (rec *record) knew(incarnation string) bool {
	_, ok := rec.past[incarnation]
	return ok
}
