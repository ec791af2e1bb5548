package shard

import "time"

// SetClosed tells the leader whether the failure domain of its servers is closed to new work. What runs there finishes; what waits goes
// back to its owners, who order it elsewhere.
//
// It answers an operator who empties a failure domain while it is full: orders left in its queues until it opens again would run into
// their callers' deadlines.
func (ldr *Leader) SetClosed(now time.Time, closed bool) []Action {
	ldr.closed = closed
	ldr.advance(now, nil)
	return ldr.take()
}

// RunsWhileClosed returns how many runs are still there of a closed shard, 0 of an open one.
func (ldr *Leader) RunsWhileClosed() int {
	num := 0
	if ldr.closed {
		for _, srv := range ldr.servers {
			num += len(srv.runs)
		}
	}
	return num
}

// turnAway gives back all waiting orders but those that may still run here.
func (ldr *Leader) turnAway(now time.Time) {
	for _, ord := range ldr.que.orders {
		if !ord.Reassigned || !now.Before(ord.notBefore) {
			ldr.bounce(ord)
		}
	}
	ldr.que.dropIf(func(ord *order) bool { return ldr.orders[ord.Task] != ord })
}
