package shard

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	learn "chestnutstack/internal/request/speed"
)

// The lasting speeds of a shard's servers. Each run whose expected time on an average server is known, from siblings on other servers or else from the
// estimate, teaches its server's level. Where the levels differ by more than chance, expected times are those on the server in question, and a
// server counts as slow only if it became slow compared with itself.
const (
	// siblingVariance and estimateVariance are the variances of ln(run time / expected time) of a task of a step and of an estimate, with a
	// margin: the standard deviations are 0.15 and 0.4.
	siblingVariance, estimateVariance = 0.2 * 0.2, 0.45 * 0.45
	// maxSiblings bounds the run times that are kept of a step.
	maxSiblings = 16
	// siblingBiasWeight makes the bias of siblings follow about 100 runs: those that end first are the shorter ones.
	siblingBiasWeight = 0.01
	// speedsInterval is the time between two checks of whether speeds differ.
	speedsInterval = 250 * time.Millisecond
	// maxMeanLevel bounds the mean level of a shard's servers. It is below the offset from which owners correct the estimates of a route, ln 1.15, so
	// that they never do so because of the mean level.
	maxMeanLevel = 0.1
	// milli is the number of units of a factor in loads in one.
	milli = 1000
)

// speeds is what a leader has learned of its servers' speeds as a whole.
type speeds struct {
	// used is set while the speeds differ enough to be used.
	used      bool
	checkedAt time.Time
	tails     learn.Tails
	// estimateBias is the running mean of ln(run time on an average server / estimate), siblingBias that of the deviation from siblings.
	estimateBias, siblingBias float64
	// meanRun is the running mean of run times as they would have been on an average server; 0 before any.
	meanRun time.Duration
	// waits counts the orders that were left waiting for a faster server since the last call of TakeSpeedWaits.
	waits int
}

// soundRun is the logarithm of a run time in seconds as it would have been on an average server, and the variance of the server's level.
type soundRun struct {
	srv      *server
	log      float64
	variance float64
}

// speedSample is a run as evidence of its server's level.
type speedSample struct {
	// deviation is ln(run time / expected time on an average server), variance that of the expectation. change is the deviation from the
	// server's own level.
	deviation, variance, change float64
	// bySiblings is set if the expectation comes from siblings, long if the run took several times as long as usual.
	bySiblings, long bool
}

// expectedAverage returns the logarithm of an order's expected run time in seconds on an average server, its variance, and whether it comes from
// siblings on servers other than except.
func (ldr *Leader) expectedAverage(except *server, ord *order) (mean, variance float64, bySiblings, known bool) {
	logs := make([]float64, 0, maxSiblings)
	sum := 0.0
	if sib := ldr.steps[ord.Step]; sib != nil {
		for _, oth := range sib.sound {
			if oth.srv != except {
				logs = append(logs, oth.log)
				sum += siblingVariance + oth.variance
			}
		}
	}
	if num := len(logs); num > 0 {
		slices.Sort(logs)
		median := (logs[(num-1)/2] + logs[num/2]) / 2
		return median + ldr.speeds.siblingBias, siblingVariance + sum/float64(num*num), true, true
	}
	if ord.ExpectedRunTime <= 0 {
		return 0, 0, false, false
	}
	return math.Log(ord.ExpectedRunTime.Seconds()) + ldr.speeds.estimateBias, estimateVariance, false, true
}

// expectedOn returns the logarithm of an order's expected run time in seconds on a server, on an average one if that is nil, if known.
func (ldr *Leader) expectedOn(srv *server, ord *order) (mean float64, known bool) {
	if !ldr.speeds.used {
		mean, _, known = ldr.expectedRunTime(ord)
		return mean, known
	}
	mean, _, _, known = ldr.expectedAverage(nil, ord)
	if srv != nil {
		mean += srv.spd.level.Mean()
	}
	return mean, known
}

// speedSample returns a run as evidence, and whether it is any: a further run of a step says nothing if compared with the same estimate.
func (ldr *Leader) speedSample(srv *server, ord *order, logTook float64) (speedSample, bool) {
	if !ldr.cfg.Features.ServerSpeeds {
		return speedSample{}, false
	}
	mean, variance, bySiblings, known := ldr.expectedAverage(srv, ord)
	if !known || !bySiblings && srv.spd.step == ord.Step {
		return speedSample{}, false
	}
	smp := speedSample{deviation: logTook - mean, variance: variance, bySiblings: bySiblings}
	smp.change = smp.deviation - srv.spd.level.Mean()
	smp.long = srv.spd.level.IsLong(smp.change)
	return smp, true
}

// learnSpeed updates the evidence of a change of a server's speed, and its level unless the run took several times as long as usual.
func (ldr *Leader) learnSpeed(srv *server, smp speedSample) {
	spd := &srv.spd
	spd.change.Add(smp.change, smp.variance+spd.level.Variance(), &ldr.speeds.tails)
	if smp.long {
		return
	}
	if smp.bySiblings {
		ldr.speeds.siblingBias += siblingBiasWeight * min(max(smp.change, -slowLogRatio), slowLogRatio)
	}
	spd.level.Add(smp.deviation, smp.variance)
}

// noteSoundRun records a run time for the siblings of its task and the bias of estimates, without the server's level. A long run tells nothing about its
// siblings: where a third of the servers is faulty, sound ones would else seem to be several times as fast as they are.
func (ldr *Leader) noteSoundRun(now time.Time, srv *server, ord *order, logTook float64, long bool) {
	if !ldr.cfg.Features.ServerSpeeds {
		return
	}
	sound := logTook - srv.spd.level.Mean()
	if ord.ExpectedRunTime > 0 {
		dev := sound - math.Log(ord.ExpectedRunTime.Seconds()) - ldr.speeds.estimateBias
		ldr.speeds.estimateBias += biasWeight * min(max(dev, -slowLogRatio), slowLogRatio)
	}
	if sib := ldr.siblings(now, ord.Step); !long && len(sib.sound) < maxSiblings {
		sib.sound = append(sib.sound, soundRun{srv: srv, log: sound, variance: srv.spd.level.Variance()})
	}
}

// updateSpeeds gives servers without runs the level of servers like them, and decides whether the speeds differ enough to be used.
func (ldr *Leader) updateSpeeds(now time.Time) {
	if !ldr.cfg.Features.ServerSpeeds || now.Sub(ldr.speeds.checkedAt) < speedsInterval {
		return
	}
	ldr.speeds.checkedAt = now
	var peers []learn.Peer
	lvls := make([]learn.Level, 0, len(ldr.serverList))
	for _, srv := range ldr.serverList {
		lvls = append(lvls, srv.spd.level)
		if srv.spd.level.Known() {
			peers = append(peers, learn.Peer{Traits: srv.traits(), Level: srv.spd.level.Mean()})
		}
	}
	for _, srv := range ldr.serverList {
		if !srv.spd.level.Observed() && len(peers) > 0 {
			srv.spd.level = learn.NewLevel(learn.PriorOf(srv.traits(), peers))
		}
	}
	sprd := learn.SpreadOf(lvls)
	if math.Abs(sprd.Mean) > maxMeanLevel {
		ldr.shiftLevels(-sprd.Mean)
	}
	if used := sprd.Matters(ldr.speeds.used); used != ldr.speeds.used {
		ldr.speeds.used = used
		ldr.emit(FeatureChange{Feature: ServerSpeeds, Active: used, Figures: []Figure{
			{"known-servers", float64(sprd.Known)},
			{"slowest-over-fastest", math.Exp(sprd.Range)},
			{"deviations-beyond-chance", sprd.Excess},
			{"share-of-long-runs", ldr.speeds.tails.Share()},
		}})
	}
}

// shiftLevels adds a difference to the levels of all servers and changes what is relative to them, so that all expected times stay the same. Runs tell
// only how servers compare with each other: without a bound the mean of the levels drifts, by some 0.2 in a quarter of an hour.
func (ldr *Leader) shiftLevels(by float64) {
	for _, srv := range ldr.serverList {
		srv.spd.level.Shift(by)
	}
	for _, sib := range ldr.steps {
		for idx := range sib.sound {
			sib.sound[idx].log -= by
		}
	}
	ldr.speeds.estimateBias -= by
	ldr.speeds.meanRun = time.Duration(math.Exp(-by) * float64(ldr.speeds.meanRun))
}

// traits returns what a server may have in common with others that are as fast: its labels and its size.
func (srv *server) traits() []string {
	size := strconv.FormatInt(srv.ent.Processor, 10) + "/" + strconv.FormatInt(srv.ent.Memory, 10)
	return append([]string{size}, srv.ent.Labels...)
}

// levelFactor returns a server's lasting run time over that of an average server, 0 if speeds are not used.
func (ldr *Leader) levelFactor(srv *server) float64 {
	if !ldr.speeds.used {
		return 0
	}
	return math.Exp(srv.spd.level.Mean())
}

// noteSoundTime adds the time of a run to the running mean of the times on an average server.
func (ldr *Leader) noteSoundTime(srv *server, took time.Duration) {
	if !ldr.cfg.Features.ServerSpeeds {
		return
	}
	sound := time.Duration(float64(max(took, time.Millisecond)) * math.Exp(-srv.spd.level.Mean()))
	if ldr.speeds.meanRun == 0 {
		ldr.speeds.meanRun = sound
	}
	ldr.speeds.meanRun += (sound - ldr.speeds.meanRun) / meanRunWeight
}

// serviceRateBySpeed is serviceRate with each server's own speed.
func (ldr *Leader) serviceRateBySpeed() float64 {
	sum := 0.0
	for _, srv := range ldr.serverList {
		if srv.inService() {
			sum += float64(srv.ent.Processor) * math.Exp(-srv.spd.level.Mean())
		}
	}
	// A new leader uses told speeds before the first run has ended.
	return sum / millis(max(cmp.Or(ldr.speeds.meanRun, ldr.meanRun), time.Millisecond))
}

// ServerFactor returns the lasting run time on the server of a report over that of an average server, 1 if it is not known or absurd.
func (rep *Report) ServerFactor() float64 { return factorFromWire(rep.Factor) }

// FreeFactor returns the lasting run time on the server at an index of Free over that of an average server, 1 if it is not known or absurd.
func (lod *Load) FreeFactor(idx int) float64 {
	if idx >= len(lod.FreeFactors) {
		return 1
	}
	return factorFromWire(lod.FreeFactors[idx])
}

// factorFromWire returns a factor in thousandths as a number, 1 if it can't be one.
func factorFromWire(factor int64) float64 {
	if !validFactor(factor) {
		return 1
	}
	return float64(factor) / milli
}

// validFactor reports whether a factor in thousandths can be that of a sound server.
func validFactor(factor int64) bool { return factor >= milli/maxFactor && factor <= milli*maxFactor }

// maxFactor is beyond any ratio of the speeds of sound servers.
const maxFactor = 20

// factorOnWire returns a server's lasting run time over that of an average server in thousandths, 0 if speeds are not used.
func (ldr *Leader) factorOnWire(srv *server) int64 {
	if srv == nil || !ldr.speeds.used {
		return 0
	}
	return int64(math.Round(milli * math.Exp(srv.spd.level.Mean())))
}

// noteSpeedWait counts an order that is left waiting for a faster server, once.
func (ldr *Leader) noteSpeedWait(ord *order) {
	if !ord.waitedForSpeed {
		ord.waitedForSpeed = true
		ldr.speeds.waits++
	}
}

// TakeSpeedWaits returns how many orders were left waiting for a faster server since the last call.
func (ldr *Leader) TakeSpeedWaits() int {
	num := ldr.speeds.waits
	ldr.speeds.waits = 0
	return num
}
