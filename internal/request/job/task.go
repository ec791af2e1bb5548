package job

import "time"

// State is how far a task has come, as far as the entry instance knows.
type State int

const (
	// Waiting means that the task was never sent, or that every send is proved to have had no effect.
	Waiting State = iota
	// Sent means that the start went out and its answer is due.
	Sent
	// Querying means that the answer is late or the connection gone, and the backend server was asked.
	Querying
	// Revoking means that the backend server did not know the task and was told never to start it.
	Revoking
	// Answered means that the task ran and its answer is here.
	Answered
	// RanAndFailed means that the task ran and failed.
	RanAndFailed
	// Lost means that the task may have run and that its answer is not to be had.
	Lost
	// Dropped means that the task never ran and never will.
	Dropped
)

// Task is one task of a job.
//
// The rule that no task starts twice lives here: only a task in Waiting may be sent, and only proof
// leads back to Waiting: a refusal, a connection that was never made, or an acknowledged revoke.
type Task struct {
	job     *Job
	index   uint32
	attempt uint32
	state   State
	server  string
	sent    time.Time
	payload []byte
	failure string
}

// Job returns the job that the task belongs to.
func (tsk *Task) Job() *Job { return tsk.job }

// ID returns the name of the current attempt.
func (tsk *Task) ID() TaskID {
	return NewTaskID(tsk.job.spec.Submission, tsk.index, tsk.attempt)
}

// Index returns the task's place in its job.
func (tsk *Task) Index() uint32 { return tsk.index }

// State returns how far the task has come.
func (tsk *Task) State() State { return tsk.state }

// Server returns the backend server that the current attempt was sent to.
func (tsk *Task) Server() string { return tsk.server }

// SentAt returns when the current attempt was sent.
func (tsk *Task) SentAt() time.Time { return tsk.sent }

// Spec returns what the caller asked for.
func (tsk *Task) Spec() *TaskSpec { return &tsk.job.spec.Tasks[tsk.index] }

// Payload returns the answer of a task in Answered.
func (tsk *Task) Payload() []byte { return tsk.payload }

// Failure returns the error text of a task in RanAndFailed.
func (tsk *Task) Failure() string { return tsk.failure }

// Current reports whether an answer for that attempt is the one that is waited for. Late and
// crossed answers of earlier attempts are not.
func (tsk *Task) Current(tid TaskID) bool {
	return tid.attempt == tsk.attempt && tid.submission == tsk.job.spec.Submission && tsk.InFlight()
}

// InFlight reports whether the task may be running now.
func (tsk *Task) InFlight() bool {
	return tsk.state == Sent || tsk.state == Querying || tsk.state == Revoking
}

// MarkSent records that the current attempt goes to a backend server. It reports false, and nothing
// may be sent, unless the task is waiting.
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

// MarkQuerying records that the backend server is asked what it knows of the task.
func (tsk *Task) MarkQuerying() bool { return tsk.step(Querying, Sent, Querying, Revoking) }

// MarkRunning records the backend server's word that the task runs there.
func (tsk *Task) MarkRunning() bool { return tsk.step(Sent, Querying, Revoking) }

// MarkRevoking records that the backend server is told never to start this attempt.
func (tsk *Task) MarkRevoking() bool { return tsk.step(Revoking, Sent, Querying) }

// MarkNotRun records proof that the current attempt did not start and never will; the next
// attempt may be sent.
func (tsk *Task) MarkNotRun() bool {
	if !tsk.step(Waiting, Sent, Querying, Revoking) {
		return false
	}
	tsk.attempt++
	tsk.server = ""
	tsk.job.started--
	return true
}

// MarkAnswered records the answer of the current attempt.
func (tsk *Task) MarkAnswered(payload []byte) bool {
	if !tsk.step(Answered, Sent, Querying, Revoking) {
		return false
	}
	tsk.payload = payload
	tsk.job.finished++
	return true
}

// MarkRecovered records the answer of an attempt that a lost entry instance made; the task is not sent.
func (tsk *Task) MarkRecovered(payload []byte) bool {
	if !tsk.step(Answered, Waiting) {
		return false
	}
	tsk.payload = payload
	tsk.job.started++
	tsk.job.finished++
	return true
}

// MarkFailed records that the current attempt ran and failed.
func (tsk *Task) MarkFailed(text string) bool {
	if !tsk.step(RanAndFailed, Sent, Querying, Revoking) {
		return false
	}
	tsk.failure = text
	return true
}

// MarkLost records that nothing more can be learnt of the current attempt.
func (tsk *Task) MarkLost() bool { return tsk.step(Lost, Sent, Querying, Revoking) }

// MarkDropped records that a waiting task is not going to be sent.
func (tsk *Task) MarkDropped() bool { return tsk.step(Dropped, Waiting) }

func (tsk *Task) neverRan() bool { return tsk.state == Waiting || tsk.state == Dropped }

func (tsk *Task) step(next State, from ...State) bool {
	for _, sta := range from {
		if tsk.state == sta {
			tsk.state = next
			return true
		}
	}
	return false
}
