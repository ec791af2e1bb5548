package submission

// JobState says whether a submission is open, and whether a task of it may have started.
type JobState int

// The states of a job.
const (
	// NoJob means that no such submission is open.
	NoJob JobState = iota
	// JobQueued means that none of its tasks has started.
	JobQueued
	// JobRunning means that one of its tasks may have started.
	JobRunning
)

// Finding is what the instances that were asked know of a job.
type Finding struct {
	State JobState
	// Complete is set if every instance has answered that may have the job open; without it, NoJob is no proof.
	Complete bool
}

// JobState returns the state of a route's submission, as far as this owner has it.
func (crd *Coordinator) JobState(route, id string) JobState {
	jb := crd.jobs[id]
	switch {
	case jb == nil || jb.sub.Route != route:
		return NoJob
	case jb.started:
		return JobRunning
	}
	return JobQueued
}

// HandleCancel cancels a route's submission, if this owner has it open: its callers are answered at once, and what its leaders have is
// withdrawn. It returns the state that the submission had.
func (crd *Coordinator) HandleCancel(route, id string) (JobState, []Action) {
	sta := crd.JobState(route, id)
	if sta != NoJob {
		crd.answer(crd.jobs[id], Answer{Result: Failed, Reason: reasonCancelled})
	}
	return sta, crd.takeActions()
}

// reasonCancelled is the reason of the answers to the callers of a cancelled job.
const reasonCancelled = "the job was cancelled"
