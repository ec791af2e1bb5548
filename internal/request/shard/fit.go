package shard

import (
	"math"
	"time"
)

const (
	// inTimeMargin is by how much the logarithm of the time left must exceed that of the expected run time for a task to count as in time on a
	// server: one standard deviation between the tasks of a step.
	inTimeMargin = 0.15
	// latenessStep is the width of the classes of servers on which a task is expected to be late.
	latenessStep = 0.1
	// hopelessMargin is how far from in time a task may be on the fastest free server for speeds to decide.
	hopelessMargin = -0.3
)

// bestServer returns the best server for an order, or nil. Where speeds are used, it takes into account where the task would be in time: of the servers on
// which it would be, the one with the least free processor, and of those the slowest.
func (ldr *Leader) bestServer(now time.Time, rnd *placementRound, ord *order) *freeServer {
	if !ldr.speeds.used {
		return rnd.free.best(ord, rnd.mostProcessor)
	}
	if ord.Processor > rnd.mostProcessor {
		return nil
	}
	left, expected, timed := ldr.timeLeft(now, ord)
	var bst *freeServer
	var bstKey [3]int
	for idx := range rnd.free {
		fsv := &rnd.free[idx]
		if fsv.processor < ord.Processor || fsv.memory < ord.Memory || !fsv.srv.suits(ord) {
			continue
		}
		key := [3]int{fsv.mismatch(ord), 0, 0}
		if fsv.srv.spd.change.Suspect() {
			key[1] = 1
		}
		if timed {
			key[2] = lateness(left - expected - fsv.srv.spd.level.Mean())
		}
		if bst == nil || lessKey(key, bstKey) || key == bstKey && fsv.fitsBetter(bst) {
			bst, bstKey = fsv, key
		}
	}
	return bst
}

// timeLeft returns the logarithms of the time until an order is due and of its expected run time on an average server, in seconds, and whether the speed
// of its server can decide if it is in time.
func (ldr *Leader) timeLeft(now time.Time, ord *order) (left, expected float64, timed bool) {
	due := ord.Due.Sub(now)
	if due <= 0 {
		return 0, 0, false
	}
	expected, _, _, known := ldr.expectedAverage(nil, ord)
	left = math.Log(due.Seconds())
	return left, expected, known && left-expected >= hopelessMargin+ldr.fastestLevel()
}

// fastestLevel returns the level of the fastest server that accepts tasks.
func (ldr *Leader) fastestLevel() float64 {
	least := 0.0
	for _, srv := range ldr.serverList {
		if srv.inService() {
			least = min(least, srv.spd.level.Mean())
		}
	}
	return least
}

// lateness returns the class of a server on which a task has some slack, the logarithm of the time left over the expected run time: 0 if the task is in
// time there.
func lateness(slack float64) int {
	if slack >= inTimeMargin {
		return 0
	}
	return 1 + int((inTimeMargin-slack)/latenessStep)
}

func lessKey(one, two [3]int) bool {
	for idx := range one {
		if one[idx] != two[idx] {
			return one[idx] < two[idx]
		}
	}
	return false
}

// fitsBetter reports whether the server has less free processor than another, or the same and is slower; server IDs break ties.
func (fsv *freeServer) fitsBetter(oth *freeServer) bool {
	if fsv.processor != oth.processor {
		return fsv.processor < oth.processor
	}
	if one, two := fsv.srv.spd.level.Mean(), oth.srv.spd.level.Mean(); one != two {
		return one > two
	}
	return fsv.srv.ent.ID < oth.srv.ent.ID
}
