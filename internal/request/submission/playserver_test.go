package submission_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// playServer is a backend server. It starts whatever the leader with the highest token tells it to, and reports what breaks LIMIT and TWICE.
type playServer struct {
	sim        *simulation
	ent        shard.ServerEntry
	speed      float64
	token, seq int64
	free       int64 // The processor that no run takes up.
	runs       []*playRun
	ended      []shard.End
	held       []func() // Answers to the renewals that wait for an end.
}

// playRun is a run of a task. It has from, until and lease by the server's clock.
type playRun struct {
	id                 shard.RunID
	jb                 *playJob
	task               *playTask
	from, until, lease time.Duration
}

const stopTime = 50 * time.Millisecond

// clock returns the time on all servers' clocks.
func (sim *simulation) clock() time.Duration { return time.Minute + sim.now.Sub(sim.from) }

func (sim *simulation) serverOf(id shard.ServerID) *playServer {
	num, _ := strconv.Atoi(string(id[1:])) // addServer names them.
	return sim.servers[num]
}

// fences reports whether a token is outdated, else notes it.
func (srv *playServer) fences(token int64) bool {
	srv.token = max(srv.token, token)
	return token < srv.token
}

func (srv *playServer) start(act *shard.StartRun) shard.CallResult {
	if srv.fences(act.Token) {
		return shard.Fenced
	}
	sim, pts := srv.sim, strings.Split(act.Run.Task, ".")
	num, _ := strconv.Atoi(pts[len(pts)-1]) // The Coordinator names the tasks.
	jb := sim.jobs[pts[0]]
	tsk := &jb.tasks[num]
	if tsk.live > 0 || tsk.done {
		sim.rep.violate("TWICE", fmt.Sprintf("task %s on %s: %d live, done %t", act.Run.Task, srv.ent.ID, tsk.live, tsk.done))
	}
	if srv.free < jb.processor || int64(len(srv.runs)+1)*taskMemory > srv.ent.Memory {
		sim.rep.violate("LIMIT", fmt.Sprintf("task %s on %s: %d of %d, beside %d runs", act.Run.Task, srv.ent.ID, jb.processor, srv.free, len(srv.runs)))
	}
	took, kind := tsk.on(srv.speed), shard.EndedDone
	if tsk.fails {
		took, kind = took/2, shard.EndedFailed
	}
	tsk.live, tsk.fails, jb.started = tsk.live+1, false, true
	sim.rep.count(&sim.rep.starts)
	rn := &playRun{id: act.Run, jb: jb, task: tsk, from: sim.clock(), until: sim.clock() + took, lease: act.LeaseUntil}
	srv.runs, srv.free = append(srv.runs, rn), srv.free-jb.processor
	sim.after(took, func() { srv.end(rn, kind) })
	srv.watchLease(rn)
	return shard.Accepted
}

// watchLease ends a run when its lease is over.
func (srv *playServer) watchLease(rn *playRun) {
	srv.sim.after(rn.lease-srv.sim.clock(), func() {
		if rn.lease <= srv.sim.clock() {
			srv.end(rn, shard.EndedStopped)
		} else if slices.Contains(srv.runs, rn) {
			srv.watchLease(rn)
		}
	})
}

// end ends a run that has not ended, and answers the renewals that wait for an end.
func (srv *playServer) end(rn *playRun, kind shard.EndKind) {
	idx := slices.Index(srv.runs, rn)
	if idx < 0 {
		return
	}
	srv.runs, srv.free, srv.seq = slices.Delete(srv.runs, idx, idx+1), srv.free+rn.jb.processor, srv.seq+1
	srv.ended = append(srv.ended, shard.End{Seq: srv.seq, Run: rn.id, Kind: kind})
	rn.task.live--
	rn.task.done = rn.task.done || kind == shard.EndedDone
	srv.sim.rep.countRun(rn, kind, (srv.sim.clock()-rn.from).Seconds()*float64(rn.jb.processor)/1000)
	for _, answer := range srv.held {
		answer()
	}
	srv.held = nil
}

func (srv *playServer) stop(act *shard.StopRun) shard.CallResult {
	if srv.fences(act.Token) {
		return shard.Fenced
	}
	for _, rn := range srv.runs {
		if rn.id == act.Run {
			if rn.jb.outcome == open {
				srv.sim.rep.count(&srv.sim.rep.stops)
			}
			srv.sim.after(stopTime, func() { srv.end(rn, shard.EndedStopped) })
		}
	}
	return shard.Accepted
}

func (srv *playServer) renew(act *shard.Renew, reply func(shard.RenewResult, shard.CallResult)) {
	if srv.fences(act.Token) {
		reply(shard.RenewResult{}, shard.Fenced)
		return
	}
	srv.ended = slices.DeleteFunc(srv.ended, func(end shard.End) bool { return end.Seq <= act.AckedSeq })
	for _, rn := range srv.runs {
		rn.lease = max(rn.lease, act.LeaseUntil)
	}
	answer := sync.OnceFunc(func() {
		ans := shard.RenewResult{Incarnation: 1, Clock: srv.sim.clock(), Ended: slices.Clone(srv.ended)}
		for _, rn := range srv.runs {
			ans.Running = append(ans.Running, shard.Progress{Run: rn.id, Percent: int(100 * (ans.Clock - rn.from) / max(rn.until-rn.from, 1))})
		}
		reply(ans, shard.Accepted)
	})
	if act.WaitForEnd == 0 || len(srv.ended) > 0 {
		answer()
		return
	}
	srv.held = append(srv.held, answer)
	srv.sim.after(act.WaitForEnd, answer)
}

// playBound plays one queue before all servers that knows all run times and all room, without delay of messages: by priority, in time before late, and
// by due time. It refuses what can't be of use.
func playBound(prm playParams, rep *playReport) {
	sim := newSimulation(prm, rep)
	var waiting []*playJob
	fastest := slices.Max(prm.Deployment.speeds[:])
	// least returns how long after its arrival the longest task that waits can end.
	least := func(jb *playJob) time.Duration { return sim.now.Sub(jb.arrived) + jb.tasks[jb.begun].on(fastest) }
	var place func()
	place = func() {
		waiting = slices.DeleteFunc(waiting, func(jb *playJob) bool {
			if jb.begun == 0 && least(jb) > lateFactor*jb.limit {
				sim.finish(jb, 0, refused)
			}
			return jb.outcome == refused
		})
		slices.SortStableFunc(waiting, func(one, two *playJob) int {
			lateness := func(jb *playJob) int { return map[bool]int{true: 1}[least(jb) > jb.limit] }
			return cmp.Or(one.priority-two.priority, lateness(one)-lateness(two), one.arrived.Add(one.limit).Compare(two.arrived.Add(two.limit)))
		})
		for _, jb := range waiting {
			for srv := sim.boundServer(jb); srv != nil; srv = sim.boundServer(jb) {
				dur := jb.tasks[jb.begun].on(srv.speed)
				srv.free -= jb.processor
				jb.begun++
				sim.after(dur, func() {
					srv.free += jb.processor
					jb.coreSeconds += dur.Seconds() * float64(jb.processor) / 1000
					if jb.ended++; jb.ended == len(jb.tasks) {
						sim.finish(jb, 0, sim.outcomeOf(jb, submission.Succeeded))
					}
					place()
				})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(jb *playJob) bool { return jb.begun == len(jb.tasks) })
	}
	for _, jb := range slices.Backward(sim.order) {
		slices.SortFunc(jb.tasks, func(one, two playTask) int { return cmp.Compare(two.work, one.work) })
		jb.sentAt = jb.arrived
		if at := jb.arrived.Sub(sim.from); prm.Load == outageLoad && at >= outageFrom && at < outageTo {
			jb.sentAt = jb.arrived.Add(resendDelay)
		}
		sim.after(jb.sentAt.Sub(sim.from), func() {
			waiting = append(waiting, jb)
			place()
		})
	}
	sim.sampleRoom()
	sim.run(prm.Duration + drainTime)
}

// boundServer returns the slowest server with room on which a job's longest task is in time, or the fastest if it is in time on none, and of those the
// one with the least room; nil if none has room or no task is left.
func (sim *simulation) boundServer(jb *playJob) (best *playServer) {
	if jb.begun == len(jb.tasks) {
		return nil
	}
	least, rest := math.Inf(1), jb.limit-sim.now.Sub(jb.arrived)
	for _, srv := range sim.servers {
		cost := float64(srv.free)/1e9 + srv.speed
		if jb.tasks[jb.begun].on(srv.speed) > rest {
			cost += 1e3/srv.speed - srv.speed
		}
		if srv.free >= jb.processor && cost < least {
			best, least = srv, cost
		}
	}
	return best
}
