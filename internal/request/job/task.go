package job

import "time"

// State is the state of a task as far as the entry instance knows.
type State int

const (
	// Waiting means that the task was never sent, or that every send is proved to have had no effect.
	Waiting State = iota
	// Sent means that the start was sent and its answer is awaited.
	Sent
	// Querying means that the answer is late or the connection broke, and that the backend server was asked for the task's state.
	Querying
	// Revoking means that the backend server did not know the task and was told never to start this attempt.
	Revoking
	// Answered means that the task ran and that its answer was received.
	Answered
	// RanAndFailed means that the task ran and failed.
	RanAndFailed
	// Lost means that the task may have run and that its answer can't be obtained any more.
	Lost
	// Dropped means that the task never ran and never will.
	Dropped
)

// Task is the state of one task of a job.
//
// It enforces that no task starts twice: only a task in Waiting may be sent, and a sent task returns to Waiting only on proof that it
// did not start: a refusal, a connection that was never made, or an acknowledged revoke.
type Task struct {
	job     *Job
	index   uint32
	attempt uint32
	state   State
	// server is the backend server that the current attempt was sent to, sent when; server is empty if it was not sent.
	server string
	sent   time.Time
	// payload is the answer of a task in Answered, failure the error text of one in RanAndFailed.
	payload []byte
	failure string
}

// Job returns the job that the task belongs to.
func (tsk *Task) Job() *Job { return tsk.job }

// ID returns the id of the current attempt.
func (tsk *Task) ID() TaskID {
	return NewTaskID(tsk.job.spec.Submission, tsk.index, tsk.attempt)
}

// Index returns the task's index in its job, counted from 0.
func (tsk *Task) Index() uint32 { return tsk.index }

// State returns the state of the task.
func (tsk *Task) State() State { return tsk.state }

// Server returns the backend server that the current attempt was sent to.
func (tsk *Task) Server() string { return tsk.server }

// SentAt returns the time at which the task was last sent.
func (tsk *Task) SentAt() time.Time { return tsk.sent }

// Spec returns the caller's request for the task.
func (tsk *Task) Spec() *TaskSpec { return &tsk.job.spec.Tasks[tsk.index] }

// Payload returns the answer of a task in Answered, else nil.
func (tsk *Task) Payload() []byte { return tsk.payload }

// Failure returns the error text of a task in RanAndFailed, else an empty string.
func (tsk *Task) Failure() string { return tsk.failure }

// Current reports whether an answer to an attempt is the awaited one. Late or reordered answers to earlier attempts are not.
func (tsk *Task) Current(tid TaskID) bool {
	return tid.attempt == tsk.attempt && tid.submission == tsk.job.spec.Submission && tsk.InFlight()
}

// InFlight reports whether the task may be running now.
func (tsk *Task) InFlight() bool {
	return tsk.state == Sent || tsk.state == Querying || tsk.state == Revoking
}

// MarkSent records that the current attempt is about to be sent to a backend server. It returns false, and nothing may be sent, unless
// the task is Waiting.
func (tsk *Task) MarkSent(now time.Time, server string) bool {
	if tsk.state != Waiting {
		return false
	}
	tsk.state = Sent
	tsk.server = server
	tsk.sent = now
	tsk.job.started++
	return true
}

// MarkQuerying records that the backend server is asked for the task's state, and reports whether the task was in flight.
func (tsk *Task) MarkQuerying() bool { return tsk.transition(Querying, Sent, Querying, Revoking) }

// MarkRunning records that the backend server answered that the task runs, and reports whether it had been asked.
func (tsk *Task) MarkRunning() bool { return tsk.transition(Sent, Querying, Revoking) }

// MarkRevoking records that the backend server is told never to start this attempt, and reports whether it was in Sent or Querying.
func (tsk *Task) MarkRevoking() bool { return tsk.transition(Revoking, Sent, Querying) }

// MarkNotRun records proof that the current attempt did not start and never will, so that the next attempt may be sent, and reports
// whether the task was in flight.
func (tsk *Task) MarkNotRun() bool {
	if !tsk.transition(Waiting, Sent, Querying, Revoking) {
		return false
	}
	tsk.attempt++
	tsk.server = ""
	tsk.job.started--
	return true
}

// MarkAnswered records the answer of the current attempt, and reports whether the task was in flight.
func (tsk *Task) MarkAnswered(payload []byte) bool {
	if !tsk.transition(Answered, Sent, Querying, Revoking) {
		return false
	}
	tsk.payload = payload
	tsk.job.finished++
	return true
}

// MarkRecovered records the answer to an attempt that a lost entry instance sent, so that the task is not sent again, and reports
// whether the task was Waiting.
func (tsk *Task) MarkRecovered(payload []byte) bool {
	if !tsk.transition(Answered, Waiting) {
		return false
	}
	tsk.payload = payload
	tsk.job.started++
	tsk.job.finished++
	return true
}

// MarkFailed records that the current attempt ran and failed with an error text, and reports whether the task was in flight.
func (tsk *Task) MarkFailed(text string) bool {
	if !tsk.transition(RanAndFailed, Sent, Querying, Revoking) {
		return false
	}
	tsk.failure = text
	return true
}

// MarkLost records that the result of the current attempt can't be obtained any more, and reports whether the task was in flight.
func (tsk *Task) MarkLost() bool { return tsk.transition(Lost, Sent, Querying, Revoking) }

// MarkDropped records that the task will never be sent, and reports whether it was Waiting.
func (tsk *Task) MarkDropped() bool { return tsk.transition(Dropped, Waiting) }

// neverRan reports whether it is proved that the task has not run.
func (tsk *Task) neverRan() bool { return tsk.state == Waiting || tsk.state == Dropped }

// transition changes the state to next if it is one of from, and reports whether it did.
func (tsk *Task) transition(next State, from ...State) bool {
	for _, sta := range from {
		if tsk.state == sta {
			tsk.state = next
			return true
		}
	}
	return false
}
