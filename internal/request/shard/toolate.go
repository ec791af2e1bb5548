package shard

import "time"

// ratesKnownAfter is the time after a takeover from which the drain rates are reliable.
const ratesKnownAfter = 10 * drainInterval

// returnTooLateOrders returns waiting orders to their owners that would not be done while their answers are of use.
//
// This is for overload. Owners admit jobs independently, by the loads that leaders sent, and together may admit more than fits. Callers
// that learn this only when their time is over, two seconds later, could have gone elsewhere, and their orders hide how long the rest
// waits. Orders of started jobs stay.
func (ldr *Leader) returnTooLateOrders(now time.Time) {
	all := ldr.serviceRate()
	if len(ldr.que.orders) == 0 || now.Sub(ldr.takeoverAt) < ratesKnownAfter || all == 0 {
		return // The drain rates are not known yet, or no server answers.
	}
	ranked := ldr.ranked(now, func(*order) bool { return true })
	ahead := 0.0
	for rnk, ords := range ranked {
		own := 0.0
		rate := max(ldr.rates.rate[rnk], minRateShare*all)
		for _, ord := range ords {
			wait := waitOf(max(ahead/all, own/rate) * float64(time.Millisecond))
			if ord.tooLate(now.Add(wait)) {
				ldr.returnTooLate(ord)
				continue
			}
			ahead += float64(ord.Processor)
			own += float64(ord.Processor)
		}
	}
	ldr.que.removeIf(func(ord *order) bool { return ldr.orders[ord.Task] != ord })
}

// tooLate reports whether an order that starts at start would be done too late to be of use. An order of no use on arrival, because its
// caller had sent it before or its route has no objective, was admitted to wait for low load and is never too late.
func (ord *order) tooLate(start time.Time) bool {
	if ord.Reassigned || ord.jobStarted() || !ord.UsefulUntil.After(ord.Arrived) {
		return false
	}
	return start.Add(ord.ExpectedRunTime).After(ord.UsefulUntil)
}

// returnTooLate returns one order to its owner as too late.
func (ldr *Leader) returnTooLate(ord *order) {
	delete(ldr.orders, ord.Task)
	ldr.emit(SendReport{Owner: ord.Owner, Report: Report{
		Task: ord.Task, Token: ldr.token, Outcome: NotRun, MayHaveRun: ord.mayHaveRun, Reason: WouldEndTooLate, TooLate: true,
	}})
}
