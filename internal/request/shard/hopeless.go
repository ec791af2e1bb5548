package shard

import "time"

// knownAfter is how long after a take-over a leader knows how fast its queue goes.
const knownAfter = 10 * drainInterval

// giveBackHopeless gives waiting orders back that would not be done while their answers are of use.
//
// It answers an overload. Owners admit by what leaders told them, each for itself, and more than fits; those who hear that only when
// their time is over, two seconds later, could have gone elsewhere, and what the rest waits for is hidden behind them.
// Orders of jobs of which a task has begun stay.
func (ldr *Leader) giveBackHopeless(now time.Time) {
	all := ldr.turnover()
	if len(ldr.que.orders) == 0 || now.Sub(ldr.since) < knownAfter || all == 0 {
		return // How fast the queue goes is not known; while no server answers, it is not known either.
	}
	ranked := ldr.ranked(now, func(*order) bool { return true })
	ahead := 0.0
	for rnk, ords := range ranked {
		own := 0.0
		rate := max(ldr.drn.rate[rnk], leastShare*all)
		for _, ord := range ords {
			wait := time.Duration(max(ahead/all, own/rate) * float64(time.Millisecond))
			if ord.hopeless(now.Add(wait)) {
				ldr.giveBack(ord)
				continue
			}
			ahead += float64(ord.Processor)
			own += float64(ord.Processor)
		}
	}
	ldr.que.dropIf(func(ord *order) bool { return ldr.orders[ord.Task] != ord })
}

// hopeless reports whether an order that would start at a time is of no use any more. What was of none when it came, as its caller had
// sent it before or its route says no objective, was admitted for a lull and waits for one.
func (ord *order) hopeless(start time.Time) bool {
	if ord.Reassigned || ord.jobBegun() || !ord.UsefulUntil.After(ord.Arrived) {
		return false
	}
	return start.Add(ord.ExpectedRunTime).After(ord.UsefulUntil)
}

func (ldr *Leader) giveBack(ord *order) {
	delete(ldr.orders, ord.Task)
	ldr.do(SendReport{Owner: ord.Owner, Report: Report{
		Task: ord.Task, Token: ldr.token, Outcome: NotRun, MayHaveRun: ord.mayHaveRun, TooLate: true,
	}})
}
