package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/job"
)

// arrival is one job that a caller submits, and what else happens to it.
type arrival struct {
	partner job.Partner
	// due counts from the start of the run.
	due        time.Duration
	submission string
	// scoped is the submission as backend servers know it: with its partner.
	scoped        job.SubmissionID
	kind          kind
	entryName     string
	team          string
	tasks         []task
	notRepeatable bool
	// cancelAt is when the caller cancels the job, if it is still running; 0 for never.
	cancelAt time.Duration
	// twinAt is when a second copy of the same submission arrives elsewhere; 0 for never.
	twinAt time.Duration
	// toFirst sends the job to the first entry instance instead of the next.
	toFirst bool
}

type task struct {
	runTime time.Duration
	// declared is the caller's guess; 0 for none.
	declared time.Duration
}

// ideal returns how long the job would take with a free slot for each task.
func (arr *arrival) ideal() time.Duration {
	longest := time.Duration(0)
	for _, tsk := range arr.tasks {
		longest = max(longest, tsk.runTime)
	}
	return longest
}

const (
	// Bursts: the rate is burstFactor times as high for burstLength of every burstPeriod, and
	// lower in between, so that the mean is as asked for.
	burstPeriod = 10 * time.Second
	burstLength = time.Second
	burstFactor = 3.0

	// Waves of cancels hit the jobs that arrive within cancelReach before the wave.
	cancelPeriod = 15 * time.Second
	cancelReach  = 500 * time.Millisecond

	longestTwinDelay = 500 * time.Millisecond

	// A declared run time is off by a factor of up to usualError, seldom by grossError; some
	// callers declare none.
	usualError      = 2.0
	grossError      = 10.0
	grossErrorShare = 0.1
	undeclaredShare = 0.1
)

// generator draws arrivals; the same seed and settings give the same arrivals.
type generator struct {
	profile Profile
	rate    float64
	cfg     Config
	rnd     *rand.Rand
	now     time.Duration
	count   int
	weight  float64
}

func newGenerator(cfg Config, par Partner) *generator {
	stream := xxhash.Sum64String(string(par.Profile.partner))
	gen := &generator{
		profile: par.Profile,
		rate:    par.Rate,
		cfg:     cfg,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, stream)),
	}
	for _, knd := range par.Profile.kinds {
		gen.weight += knd.weight
	}
	return gen
}

// next returns the next arrival; its due time never falls.
func (gen *generator) next() arrival {
	gen.now += gen.gap()
	gen.count++
	knd := gen.pick()
	arr := arrival{
		due:           gen.now,
		partner:       gen.profile.partner,
		submission:    fmt.Sprintf("%s%d", runPrefix(gen.cfg.Run), gen.count),
		kind:          knd,
		entryName:     gen.profile.entryName(knd),
		team:          gen.profile.teams[gen.rnd.IntN(len(gen.profile.teams))],
		notRepeatable: knd.notRepeatable,
		toFirst:       gen.rnd.Float64() < gen.cfg.Skew,
	}
	arr.scoped = caller.Scoped(arr.partner, arr.submission)
	arr.tasks = gen.tasks(knd)
	wave := gen.now.Truncate(cancelPeriod) + cancelPeriod
	if wave-gen.now <= cancelReach && gen.rnd.Float64() < gen.cfg.CancelShare {
		arr.cancelAt = wave
	}
	if gen.rnd.Float64() < gen.cfg.TwinShare {
		arr.twinAt = gen.now + 1 + time.Duration(gen.rnd.Int64N(int64(longestTwinDelay)))
	}
	return arr
}

// runPrefix begins the id of every submission of a run.
func runPrefix(run string) string { return run + "-" }

func (gen *generator) gap() time.Duration {
	rate := gen.rate
	if gen.cfg.Bursts {
		rate *= burstRate(gen.now)
	}
	return time.Duration(gen.rnd.ExpFloat64() / rate * float64(time.Second))
}

// burstRate returns the rate at a time, relative to the mean.
func burstRate(now time.Duration) float64 {
	if now%burstPeriod < burstLength {
		return burstFactor
	}
	share := float64(burstLength) / float64(burstPeriod)
	return (1 - share*burstFactor) / (1 - share)
}

func (gen *generator) pick() kind {
	left := gen.rnd.Float64() * gen.weight
	for _, knd := range gen.profile.kinds {
		left -= knd.weight
		if left < 0 {
			return knd
		}
	}
	return gen.profile.kinds[len(gen.profile.kinds)-1]
}

func (gen *generator) tasks(knd kind) []task {
	out := make([]task, gen.size(knd))
	for idx := range out {
		out[idx].runTime = gen.runTime(knd)
		out[idx].declared = gen.declared(out[idx].runTime)
	}
	return out
}

// size draws the number of tasks evenly on a logarithmic scale: many small jobs, few large ones.
func (gen *generator) size(knd kind) int {
	span := math.Log(float64(knd.largest+1) / float64(knd.smallest))
	size := int(float64(knd.smallest) * math.Exp(gen.rnd.Float64()*span))
	return min(max(size, knd.smallest), knd.largest)
}

func (gen *generator) runTime(knd kind) time.Duration {
	if gen.rnd.Float64() < knd.stragglers {
		return knd.stragglerTime
	}
	span := int64(knd.longest - knd.shortest)
	dur := knd.shortest + time.Duration(gen.rnd.Int64N(span+1))
	return dur.Round(time.Millisecond)
}

func (gen *generator) declared(runTime time.Duration) time.Duration {
	if gen.rnd.Float64() < undeclaredShare {
		return 0
	}
	most := usualError
	if gen.rnd.Float64() < grossErrorShare {
		most = grossError
	}
	factor := math.Exp((2*gen.rnd.Float64() - 1) * math.Log(most))
	return time.Duration(float64(runTime) * factor).Round(time.Millisecond)
}

const rateSamples = 20_000

// RateFor returns the jobs a second of a profile that keep a share of the slots busy on average.
func RateFor(prf Profile, slots int, share float64) float64 {
	gen := newGenerator(Config{}, Partner{Profile: prf, Rate: 1})
	work := time.Duration(0)
	for range rateSamples {
		arr := gen.next()
		for _, tsk := range arr.tasks {
			work += tsk.runTime
		}
	}
	return share * float64(slots) * rateSamples / work.Seconds()
}
