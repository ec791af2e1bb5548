package shard

import "time"

// SetClosed sets whether the failure domain of the shard is closed to new work. While it is, runs finish and waiting orders are returned to
// their owners, which send them to other leaders.
//
// This lets an operator empty a full failure domain: orders left in its queues until it opens again would miss their deadlines.
func (ldr *Leader) SetClosed(now time.Time, closed bool) []Action {
	ldr.closed = closed
	ldr.advance(now, nil)
	return ldr.takeActions()
}

// RunsWhileClosed returns how many runs a closed shard still has; 0 for an open one.
func (ldr *Leader) RunsWhileClosed() int {
	num := 0
	if ldr.closed {
		for _, srv := range ldr.serverList {
			num += len(srv.runs)
		}
	}
	return num
}

// returnWaiting returns all waiting orders to their owners, except reassigned ones whose task may still run here.
func (ldr *Leader) returnWaiting(now time.Time) {
	for _, ord := range ldr.que.orders {
		if !ord.Reassigned || ldr.mayPlace(now, ord) {
			ldr.returnOrder(ord, DomainClosed)
		}
	}
	ldr.que.removeIf(func(ord *order) bool { return ldr.orders[ord.Task] != ord })
}
