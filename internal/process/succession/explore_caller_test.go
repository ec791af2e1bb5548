package succession

import (
	"fmt"
	"strings"
	"time"

	"chestnutstack/internal/request/submission"
)

// callerJob is a job of a caller that sends it again where it got no answer.
type callerJob struct {
	ply      *play
	id       string
	tasks    int
	takes    time.Duration
	attempts int
	// unsure is set once an attempt did not end in "not run".
	unsure, refused bool
}

// attempt is one call of a caller.
type attempt struct {
	job   *callerJob
	nod   *node
	call  submission.CallID
	ended bool
}

// submit sends a new job to any node.
func (ply *play) submit() {
	ply.newJob(1+ply.rnd.IntN(4), 50*time.Millisecond+ply.within(1500*time.Millisecond)).send(ply.anyNode())
}

// submitTo sends a new job to one node.
func (ply *play) submitTo(name string, tasks int, takes time.Duration) {
	ply.newJob(tasks, takes).send(ply.nodes[name])
}

func (ply *play) newJob(tasks int, takes time.Duration) *callerJob {
	job := &callerJob{ply: ply, id: fmt.Sprint("j", len(ply.jobs)+1), tasks: tasks, takes: takes}
	ply.jobs = append(ply.jobs, job)
	return job
}

// takes returns how long a task runs.
func (ply *play) takes(task string) time.Duration {
	for _, job := range ply.jobs {
		if strings.HasPrefix(task, job.id+".") {
			return job.takes
		}
	}
	return 0
}

const (
	callerPatience = 4 * time.Second
	resendAfter    = 1300 * time.Millisecond
	mostAttempts   = 4
)

// again sends the job to any node.
func (job *callerJob) again() { job.send(job.ply.anyNode()) }

func (job *callerJob) send(nod *node) {
	ply := job.ply
	if job.attempts++; job.attempts > mostAttempts {
		return
	}
	if nod.dead || nod.leaving {
		ply.after(resendAfter, job.again)
		return
	}
	ply.calls++
	att := &attempt{job: job, nod: nod, call: submission.CallID(ply.calls)}
	ply.note("%s is sent to %s: %d tasks of %v", job.id, nod.id, job.tasks, job.takes)
	nod.calls[att.call] = att
	sub := submission.Submission{
		ID: job.id, Request: job.id, Route: "r", Service: "render", MaxAttempts: 3, CallerTimeout: callerPatience,
		Steps:     []submission.Step{{Count: job.tasks, Processor: taskSize, Memory: 64, ExpectedRunTime: job.takes}},
		Objective: func(work time.Duration) time.Duration { return 3*work + time.Second },
	}
	nod.deliver("caller "+job.id, func() {
		nod.run(func(now time.Time) { nod.deskDo(nod.dsk.HandleSubmit(now, att.call, sub)) })
	})
	leaves := callerPatience
	if ply.rnd.IntN(6) == 0 {
		leaves = ply.within(600 * time.Millisecond)
	}
	ply.after(leaves, func() {
		if !att.ended {
			nod.deliver("caller "+job.id, func() {
				nod.run(func(time.Time) { nod.deskDo(nod.dsk.HandleCallerGone(att.call)) })
			})
			att.broken()
		}
	})
}

// answered tells the caller what came of its call, unless it has gone.
func (att *attempt) answered(ans submission.Answer) {
	if att.ended {
		return
	}
	att.job.ply.note("%s is answered by %s: %v %s", att.job.id, att.nod.id, ans.Result, ans.Reason)
	att.ended = true
	switch ans.Result {
	case submission.Succeeded, submission.Failed:
		att.job.unsure = true
	case submission.NotRun:
		att.job.refused = true
	case submission.Unfinished:
		att.again()
	}
}

// broken tells the caller that its connection has ended without an answer.
func (att *attempt) broken() {
	if !att.ended {
		att.ended = true
		att.again()
	}
}

func (att *attempt) again() {
	att.job.unsure = true
	att.job.ply.after(resendAfter, att.job.again)
}

// checkRefused looks for jobs that were refused as not run by all whom their callers asked, and have started.
func (ply *play) checkRefused() {
	for _, job := range ply.jobs {
		for task, num := range ply.starts {
			if job.refused && !job.unsure && num > 0 && strings.HasPrefix(task, job.id+".") {
				ply.breaks("%s was refused as not run, and %s has started", job.id, task)
			}
		}
	}
}
