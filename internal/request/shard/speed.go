package shard

import (
	"math"
	"time"
)

// Slow servers answer well and take several times as long for whatever they run. They are told apart by the tasks of one step:
// those have the same estimate, so that its error, up to four times, cancels out. Where a run has no sibling elsewhere, its
// estimate is taken, by what runs of this shard take beside theirs, and says less. Each run adds its evidence, that
// it was several times as slow against that it was not; a server with enough gets nothing for a while and then one
// task on trial. At a sixth of the speed it does a sixth of the work: leaving it out costs the pool little, and any job
// that has one task there is late.
//
// It answers a day on which a sixth to a third of the servers take six times as long.
const (
	// slowRatio is the logarithm of four, the least that a trouble does; kinds of servers and tasks of a step differ by 1.5.
	slowRatio = 1.386
	// siblingSpread and estimateSpread are the deviations of the logarithm of a sound server's ratio: twice the 0.25 and the 0.4
	// that were seen, as other work may be less even.
	siblingSpread  = 0.5
	estimateSpread = 0.8
	// enough is the logarithm of a thousand to one: two runs at a sixth of the speed beside siblings, three without.
	enough = 6.9
	// enoughOnTrial is that of twenty to one, for a server that was slow a moment ago.
	enoughOnTrial = 3
	// biasWeight makes the ratio of run times to estimates follow some sixty runs.
	biasWeight = 1.0 / 64
	// firstSlowPause is the first time for which a slow server gets nothing; it doubles up to longestSlowPause with each
	// trial that it fails.
	firstSlowPause   = time.Second
	longestSlowPause = 4 * time.Second
	// siblingsKept is for how long the times of a step's tasks are kept after the first has ended.
	siblingsKept = 5 * time.Second
)

// speed is what is known of how long a server takes.
type speed struct {
	// evidence is the logarithm of the odds that the server is slow, never below even.
	evidence float64
	// step is the last one that was compared with its estimate: further tasks of it share its error.
	step string
	// until is the end of a pause, pauses counts those in a row; tried is set once a run has told since the last one.
	until  time.Time
	pauses int
	tried  bool
}

// sample takes in the logarithm of how many times as long as expected a run took.
func (spd *speed) sample(ratio, spread float64) {
	spd.tried = true
	spd.evidence = max(0, spd.evidence+slowRatio*(ratio-slowRatio/2)/(spread*spread))
}

// onTrial reports whether the next run decides on the server.
func (spd *speed) onTrial() bool { return spd.pauses > 0 && !spd.tried }

// slow reports whether the evidence is enough.
func (spd *speed) slow() bool {
	if spd.pauses > 0 {
		return spd.evidence >= enoughOnTrial
	}
	return spd.evidence >= enough
}

// siblings are what is known of the tasks of a step: the times that they took, and whether one was started here.
type siblings struct {
	since time.Time
	sum   float64
	count int
	begun bool
}

// mean returns the average logarithm of the times.
func (sib *siblings) mean() float64 { return sib.sum / float64(sib.count) }

// usual returns the logarithm of how many seconds a run is expected to take, if anything is, and its deviation; siblings go before
// the estimate.
func (ldr *Leader) usual(ord *order) (mean, spread float64, known bool) {
	if sib := ldr.steps[ord.Step]; sib != nil && sib.count > 0 {
		return sib.mean(), siblingSpread, true
	}
	if ord.ExpectedRunTime <= 0 {
		return 0, 0, false
	}
	return math.Log(ord.ExpectedRunTime.Seconds()) + ldr.bias, estimateSpread, true
}

// observe takes in how long a run took, or will take as it seems, and judges its server.
func (ldr *Leader) observe(now time.Time, srv *server, rn *run, took time.Duration) {
	if rn.timed || took <= 0 || rn.ord == nil {
		return
	}
	rn.timed = true
	tak := math.Log(took.Seconds())
	mean, spread, known := ldr.usual(rn.ord)
	switch {
	case !known:
		// Nothing to judge by: the server would stay on trial for good.
		srv.spd.pauses = 0
	case spread == siblingSpread || srv.spd.step != rn.ord.Step:
		srv.spd.sample(tak-mean, spread)
		srv.spd.step = rn.ord.Step
		ldr.judge(now, srv, math.Exp(tak-mean))
	}
	ldr.noteSibling(now, rn.ord, tak)
}

// noteSibling keeps the time of a run for the other tasks of its step, and for the bias of estimates.
func (ldr *Leader) noteSibling(now time.Time, ord *order, took float64) {
	if ord.ExpectedRunTime > 0 {
		ldr.bias += biasWeight * (took - math.Log(ord.ExpectedRunTime.Seconds()) - ldr.bias)
	}
	sib := ldr.siblings(now, ord.Step)
	sib.sum += took
	sib.count++
}

// siblings returns what is known of the tasks of a step.
func (ldr *Leader) siblings(now time.Time, step string) *siblings {
	sib := ldr.steps[step]
	if sib == nil {
		sib = &siblings{since: now}
		ldr.steps[step] = sib
	}
	return sib
}

// judge pauses a server that is slow, and ends the doubt about one that is not.
func (ldr *Leader) judge(now time.Time, srv *server, ratio float64) {
	spd := &srv.spd
	if !spd.slow() {
		if ratio < math.Exp(slowRatio/2) {
			spd.pauses = 0
		}
		return
	}
	pause := min(firstSlowPause<<min(spd.pauses, maxDoublings), longestSlowPause)
	ldr.do(QuarantineServer{Server: srv.ent.ID, Reason: "server is slow", Measure: ratio, Duration: pause})
	spd.until = now.Add(pause)
	spd.pauses++
	spd.evidence, spd.tried = 0, false
}

// checkProgress looks at a run that is under way: one that will take much longer than usual tells of its server early. If the
// server is slow and there is room elsewhere, the task starts again there, provided that it is done sooner so.
func (ldr *Leader) checkProgress(now time.Time, srv *server, rn *run) {
	if rn.state != running || rn.ord == nil || rn.percent < leastPercent {
		return
	}
	elapsed := now.Sub(rn.sentAt)
	whole := elapsed * percents / time.Duration(rn.percent)
	mean, _, known := ldr.usual(rn.ord)
	usual := time.Duration(math.Exp(mean) * float64(time.Second))
	if !known || whole < time.Duration(slowFactor*float64(usual)) {
		return
	}
	ldr.observe(now, srv, rn, whole)
	if now.Before(srv.spd.until) && whole-elapsed > restartGain*usual && ldr.roomBeside(now, srv, rn.ord) {
		rn.ord.Avoid = append(rn.ord.Avoid, srv.ent.ID)
		ldr.stop(now, srv, rn)
	}
}

// nextDoubt returns how long after now a run of a server will have taken suspiciously long, so that a look then tells its
// progress; runs that end before are not looked at. At 60 ms a task, a slow server shows after 0.1 s in place of 0.2.
func (ldr *Leader) nextDoubt(now time.Time, srv *server) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, rn := range srv.runs {
		if rn.state != running || rn.ord == nil || rn.timed {
			continue
		}
		mean, _, known := ldr.usual(rn.ord)
		if !known {
			continue
		}
		due := rn.sentAt.Add(time.Duration(doubtFactor * math.Exp(mean) * float64(time.Second))).Sub(now)
		if due > 0 && (!found || due < next) {
			next, found = due, true
		}
	}
	return next, found
}

const (
	percents = 100
	// slowFactor is how many times as long as usual a run has to take for its progress to be evidence.
	slowFactor = 2.5
	// doubtFactor is from how many times its usual time on a run is suspicious: one in six of the sound ones.
	doubtFactor = 1.6
	// leastDoubtWait keeps looks from following each other at once.
	leastDoubtWait = 10 * time.Millisecond
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
	for stp, sib := range ldr.steps {
		if now.Sub(sib.since) > siblingsKept {
			delete(ldr.steps, stp)
		}
	}
}
