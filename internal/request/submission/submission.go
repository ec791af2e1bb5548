package submission

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// Step is a group of tasks of a submission that need the same.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Processor is in thousandths of a core, Memory in MB, both per task.
	Processor, Memory int64
	// ExpectedRunTime is the estimated run time of one task.
	ExpectedRunTime time.Duration
	// DependsOn has the indexes of the steps that must be done before a task of this one starts.
	DependsOn []int
	// Label, if set, must be a label of the backend server; Rack is the label of the rack that has the step's data.
	Label, Rack string
	// PerServer bounds the tasks of the step that run at once on one backend server; 0 for no bound.
	PerServer int
	// Unsupported names a feature that the step requests and the system doesn't have, if any.
	Unsupported string
}

// Submission is a job as its caller submitted it.
type Submission struct {
	// ID is the caller's id of the job; Request identifies the call in logs.
	ID, Request string
	// Route is the name of the queue that the caller submitted to.
	Route string
	// Service and Payload are what each task passes to the backend server.
	Service  string
	Payload  string
	Steps    []Step
	Priority int
	// MaxAttempts is the number of failures of one task with which the job fails.
	MaxAttempts int
	// Objective returns the response time objective of a job with an expected run time.
	Objective func(work time.Duration) time.Duration
	// CallerTimeout is how long the caller waits for the answer; RouteTimeout is the route's timeout, 0 if it has none.
	CallerTimeout, RouteTimeout time.Duration
	// Waited is how long ago the caller sent the submission, as far as is known.
	Waited time.Duration
	// Unsupported names a feature that the submission requests and the system doesn't have, if any.
	Unsupported string
}

// Answer is the answer to the caller of a submission.
type Answer struct {
	Result Result
	// RetryAfter is the delay after which a refused caller may retry, 0 if a retry can't help.
	RetryAfter time.Duration
	// Reason is the reason for the result, for logs.
	Reason string
}

// Result is the final state of a submission.
type Result int

// The results of a submission.
const (
	// Succeeded means that all tasks are done.
	Succeeded Result = iota
	// Failed means that one task failed MaxAttempts times, or that the job was cancelled.
	Failed
	// NotRun means that no task has run or ever will.
	NotRun
	// Unfinished means that the submission was given up after a task may have started.
	Unfinished
)

// String returns the kebab-case name that logs use.
func (res Result) String() string {
	names := [...]string{"succeeded", "failed", "not-run", "unfinished"}
	if res < 0 || int(res) >= len(names) {
		return "invalid"
	}
	return names[res]
}

// Target identifies one leadership of a shard.
type Target struct {
	Shard  shard.Name
	Leader shard.InstanceID
	// Token is the fencing token of the leadership; each takeover has its own.
	Token int64
}

// MaxTasks bounds the tasks of a submission: twice the largest job that the system is designed for.
const MaxTasks = 2600

// InvalidReason returns why a submission is invalid, or an empty string if it is valid.
func (sub *Submission) InvalidReason() string {
	if len(sub.Steps) == 0 {
		return "a job needs at least one step"
	}
	tasks := 0
	for num, stp := range sub.Steps {
		if stp.Count < 1 || stp.Processor < 0 || stp.Memory < 0 || stp.ExpectedRunTime < 0 || stp.PerServer < 0 {
			return "a step needs at least one task and no negative numbers"
		}
		if stp.Processor > shard.MaxProcessor || stp.Memory > shard.MaxMemory {
			return "a task needs more than any backend server may have"
		}
		if tasks += stp.Count; stp.Count > MaxTasks || tasks > MaxTasks {
			return "too many tasks"
		}
		for _, dep := range stp.DependsOn {
			if dep < 0 || dep >= num {
				return "a step can only depend on earlier steps"
			}
		}
	}
	return ""
}

const (
	// What an open submission holds in memory, its orders at the leaders included: besides its payload and names, and for each step and task.
	submissionBytes = 2 << 10
	stepBytes       = 256
	taskBytes       = 1 << 10
	indexBytes      = 8
)

// Size returns how many bytes of memory a valid submission holds at most while it is open.
func (sub *Submission) Size() int64 {
	size := submissionBytes + len(sub.Payload)
	for idx := range sub.Steps {
		stp := &sub.Steps[idx]
		// The order of each task has names of its own at its leader.
		names := len(sub.Service) + len(stp.Label) + len(stp.Rack)
		size += stepBytes + stp.Count*(taskBytes+names) + len(stp.DependsOn)*indexBytes
	}
	return int64(size)
}
