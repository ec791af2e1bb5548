package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// plainJob returns a job of tasks that need one slot each.
func plainJob(cls *cluster, name string, tasks int) *job.Job {
	return job.New(job.NewID("sim", name), job.Spec{
		Submission: job.SubmissionID(name), Admitted: cls.now, Tasks: make([]job.TaskSpec, tasks),
		Class: &job.Class{Name: "class", Owner: "partner", RunTime: 200 * time.Millisecond},
	})
}

// runFor returns a run time function by which each task succeeds after the given time.
func runFor(run time.Duration) func(job.TaskID) (time.Duration, bool) {
	return func(job.TaskID) (time.Duration, bool) { return run, false }
}

// Guards against long tasks that are stopped in the middle because nothing renewed their leases. One message
// renews the leases of all tasks on a server.
func TestLongTasksKeepTheirLease(tst *testing.T) {
	iss := is.New(tst)
	cls := newCluster(tiny, dispatch.DefaultConfig(), 1)
	cls.runTime = runFor(34 * time.Second)
	ent := cls.entries[0]
	cls.run(simStart.Add(10 * time.Millisecond))
	jb := plainJob(cls, "long", 6)
	ent.event(func(now time.Time) { iss.True(ent.dsp.Submit(now, jb) == nil) })
	cls.run(simStart.Add(time.Minute))
	iss.True(jb.Complete())
	servers := map[string]bool{}
	for idx := range jb.TaskCount() {
		servers[jb.Task(uint32(idx)).Server()] = true
	}
	most := uint64(len(servers) * 34 / 5)
	iss.True(ent.dsp.Snapshot().Renewals <= most) // every half lease, not for every task
}

// An instance that drains must finish its jobs, refuse new ones with not-run and a retry time, and give borrowed
// slots back.
func TestDrainFinishesOpenJobs(tst *testing.T) {
	iss := is.New(tst)
	cls := newCluster(tiny, dispatch.DefaultConfig(), 1)
	cls.runTime = runFor(300 * time.Millisecond)
	ent := cls.entries[0]
	cls.run(simStart.Add(10 * time.Millisecond))
	jb := plainJob(cls, "old", 40)
	ent.event(func(now time.Time) { iss.True(ent.dsp.Submit(now, jb) == nil) })
	cls.run(simStart.Add(200 * time.Millisecond))
	ent.event(ent.dsp.Drain)
	late := plainJob(cls, "new", 1)
	ent.event(func(now time.Time) {
		err := ent.dsp.Submit(now, late)
		iss.Equal(err.Verdict(), verdict.NotRun)
		iss.True(err.RetryAfter() > 0)
	})
	iss.True(!ent.dsp.Idle())
	cls.run(simStart.Add(10 * time.Second))
	iss.True(jb.Complete())
	iss.True(ent.dsp.Idle())
	iss.Equal(ent.dsp.Snapshot().Borrowed, 0)
}

// Cancelling large jobs must not flood the network: one batch of stops goes to each backend server, and waiting
// tasks cost no message.
func TestCancelSendsOneStopBatchPerServer(tst *testing.T) {
	iss := is.New(tst)
	cls := newCluster(tiny, dispatch.DefaultConfig(), 1)
	cls.runTime = runFor(5 * time.Second)
	ent := cls.entries[0]
	cls.run(simStart.Add(10 * time.Millisecond))
	jb := plainJob(cls, "large", 200)
	ent.event(func(now time.Time) { iss.True(ent.dsp.Submit(now, jb) == nil) })
	cls.run(simStart.Add(time.Second))
	sent := cls.sent["large"]
	iss.True(sent > 0 && sent < 200)
	iss.True(ent.dsp.Cancel(cls.now, jb))
	stops := ent.dsp.Actions().Stops
	iss.Equal(len(stops), sent)
	for idx := 1; idx < len(stops); idx++ {
		iss.True(stops[idx-1].Server <= stops[idx].Server) // in the order of the servers
	}
	ent.flush()
	iss.Equal(jb.Err().Verdict(), verdict.MayHaveRun)
	cls.run(simStart.Add(3 * time.Second))
	iss.Equal(cls.sent["large"], sent)
	iss.True(ent.dsp.Idle())
}
