package submission

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// Step is a number of like tasks of a submission.
type Step struct {
	Count int
	// Processor is in thousandths of a core, Memory in MB.
	Processor, Memory int64
	Expected          time.Duration
	// DependsOn lists the steps that have to be done first.
	DependsOn []int
	// Label, if set, is one that the backend server must have; Rack is the label of the rack with its data.
	Label, Rack string
	// PerServer bounds the tasks of the step on one backend server; 0 for no bound.
	PerServer int
	// Unsupported names what the step asks for and the system has not got.
	Unsupported string
}

// Submission is a job as its caller sent it.
type Submission struct {
	// ID is the caller's; Request names the call in logs.
	ID, Request string
	// Route is the name of the queue.
	Route    string
	Service  string
	Payload  string
	Steps    []Step
	Priority int
	MaxAttempts int
	// Objective returns the response time that is aimed at for a time of work.
	Objective func(work time.Duration) time.Duration
	// CallerTimeout is how long the caller waits for the answer, RouteTimeout the route's time for one.
	CallerTimeout, RouteTimeout time.Duration
	// Unsupported names what the submission asks for and the system has not got.
	Unsupported string
}

// Answer is what a caller is told.
type Answer struct {
	Result Result
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Reason says in the logs why.
	Reason string
}

// Result is the kind of an answer.
type Result int

// The results of a submission.
const (
	// Succeeded submissions have all tasks done.
	Succeeded Result = iota
	// Failed submissions have a task that failed as often as it may.
	Failed
	// NotRun submissions have run nothing and never will.
	NotRun
	// Unfinished submissions were given up after something had started.
	Unfinished
)

// String returns the result's name in logs.
func (res Result) String() string {
	names := [...]string{"succeeded", "failed", "not-run", "unfinished"}
	if res < 0 || int(res) >= len(names) {
		return "invalid"
	}
	return names[res]
}

// Target is the leader of a shard.
type Target struct {
	Shard  shard.Name
	Leader shard.InstanceID
	// Token is the fencing token with which the leader took the shard over; each take-over has its own.
	Token int64
}

// maxTasks bounds the tasks of a submission, twice the largest job that the system is designed for.
const maxTasks = 2600

// InvalidReason says what is wrong with a submission, or nothing.
func (sub *Submission) InvalidReason() string {
	if len(sub.Steps) == 0 {
		return "a job has at least one step"
	}
	tasks := 0
	for num, stp := range sub.Steps {
		if stp.Count < 1 || stp.Processor < 0 || stp.Memory < 0 || stp.Expected < 0 || stp.PerServer < 0 {
			return "a step has tasks, and no negative numbers"
		}
		if tasks += stp.Count; stp.Count > maxTasks || tasks > maxTasks {
			return "too many tasks"
		}
		for _, aft := range stp.DependsOn {
			if aft < 0 || aft >= num {
				return "a step follows earlier steps only"
			}
		}
	}
	return ""
}
