package shard

import "time"

// A Rank is the turn of a waiting task: by priority, and within one those whose answer can still be in time before those whose
// answer will be late. What is of no use to its caller any more comes after all others, whatever its priority.
//
// It answers the load of a burst that needs more than there is, and of the second after a loss of power, when jobs that
// were cut off come again beside new ones. In the order of arrival alone, every caller waits behind those who are late
// already, and all get late answers; so the late ones wait for the lull, and most callers see no delay.
type Rank int

// Ranks is how many ranks there are.
const Ranks = 2*Priorities + 1

// overdue is the last rank.
const overdue Rank = Ranks - 1

// RankOf returns the rank of work of a priority that would be done at a time, is due at another one and is of use for a while
// after that.
func RankOf(priority int, done, aim, useful time.Time) Rank {
	rnks := RanksOf(priority)
	switch {
	case !done.After(aim):
		return rnks[0]
	case !done.After(useful):
		return rnks[1]
	}
	return rnks[2]
}

// RanksOf returns the ranks in which work of a priority may wait, the first first: in time, late and of no use.
func RanksOf(priority int) [3]Rank {
	pri := Rank(min(max(priority, 0), Priorities-1))
	return [...]Rank{2 * pri, 2*pri + 1, overdue}
}

// rank returns the turn of an order. A job that has begun is finished before others begin: left to its last task, all that
// was done for it would be lost. So it is with one that has begun in another shard.
func (ldr *Leader) rank(now time.Time, ord *order) Rank {
	done := now.Add(ord.ExpectedRunTime)
	if ord.jobBegun() && !done.After(ord.UsefulUntil) {
		done = ord.Due
	}
	return RankOf(ord.Priority, done, ord.Due, ord.UsefulUntil)
}

// drain follows how fast the tasks of each rank start while some wait, so that the wait of one more is known: of a rank that is
// passed by, few start, however large the pool is. It counts the processor that they need, in thousandths of a core.
type drain struct {
	// rate is what starts in a millisecond.
	rate [Ranks]float64
	// started and waited are since the last update.
	started, waited [Ranks]float64
	at              time.Time
}

const (
	// drainInterval is some ten ends of tasks in a small shard.
	drainInterval = 50 * time.Millisecond
	// stuckAfter is how many mean run times without a start are no pause between two ends any more.
	stuckAfter = 3
	// drainWeight makes a rate follow within four intervals, the time that callers of the shortest jobs wait.
	drainWeight = 0.3
	// leastShare of the turnover is taken for a rank's in the worst case: the wait stays finite.
	leastShare = 0.01
)

// update takes in what has started and what waits; a rank of which nothing waited has all the turnover. While nothing starts at all,
// as in a small shard of long runs, no rank is passed by, and the time counts with the next start.
func (drn *drain) update(now time.Time, turnover float64, meanRun time.Duration, waiting [Ranks]int64) {
	if drn.at.IsZero() {
		drn.at = now
		for rnk := range drn.rate {
			drn.rate[rnk] = turnover
		}
	}
	span := now.Sub(drn.at)
	none := drn.started == [Ranks]float64{} && waiting != [Ranks]int64{}
	if span < drainInterval || none && span < stuckAfter*meanRun {
		return
	}
	for rnk := range drn.rate {
		seen := turnover
		if drn.waited[rnk] > 0 && waiting[rnk] > 0 {
			seen = min(seen, drn.started[rnk]/float64(span.Milliseconds()))
		}
		drn.rate[rnk] += drainWeight * (seen - drn.rate[rnk])
		drn.started[rnk], drn.waited[rnk] = 0, float64(waiting[rnk])
	}
	drn.at = now
}

// waits returns how long one more of each rank waits.
func (drn *drain) waits(turnover float64, waiting [Ranks]int64) [Ranks]time.Duration {
	var wts [Ranks]time.Duration
	all := max(turnover, 1)
	ahead := 0.0
	for rnk := range wts {
		ahead += float64(waiting[rnk])
		own := float64(waiting[rnk]) / max(drn.rate[rnk], leastShare*all)
		wts[rnk] = time.Duration(max(ahead/all, own) * float64(time.Millisecond))
	}
	return wts
}
