package succession

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// callerJob is a job of a caller, who submits it again when a call ends without a definite answer.
type callerJob struct {
	sim      *simRun
	id       string
	tasks    int
	runTime  time.Duration
	attempts int
	// urgent jobs go before all others, and their answers are due soon. The callers of patient ones give no call up early.
	urgent, patient bool
	// timeout is how long the caller waits for an answer, callerTimeout if it is 0. once is set if the caller never submits the job again.
	timeout time.Duration
	once    bool
	// mayHaveRun is set once an attempt ended with anything but "not run".
	mayHaveRun, refused, succeeded bool
}

// attempt is one call of a caller with a job.
type attempt struct {
	job   *callerJob
	nod   *node
	call  submission.CallID
	ended bool
}

// submit sends a new random job to a random node.
func (sim *simRun) submit() {
	sim.newJob(1+sim.rnd.IntN(4), 50*time.Millisecond+sim.within(1500*time.Millisecond)).send(sim.anyNode())
}

// submitTo sends a new job to one node.
func (sim *simRun) submitTo(name string, tasks int, runTime time.Duration) {
	sim.newJob(tasks, runTime).send(sim.nodes[name])
}

func (sim *simRun) newJob(tasks int, runTime time.Duration) *callerJob {
	job := &callerJob{sim: sim, id: fmt.Sprint("j", len(sim.jobs)+1), tasks: tasks, runTime: runTime}
	sim.jobs = append(sim.jobs, job)
	return job
}

// runTime returns how long a task runs.
func (sim *simRun) runTime(task string) time.Duration {
	for _, job := range sim.jobs {
		if strings.HasPrefix(task, job.id+".") {
			return job.runTime
		}
	}
	return 0
}

const (
	// urgentSlack is how much later than its run time an urgent job is due: the time of a stop and some messages.
	urgentSlack   = 150 * time.Millisecond
	callerTimeout = 4 * time.Second
	resendAfter   = 1300 * time.Millisecond
	maxAttempts   = 4
)

// waits returns how long the caller waits for an answer.
func (job *callerJob) waits() time.Duration { return cmp.Or(job.timeout, callerTimeout) }

// retry sends the job to a random node.
func (job *callerJob) retry() { job.send(job.sim.anyNode()) }

// send submits the job to a node, unless all attempts are used up; one caller in six gives the call up early.
func (job *callerJob) send(nod *node) {
	sim := job.sim
	if job.attempts++; job.attempts > maxAttempts || job.once && job.attempts > 1 {
		return
	}
	if nod.dead || nod.stopping {
		sim.after(resendAfter, job.retry)
		return
	}
	sim.calls++
	att := &attempt{job: job, nod: nod, call: submission.CallID(sim.calls)}
	sim.note("%s is sent to %s: %d tasks of %v", job.id, nod.id, job.tasks, job.runTime)
	nod.callers[att.call] = att
	sub := submission.Submission{
		ID: job.id, Request: job.id, Route: "r", Service: "render", MaxAttempts: 3, CallerTimeout: job.waits(),
		Steps:     []submission.Step{{Count: job.tasks, Processor: taskSize, Memory: 64, ExpectedRunTime: job.runTime}},
		Objective: func(work time.Duration) time.Duration { return 3*work + time.Second },
	}
	switch {
	case !sim.features.Preemption:
		// All jobs have one priority.
	case !job.urgent:
		sub.Priority = shard.Priorities - 1
	default:
		sub.Objective = func(work time.Duration) time.Duration { return work + urgentSlack }
	}
	nod.deliver("caller "+job.id, func() {
		nod.handle(func(now time.Time) { nod.runCoordinatorActions(nod.coordinator.HandleSubmit(now, att.call, sub)) })
	})
	leaves := job.waits()
	if sim.rnd.IntN(6) == 0 && !job.patient {
		leaves = sim.within(600 * time.Millisecond)
	}
	sim.after(leaves, func() {
		if !att.ended {
			nod.deliver("caller "+job.id, func() {
				nod.handle(func(time.Time) { nod.runCoordinatorActions(nod.coordinator.HandleCallerGone(att.call)) })
			})
			att.disconnect()
		}
	})
}

// handleAnswer takes an answer in, unless the caller has given the call up.
func (att *attempt) handleAnswer(ans submission.Answer) {
	if att.ended {
		return
	}
	att.job.sim.note("%s is answered by %s: %v %s", att.job.id, att.nod.id, ans.Result, ans.Reason)
	att.ended = true
	switch ans.Result {
	case submission.Succeeded, submission.Failed:
		att.job.mayHaveRun = true
		att.job.succeeded = ans.Result == submission.Succeeded
	case submission.NotRun:
		att.job.refused = true
	case submission.Unfinished:
		att.retry()
	}
}

// disconnect ends the call without an answer, and the caller retries.
func (att *attempt) disconnect() {
	if !att.ended {
		att.ended = true
		att.retry()
	}
}

func (att *attempt) retry() {
	att.job.mayHaveRun = true
	att.job.sim.after(resendAfter, att.job.retry)
}

// checkRefused looks for jobs that were answered "not run" by each node asked, although a task of theirs has started.
func (sim *simRun) checkRefused() {
	for _, job := range sim.jobs {
		for task, num := range sim.starts {
			if job.refused && !job.mayHaveRun && num > 0 && strings.HasPrefix(task, job.id+".") {
				sim.violation("%s was refused as not run, and %s has started", job.id, task)
			}
		}
	}
}
