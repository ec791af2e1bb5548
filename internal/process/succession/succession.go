package succession

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// Instance is what is known of an entry instance that is heard.
type Instance struct {
	ID     shard.InstanceID
	Domain string
	// Cores is the share of a core that the instance has.
	Cores      float64
	Ready, Leaving bool
	// Leads has the fencing token of each shard that the instance leads.
	Leads map[shard.Name]int64
}

// Shard is a part of the pool and the failure domain that its backend servers stand in.
type Shard struct {
	Name   shard.Name
	Domain string
}

// Config has the times that a Council works with.
type Config struct {
	// TakeoverDelay is how long a shard may look as if it had no leader before another one takes it over: a
	// leader that was just heard for the first time may not have said yet what it leads.
	TakeoverDelay time.Duration
	// ForeignTakeoverDelay is the patience with shards of another failure domain, whose own instances should go first:
	// when all start at once they do so within 0.3 s.
	ForeignTakeoverDelay time.Duration
	// ReadyDelay is how long an instance that has become ready listens before it leads: the others have said by then what they
	// lead and that they are ready, too, which may wait for the next beat. With 60 ms, two that had started together both
	// took a shard in one of twenty plays, and its jobs waited for a second.
	ReadyDelay time.Duration
	// IsolationTimeout is how long an instance that hears nobody waits before it takes over what others led: it is
	// more likely cut off than the last one.
	IsolationTimeout time.Duration
	// PauseGrace is for how long an instance that was short of processor does not trust what it missed: it may have lost
	// leaders that were fine.
	PauseGrace time.Duration
	// CandidateDelay is how much longer than the instance before it each further candidate waits.
	CandidateDelay time.Duration
	// ReturnDelay is how long an instance is ready before it takes over a shard of its failure domain from one
	// outside.
	ReturnDelay time.Duration
	// RecheckInterval is how often all shards are looked at where nothing has changed: one whose leader may make way is found so.
	RecheckInterval time.Duration
	// InitialBackoff is the first pause after a shard was lost to another leader; it doubles with each loss.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultConfig returns the times for instances that beat each 100 ms and are missed after 400 ms.
func DefaultConfig() Config {
	return Config{
		TakeoverDelay:   30 * time.Millisecond,
		ForeignTakeoverDelay:    400 * time.Millisecond,
		ReadyDelay:   110 * time.Millisecond,
		IsolationTimeout:      1500 * time.Millisecond,
		PauseGrace:     500 * time.Millisecond,
		CandidateDelay:       250 * time.Millisecond,
		ReturnDelay:     500 * time.Millisecond,
		RecheckInterval:       250 * time.Millisecond,
		InitialBackoff:    50 * time.Millisecond,
		MaxBackoff: 5 * time.Second,
	}
}

// Elector knows the instances and the shards, as seen from one instance.
type Elector struct {
	cfg       Config
	self      Instance
	started   time.Time
	readyAt   time.Time
	others    map[shard.InstanceID]*Instance
	everHeard bool
	// aloneAt is when the last other instance was lost.
	aloneAt time.Time
	shards  []Shard
	// tookAt is when the own instance last took a shard over.
	tookAt time.Time
	// heldUpAt is when the own process was last short of processor; led has the shards that were seen to have a leader.
	heldUpAt time.Time
	led      map[shard.Name]bool
	// vacant is since when a shard looks as if it had no leader.
	vacant map[shard.Name]time.Time
	// silent is how many instances of the own failure domain fell silent without a longer pause, silentAt when the last one did.
	silent   int
	silentAt time.Time
	losses   map[shard.Name]loss
	claims   claims
	// changed is set once something was heard or done that may change who leads; all shards were last looked at at lookedAt, and open
	// are those that have no leader or wait for a change of hands.
	changed  bool
	lookedAt time.Time
	open     []Shard
}

type loss struct {
	until time.Time
	times int
}

// New returns the council as an instance sees it that has heard nobody.
func New(cfg Config, self Instance, now time.Time) *Elector {
	self.Leads = map[shard.Name]int64{}
	return &Elector{
		cfg: cfg, self: self,
		started: now, aloneAt: now,
		others: map[shard.InstanceID]*Instance{}, vacant: map[shard.Name]time.Time{}, losses: map[shard.Name]loss{},
		led: map[shard.Name]bool{}, claims: claims{},
	}
}

// SetShards tells the council which shards there are.
func (cnc *Elector) SetShards(shs []Shard) { cnc.shards, cnc.changed = shs, true }

// SetReady tells the council that its own instance can lead.
func (cnc *Elector) SetReady(now time.Time) {
	if !cnc.self.Ready {
		cnc.self.Ready, cnc.readyAt, cnc.changed = true, now, true
	}
}

// SetLeaving tells the council that its own instance is to stop: others take its shards over.
func (cnc *Elector) SetLeaving() { cnc.self.Leaving = true }

// Ready reports whether the own instance can lead.
func (cnc *Elector) Ready() bool { return cnc.self.Ready }

// HandleHeartbeat takes in what an instance says of itself and reports whether it was not heard before, and whether
// anything has changed.
func (cnc *Elector) HandleHeartbeat(ins Instance) (fresh, changed bool) {
	old := cnc.others[ins.ID]
	cnc.others[ins.ID] = &ins
	cnc.everHeard = true
	switch {
	case old == nil:
		cnc.claims.set(ins.ID, nil, ins.Leads)
		fresh, changed = true, true
	case !maps.Equal(old.Leads, ins.Leads):
		cnc.claims.set(ins.ID, old.Leads, ins.Leads)
		changed = true
	default:
		changed = old.Ready != ins.Ready || old.Leaving != ins.Leaving
	}
	cnc.changed = cnc.changed || changed
	return fresh, changed
}

// HandleInstanceLost removes an instance that is not heard any more; a silent one was not seen to end.
func (cnc *Elector) HandleInstanceLost(now time.Time, id shard.InstanceID, silent bool) {
	ins := cnc.others[id]
	if ins == nil {
		return
	}
	if silent && ins.Domain == cnc.self.Domain {
		cnc.noteSilent(now)
	}
	cnc.claims.set(id, ins.Leads, nil)
	cnc.changed = true
	delete(cnc.others, id)
	if len(cnc.others) == 0 {
		cnc.aloneAt = now
	}
}

// HandleTakeover notes that the own instance leads a shard.
func (cnc *Elector) HandleTakeover(now time.Time, name shard.Name, token int64) {
	cnc.self.Leads[name] = token
	cnc.claims.add(cnc.self.ID, name, token)
	cnc.tookAt, cnc.changed = now, true
}

// HandleLeadershipEnd notes that the own instance leads a shard no more; fenced says that another leader's token
// was met, though nobody else was heard to lead it.
func (cnc *Elector) HandleLeadershipEnd(now time.Time, name shard.Name, fenced bool) {
	delete(cnc.self.Leads, name)
	cnc.claims.remove(cnc.self.ID, name)
	cnc.changed = true
	if !fenced {
		return
	}
	los := cnc.losses[name]
	pause := min(cnc.cfg.InitialBackoff<<min(los.times, maxDoublings), cnc.cfg.MaxBackoff)
	cnc.losses[name] = loss{until: now.Add(pause), times: los.times + 1}
}

const maxDoublings = 6

// Peers returns the instances that are heard.
func (cnc *Elector) Peers() map[shard.InstanceID]*Instance { return cnc.others }

// DutyRank returns how many of the instances that are heard go before the own one in a duty that one is to do, by
// hash: 0 is the first.
func (cnc *Elector) DutyRank(duty string) int {
	own := xxhash.Sum64String(duty + " " + string(cnc.self.ID))
	rnk := 0
	for id := range cnc.others {
		if string(id) != duty && xxhash.Sum64String(duty+" "+string(id)) < own {
			rnk++
		}
	}
	return rnk
}

// HasVacantShard reports whether a shard of a failure domain has no leader as far as is known.
func (cnc *Elector) HasVacantShard(domain string) bool {
	for _, shd := range cnc.shards {
		if shd.Domain != domain {
			continue
		}
		if led, _ := cnc.Leader(shd); led == "" {
			return true
		}
	}
	return false
}

// LeadsAny reports whether the own instance leads any shard.
func (cnc *Elector) LeadsAny() bool { return len(cnc.self.Leads) > 0 }

// Leader returns who leads a shard as far as is known, and with which fencing token; nobody is "".
func (cnc *Elector) Leader(shd Shard) (shard.InstanceID, int64) {
	return cnc.claims.strongest(shd.Name)
}

// Superseded returns the shards that the own instance leads and that another one leads with a newer token.
func (cnc *Elector) Superseded() []shard.Name {
	var names []shard.Name
	for name := range cnc.self.Leads {
		if led, _ := cnc.claims.strongest(name); led != cnc.self.ID {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Decide returns the shards to take over, one at most. The next one waits until the others have heard of the first: an instance
// that took all at once led all of its failure domain and ran out of processor, while one as strong led none.
func (cnc *Elector) Decide(now time.Time) (take []Shard) {
	for _, shd := range cnc.toDecide(now) {
		led, _ := cnc.Leader(shd)
		_, mine := cnc.self.Leads[shd.Name]
		if !mine && len(take) == 0 && cnc.shouldTake(now, shd, led) {
			take = append(take, shd)
		}
		if _, waits := cnc.vacant[shd.Name]; led == "" || waits {
			cnc.open = append(cnc.open, shd)
		}
	}
	if len(take) > 0 && now.Sub(cnc.tookAt) < cnc.cfg.TakeoverDelay {
		take = nil
	}
	return take
}

// toDecide returns the shards to look at: all after a change, and else those that might change hands by time alone. It empties open.
func (cnc *Elector) toDecide(now time.Time) []Shard {
	shs := cnc.shards
	if !cnc.changed && now.Sub(cnc.lookedAt) < cnc.cfg.RecheckInterval {
		shs = cnc.open
	} else {
		cnc.changed, cnc.lookedAt = false, now
	}
	cnc.open = nil
	return shs
}

// shouldTake reports whether the own instance is the one to take a shard over now.
func (cnc *Elector) shouldTake(now time.Time, shd Shard, led shard.InstanceID) bool {
	if !cnc.self.Ready || cnc.self.Leaving || now.Before(cnc.losses[shd.Name].until) {
		return false
	}
	if led != "" {
		cnc.led[shd.Name] = true
		if !cnc.replaceable(now, shd, led) {
			delete(cnc.vacant, shd.Name)
			return false
		}
	} else if cnc.led[shd.Name] && (now.Sub(cnc.heldUpAt) < cnc.cfg.PauseGrace || cnc.mayBeDeaf(now)) {
		return false
	}
	since, waiting := cnc.vacant[shd.Name]
	if !waiting {
		cnc.vacant[shd.Name] = now
		since = now
	}
	patience := cnc.cfg.TakeoverDelay
	if cnc.self.Domain != shd.Domain {
		patience = cnc.cfg.ForeignTakeoverDelay
	}
	before := cnc.before(shd)
	if before > 0 && (led != "" || cnc.self.Domain != shd.Domain) {
		return false
	}
	// The candidates before this one may be held up.
	patience += time.Duration(before) * cnc.cfg.CandidateDelay
	return now.Sub(since) >= patience && now.Sub(cnc.readyAt) >= cnc.cfg.ReadyDelay && !cnc.mayBeCutOff(now)
}

// replaceable reports whether a shard's leader should make way: it is leaving, or it stands in another
// failure domain while an instance of the shard's own has been ready for long enough.
func (cnc *Elector) replaceable(now time.Time, shd Shard, led shard.InstanceID) bool {
	ins := cnc.others[led]
	if ins == nil {
		return false
	}
	if ins.Leaving {
		return true
	}
	if cnc.self.Domain != shd.Domain || now.Sub(cnc.readyAt) < cnc.cfg.ReturnDelay {
		return false
	}
	return ins.Domain != shd.Domain || burden(&cnc.self, 1) <= strainRatio*burden(ins, 0)
}

// strainRatio is how much less a shard has to weigh on another instance before it changes hands: a
// change costs the shard a tenth of a second without starts.
const strainRatio = 0.5

// burden returns the shards that an instance leads, with some more, for each core that it has.
func burden(ins *Instance, more int) float64 {
	return float64(len(ins.Leads)+more) / max(ins.Cores, leastProcessor)
}

// leastProcessor keeps the burden finite for an instance that does not say what it has.
const leastProcessor = 0.01

// before returns how many instances are to lead a shard rather than the own one: those of its failure domain go first,
// then those on which it weighs least, and by hash among equals.
func (cnc *Elector) before(shd Shard) int {
	num := 0
	for _, ins := range cnc.others {
		if ins.Ready && !ins.Leaving && preferred(ins, &cnc.self, shd) {
			num++
		}
	}
	return num
}

// preferred reports whether one instance is to lead a shard rather than another.
func preferred(one, two *Instance, shd Shard) bool {
	return cmp.Or(
		-cmp.Compare(near(one, shd), near(two, shd)),
		cmp.Compare(burden(one, 1), burden(two, 1)),
		cmp.Compare(weight(one, shd), weight(two, shd)),
	) < 0
}

func near(ins *Instance, shd Shard) int {
	if ins.Domain == shd.Domain {
		return 1
	}
	return 0
}

func weight(ins *Instance, shd Shard) uint64 {
	return xxhash.Sum64String(string(ins.ID) + " " + string(shd.Name))
}
