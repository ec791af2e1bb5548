package shard

import (
	"math"
	"time"

	learn "chestnutstack/internal/request/speed"
)

// Slow servers answer normally but take several times as long for every run. They are found by comparing the run times of one step's tasks:
// those share an estimate, so its error, up to a factor of four, cancels out. A run without siblings is compared with its estimate,
// corrected by the bias of the shard's estimates, and is weaker evidence. Each run adds the log likelihood ratio of slow against sound to
// its server's evidence. A server with enough evidence is quarantined, then gets one task on trial. At a sixth of the speed it does a sixth
// of the work, so leaving it out costs the pool little, while any job with a task there is late.
//
// This is for days on which a sixth to a third of the servers take six times as long.
const (
	// slowLogRatio is ln 4, the least slowdown to detect; kinds of servers and the tasks of a step differ by up to 1.5 times.
	slowLogRatio = 1.386
	// siblingSpread and estimateSpread are the standard deviations of ln(run time / expected time) on a sound server: twice the observed
	// 0.25 and 0.4, as other work may vary more.
	siblingSpread  = 0.5
	estimateSpread = 0.8
	// slowEvidence is ln 1000, odds of 1000 to 1: two runs at a sixth of the speed with siblings, three without.
	slowEvidence = 6.9
	// slowEvidenceOnTrial is ln 20, odds of 20 to 1, for a server that was slow a moment ago.
	slowEvidenceOnTrial = 3
	// biasWeight makes estimateBias follow about 60 runs.
	biasWeight = 1.0 / 64
	// firstSlowQuarantine is the first quarantine of a slow server; each failed trial doubles it, up to longestSlowQuarantine.
	firstSlowQuarantine   = time.Second
	longestSlowQuarantine = 4 * time.Second
	// siblingsKept is how long the run times of a step are kept after they were first needed.
	siblingsKept = 5 * time.Second
)

// speed is the evidence of a server's speed.
type speed struct {
	// evidence is the natural logarithm of the odds that the server is slow, at least 0.
	evidence float64
	// step is the step of the last run whose time was used as evidence: a further run of it is not compared with the estimate, whose error
	// would be the same.
	step string
	// The server is quarantined until quarantinedUntil; quarantines counts those in a row. tried is set once a run was
	// judged since the last.
	quarantinedUntil time.Time
	quarantines      int
	tried            bool
	// level and change are the lasting level of the server's run times and the evidence of a change of it; they are maintained if the speeds of
	// servers are learned.
	level  learn.Level
	change learn.Change
}

// addSample adds the evidence of a run; ratio is ln(run time / expected time), spread its standard deviation on a sound server.
func (spd *speed) addSample(ratio, spread float64) {
	spd.tried = true
	spd.evidence = max(0, spd.evidence+slowLogRatio*(ratio-slowLogRatio/2)/(spread*spread))
}

// onTrial reports whether the server was quarantined and the next run decides if it is sound.
func (spd *speed) onTrial() bool { return spd.quarantines > 0 && !spd.tried }

// slow reports whether there is enough evidence that the server is slow, compared with itself if ownLevel is set.
func (spd *speed) slow(ownLevel bool) bool {
	if ownLevel {
		return spd.change.Slow(spd.quarantines > 0)
	}
	if spd.quarantines > 0 {
		return spd.evidence >= slowEvidenceOnTrial
	}
	return spd.evidence >= slowEvidence
}

// siblings holds the sum of the logarithms of the run times of a step's tasks, their count, and whether a task was started here.
type siblings struct {
	since   time.Time
	sum     float64
	count   int
	started bool
	// sound has the logarithms of the run times as they would have been on an average server; at most maxSiblings.
	sound []soundRun
}

// mean returns the mean logarithm of the run times in seconds.
func (sib *siblings) mean() float64 { return sib.sum / float64(sib.count) }

// expectedRunTime returns the mean and the standard deviation of the logarithm of an order's run time in seconds, if known: from siblings
// if there are any, else from the estimate.
func (ldr *Leader) expectedRunTime(ord *order) (mean, spread float64, known bool) {
	if sib := ldr.steps[ord.Step]; sib != nil && sib.count > 0 {
		return sib.mean(), siblingSpread, true
	}
	if ord.ExpectedRunTime <= 0 {
		return 0, 0, false
	}
	return math.Log(ord.ExpectedRunTime.Seconds()) + ldr.estimateBias, estimateSpread, true
}

// observeRunTime uses a run's time, or its projected time, as evidence of its server's speed and quarantines the server if it is slow.
func (ldr *Leader) observeRunTime(now time.Time, srv *server, rn *run, took time.Duration) {
	if rn.timeHandled || took <= 0 || rn.ord == nil {
		return
	}
	rn.timeHandled = true
	logTook := math.Log(took.Seconds())
	mean, spread, known := ldr.expectedRunTime(rn.ord)
	smp, sampled := ldr.speedSample(srv, rn.ord, logTook)
	judged := spread == siblingSpread || srv.spd.step != rn.ord.Step
	if sampled {
		ldr.learnSpeed(srv, smp)
	}
	switch {
	case !known:
		// Without an expected time the run can't decide the trial, and the server would stay on trial for good.
		srv.spd.quarantines = 0
	case ldr.speeds.used && sampled:
		srv.spd.tried, srv.spd.step = true, rn.ord.Step
		ldr.quarantineIfSlow(now, srv, math.Exp(smp.change))
	case !ldr.speeds.used && judged:
		srv.spd.addSample(logTook-mean, spread)
		srv.spd.step = rn.ord.Step
		ldr.quarantineIfSlow(now, srv, math.Exp(logTook-mean))
	}
	ldr.noteSibling(now, rn.ord, logTook)
	ldr.noteSoundRun(now, srv, rn.ord, logTook, sampled && smp.long)
}

// noteSibling records the logarithm of a run time for the other tasks of its step and for the bias of estimates.
func (ldr *Leader) noteSibling(now time.Time, ord *order, logTook float64) {
	if ord.ExpectedRunTime > 0 {
		ldr.estimateBias += biasWeight * (logTook - math.Log(ord.ExpectedRunTime.Seconds()) - ldr.estimateBias)
	}
	sib := ldr.siblings(now, ord.Step)
	sib.sum += logTook
	sib.count++
}

// siblings returns the record of a step's run times, a new one if there is none.
func (ldr *Leader) siblings(now time.Time, step string) *siblings {
	sib := ldr.steps[step]
	if sib == nil {
		sib = &siblings{since: now}
		ldr.steps[step] = sib
	}
	return sib
}

// quarantineIfSlow quarantines a server with enough evidence, and ends the trial of one whose last run was not slow.
func (ldr *Leader) quarantineIfSlow(now time.Time, srv *server, ratio float64) {
	spd := &srv.spd
	if !spd.slow(ldr.speeds.used) {
		if ratio < math.Exp(slowLogRatio/2) {
			spd.quarantines = 0
		}
		return
	}
	dur := min(firstSlowQuarantine<<min(spd.quarantines, maxDoublings), longestSlowQuarantine)
	ldr.emit(QuarantineServer{Server: srv.ent.ID, Reason: "server is slow", Measure: ratio, Duration: dur, Level: ldr.levelFactor(srv)})
	spd.quarantinedUntil = now.Add(dur)
	spd.quarantines++
	spd.evidence, spd.tried = 0, false
	spd.change.Reset()
}

// checkProgress projects a run's time from its progress, so that a slow server is found early. If the server is quarantined, there is free
// capacity elsewhere and a new start would end sooner, the run is stopped and its task starts again there.
func (ldr *Leader) checkProgress(now time.Time, srv *server, rn *run) {
	if rn.state != running || rn.ord == nil || rn.percent < minPercent {
		return
	}
	elapsed := now.Sub(rn.sentAt)
	whole := elapsed * percentDone / time.Duration(rn.percent)
	mean, known := ldr.expectedOn(srv, rn.ord)
	expected := time.Duration(math.Exp(mean) * float64(time.Second))
	if !known || whole < time.Duration(slowFactor*float64(expected)) {
		return
	}
	ldr.observeRunTime(now, srv, rn, whole)
	if now.Before(srv.spd.quarantinedUntil) && whole-elapsed > restartGain*expected && ldr.fitsElsewhere(now, srv, rn.ord) {
		rn.ord.Avoid = append(rn.ord.Avoid, srv.ent.ID)
		ldr.stopRun(now, srv, rn, TooSlow)
	}
}

// nextSuspicion returns the time until the first run of a server becomes suspect of being slow, if any does, so that a renewal then
// shows its progress; runs that end before need none. With tasks of 60 ms a slow server is found after 0.1 s instead of 0.2 s.
func (ldr *Leader) nextSuspicion(now time.Time, srv *server) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, rn := range srv.runList {
		if rn.state != running || rn.ord == nil || rn.timeHandled {
			continue
		}
		mean, known := ldr.expectedOn(srv, rn.ord)
		if !known {
			continue
		}
		due := rn.sentAt.Add(time.Duration(suspectFactor * math.Exp(mean) * float64(time.Second))).Sub(now)
		if due > 0 && (!found || due < next) {
			next, found = due, true
		}
	}
	return next, found
}

const (
	// percentDone is the progress of a run that is done.
	percentDone = 100
	// slowFactor is how many times the expected run time a projected time must reach to be evidence.
	slowFactor = 2.5
	// suspectFactor is the multiple of the expected run time after which a run is suspect; one sound run in six takes longer.
	suspectFactor = 1.6
	// minSuspicionWait prevents renewals in immediate succession.
	minSuspicionWait = 10 * time.Millisecond
	// minPercent is the progress, in percent, from which the projected run time is right within a fifth.
	minPercent = 5
	// restartGain is how many times longer than a new run the rest of a run must take before it is stopped: a stop and a start take some
	// 60 ms, and the work done so far is lost.
	restartGain = 2
)

// fitsElsewhere reports whether a task could start at once on another server.
func (ldr *Leader) fitsElsewhere(now time.Time, except *server, ord *order) bool {
	for _, srv := range ldr.serverList {
		prc, mem := srv.free()
		if srv != except && ldr.takesTasks(now, srv) && prc >= ord.Processor && mem >= ord.Memory && srv.suits(ord) {
			return true
		}
	}
	return false
}

// pruneSteps removes the run times of old steps of which no order is left.
func (ldr *Leader) pruneSteps(now time.Time) {
	if now.Sub(ldr.stepsPrunedAt) < siblingsKept {
		return
	}
	ldr.stepsPrunedAt = now
	used := make(map[*siblings]bool, len(ldr.orders))
	for _, ord := range ldr.orders {
		used[ord.sibs] = true
	}
	for stp, sib := range ldr.steps {
		if now.Sub(sib.since) > siblingsKept && !used[sib] {
			delete(ldr.steps, stp)
		}
	}
}
