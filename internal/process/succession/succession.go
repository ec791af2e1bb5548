package succession

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// Instance is the state that an instance reports of itself in its heartbeats.
type Instance struct {
	ID     shard.InstanceID
	Domain string
	// Cores is the processor capacity of the instance, in cores; it may be a fraction of one.
	Cores float64
	// Stopping instances take no shards over, and may hand theirs over; Leaving ones have to.
	Ready, Stopping, Leaving bool
	// Leads has the fencing token of each shard led by the instance.
	Leads map[shard.Name]int64
	// Divisions has the divisions of the failure domains as the instance knows them.
	Divisions Divisions
}

// Shard names a part of the backend servers and the failure domain that they are in.
type Shard struct {
	Name   shard.Name
	Domain string
}

// Config has the delays and intervals of an Elector.
type Config struct {
	// TakeoverDelay is how long a shard must appear to have no leader before it is taken over: a leader that was just heard for the first
	// time may not have reported yet which shards it leads.
	TakeoverDelay time.Duration
	// ForeignTakeoverDelay replaces TakeoverDelay for a shard of another failure domain, whose own instances should take it first: when
	// all instances start at once, they do so within 0.3 s.
	ForeignTakeoverDelay time.Duration
	// ReadyDelay is how long an instance that has become ready only listens before it takes a shard over. By then the others have reported
	// which shards they lead and that they are ready too, which may wait for their next heartbeat. With 60 ms, two instances that started
	// together both took a shard in one start of twenty, and its jobs waited for a second.
	ReadyDelay time.Duration
	// IsolationTimeout is how long an instance that hears no other any more waits before it takes shards over: it is more likely
	// partitioned than the only one left.
	IsolationTimeout time.Duration
	// PauseGrace is for how long after a pause of the own process shards that had a leader aren't taken over: the leaders that the process
	// lost by missed heartbeats may be healthy.
	PauseGrace time.Duration
	// CandidateDelay is how much longer each candidate for a shard waits than the candidate before it.
	CandidateDelay time.Duration
	// ReturnDelay is how long an instance must be ready before it takes a shard of its failure domain over from a healthy leader: one of
	// another failure domain, or one with a much higher load.
	ReturnDelay time.Duration
	// RecheckInterval is how often all shards are checked although nothing has changed, to find leaders that have become replaceable by
	// time alone.
	RecheckInterval time.Duration
	// InitialBackoff is the pause after a shard was first lost to another leader's token; it doubles with each loss up to MaxBackoff, and
	// begins anew after a loss that comes later than MaxBackoff after the last pause.
	InitialBackoff, MaxBackoff time.Duration
	// MinorityPause is how long an instance that has lost more others than it hears takes no shard over after one was lost to another leader's
	// token. It is well below the time in which the system has to serve again if the others have ended after all.
	MinorityPause time.Duration
}

// DefaultConfig returns the delays for heartbeats each 100 ms, with instances taken for lost after 400 ms of silence.
func DefaultConfig() Config {
	return Config{
		TakeoverDelay:        30 * time.Millisecond,
		ForeignTakeoverDelay: 400 * time.Millisecond,
		ReadyDelay:           110 * time.Millisecond,
		IsolationTimeout:     1500 * time.Millisecond,
		PauseGrace:           500 * time.Millisecond,
		CandidateDelay:       250 * time.Millisecond,
		ReturnDelay:          500 * time.Millisecond,
		RecheckInterval:      250 * time.Millisecond,
		InitialBackoff:       50 * time.Millisecond,
		MaxBackoff:           5 * time.Second,
		MinorityPause:        5 * time.Second,
	}
}

// Elector decides for one instance which shards it is to lead, from what that instance knows of the others. It is not safe for
// concurrent use.
type Elector struct {
	cfg          Config
	self         Instance
	readyAt      time.Time
	peers        map[shard.InstanceID]*Instance
	everHadPeers bool
	// lastPeerLostAt is when the last of the other instances was lost, so that none was left.
	lastPeerLostAt time.Time
	shards         []Shard
	// takeoverAt is the time of the own instance's last takeover.
	takeoverAt time.Time
	// pausedAt is when the last pause of the own process was noticed; lastLeaders has the leaders that shards were last seen to have.
	pausedAt    time.Time
	lastLeaders map[shard.Name]lastLeader
	// takeableSince is since when a shard has had no known leader, or a replaceable one.
	takeableSince map[shard.Name]time.Time
	// silentPeers is how many instances of the own failure domain have fallen silent in a row, with less than IsolationTimeout between two;
	// silentAt is when the last one did.
	silentPeers int
	silentAt    time.Time
	// heardAt is when any other instance was last heard. Since hearingSince there was no IsolationTimeout in which none was.
	heardAt, hearingSince time.Time
	backoffs              map[shard.Name]backoff
	claims                claims
	contest               contest
	// changed is set by each event that may change who leads a shard. All shards were last checked at checkedAt; unsettled are those
	// that had no leader then, or a replaceable one.
	changed   bool
	checkedAt time.Time
	unsettled []Shard
}

// lastLeader is the leader that a shard was last seen to have, at a time.
type lastLeader struct {
	id shard.InstanceID
	at time.Time
}

// backoff bars a shard from being taken over until a time, after a number of losses to another leader's token.
type backoff struct {
	until time.Time
	count int
}

// New returns the elector of an instance that has heard no other one yet.
func New(cfg Config, self Instance, now time.Time) *Elector {
	self.Leads = map[shard.Name]int64{}
	return &Elector{
		cfg: cfg, self: self,
		lastPeerLostAt: now,
		peers:          map[shard.InstanceID]*Instance{}, takeableSince: map[shard.Name]time.Time{}, backoffs: map[shard.Name]backoff{},
		lastLeaders: map[shard.Name]lastLeader{}, claims: claims{}, contest: contest{unheard: map[shard.InstanceID]time.Time{}},
	}
}

// SetShards replaces the shards to decide about.
func (elc *Elector) SetShards(shs []Shard) { elc.shards, elc.changed = shs, true }

// SetReady marks the own instance as able to lead; calls after the first have no effect.
func (elc *Elector) SetReady(now time.Time) {
	if !elc.self.Ready {
		elc.self.Ready, elc.readyAt, elc.changed = true, now, true
	}
}

// SetStopping marks the own instance as shutting down: it takes no more shards over. Other instances take over those that it leads if they
// lead few.
func (elc *Elector) SetStopping() { elc.self.Stopping = true }

// SetLeaving marks the own instance as about to end: the other instances take over the shards that it leads.
func (elc *Elector) SetLeaving() { elc.self.Stopping, elc.self.Leaving = true, true }

// ReadyFor returns for how long the own instance has been able to lead, 0 if it isn't.
func (elc *Elector) ReadyFor(now time.Time) time.Duration {
	if !elc.self.Ready {
		return 0
	}
	return now.Sub(elc.readyAt)
}

// Ready reports whether the own instance is able to lead.
func (elc *Elector) Ready() bool { return elc.self.Ready }

// HandleHeartbeat takes in what another instance reports of itself. It returns whether that instance was unknown before (fresh), and
// whether it is new or its tokens, readiness or leaving have changed, or the divisions by which it leads.
func (elc *Elector) HandleHeartbeat(ins Instance) (fresh, changed bool) {
	old := elc.peers[ins.ID]
	elc.peers[ins.ID] = &ins
	elc.everHadPeers = true
	delete(elc.contest.unheard, ins.ID)
	switch {
	case old == nil:
		elc.claims.set(ins.ID, nil, ins.Leads)
		fresh, changed = true, true
	case !maps.Equal(old.Leads, ins.Leads):
		elc.claims.set(ins.ID, old.Leads, ins.Leads)
		changed = true
	default:
		changed = old.Ready != ins.Ready || old.Stopping != ins.Stopping || old.Leaving != ins.Leaving ||
			len(ins.Leads) > 0 && !maps.Equal(old.Divisions, ins.Divisions)
	}
	elc.changed = elc.changed || changed
	return fresh, changed
}

// HandleInstanceLost removes another instance; silent says that its heartbeats stopped without any sign that its process has ended.
func (elc *Elector) HandleInstanceLost(now time.Time, id shard.InstanceID, silent bool) {
	ins := elc.peers[id]
	if ins == nil {
		return
	}
	if silent && ins.Domain == elc.self.Domain {
		elc.countSilent(now)
	}
	if silent {
		elc.noteSilent(now, id)
	}
	elc.claims.set(id, ins.Leads, nil)
	elc.changed = true
	delete(elc.peers, id)
	if len(elc.peers) == 0 {
		elc.lastPeerLostAt = now
	}
}

// HandleTakeover takes note that the own instance has begun to lead a shard.
func (elc *Elector) HandleTakeover(now time.Time, name shard.Name, token int64) {
	elc.self.Leads[name] = token
	elc.claims.add(elc.self.ID, name, token)
	elc.takeoverAt, elc.changed = now, true
	delete(elc.takeableSince, name)
}

// HandleLeadershipEnd takes note that the own instance leads a shard no more. If it was fenced, that is, met a higher token although no
// other leader was heard, it takes the shard over again only after a backoff.
func (elc *Elector) HandleLeadershipEnd(now time.Time, name shard.Name, fenced bool) {
	delete(elc.self.Leads, name)
	elc.claims.remove(elc.self.ID, name)
	elc.changed = true
	if !fenced {
		return
	}
	elc.handleFenced(now, name)
	bck := elc.backoffs[name]
	if now.Sub(bck.until) > elc.cfg.MaxBackoff {
		bck.count = 0 // The last loss has nothing to do with this one.
	}
	pause := min(elc.cfg.InitialBackoff<<min(bck.count, maxBackoffDoublings), elc.cfg.MaxBackoff)
	elc.backoffs[name] = backoff{until: now.Add(pause), count: bck.count + 1}
}

// maxBackoffDoublings keeps the doubled InitialBackoff from overflowing. It is above the seven doublings that reach MaxBackoff.
const maxBackoffDoublings = 16

// Peers returns the other instances that are heard, by ID.
func (elc *Elector) Peers() map[shard.InstanceID]*Instance { return elc.peers }

// DutyRank returns the own place, 0 for the first, in the order by hash of all instances for a duty that one of them is to do; an
// instance whose ID is the duty's name is left out.
func (elc *Elector) DutyRank(duty string) int {
	own := xxhash.Sum64String(duty + " " + string(elc.self.ID))
	rnk := 0
	for id := range elc.peers {
		if string(id) != duty && xxhash.Sum64String(duty+" "+string(id)) < own {
			rnk++
		}
	}
	return rnk
}

// HasLeaderlessShard reports whether any shard of a failure domain has no known leader.
func (elc *Elector) HasLeaderlessShard(domain string) bool {
	for _, shd := range elc.shards {
		if shd.Domain != domain {
			continue
		}
		if led, _ := elc.Leader(shd); led == "" {
			return true
		}
	}
	return false
}

// LeadsAny reports whether the own instance leads at least one shard.
func (elc *Elector) LeadsAny() bool { return len(elc.self.Leads) > 0 }

// Leader returns the known leader of a shard and its fencing token, or "" if there is none.
func (elc *Elector) Leader(shd Shard) (shard.InstanceID, int64) {
	return elc.claims.newest(shd.Name)
}

// LastLeader returns the leader that a shard was last seen to have by Decide and when, or "" if it never had one.
func (elc *Elector) LastLeader(name shard.Name) (shard.InstanceID, time.Time) {
	lst := elc.lastLeaders[name]
	return lst.id, lst.at
}

// Superseded returns, in the order of their names, the shards led by the own instance that another one leads with a newer token.
func (elc *Elector) Superseded() []shard.Name {
	var names []shard.Name
	for name := range elc.self.Leads {
		if led, _ := elc.claims.newest(name); led != elc.self.ID {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Decide returns the shards to take over now, at most one; it is called on each tick. The next one waits until the other instances have
// heard of the first: an instance that took all at once led its whole failure domain and ran out of processor time, while one as strong
// led none.
func (elc *Elector) Decide(now time.Time) (take []Shard) {
	for _, shd := range elc.shardsToCheck(now) {
		led, _ := elc.Leader(shd)
		_, mine := elc.self.Leads[shd.Name]
		if !mine && len(take) == 0 && elc.shouldTakeOver(now, shd, led) {
			take = append(take, shd)
		}
		if _, waits := elc.takeableSince[shd.Name]; led == "" || waits {
			elc.unsettled = append(elc.unsettled, shd)
		}
	}
	if len(take) > 0 && now.Sub(elc.takeoverAt) < elc.cfg.TakeoverDelay {
		take = nil
	}
	return take
}

// shardsToCheck returns the shards to decide about: all of them after a change or once RecheckInterval has passed, else the unsettled
// ones, which may get a new leader by time alone. It empties unsettled.
func (elc *Elector) shardsToCheck(now time.Time) []Shard {
	shs := elc.shards
	if !elc.changed && now.Sub(elc.checkedAt) < elc.cfg.RecheckInterval {
		shs = elc.unsettled
	} else {
		elc.changed, elc.checkedAt = false, now
	}
	elc.unsettled = nil
	return shs
}

// shouldTakeOver reports whether the own instance is to take a shard over now; led is the shard's known leader, or "".
func (elc *Elector) shouldTakeOver(now time.Time, shd Shard, led shard.InstanceID) bool {
	if !elc.self.Ready || elc.self.Stopping || elc.BarredFor(now) > 0 || now.Before(elc.backoffs[shd.Name].until) {
		return false
	}
	if led != "" {
		elc.lastLeaders[shd.Name] = lastLeader{id: led, at: now}
		if !elc.replaceable(now, shd, led) {
			delete(elc.takeableSince, shd.Name)
			return false
		}
	} else if _, had := elc.lastLeaders[shd.Name]; had && (now.Sub(elc.pausedAt) < elc.cfg.PauseGrace || elc.maybeOverloaded(now)) {
		return false
	}
	since, waiting := elc.takeableSince[shd.Name]
	if !waiting {
		elc.takeableSince[shd.Name] = now
		since = now
	}
	delay := elc.cfg.TakeoverDelay
	if elc.self.Domain != shd.Domain {
		delay = elc.cfg.ForeignTakeoverDelay
	}
	before := elc.candidatesBefore(shd)
	if before > 0 && (led != "" || elc.self.Domain != shd.Domain) {
		return false
	}
	// Candidates with a better rank may be paused and not act.
	delay += time.Duration(before) * elc.cfg.CandidateDelay
	return now.Sub(since) >= delay && now.Sub(elc.readyAt) >= elc.cfg.ReadyDelay && !elc.maybeIsolated(now)
}
