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

// ledger is a Limits that must be balanced when all is over.
type ledger struct {
	most  int
	taken int
	worst int
}

func (led *ledger) Take(time.Time, *job.Class, string) bool {
	if led.taken >= led.most {
		return false
	}
	led.taken++
	led.worst = max(led.worst, led.taken)
	return true
}

func (led *ledger) Release(time.Time, *job.Class, string) { led.taken-- }

var tiny = shape{
	name: "tiny", domains: 2, entries: 3, servers: 6, slots: 3, perRack: 2,
	near: 200 * time.Microsecond, far: time.Millisecond,
}

// stirred is a cluster with random jobs and random faults.
type stirred struct {
	*cluster
	tst   *rapid.T
	trial []*stirredJob
	// pauses counts the entries that were paused; the times of ends are not checked then.
	pauses int
	bySub  map[job.SubmissionID]*stirredJob
}

type stirredJob struct {
	jb      *job.Job
	ent     *simEntry
	times   []time.Duration
	fails   bool
	refused *verdict.Error
	ends    int
	endedAt time.Time
}

var faults = map[string]func(stm *stirred, srv *simServer, ent *simEntry){
	"silent connection": func(_ *stirred, srv *simServer, ent *simEntry) {
		if ses := ent.sessions[srv.id]; ses != nil {
			ses.silent = true
		}
	},
	"slow connection": func(stm *stirred, srv *simServer, ent *simEntry) {
		if ses := ent.sessions[srv.id]; ses != nil {
			ses.slow = time.Duration(500+stm.rnd.IntN(3000)) * time.Millisecond
		}
	},
	"server crash": func(stm *stirred, srv *simServer, _ *simEntry) {
		if !srv.down {
			srv.crash()
			stm.after(300*time.Millisecond, srv.restart)
		}
	},
	"server cut off": func(stm *stirred, srv *simServer, _ *simEntry) {
		srv.cutOff = true
		stm.after(2*time.Second, func() { srv.cutOff = false })
	},
	"server leaving": func(stm *stirred, srv *simServer, _ *simEntry) {
		srv.leaving = true
		stm.after(time.Second, func() { srv.leaving = false })
	},
	"server fails all": func(stm *stirred, srv *simServer, _ *simEntry) {
		srv.failAll = true
		stm.after(time.Second, func() { srv.failAll = false })
	},
	"entry paused": func(stm *stirred, _ *simServer, ent *simEntry) {
		ent.paused = true
		stm.pauses++
		stm.after(12*time.Second, func() { ent.paused = false })
	},
	"entry dies": func(stm *stirred, _ *simServer, ent *simEntry) {
		ent.dead = ent != stm.entries[0]
		stm.after(time.Second, stm.publish)
	},
	"messages doubled": func(stm *stirred, _ *simServer, _ *simEntry) {
		stm.doubled = true
		stm.after(time.Second, func() { stm.doubled = false })
	},
	"view of the pool is stale": func(stm *stirred, srv *simServer, _ *simEntry) {
		// Only one of the entries comes to know that the server left the list.
		srv.unlisted = true
		ent := stm.entries[stm.rnd.IntN(len(stm.entries))]
		if !ent.dead {
			stm.publishTo(ent)
		}
		stm.after(time.Second, func() {
			srv.unlisted = false
			stm.publish()
		})
	},
}

// A caller must never get an answer that is not its own and whole, nor "not run" for work that
// ran, and no task may start twice, whatever fails in whatever order. Random jobs meet random
// faults; when all is over the books must balance: no slot, no unit of a limit and no job is left.
func TestInvariantsUnderRandomFaults(tst *testing.T) {
	rapid.Check(tst, func(tst *rapid.T) {
		stm := stir(tst)
		stm.run(simStart.Add(2 * time.Minute))
		stm.check()
	})
}

func stir(tst *rapid.T) *stirred {
	led := &ledger{most: rapid.IntRange(1, 20).Draw(tst, "limit")}
	stm := &stirred{
		cluster: newClusterWith(tiny, dispatch.DefaultConfig(), led, rapid.Uint64().Draw(tst, "seed")),
		tst:     tst, bySub: map[job.SubmissionID]*stirredJob{},
	}
	stm.runTime = func(tid job.TaskID) (time.Duration, bool) {
		sjb := stm.bySub[tid.Submission()]
		return sjb.times[tid.Index()], sjb.fails
	}
	stm.ended = func(_ *simEntry, jb *job.Job) {
		sjb := stm.bySub[jb.Spec().Submission]
		sjb.ends++
		sjb.endedAt = stm.now
	}
	for num := range rapid.IntRange(1, 30).Draw(tst, "jobs") {
		stm.addJob(num)
	}
	for range rapid.IntRange(0, 6).Draw(tst, "faults") {
		name := rapid.SampledFrom(faultNames()).Draw(tst, "fault")
		at := millis(tst, "at", 0, 3000)
		srv := rapid.SampledFrom(stm.servers).Draw(tst, "server")
		ent := rapid.SampledFrom(stm.entries).Draw(tst, "entry")
		stm.at(simStart.Add(at), func() { faults[name](stm, srv, ent) })
	}
	return stm
}

func faultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func millis(tst *rapid.T, name string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(tst, name)) * time.Millisecond
}

func (stm *stirred) addJob(num int) {
	sjb := &stirredJob{fails: rapid.IntRange(0, 9).Draw(stm.tst, "fails") == 0}
	for range rapid.IntRange(0, 12).Draw(stm.tst, "tasks") {
		sjb.times = append(sjb.times, millis(stm.tst, "run time", 1, 1500))
	}
	due := simStart.Add(millis(stm.tst, "due", 10, 3000))
	cls := &job.Class{
		Name: fmt.Sprint("class-", num%3), Owner: job.Partner(fmt.Sprint("partner-", num%2)),
		Needs:   job.Needs{Processors: uint32(4 * max(0, rapid.IntRange(-6, 4).Draw(stm.tst, "slots")))},
		RunTime: millis(stm.tst, "declared", 0, 3000), Prefer: job.Preference(num % 2),
	}
	spc := job.Spec{
		Submission: job.SubmissionID(fmt.Sprint("job-", num)), Class: cls, Admitted: due,
		NotAfter: due.Add(millis(stm.tst, "not after", 50, 20_000)), Tasks: make([]job.TaskSpec, len(sjb.times)),
	}
	sjb.jb = job.New(job.NewID("sim", fmt.Sprint(num)), spc)
	sjb.ent = rapid.SampledFrom(stm.entries).Draw(stm.tst, "entry")
	stm.bySub[spc.Submission] = sjb
	stm.trial = append(stm.trial, sjb)
	stm.at(due, func() {
		sjb.ent.event(func(now time.Time) { sjb.refused = sjb.ent.dsp.Submit(now, sjb.jb) })
	})
	if rapid.IntRange(0, 4).Draw(stm.tst, "cancel") == 0 {
		stm.at(due.Add(millis(stm.tst, "cancel at", 0, 1000)), func() {
			sjb.ent.event(func(now time.Time) { sjb.ent.dsp.Cancel(now, sjb.jb) })
		})
	}
}

func (stm *stirred) check() {
	tst := stm.tst
	if stm.doubles > 0 {
		tst.Fatalf("%d tasks started twice", stm.doubles)
	}
	for _, sjb := range stm.trial {
		if !sjb.ent.dead {
			stm.checkJob(sjb)
		}
	}
	alive := true
	for _, ent := range stm.entries {
		alive = alive && !ent.dead
		sta := ent.dsp.Snapshot()
		if !ent.dead && (!ent.dsp.Idle() || sta.Waiting != 0 || sta.InFlight != 0) {
			tst.Fatalf("%s is not idle at the end: %+v", ent.id, sta)
		}
	}
	for _, srv := range stm.servers {
		if srv.free != srv.slots {
			tst.Fatalf("%s has %d of %d slots free at the end", srv.id, srv.free, srv.slots)
		}
	}
	led := stm.lim.(*ledger)
	if alive && led.taken != 0 || led.worst > led.most {
		tst.Fatalf("limit of %d: %d at worst, %d left over", led.most, led.worst, led.taken)
	}
}

func (stm *stirred) checkJob(sjb *stirredJob) {
	tst, sub := stm.tst, sjb.jb.Spec().Submission
	if sjb.refused != nil {
		if sjb.refused.Verdict() == verdict.NotRun && stm.started(sjb) > 0 {
			tst.Fatalf("%s was refused as not run and ran", sub)
		}
		return
	}
	if !sjb.jb.Ended() || sjb.ends != 1 {
		tst.Fatalf("%s ended %d times", sub, sjb.ends)
	}
	if late := sjb.endedAt.Sub(sjb.jb.Spec().NotAfter); late > 0 && stm.pauses == 0 && stm.sent[sub] == 0 {
		tst.Fatalf("%s was never sent and ended %v past its not-after time", sub, late)
	}
	switch err := sjb.jb.Err(); {
	case err == nil:
		for idx := range sjb.jb.TaskCount() {
			tsk := sjb.jb.Task(uint32(idx))
			if tsk.State() != job.Answered || string(tsk.Payload()) != taskKey(tsk.ID()) {
				tst.Fatalf("%s: task %d is %v with answer %q", sub, idx, tsk.State(), tsk.Payload())
			}
		}
	case err.Verdict() == verdict.NotRun && stm.started(sjb) > 0:
		tst.Fatalf("%s ended as not run and ran: %v", sub, err)
	case err.Verdict() == verdict.Done || err.Verdict() == verdict.Unspecified:
		tst.Fatalf("%s ended with %v", sub, err)
	}
}

func (stm *stirred) started(sjb *stirredJob) int {
	num := 0
	for idx := range sjb.jb.TaskCount() {
		num += stm.starts[fmt.Sprintf("%s#%d", sjb.jb.Spec().Submission, idx)]
	}
	return num
}
