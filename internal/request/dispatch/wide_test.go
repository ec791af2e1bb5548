package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// Guards against starvation of a task that needs half of a backend server while a stream of one-slot tasks takes
// every slot that comes free. A backend server must be reserved for the wide task until enough slots are free.
func TestWideTaskIsNotStarved(tst *testing.T) {
	iss := is.New(tst)
	shp := tiny
	shp.slots = 8
	cls := newCluster(shp, dispatch.DefaultConfig(), 1)
	cls.runTime = func(job.TaskID) (time.Duration, bool) { return 200 * time.Millisecond, false }
	submitAt := func(at time.Duration, name string, needs job.Needs, tasks int) *job.Job {
		jb := job.New(job.NewID("sim", name), job.Spec{
			Submission: job.SubmissionID(name), Admitted: simStart.Add(at), Tasks: make([]job.TaskSpec, tasks),
			Class: &job.Class{Name: "class-" + name[:4], Owner: "partner", Needs: needs, RunTime: 200 * time.Millisecond},
		})
		cls.at(simStart.Add(at), func() {
			cls.entries[0].event(func(now time.Time) { iss.True(cls.entries[0].dsp.Submit(now, jb) == nil) })
		})
		return jb
	}
	for num := range 100 {
		submitAt(time.Duration(10+50*num)*time.Millisecond, fmt.Sprint("thin-", num), job.Needs{Processors: 1}, 20)
	}
	wide := submitAt(500*time.Millisecond, "wide", job.Needs{Processors: 16}, 3)
	cls.run(simStart.Add(4 * time.Second))
	iss.True(wide.Complete()) // within 3.5 s of steady overload
	never := job.New(job.NewID("sim", "never"), job.Spec{
		Submission: "never", Tasks: make([]job.TaskSpec, 1),
		Class: &job.Class{Name: "never", Needs: job.Needs{Processors: 33}},
	})
	err := cls.entries[0].dsp.Submit(cls.now, never)
	iss.Equal(err.Reason(), "no-worker-fits")
	iss.Equal(cls.doubleStarts, 0)
}
