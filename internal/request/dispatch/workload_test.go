package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"chestnutstack/internal/request/job"
)

const (
	minTask = 50 * time.Millisecond
	maxTask = time.Second
)

// simJob is a job of the workload with the actual run times of its tasks.
type simJob struct {
	sub     job.SubmissionID
	due     time.Time
	entry   int
	class   *job.Class
	times   []time.Duration
	fails   bool
	longest time.Duration
	ended   time.Time
	verdict string
}

// workload is a list of jobs generated from a seed; every policy gets the same one.
type workload struct {
	jobs    []*simJob
	bySub   map[job.SubmissionID]*simJob
	classes []*job.Class
}

// traffic holds the parameters of a workload.
type traffic struct {
	load     float64
	duration time.Duration
	// skew is the share of the jobs that are submitted to entry 0; the others are spread over all entries.
	skew   float64
	prefer job.Preference
	// burst multiplies the load of the first partner in the middle third.
	burst float64
	// single makes every job a single task.
	single bool
	// misdeclared is the standard deviation of the logarithm of the ratio of declared to actual run times.
	misdeclared float64
}

// classShape holds the distribution of the run times of a class: the median, and the ratio of declared to actual
// run times.
type classShape struct {
	median time.Duration
	factor float64
}

// newWorkload generates the jobs for the duration of the traffic, with Poisson arrivals.
func newWorkload(shp shape, trf traffic, seed uint64) *workload {
	rnd := rand.New(rand.NewPCG(seed, 77))
	wkl := &workload{bySub: map[job.SubmissionID]*simJob{}}
	shapes := wkl.makeClasses(rnd, trf)
	capacity := float64(shp.servers) * float64(shp.slots)
	mean := wkl.meanWork(shapes, trf, seed)
	now := simStart.Add(100 * time.Millisecond)
	end := now.Add(trf.duration)
	for num := 0; ; num++ {
		rate := trf.load * capacity / mean
		if trf.burst > 0 && inBurst(now, trf) {
			rate *= (1 + trf.burst) / 2
		}
		now = now.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if now.After(end) {
			return wkl
		}
		cls := pickClass(rnd, len(wkl.classes))
		if trf.burst > 0 && inBurst(now, trf) && rnd.Float64() < (trf.burst-1)/(trf.burst+1) {
			cls -= cls % 2
		}
		sjb := makeJob(rnd, shapes[cls], trf)
		sjb.sub = job.SubmissionID(fmt.Sprintf("job-%06d", num))
		sjb.due = now
		sjb.class = wkl.classes[cls]
		if rnd.Float64() >= trf.skew {
			sjb.entry = rnd.IntN(shp.entries)
		}
		wkl.jobs = append(wkl.jobs, sjb)
		wkl.bySub[sjb.sub] = sjb
	}
}

// inBurst reports whether the time is in the middle third of the workload.
func inBurst(now time.Time, trf traffic) bool {
	since := now.Sub(simStart)
	return since > trf.duration/3 && since < 2*trf.duration/3
}

// makeClasses creates catalogue entries, alternating between two partners; the last two have long run times.
func (wkl *workload) makeClasses(rnd *rand.Rand, trf traffic) []classShape {
	var shapes []classShape
	for idx := range 12 {
		csh := classShape{
			median: time.Duration(math.Exp(math.Log(0.07)+rnd.Float64()*math.Log(0.7/0.07)) * float64(time.Second)),
			factor: math.Exp(rnd.NormFloat64() * trf.misdeclared),
		}
		if idx >= 10 {
			csh.median = 3 * time.Second
		}
		shapes = append(shapes, csh)
		wkl.classes = append(wkl.classes, &job.Class{
			Name: fmt.Sprintf("partner-%d/class-%d", idx%2, idx), Owner: job.Partner(fmt.Sprintf("partner-%d", idx%2)),
			RunTime: time.Duration(float64(csh.median) * csh.factor), Repeatable: true, Prefer: trf.prefer,
		})
	}
	return shapes
}

// pickClass picks a long class for one job in a hundred.
func pickClass(rnd *rand.Rand, num int) int {
	if rnd.Float64() < 0.01 {
		return num - 1 - rnd.IntN(2)
	}
	return rnd.IntN(num - 2)
}

// makeJob draws the tasks of a job; run times vary log-normally around the median of the class.
func makeJob(rnd *rand.Rand, csh classShape, trf traffic) *simJob {
	sjb := &simJob{}
	num := jobSize(rnd)
	if trf.single {
		num = 1
	}
	if csh.median > maxTask {
		num = min(num, 5)
	}
	for range num {
		dur := time.Duration(float64(csh.median) * math.Exp(0.3*rnd.NormFloat64()))
		if csh.median <= maxTask {
			dur = min(max(dur, minTask), maxTask)
		}
		sjb.times = append(sjb.times, dur)
		sjb.longest = max(sjb.longest, dur)
	}
	return sjb
}

// jobSize draws the number of tasks of a job: half of the jobs have one, the largest 299.
func jobSize(rnd *rand.Rand) int {
	switch dice := rnd.Float64(); {
	case dice < 0.5:
		return 1
	case dice < 0.85:
		return 2 + rnd.IntN(9)
	case dice < 0.97:
		return 11 + rnd.IntN(40)
	default:
		return 50 + rnd.IntN(250)
	}
}

// meanWork returns the mean run time of all tasks of a job, in seconds, from a sample of its own.
func (wkl *workload) meanWork(shapes []classShape, trf traffic, seed uint64) float64 {
	rnd := rand.New(rand.NewPCG(seed, 78))
	var tot time.Duration
	const sample = 20_000
	for range sample {
		for _, dur := range makeJob(rnd, shapes[pickClass(rnd, len(shapes))], trf).times {
			tot += dur
		}
	}
	return tot.Seconds() / sample
}

// job returns the job in the form in which it is submitted to an entry.
func (sjb *simJob) job(now time.Time) *job.Job {
	spc := job.Spec{
		Submission: sjb.sub, Class: sjb.class, Repeatable: true, Admitted: now,
		NotAfter: sjb.due.Add(30 * time.Second), Tasks: make([]job.TaskSpec, len(sjb.times)),
	}
	return job.New(job.NewID("sim", string(sjb.sub)), spc)
}
