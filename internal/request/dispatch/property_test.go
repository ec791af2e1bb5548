package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// boundedLimits is a Limits that has at most units units taken at once; all of them must be released at the end.
type boundedLimits struct {
	units    int
	taken    int
	maxTaken int
}

func (lim *boundedLimits) Take(time.Time, *job.Class, string) bool {
	if lim.taken >= lim.units {
		return false
	}
	lim.taken++
	lim.maxTaken = max(lim.maxTaken, lim.taken)
	return true
}

func (lim *boundedLimits) Release(time.Time, *job.Class, string) { lim.taken-- }

var tiny = shape{
	name: "tiny", domains: 2, entries: 3, servers: 6, slots: 3, perRack: 2,
	near: 200 * time.Microsecond, far: time.Millisecond,
}

// randomCluster is a cluster with random jobs and random faults.
type randomCluster struct {
	*cluster
	tst  *rapid.T
	jobs []*randomJob
	// pauses counts the pauses of entries; if there was one, the times at which jobs ended are not checked.
	pauses int
	bySub  map[job.SubmissionID]*randomJob
}

// randomJob is a random job with its run times, and what came of it: refused is the refusal by Submit, ends how
// often it was reported as ended.
type randomJob struct {
	jb      *job.Job
	ent     *simEntry
	times   []time.Duration
	fails   bool
	refused *verdict.Error
	ends    int
	endedAt time.Time
}

// faults holds the faults by name; each takes the server and the entry that it affects, and most end by themselves.
var faults = map[string]func(rcl *randomCluster, srv *simServer, ent *simEntry){
	"silent connection": func(_ *randomCluster, srv *simServer, ent *simEntry) {
		if ses := ent.sessions[srv.id]; ses != nil {
			ses.silent = true
		}
	},
	"slow connection": func(rcl *randomCluster, srv *simServer, ent *simEntry) {
		if ses := ent.sessions[srv.id]; ses != nil {
			ses.slow = time.Duration(500+rcl.rnd.IntN(3000)) * time.Millisecond
		}
	},
	"server crash": func(rcl *randomCluster, srv *simServer, _ *simEntry) {
		if !srv.down {
			srv.crash()
			rcl.after(300*time.Millisecond, srv.restart)
		}
	},
	"server cut off": func(rcl *randomCluster, srv *simServer, _ *simEntry) {
		srv.cutOff = true
		rcl.after(2*time.Second, func() { srv.cutOff = false })
	},
	"server leaving": func(rcl *randomCluster, srv *simServer, _ *simEntry) {
		srv.leaving = true
		rcl.after(time.Second, func() { srv.leaving = false })
	},
	"server fails all": func(rcl *randomCluster, srv *simServer, _ *simEntry) {
		srv.failAll = true
		rcl.after(time.Second, func() { srv.failAll = false })
	},
	"entry paused": func(rcl *randomCluster, _ *simServer, ent *simEntry) {
		ent.paused = true
		rcl.pauses++
		rcl.after(12*time.Second, func() { ent.paused = false })
	},
	"entry dies": func(rcl *randomCluster, _ *simServer, ent *simEntry) {
		ent.dead = ent != rcl.entries[0]
		rcl.after(time.Second, rcl.publish)
	},
	"messages doubled": func(rcl *randomCluster, _ *simServer, _ *simEntry) {
		rcl.duplicateMessages = true
		rcl.after(time.Second, func() { rcl.duplicateMessages = false })
	},
	"view of the pool is stale": func(rcl *randomCluster, srv *simServer, _ *simEntry) {
		// Only one entry is told that the server left the list.
		srv.unlisted = true
		ent := rcl.entries[rcl.rnd.IntN(len(rcl.entries))]
		if !ent.dead {
			rcl.publishTo(ent)
		}
		rcl.after(time.Second, func() {
			srv.unlisted = false
			rcl.publish()
		})
	},
}

// Guards against wrong or partial answers, "not run" for work that ran, tasks started twice, and slots, units of
// limits or jobs that are never released. Random jobs run under random faults in random order.
func TestInvariantsUnderRandomFaults(tst *testing.T) {
	rapid.Check(tst, func(tst *rapid.T) {
		rcl := newRandomCluster(tst)
		rcl.run(simStart.Add(2 * time.Minute))
		rcl.check()
	})
}

// newRandomCluster draws the jobs and the faults, and schedules them.
func newRandomCluster(tst *rapid.T) *randomCluster {
	lim := &boundedLimits{units: rapid.IntRange(1, 20).Draw(tst, "limit")}
	rcl := &randomCluster{
		cluster: newClusterWith(tiny, dispatch.DefaultConfig(), lim, rapid.Uint64().Draw(tst, "seed")),
		tst:     tst, bySub: map[job.SubmissionID]*randomJob{},
	}
	rcl.runTime = func(tid job.TaskID) (time.Duration, bool) {
		rjb := rcl.bySub[tid.Submission()]
		return rjb.times[tid.Index()], rjb.fails
	}
	rcl.ended = func(_ *simEntry, jb *job.Job) {
		rjb := rcl.bySub[jb.Spec().Submission]
		rjb.ends++
		rjb.endedAt = rcl.now
	}
	for num := range rapid.IntRange(1, 30).Draw(tst, "jobs") {
		rcl.addJob(num)
	}
	for range rapid.IntRange(0, 6).Draw(tst, "faults") {
		name := rapid.SampledFrom(faultNames()).Draw(tst, "fault")
		at := millis(tst, "at", 0, 3000)
		srv := rapid.SampledFrom(rcl.servers).Draw(tst, "server")
		ent := rapid.SampledFrom(rcl.entries).Draw(tst, "entry")
		rcl.at(simStart.Add(at), func() { faults[name](rcl, srv, ent) })
	}
	return rcl
}

// faultNames returns the sorted names of the faults.
func faultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// millis draws a duration from low to high milliseconds.
func millis(tst *rapid.T, name string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(tst, name)) * time.Millisecond
}

// addJob draws a job and schedules its submission, and for one in five a cancellation.
func (rcl *randomCluster) addJob(num int) {
	rjb := &randomJob{fails: rapid.IntRange(0, 9).Draw(rcl.tst, "fails") == 0}
	for range rapid.IntRange(0, 12).Draw(rcl.tst, "tasks") {
		rjb.times = append(rjb.times, millis(rcl.tst, "run time", 1, 1500))
	}
	due := simStart.Add(millis(rcl.tst, "due", 10, 3000))
	cls := &job.Class{
		Name: fmt.Sprint("class-", num%3), Owner: job.Partner(fmt.Sprint("partner-", num%2)),
		Needs:   job.Needs{Processors: uint32(4 * max(0, rapid.IntRange(-6, 4).Draw(rcl.tst, "slots")))},
		RunTime: millis(rcl.tst, "declared", 0, 3000), Prefer: job.Preference(num % 2),
	}
	spc := job.Spec{
		Submission: job.SubmissionID(fmt.Sprint("job-", num)), Class: cls, Admitted: due,
		NotAfter: due.Add(millis(rcl.tst, "not after", 50, 20_000)), Tasks: make([]job.TaskSpec, len(rjb.times)),
	}
	rjb.jb = job.New(job.NewID("sim", fmt.Sprint(num)), spc)
	rjb.ent = rapid.SampledFrom(rcl.entries).Draw(rcl.tst, "entry")
	rcl.bySub[spc.Submission] = rjb
	rcl.jobs = append(rcl.jobs, rjb)
	rcl.at(due, func() {
		rjb.ent.event(func(now time.Time) { rjb.refused = rjb.ent.dsp.Submit(now, rjb.jb) })
	})
	if rapid.IntRange(0, 4).Draw(rcl.tst, "cancel") == 0 {
		rcl.at(due.Add(millis(rcl.tst, "cancel at", 0, 1000)), func() {
			rjb.ent.event(func(now time.Time) { rjb.ent.dsp.Cancel(now, rjb.jb) })
		})
	}
}

// check checks all jobs of live entries, and that no slot, unit of a limit or job is left over.
func (rcl *randomCluster) check() {
	tst := rcl.tst
	if rcl.doubleStarts > 0 {
		tst.Fatalf("%d tasks started twice", rcl.doubleStarts)
	}
	for _, rjb := range rcl.jobs {
		if !rjb.ent.dead {
			rcl.checkJob(rjb)
		}
	}
	alive := true
	for _, ent := range rcl.entries {
		alive = alive && !ent.dead
		sta := ent.dsp.Snapshot()
		if !ent.dead && (!ent.dsp.Idle() || sta.Waiting != 0 || sta.InFlight != 0) {
			tst.Fatalf("%s is not idle at the end: %+v", ent.id, sta)
		}
	}
	for _, srv := range rcl.servers {
		if srv.free != srv.slots {
			tst.Fatalf("%s has %d of %d slots free at the end", srv.id, srv.free, srv.slots)
		}
	}
	lim := rcl.lim.(*boundedLimits)
	if alive && lim.taken != 0 || lim.maxTaken > lim.units {
		tst.Fatalf("limit of %d: %d units taken at most, %d not released", lim.units, lim.maxTaken, lim.taken)
	}
}

// checkJob checks that a job ended once, and that its verdict agrees with what its tasks did.
func (rcl *randomCluster) checkJob(rjb *randomJob) {
	tst, sub := rcl.tst, rjb.jb.Spec().Submission
	if rjb.refused != nil {
		if rjb.refused.Verdict() == verdict.NotRun && rcl.started(rjb) > 0 {
			tst.Fatalf("%s was refused as not run and ran", sub)
		}
		return
	}
	if !rjb.jb.Ended() || rjb.ends != 1 {
		tst.Fatalf("%s ended %d times", sub, rjb.ends)
	}
	if late := rjb.endedAt.Sub(rjb.jb.Spec().NotAfter); late > 0 && rcl.pauses == 0 && rcl.sent[sub] == 0 {
		tst.Fatalf("%s was never sent and ended %v past its not-after time", sub, late)
	}
	switch err := rjb.jb.Err(); {
	case err == nil:
		for idx := range rjb.jb.TaskCount() {
			tsk := rjb.jb.Task(uint32(idx))
			if tsk.State() != job.Answered || string(tsk.Payload()) != taskKey(tsk.ID()) {
				tst.Fatalf("%s: task %d is %v with answer %q", sub, idx, tsk.State(), tsk.Payload())
			}
		}
	case err.Verdict() == verdict.NotRun && rcl.started(rjb) > 0:
		tst.Fatalf("%s ended as not run and ran: %v", sub, err)
	case err.Verdict() == verdict.Done || err.Verdict() == verdict.Unspecified:
		tst.Fatalf("%s ended with %v", sub, err)
	}
}

// started returns how often tasks of the job were started on servers.
func (rcl *randomCluster) started(rjb *randomJob) int {
	num := 0
	for idx := range rjb.jb.TaskCount() {
		num += rcl.starts[fmt.Sprintf("%s#%d", rjb.jb.Spec().Submission, idx)]
	}
	return num
}
