package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutstack/platform/standin"
)

const (
	statusServed = http.StatusOK
	// resendAfter is when a caller that lost its connection sends its job again.
	resendAfter = 1300 * time.Millisecond
	// patience is how long a caller waits for one answer.
	patience = 5 * time.Second
	// mostTries bounds how often a job is sent.
	mostTries = 4
	// meanGap is the pause between two jobs of a caller: eight callers then need two thirds of what there is.
	meanGap = 320 * time.Millisecond
	// leaveShare of the jobs are given up by their callers, failShare can't be done: one in so many.
	leaveShare, failShare = 12, 25
	// goneAfter is when nothing of a job runs any more whose caller has left: a stop's 50 ms and the ways, with room
	// for a machine that is shared with other plays.
	goneAfter = time.Second
)

// caller sends jobs to the instances, to a next one after each that fails it.
type caller struct {
	ply *play
	rnd *rand.Rand
	cli *standin.Client
	num int
	to  int
}

func newCaller(ply *play, num int) *caller {
	// Connections stay open until the process at the other end is gone.
	trn := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4}
	return &caller{
		ply: ply, num: num, to: num, rnd: rand.New(rand.NewPCG(ply.seed, uint64(num)+100)),
		cli: standin.NewClient(&http.Client{Transport: trn}),
	}
}

// run sends one job after the other until ctx ends, and lets the last one end.
func (cal *caller) run(ctx context.Context) error {
	for num := 0; ctx.Err() == nil; num++ {
		cal.ply.sys.grp.Go(func() error {
			cal.submit(context.WithoutCancel(ctx), cal.job(num))
			return nil
		})
		sleep(ctx, meanGap/4+upTo(cal.rnd, 3*meanGap/2))
	}
	return nil
}

type pendingJob struct {
	standin.Job
	fails bool
	// leaves is when its caller gives it up, 0 for never.
	leaves time.Duration
	to     int
}

func (cal *caller) job(num int) *pendingJob {
	sizes := []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond}
	pri := cal.rnd.IntN(len(queues))
	takes := sizes[pri]/2 + upTo(cal.rnd, sizes[pri])
	job := &pendingJob{fails: cal.rnd.IntN(failShare) == 0, to: cal.to}
	if cal.rnd.IntN(leaveShare) == 0 {
		job.leaves = upTo(cal.rnd, takes)
	}
	id := fmt.Sprintf("%08x%08x", cal.num, num)
	job.Job = standin.Job{
		ID: id, Queue: queues[pri], Tasks: 1 + cal.rnd.IntN(5), Processor: taskProcessor, Memory: taskMemory,
		Expected: takes, Payload: makePayload(id, takes, job.fails), Patience: patience,
	}
	return job
}

// submit sends a job until it has an answer, at another instance each time, and judges it.
func (cal *caller) submit(ctx context.Context, job *pendingJob) {
	ply := cal.ply
	ply.sys.ldg.Ask(&job.Job)
	out := &outcome{id: job.ID, tasks: job.Tasks}
	for try := range mostTries {
		ins := ply.sys.pick(job.to + try)
		rep, err := cal.call(ctx, ins, job)
		if job.leaves > 0 {
			cal.left(ctx, job)
			return
		}
		if err == nil && rep.Status != http.StatusBadGateway && rep.Status != http.StatusGatewayTimeout {
			out.status, out.failed = rep.Status, strings.Contains(rep.Body, `"failed"`)
			out.refused = (rep.Status == http.StatusServiceUnavailable || rep.Status == http.StatusTooManyRequests) && try == 0
			break
		}
		sleep(ctx, resendAfter)
	}
	ply.ended(out)
}

// call sends a job to one instance and waits for the answer.
func (cal *caller) call(ctx context.Context, ins *instance, job *pendingJob) (standin.Reply, error) {
	wait := job.Patience
	if job.leaves > 0 {
		wait = job.leaves
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	from := time.Now()
	life, _ := ins.lifetime()
	rep, err := cal.cli.Submit(ctx, callerAddress(ins), &job.Job)
	if err != nil && ctx.Err() == nil && !refusedDial(err) {
		now, stopped := ins.lifetime()
		cal.ply.chk.cutOff(job.ID, ins.mch.Name, stopped || now != life, from, time.Now())
	}
	return rep, err
}

func callerAddress(ins *instance) string {
	return net.JoinHostPort(ins.mch.IP, strconv.Itoa(ins.mch.CallerPort))
}

// refusedDial reports whether no connection was made.
func refusedDial(err error) bool { return strings.Contains(err.Error(), "dial tcp") }

// left checks, if nothing goes wrong meanwhile, that a job ends whose caller has left.
func (cal *caller) left(ctx context.Context, job *pendingJob) {
	from := time.Now()
	sleep(ctx, goneAfter)
	if num := cal.ply.sys.ldg.JobRunning(job.ID); num > 0 && cal.ply.chk.calm(from, time.Now()) {
		cal.ply.chk.note("UNASKED: %d tasks of job %s run on %v after its caller has left", num, job.ID, goneAfter)
	}
}
