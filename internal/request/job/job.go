package job

import (
	"time"

	"chestnutstack/internal/request/verdict"
)

// Spec is a caller's validated request.
type Spec struct {
	Submission SubmissionID
	Class      *Class
	// Team is the caller's team, whose TeamQuota applies.
	Team string
	// NotAfter is the time after which no task may start.
	NotAfter time.Time
	// Repeatable is false if the catalogue entry or the caller says that tasks must run at most once.
	Repeatable bool
	Tasks      []TaskSpec
	// FirstAttempt is the number of the first attempt at each task; 0 stands for 1. For a job that was taken over from a lost entry
	// instance it is greater than the attempts that were fenced.
	FirstAttempt uint32
	// Admitted is the time at which the entry instance accepted the job.
	Admitted time.Time
}

// TaskSpec is the caller's request for one task.
type TaskSpec struct {
	Payload []byte
	// ExpectedRunTime is the run time that the caller declared; 0 if it declared none.
	ExpectedRunTime time.Duration
}

// Job is the state of a submission that an entry instance has accepted.
type Job struct {
	id    ID
	spec  Spec
	tasks []Task
	// started counts the tasks that were sent and are not proved not to have run, finished those with an answer.
	started  int
	finished int
	// longest is the longest run time of a task so far.
	longest time.Duration
	// ended is set once the job has its final answer; err is then why the answer is incomplete, or nil.
	ended bool
	err   *verdict.Error
}

// New returns a job whose tasks are all Waiting.
func New(id ID, spec Spec) *Job {
	jb := &Job{id: id, spec: spec, tasks: make([]Task, len(spec.Tasks))}
	for idx := range jb.tasks {
		tsk := &jb.tasks[idx]
		tsk.job = jb
		tsk.index = uint32(idx)
		tsk.attempt = max(1, spec.FirstAttempt)
		tsk.state = Waiting
	}
	return jb
}

// ID returns the id under which callers find the job at any entry instance.
func (jb *Job) ID() ID { return jb.id }

// Spec returns the caller's request, which must not be modified.
func (jb *Job) Spec() *Spec { return &jb.spec }

// TaskCount returns the number of tasks.
func (jb *Job) TaskCount() int { return len(jb.tasks) }

// Task returns the task with an index counted from 0, or nil if there is none.
func (jb *Job) Task(index uint32) *Task {
	if int(index) >= len(jb.tasks) {
		return nil
	}
	return &jb.tasks[index]
}

// StartedCount returns the number of tasks that were sent to a backend server and are not proved not to have run there.
func (jb *Job) StartedCount() int { return jb.started }

// FinishedCount returns the number of tasks with an answer.
func (jb *Job) FinishedCount() int { return jb.finished }

// RecordRunTime records the run time of one of the tasks, without its waiting time.
func (jb *Job) RecordRunTime(dur time.Duration) { jb.longest = max(jb.longest, dur) }

// LongestRunTime returns the longest run time of a task so far, which is a lower bound of the job's run time.
func (jb *Job) LongestRunTime() time.Duration { return jb.longest }

// Ended reports whether the job has its final answer.
func (jb *Job) Ended() bool { return jb.ended }

// Err returns the reason why the job ended without a complete answer, or nil.
func (jb *Job) Err() *verdict.Error { return jb.err }

// End sets the job's final answer, complete if err is nil, and reports whether it was the first call. A later call has no effect, so
// that a result that arrives after a cancellation can't change the answer that the caller got.
func (jb *Job) End(err *verdict.Error) bool {
	if jb.ended {
		return false
	}
	jb.ended = true
	jb.err = err
	return true
}

// ReasonCancelled is the reason of the error of a job that its caller cancelled.
const ReasonCancelled = "cancelled"

// Cancelled reports whether the caller cancelled the job.
func (jb *Job) Cancelled() bool { return jb.err != nil && jb.err.Reason() == ReasonCancelled }

// Complete reports whether every task has an answer.
func (jb *Job) Complete() bool { return jb.finished == len(jb.tasks) }

// NextAttempt returns an attempt number greater than that of every attempt at any of the tasks.
func (jb *Job) NextAttempt() uint32 {
	next := uint32(1)
	for idx := range jb.tasks {
		next = max(next, jb.tasks[idx].attempt+1)
	}
	return next
}

// NothingRan reports whether it is proved that no task has run: each was never sent, or each send is proved to have had no effect.
func (jb *Job) NothingRan() bool {
	for idx := range jb.tasks {
		if !jb.tasks[idx].neverRan() {
			return false
		}
	}
	return true
}

// FailureVerdict returns the verdict on a job that ends without a complete answer: not-run only if every task is proved not to have
// run, failed if a task is known to have run, else may-have-run.
func (jb *Job) FailureVerdict() verdict.Verdict {
	if jb.NothingRan() {
		return verdict.NotRun
	}
	for idx := range jb.tasks {
		if jb.tasks[idx].state == Answered || jb.tasks[idx].state == RanAndFailed {
			return verdict.Failed
		}
	}
	return verdict.MayHaveRun
}
