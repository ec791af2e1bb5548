package job_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

var now = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// newJob returns a job of that many tasks, all Waiting.
func newJob(tasks int) *job.Job {
	return job.New(job.NewPartnerID("entry-1~a", "riga", "1"), job.Spec{
		Submission: "riga/deck-1", Tasks: make([]job.TaskSpec, tasks),
	})
}

// A task was sent to a backend server, revoked there and sent to another. Fails if the answer to the first attempt, to another submission,
// or to a task that was never sent is taken for the answer to the second attempt.
func TestOnlyTheCurrentAttemptCounts(t *testing.T) {
	tests := map[string]struct {
		id   job.TaskID
		want bool
	}{
		"current attempt":  {job.NewTaskID("riga/deck-1", 0, 2), true},
		"earlier attempt":  {job.NewTaskID("riga/deck-1", 0, 1), false},
		"later attempt":    {job.NewTaskID("riga/deck-1", 0, 3), false},
		"other submission": {job.NewTaskID("riga/deck-2", 0, 2), false},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			jb := newJob(1)
			tsk := jb.Task(0)
			is.True(!tsk.Current(job.NewTaskID("riga/deck-1", 0, 1))) // never sent
			is.True(tsk.MarkSent(now, "b1"))
			is.True(tsk.MarkNotRun())
			is.True(tsk.MarkSent(now, "b2"))
			is.Equal(tsk.Current(tst.id), tst.want)
		})
	}
}

// Fails if a task is sent again without proof that its last start had no effect, and so runs twice.
func TestOnlyProofAllowsResend(t *testing.T) {
	tests := map[string]struct {
		steps []func(*job.Task) bool
		sent  bool
	}{
		"sent":                {nil, false},
		"queried":             {[]func(*job.Task) bool{(*job.Task).MarkQuerying}, false},
		"queried and revoked": {[]func(*job.Task) bool{(*job.Task).MarkQuerying, (*job.Task).MarkRevoking}, false},
		"running there":       {[]func(*job.Task) bool{(*job.Task).MarkQuerying, (*job.Task).MarkRunning}, false},
		"lost":                {[]func(*job.Task) bool{(*job.Task).MarkLost}, false},
		"proved not run":      {[]func(*job.Task) bool{(*job.Task).MarkQuerying, (*job.Task).MarkRevoking, (*job.Task).MarkNotRun}, true},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tsk := newJob(1).Task(0)
			is.True(tsk.MarkSent(now, "b1"))
			for _, step := range tst.steps {
				is.True(step(tsk))
			}
			is.Equal(tsk.MarkSent(now, "b2"), tst.sent)
		})
	}
}

// Fails if a job that ends early is reported as not run though one of its tasks may have run.
func TestFailureVerdict(t *testing.T) {
	tests := map[string]struct {
		steps func(jb *job.Job)
		want  verdict.Verdict
	}{
		"nothing sent": {func(*job.Job) {}, verdict.NotRun},
		"dropped":      {func(jb *job.Job) { jb.Task(0).MarkDropped() }, verdict.NotRun},
		"proved not run": {func(jb *job.Job) {
			jb.Task(0).MarkSent(now, "b1")
			jb.Task(0).MarkNotRun()
		}, verdict.NotRun},
		"sent":     {func(jb *job.Job) { jb.Task(0).MarkSent(now, "b1") }, verdict.MayHaveRun},
		"one lost": {func(jb *job.Job) { jb.Task(1).MarkSent(now, "b1"); jb.Task(1).MarkLost() }, verdict.MayHaveRun},
		"one answered": {func(jb *job.Job) {
			jb.Task(1).MarkSent(now, "b1")
			jb.Task(1).MarkAnswered(nil)
		}, verdict.Failed},
		"one ran and failed": {func(jb *job.Job) {
			jb.Task(1).MarkSent(now, "b1")
			jb.Task(1).MarkFailed("no such font")
		}, verdict.Failed},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			jb := newJob(2)
			tst.steps(jb)
			is.Equal(jb.FailureVerdict(), tst.want)
		})
	}
}

// Fails if a job that was taken over loses an answer that it already has, or reuses numbers of attempts that were fenced.
func TestTakenOverJob(t *testing.T) {
	is := is.New(t)
	jb := job.New(job.NewID("entry-2~a", "1"), job.Spec{
		Submission: "riga/deck-1", Tasks: make([]job.TaskSpec, 2), FirstAttempt: 100,
	})
	is.True(jb.Task(0).MarkRecovered([]byte("slide")))
	is.True(!jb.Complete())
	is.Equal(jb.Task(1).ID().Attempt(), uint32(100))
	is.True(jb.Task(1).MarkSent(now, "b1"))
	is.True(jb.Task(1).MarkAnswered([]byte("slide")))
	is.True(jb.Complete())
	is.Equal(jb.NextAttempt(), uint32(101))
}

// Fails if an id without instance or name is accepted, or a valid one is changed by parsing.
func TestParseID(t *testing.T) {
	tests := map[string]struct {
		txt  string
		good bool
	}{
		"complete":    {"entry-1~a/riga.1", true},
		"no name":     {"entry-1~a/", false},
		"no instance": {"/riga.1", false},
		"neither":     {"riga.1", false},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id, err := job.ParseID(tst.txt)
			is.Equal(err == nil, tst.good)
			if tst.good {
				is.Equal(id.String(), tst.txt)
				is.Equal(id.Partner(), job.Partner("riga"))
			}
		})
	}
}
