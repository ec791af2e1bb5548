package job

import (
	"time"

	"chestnutstack/internal/request/verdict"
)

// Spec is what a caller asked for, after it was checked.
type Spec struct {
	Submission SubmissionID
	Class      *Class
	Team       string
	// NotAfter bounds the start of every task.
	NotAfter   time.Time
	Repeatable bool
	Tasks      []TaskSpec
	// FirstAttempt is the number of the first attempt at each task; 0 stands for 1. A job that was
	// taken over from a lost entry instance begins past the attempts that were fenced.
	FirstAttempt uint32
	// Admitted is when the entry instance took the job.
	Admitted time.Time
}

// TaskSpec is one task of a Spec.
type TaskSpec struct {
	Payload []byte
	// Expected is the caller's guess of the run time; 0 if it made none.
	Expected time.Duration
}

// Job is a submission that an entry instance has taken.
type Job struct {
	id       ID
	spec     Spec
	tasks    []Task
	started  int
	finished int
	longest  time.Duration
	ended    bool
	err      *verdict.Error
}

// New returns a job whose tasks all wait.
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

// ID returns the id that callers use at any entry instance.
func (jb *Job) ID() ID { return jb.id }

// Spec returns what the caller asked for; it must not be changed.
func (jb *Job) Spec() *Spec { return &jb.spec }

// Tasks returns the number of tasks.
func (jb *Job) Tasks() int { return len(jb.tasks) }

// Task returns the task with that index, or nil if there is none.
func (jb *Job) Task(index uint32) *Task {
	if int(index) >= len(jb.tasks) {
		return nil
	}
	return &jb.tasks[index]
}

// Started returns how many tasks were sent to a backend server at least once.
func (jb *Job) Started() int { return jb.started }

// Finished returns how many tasks have an answer.
func (jb *Job) Finished() int { return jb.finished }

// RecordRunTime records how long one of the tasks took by itself.
func (jb *Job) RecordRunTime(dur time.Duration) { jb.longest = max(jb.longest, dur) }

// LongestRunTime returns the run time of the longest task so far, which is the least that the job can take.
func (jb *Job) LongestRunTime() time.Duration { return jb.longest }

// Ended reports whether the job has its final answer.
func (jb *Job) Ended() bool { return jb.ended }

// Err returns why the job ended without a whole answer, or nil.
func (jb *Job) Err() *verdict.Error { return jb.err }

// End gives the job its final answer: whole if err is nil. A second end has no effect, so that a
// result that arrives after a cancel cannot change what the caller was told.
func (jb *Job) End(err *verdict.Error) bool {
	if jb.ended {
		return false
	}
	jb.ended = true
	jb.err = err
	return true
}

// ReasonCancelled ends a job that its caller called off.
const ReasonCancelled = "cancelled"

// Cancelled reports whether the caller called the job off.
func (jb *Job) Cancelled() bool { return jb.err != nil && jb.err.Reason() == ReasonCancelled }

// Complete reports whether every task ran and answered.
func (jb *Job) Complete() bool { return jb.finished == len(jb.tasks) }

// NextAttempt returns a number past every attempt at any of the tasks.
func (jb *Job) NextAttempt() uint32 {
	next := uint32(1)
	for idx := range jb.tasks {
		next = max(next, jb.tasks[idx].attempt+1)
	}
	return next
}

// NothingRan reports whether no task was ever sent, so that not-run is proved.
func (jb *Job) NothingRan() bool {
	for idx := range jb.tasks {
		if !jb.tasks[idx].neverRan() {
			return false
		}
	}
	return true
}

// FailureVerdict returns what may be said of a job that ends early: not-run only if every task is
// proved not to have run, failed if a task is known to have run, else may-have-run.
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
