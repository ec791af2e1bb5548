package submission

import (
	"time"

	"chestnutstack/internal/request/grant"
	"chestnutstack/internal/request/shard"
)

// FeatureChange announces that a feature has begun or ended to act at this owner.
type FeatureChange struct{ Change shard.FeatureChange }

func (FeatureChange) action() {}

// sharing is what a Coordinator knows of the competition of owners for free capacity.
type sharing struct {
	contention grant.Contention
	// active is set while this owner counts on a share of the free capacity in loads only.
	active bool
	// owners is the number of instances that lead a shard, as an estimate of the number of owners; 0 until a shard is known.
	owners int
	stats  ClaimStats
	// former is stats when active last changed.
	former ClaimStats
	// candidates is reused by chooseShared.
	candidates []candidate
}

// ClaimStats counts what became of the tasks for which a leader of another instance advertised free capacity.
type ClaimStats struct {
	// Made counts the orders sent for such capacity; Started and Returned those that started and those that came back because it was taken.
	Made, Started, Returned int64
	// Declined counts the tasks that were sent to a queue, as this owner's share of the capacity was used up.
	Declined int64
}

const (
	// beginContention is reached by four returns that no starts make up for; two in a row are usual for tasks of one job.
	beginContention = 4
	// endContention is reached 3.5 s after the last return, or earlier by starts.
	endContention = 1.2
	// queueSpread and queueSpreadShare are how much longer than the shortest expected wait that of a queue may be which is chosen as well. Loads
	// are up to 1.3 s old, and owners that all choose the shortest queue make it the longest one: in the second after the loss of all
	// instances a spread of 5 ms and a quarter serves a tenth fewer of the jobs in time.
	queueSpread      = 20 * time.Millisecond
	queueSpreadShare = 1
)

// ClaimStats returns the counts since the Coordinator was created.
func (crd *Coordinator) ClaimStats() ClaimStats { return crd.sharing.stats }

// Contention returns how many owners are believed to compete for the free capacity that loads advertise, 1 if sharing is off.
func (crd *Coordinator) Contention() float64 {
	return crd.sharing.contention.Level(crd.now, crd.sharing.owners)
}

// noteClaim records that a task's order is about to be sent, and whether it is one for free capacity of another instance's leader.
func (crd *Coordinator) noteClaim(tsk *task, viw *shardView, claims bool) {
	tsk.claims = claims && viw.leader != crd.cfg.Self
	switch {
	case tsk.claims:
		crd.sharing.stats.Made++
	case !claims && crd.sharing.active && viw.leader != crd.cfg.Self && viw.startableTasks(tsk.job, &tsk.job.sub.Steps[tsk.step]) > 0:
		crd.sharing.stats.Declined++
	}
}

// noteOutcome records what became of a task's order, if it was one for free capacity of another instance's leader. A return without reason is by
// a leader of an earlier version and says nothing of other owners, as does one for any other reason than that the capacity was taken.
func (crd *Coordinator) noteOutcome(tsk *task, rep *shard.Report) {
	claimed := tsk.claims
	tsk.claims = false
	if !claimed || !crd.cfg.Features.Reservations {
		return
	}
	shr := &crd.sharing
	switch {
	case rep.Outcome == shard.Started || rep.Outcome == shard.Done:
		shr.stats.Started++
		shr.contention.HandleStart(crd.now, shr.owners)
	case rep.Outcome == shard.NotRun && !tsk.recalled && (rep.Reason == shard.NoProcessor || rep.Reason == shard.NoMemory):
		shr.stats.Returned++
		shr.contention.HandleReturn(crd.now, shr.owners)
	default:
		return
	}
	crd.updateSharing()
}

// updateSharing begins or ends to count on a share of free capacity only.
func (crd *Coordinator) updateSharing() {
	shr := &crd.sharing
	lvl := crd.Contention()
	if !crd.cfg.Features.Reservations || shr.owners == 0 || shr.active && lvl > endContention || !shr.active && lvl < beginContention {
		return
	}
	shr.active = !shr.active
	crd.emitSharing(lvl)
}

// emitSharing announces that sharing has begun or ended, with the contention and the counts since it last did.
func (crd *Coordinator) emitSharing(level float64) {
	shr := &crd.sharing
	crd.emit(FeatureChange{Change: shard.FeatureChange{Feature: shard.Reservations, Active: shr.active, Figures: []shard.Figure{
		{Name: "contention", Value: level},
		{Name: "claims", Value: float64(shr.stats.Made - shr.former.Made)},
		{Name: "claims-started", Value: float64(shr.stats.Started - shr.former.Started)},
		{Name: "claims-returned", Value: float64(shr.stats.Returned - shr.former.Returned)},
		{Name: "claims-declined", Value: float64(shr.stats.Declined - shr.former.Declined)},
	}}})
	shr.former = shr.stats
}

// countOwners counts the instances that lead a shard. A shard without a leader counts as one that has its own: while leaders are lost, the
// owners that are about to send their orders again must not seem few.
func (crd *Coordinator) countOwners() {
	num := 0
	leds := make(map[shard.InstanceID]bool, len(crd.shardsByName))
	for _, viw := range crd.shardsByName {
		switch {
		case viw.leader != "":
			leds[viw.leader] = true
		case viw.kinds == nil || len(viw.kinds) > 0:
			num++
		}
	}
	crd.sharing.owners = num + len(leds)
}

// freshTime is how old a load is when it counts as one that all owners see. Each load is sent to one owner, which for a moment knows of the room
// before others do. With 50 ms, room stays unused in a burst; with more, a tenth of the orders come back.
const freshTime = 150 * time.Millisecond

// NoteTime tells the Coordinator the time of the event that is about to be passed to it, for events without one.
func (crd *Coordinator) NoteTime(now time.Time) { crd.now = now }

// contentionFor returns how many owners are believed to compete for the free capacity in a shard's load, by the age of the load and the contention
// for old ones.
func (crd *Coordinator) contentionFor(viw *shardView, contention float64) float64 {
	age := max(0, crd.now.Sub(viw.loadAt))
	return 1 + (contention-1)*min(1, float64(age)/float64(freshTime))
}

// claimableTasks returns how many tasks of a job's step this owner counts on starting at once in a shard, where a contention is expected. The loads of
// its own shards are a few milliseconds old, so that it counts on all of their capacity.
func (crd *Coordinator) claimableTasks(viw *shardView, ft *fit, contention float64) int64 {
	num := ft.startable(viw)
	if num == 0 || !crd.sharing.active || viw.leader == crd.cfg.Self {
		return num
	}
	shr := grant.Share(num+viw.sentForRoom, contention, string(crd.cfg.Self), string(viw.name), viw.load.Number)
	return min(num, max(0, shr-viw.sentForRoom))
}

// candidate is a shard that may be chosen for a task.
type candidate struct {
	viw *shardView
	// claimable is set if the task is expected to start at once.
	claimable bool
	// delay is the expected delay of the start, weight the probability of the choice among candidates of about the same delay.
	delay  time.Duration
	weight int64
}

// chooseShared is chooseShard while owners compete for free capacity. Among the shards of about the least delay it chooses one by a hash.
// Where this owner's share of the free capacity is used up, the task goes to a queue, as if there were none: owners that all preferred the queues
// beside free capacity would have them grow.
func (crd *Coordinator) chooseShared(tsk *task, stp *Step) (*shardView, bool) {
	cands, contention := crd.sharing.candidates[:0], crd.Contention()
	ft := crd.newFit(tsk, stp)
	var least time.Duration
	bestSuits := false
	for _, viw := range crd.shardsByName {
		suits := viw.suits(tsk.job, stp)
		if !viw.acceptsWork() || bestSuits && !suits {
			continue
		}
		cnd := crd.candidateFor(viw, tsk, ft, contention)
		if len(cands) == 0 || suits && !bestSuits {
			cands, least, bestSuits = cands[:0], cnd.delay, suits
		}
		least = min(least, cnd.delay)
		cands = append(cands, cnd)
	}
	crd.sharing.candidates = cands
	var bst *candidate
	var bestScore float64
	for idx := range cands {
		cnd := &cands[idx]
		most := least
		if !cnd.claimable {
			most += queueSpread + queueSpreadShare*least
		}
		if cnd.delay > most {
			continue
		}
		score := grant.Weigh(tsk.name, string(cnd.viw.name), cnd.weight)
		if bst == nil || cnd.claimable && !bst.claimable || cnd.claimable == bst.claimable && score > bestScore {
			bst, bestScore = cnd, score
		}
	}
	if bst == nil {
		return nil, false
	}
	return bst.viw, bst.claimable
}

// candidateFor returns a shard as a candidate for a task, at a contention for old loads.
func (crd *Coordinator) candidateFor(viw *shardView, tsk *task, ft *fit, contention float64) candidate {
	cnd := candidate{viw: viw, delay: crd.startDelay(viw, tsk.job)}
	if num := crd.claimableTasks(viw, ft, crd.contentionFor(viw, contention)); num > 0 {
		cnd.claimable, cnd.weight = true, num
		return cnd
	}
	cnd.delay += minWaitWhenFull + viw.load.CapacityWait(crd.rank(tsk.job), viw.sentSinceLoad)
	cnd.weight = max(viw.load.ServiceRate, 1)
	return cnd
}
