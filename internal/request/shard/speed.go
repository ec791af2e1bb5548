package shard

import (
	"maps"
	"math"
	"time"
)

// Slow servers answer well and take several times as long for whatever they run. They are told apart by the tasks of
// one step: those have the same estimate, so that its error, up to four times, cancels out. A server whose runs take
// slowFactor times as long as their siblings elsewhere, over slowSamples of them, gets nothing for a while and then one
// task on trial. At a sixth of the speed it does a sixth of the work: leaving it out costs the pool little, and any job
// that has one task there is late.
//
// It answers a day on which a sixth of the servers take six times as long. Of jobs of eight tasks of 60 ms and of two of
// 300 ms 78% were done within twice that time, and 97% are with this, from one second after the servers turned slow on
// (TestSlowServers in process/daemon, virtual time).
const (
	// slowFactor lies between the kinds of servers and the spread of a step's tasks, 1.3 and 1.5, and what a trouble
	// does, 4 and more.
	slowFactor = 2.5
	// slowSamples bounds the runs that a slow server spoils before it is found out; with fewer, one task in some hundred
	// that is long by itself would do.
	slowSamples = 3
	// sampleWeight is that of the newest run in a server's average.
	sampleWeight = 0.25
	// firstSlowPause is the first time for which a slow server gets nothing; it doubles up to longestSlowPause with each
	// trial that it fails.
	firstSlowPause   = time.Second
	longestSlowPause = 4 * time.Second
	// siblingsKept is for how long the times of a step's tasks are kept after the first has ended.
	siblingsKept = 5 * time.Second
	// begunKept is for how long a step counts as begun: no caller waits for longer.
	begunKept = 30 * time.Second
)

// speed is how long a server takes, as the logarithm of the ratio to other servers.
type speed struct {
	mean  float64
	count int
	// until is the end of a pause, pauses counts those in a row.
	until  time.Time
	pauses int
}

// sample takes one run's ratio in.
func (spd *speed) sample(ratio float64) {
	spd.count++
	spd.mean += max(1/float64(spd.count), sampleWeight) * (ratio - spd.mean)
}

// onTrial reports whether the next run decides on the server.
func (spd *speed) onTrial() bool { return spd.pauses > 0 && spd.count == 0 }

// siblings are the times that tasks of a step took.
type siblings struct {
	since time.Time
	sum   float64
	count int
}

// mean returns the average logarithm of the times.
func (sib *siblings) mean() float64 { return sib.sum / float64(sib.count) }

// observe takes in how long a run took, or will take as it seems, and judges its server by its siblings.
func (ldr *Leader) observe(now time.Time, srv *server, rn *run, took time.Duration) {
	if rn.timed || took <= 0 || rn.ord == nil {
		return
	}
	sib := ldr.steps[rn.ord.Step]
	if sib == nil {
		sib = &siblings{since: now}
		ldr.steps[rn.ord.Step] = sib
	}
	rn.timed = true
	tak := math.Log(took.Seconds())
	switch {
	case sib.count > 0:
		srv.spd.sample(tak - sib.mean())
		ldr.judge(now, srv)
	case srv.spd.onTrial():
		// The first of its step to end, or the only one: a slow server's comes last where there are others, and without
		// others there is nothing to judge by, so that the server would stay on trial for good.
		srv.spd.pauses = 0
	}
	sib.sum += tak
	sib.count++
}

// judge pauses a server that is slow, and ends the doubt about one that is not.
func (ldr *Leader) judge(now time.Time, srv *server) {
	spd := &srv.spd
	slow := spd.mean > math.Log(slowFactor)
	switch {
	case spd.count < slowSamples && spd.pauses == 0:
	case slow:
		pause := min(firstSlowPause<<min(spd.pauses, maxDoublings), longestSlowPause)
		ldr.do(PauseServer{Server: srv.ent.ID, Reason: "server is slow", Measure: math.Exp(spd.mean), Pause: pause})
		spd.until = now.Add(pause)
		spd.pauses++
		spd.mean, spd.count = 0, 0
	default:
		spd.pauses = 0
	}
}

// checkProgress looks at a run that is under way: one that will take much longer than its siblings did tells of its server
// early. If the server is slow and there is room elsewhere, the task starts again there, provided that it is done
// sooner so.
func (ldr *Leader) checkProgress(now time.Time, srv *server, rn *run) {
	if rn.state != running || rn.ord == nil || rn.percent < leastPercent {
		return
	}
	sib := ldr.steps[rn.ord.Step]
	if sib == nil || sib.count == 0 {
		return
	}
	elapsed := now.Sub(rn.sentAt)
	whole := elapsed * percents / time.Duration(rn.percent)
	usual := time.Duration(math.Exp(sib.mean()) * float64(time.Second))
	if whole < time.Duration(slowFactor*float64(usual)) {
		return
	}
	ldr.observe(now, srv, rn, whole)
	if now.Before(srv.spd.until) && whole-elapsed > restartGain*usual && ldr.roomBeside(now, srv, rn.ord) {
		rn.ord.Avoid = append(rn.ord.Avoid, srv.ent.ID)
		ldr.stop(now, srv, rn)
	}
}

const (
	percents = 100
	// leastPercent is where the progress of a run, in whole percent, says how long it will take within a fifth.
	leastPercent = 5
	// restartGain is how many times as long as a new start the rest of a run has to take before it is stopped: a stop
	// and a start take some 60 ms, and the work so far is lost.
	restartGain = 2
)

// roomBeside reports whether a task would start at once on another server.
func (ldr *Leader) roomBeside(now time.Time, but *server, ord *order) bool {
	for _, srv := range ldr.servers {
		prc, mem := srv.free()
		if srv != but && srv.open(now, ldr.tolerance()) && prc >= ord.Processor && mem >= ord.Memory && srv.takes(ord) {
			return true
		}
	}
	return false
}

// forgetSteps drops the times of steps that ended a while ago.
func (ldr *Leader) forgetSteps(now time.Time) {
	if now.Sub(ldr.stepsAt) < siblingsKept {
		return
	}
	ldr.stepsAt = now
	maps.DeleteFunc(ldr.begun, func(_ string, since time.Time) bool { return now.Sub(since) > begunKept })
	for stp, sib := range ldr.steps {
		if now.Sub(sib.since) > siblingsKept {
			delete(ldr.steps, stp)
		}
	}
}
