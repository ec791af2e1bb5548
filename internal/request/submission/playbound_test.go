package submission_test

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// boundQueue is one queue before all servers that knows all run times and all room, without delay of messages: by priority, in time before late,
// and by due time. It refuses what can't be of use, and gives a task the slowest server on which it is in time.
type boundQueue struct {
	sim     *simulation
	waiting []*boundJob
}

type boundJob struct {
	*playJob
	// left has the tasks that were not started, the longest first; running counts those that run.
	left    []int
	running int
	isLate  bool
}

// boundRoom is what a server has free.
type boundRoom struct{ processor, memory int64 }

// bound returns what such a queue makes of the jobs of a play.
func bound(prm playParams) *playReport {
	que := &boundQueue{sim: newSimulation(prm)}
	sim := que.sim
	for _, jb := range sim.order {
		bjb := &boundJob{playJob: jb}
		for num := range jb.works {
			bjb.left = append(bjb.left, num)
		}
		slices.SortFunc(bjb.left, func(one, two int) int { return cmp.Compare(jb.works[two], jb.works[one]) })
		at := jb.arrived.Sub(sim.from)
		if prm.Load == outageLoad && at >= outageFrom && at < outageTo {
			at += resendDelay
		}
		sim.after(at, func() {
			jb.sentAt = sim.now
			que.waiting = append(que.waiting, bjb)
			que.place()
		})
	}
	sim.sampleRoom()
	sim.run(prm.Duration + drainTime)
	return sim.rep
}

// place starts what can start.
func (que *boundQueue) place() {
	sim := que.sim
	most := slices.Max(sim.prm.Deployment.speeds[:])
	for _, bjb := range que.waiting {
		least := time.Duration(float64(bjb.works[bjb.left[0]]) / most)
		took := sim.now.Sub(bjb.arrived) + least
		bjb.isLate = took > bjb.limit
		if took > lateFactor*bjb.limit && bjb.running == 0 && len(bjb.left) == len(bjb.works) {
			bjb.left = nil
			sim.finish(bjb.playJob, 0, refused)
		}
	}
	que.waiting = slices.DeleteFunc(que.waiting, func(bjb *boundJob) bool { return len(bjb.left) == 0 })
	slices.SortStableFunc(que.waiting, func(one, two *boundJob) int {
		lateness := func(bjb *boundJob) int { return map[bool]int{true: 1}[bjb.isLate] }
		return cmp.Or(cmp.Compare(one.priority, two.priority), cmp.Compare(lateness(one), lateness(two)),
			one.arrived.Add(one.limit).Compare(two.arrived.Add(two.limit)))
	})
	free, largest := make([]boundRoom, len(sim.servers)), int64(0)
	for num, srv := range sim.servers {
		free[num].processor, free[num].memory = srv.free()
		largest = max(largest, free[num].processor)
	}
	for _, bjb := range que.waiting {
		for len(bjb.left) > 0 && bjb.processor <= largest {
			num := que.choose(bjb, free)
			if num < 0 {
				break
			}
			free[num].processor, free[num].memory = free[num].processor-bjb.processor, free[num].memory-taskMemory
			que.start(bjb, sim.servers[num])
		}
	}
	que.waiting = slices.DeleteFunc(que.waiting, func(bjb *boundJob) bool { return len(bjb.left) == 0 })
}

// choose returns the number of the server for a job's longest task: the slowest on which it is in time, or the fastest if it is in time on none, and
// of those the one with the least room; -1 if none has room.
func (que *boundQueue) choose(bjb *boundJob, free []boundRoom) int {
	best, least := -1, math.Inf(1)
	work := bjb.works[bjb.left[0]]
	rest := bjb.limit - que.sim.now.Sub(bjb.arrived)
	for num, srv := range que.sim.servers {
		if free[num].processor < bjb.processor || free[num].memory < taskMemory {
			continue
		}
		took := time.Duration(float64(work) / srv.speed)
		cost := float64(free[num].processor) / 1e9
		if took <= rest {
			cost += srv.speed
		} else {
			cost += 1e3 / srv.speed
		}
		if cost < least {
			best, least = num, cost
		}
	}
	return best
}

// start starts a job's longest task on a server.
func (que *boundQueue) start(bjb *boundJob, srv *playServer) {
	sim := que.sim
	num := bjb.left[0]
	bjb.left = bjb.left[1:]
	bjb.running++
	rn := &playRun{jb: bjb.playJob, task: num, from: sim.clock()}
	srv.runs = append(srv.runs, rn)
	took := time.Duration(float64(bjb.works[num]) / srv.speed)
	sim.after(took, func() {
		srv.runs = slices.DeleteFunc(srv.runs, func(oth *playRun) bool { return oth == rn })
		bjb.coreSeconds += took.Seconds() * float64(bjb.processor) / 1000
		bjb.running--
		if bjb.running == 0 && len(bjb.left) == 0 {
			sim.finish(bjb.playJob, 0, sim.outcomeOf(bjb.playJob, 0))
		}
		que.place()
	})
}
