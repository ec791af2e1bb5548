package shard

import "time"

// Rank is a waiting task's place in the starting order, by priority, and within a priority tasks that can still be in time before those
// that will be late. Tasks whose answer is of no use any more come last, whatever their priority.
//
// This is for bursts above capacity, and for the second after a loss of power, when interrupted jobs are submitted again beside
// new ones. In order of arrival every caller would wait behind tasks that are late already, and all answers would be late. Instead the late
// tasks wait until the load falls, and most callers see no delay.
type Rank int

// Ranks is the number of ranks.
const Ranks = 2*Priorities + 1

// uselessRank is the last rank, for tasks whose answer is of no use any more.
const uselessRank Rank = Ranks - 1

// RankOf returns the rank of work of a priority that would be done at done, is due at due and is of use until usefulUntil.
func RankOf(priority int, done, due, usefulUntil time.Time) Rank {
	rnks := RanksOf(priority)
	switch {
	case !done.After(due):
		return rnks[0]
	case !done.After(usefulUntil):
		return rnks[1]
	}
	return rnks[2]
}

// RanksOf returns the three ranks in which work of a priority may wait: in time, late and of no use.
func RanksOf(priority int) [3]Rank {
	pri := Rank(min(max(priority, 0), Priorities-1))
	return [...]Rank{2 * pri, 2*pri + 1, uselessRank}
}

// rank returns the rank of an order. An order of a started job, in this shard or another, counts as in time while it can be done while of
// use: if the last tasks of the job waited behind others, the work done for it would be lost.
func (ldr *Leader) rank(now time.Time, ord *order) Rank {
	done := now.Add(ord.ExpectedRunTime)
	if ord.jobStarted() && !done.After(ord.UsefulUntil) {
		done = ord.Due
	}
	return RankOf(ord.Priority, done, ord.Due, ord.UsefulUntil)
}

// drainRates estimates how fast the waiting tasks of each rank start, and so how long one more would wait: a rank that others pass gets few
// starts, however large the pool is. It counts the processor that the tasks need, in thousandths of a core.
type drainRates struct {
	// rate is the processor of the tasks that start per millisecond.
	rate [Ranks]float64
	// started is the processor of the tasks started since the last update, waited that of those waiting at the last update.
	started, waited [Ranks]float64
	at              time.Time
}

const (
	// drainInterval covers about ten ends of tasks in a small shard.
	drainInterval = 50 * time.Millisecond
	// stuckRunTimes is how many mean run times may pass without a start before the queue counts as stuck.
	stuckRunTimes = 3
	// drainWeight makes a rate follow within four intervals, the time that callers of the shortest jobs wait.
	drainWeight = 0.3
	// minRateShare is the least share of the service rate that a rank is assumed to have, which keeps its wait finite.
	minRateShare = 0.01
)

// update adjusts the rates to what has started and what waits; a rank of which nothing waited has the whole service rate. While nothing
// starts at all, as in a small shard of long runs, no rank is being passed, and the time counts towards the next start.
func (drn *drainRates) update(now time.Time, serviceRate float64, meanRun time.Duration, waiting [Ranks]int64) {
	if drn.at.IsZero() {
		drn.at = now
		for rnk := range drn.rate {
			drn.rate[rnk] = serviceRate
		}
	}
	span := now.Sub(drn.at)
	noStarts := drn.started == [Ranks]float64{} && waiting != [Ranks]int64{}
	if span < drainInterval || noStarts && span < stuckRunTimes*meanRun {
		return
	}
	for rnk := range drn.rate {
		seen := serviceRate
		if drn.waited[rnk] > 0 && waiting[rnk] > 0 {
			seen = min(seen, drn.started[rnk]/float64(span.Milliseconds()))
		}
		drn.rate[rnk] += drainWeight * (seen - drn.rate[rnk])
		drn.started[rnk], drn.waited[rnk] = 0, float64(waiting[rnk])
	}
	drn.at = now
}

// waits returns how long one more task of each rank would wait.
func (drn *drainRates) waits(serviceRate float64, waiting [Ranks]int64) [Ranks]time.Duration {
	var wts [Ranks]time.Duration
	all := max(serviceRate, 1)
	ahead := 0.0
	for rnk := range wts {
		ahead += float64(waiting[rnk])
		own := float64(waiting[rnk]) / max(drn.rate[rnk], minRateShare*all)
		wts[rnk] = waitOf(max(ahead/all, own) * float64(time.Millisecond))
	}
	return wts
}
