package shard

import (
	"math"
	"time"
)

const (
	// InTimeMargin is by how much the logarithm of the time left must exceed that of the expected run time for a task to count as in time on a
	// server, to leaders and owners: one standard deviation between the tasks of a step.
	InTimeMargin = 0.15
	// latenessStep is the width of the classes of servers on which a task is expected to be late.
	latenessStep = 0.1
	// hopelessMargin is how far from in time a task may be on the fastest free server for speeds to decide.
	hopelessMargin = -0.3
	// waitMargin is by how much more than InTimeMargin the time left must exceed the run time on the fastest server for a task to wait for one.
	waitMargin = 0.05
	// waitGain is ln 1.8, by how much the fastest server must be faster than the free one for that: with less to gain, a wait costs the others in the
	// queue more than it is worth.
	waitGain = 0.588
)

// bestServer returns the best server for an order, or nil. Where speeds are used, it takes into account where the task would be in time: of the servers on
// which it would be, the one with the least free processor, and of those the slowest. A task that would be late on each free server waits while it can
// still be in time on a faster one.
func (ldr *Leader) bestServer(now time.Time, rnd *placementRound, ord *order) *freeServer {
	if !ldr.speeds.used {
		return ldr.best(rnd, ord)
	}
	if ord.Processor > rnd.mostProcessor {
		return nil
	}
	left, expected, timed := ldr.timeLeft(now, ord)
	fastest := ldr.fastestLevel(now, ord)
	timed = timed && left-expected-fastest >= hopelessMargin
	waits := timed && left-expected-fastest >= InTimeMargin+waitMargin
	var bst *freeServer
	var bstKey [3]int
	for idx := range rnd.free {
		fsv := &rnd.free[idx]
		if !ldr.canTake(fsv, ord) {
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
	if bst != nil && waits && bstKey[2] > 0 && bst.srv.spd.level.Mean()-fastest >= waitGain {
		ldr.noteSpeedWait(ord)
		return nil
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
	return left, expected, known
}

// fastestLevel returns the level of the fastest server that accepts tasks, isn't set aside for more urgent ones, and could run an order if it were idle;
// +Inf if there is none.
func (ldr *Leader) fastestLevel(now time.Time, ord *order) float64 {
	least := math.Inf(1)
	for _, srv := range ldr.serverList {
		fits := srv.ent.Processor >= ord.Processor && srv.ent.Memory >= ord.Memory && srv.suits(ord) && !srv.isAside(priorityOf(ord))
		if fits && ldr.takesTasks(now, srv) {
			least = min(least, srv.spd.level.Mean())
		}
	}
	return least
}

// lateness returns the class of a server on which a task has some slack, the logarithm of the time left over the expected run time: 0 if the task is in
// time there.
func lateness(slack float64) int {
	if slack >= InTimeMargin {
		return 0
	}
	return 1 + int((InTimeMargin-slack)/latenessStep)
}

func lessKey(one, two [3]int) bool {
	for idx := range one {
		if one[idx] != two[idx] {
			return one[idx] < two[idx]
		}
	}
	return false
}

// fitsBetter reports whether the server has less free processor than another, or the same and is slower.
func (fsv *freeServer) fitsBetter(oth *freeServer) bool {
	if one, two := fsv.srv.spd.level.Mean(), oth.srv.spd.level.Mean(); fsv.processor == oth.processor && one != two {
		return one > two
	}
	return fsv.tighter(oth)
}
