package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The results of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// The bounds of the users' pages.
const (
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
	// wholeScript bounds a script.
	wholeScript = 100 * time.Second
)

// script is a case; play returns what broke the rule.
type script struct {
	options
	play func(ctx context.Context, sys *system, trouble bool) ([]string, error)
}

// scripts are the cases, by name.
var scripts = map[string]script{
	"cancel-at-start":     {play: cancelAtStart, options: options{perZone: serversPerZone, processor: smallTask}},
	"late-start":          {play: lateStart, options: options{perZone: serversPerZone, processor: smallTask, bornTold: true}},
	"late-start-given-up": {play: lateStartGivenUp, options: options{perZone: wholeZone, processor: smallTask, bornTold: true}},
	"two-leaders":         {play: twoLeaders, options: options{perZone: wholeZone, processor: largeTask, bornTold: true, daemonLinks: true}},
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 SCRIPT FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, wholeScript)
	defer cancel()
	rec, err := newRecord(dir + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("script %s, with its disruption: %t", name, trouble)
	var grp errgroup.Group
	sys, err := newSystem(ctx, rec, &grp, scripts[name].options)
	if sys != nil {
		defer sys.end()
	}
	if err != nil {
		rec.note("not run: %v", err)
		return notRun
	}
	brk, err := scripts[name].play(ctx, sys, trouble)
	if err != nil {
		rec.note("not run: %v", err)
		return notRun
	}
	for _, one := range brk {
		rec.note("BROKEN: %s", one)
	}
	if len(brk) > 0 {
		return broken
	}
	rec.note("the rule held")
	return held
}

// jobs is how many jobs a script hands in, stepTime how long a step of a job takes that is cancelled.
const (
	jobs     = 8
	stepTime = 1500 * time.Millisecond
)

// submitted is a job that was handed in, and its answer once it has one.
type submitted struct {
	job
	cancelled answer
}

// submitAll hands jobs in at a daemon, and returns them once their first tasks run.
func (sys *system) submitAll(ctx context.Context, cli *client, to *daemon, steps int) ([]*submitted, error) {
	var jbs []*submitted
	for idx := range jobs {
		jb := &submitted{job: job{id: fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&(1<<48-1), idx), steps: steps, takes: stepTime, deadline: 40 * time.Second}}
		jbs = append(jbs, jb)
		sys.grp.Go(func() error {
			cli.submit(ctx, to, jb.job)
			return nil
		})
	}
	sleep(ctx, time.Second)
	for _, jb := range jbs {
		if len(sys.ldg.of(jb.id)) == 0 {
			return nil, fmt.Errorf("no task of job %s has started", jb.id)
		}
	}
	return jbs, nil
}

// cancelAll cancels jobs at a daemon, side by side but not at the same moment, and waits until each has its answer.
func cancelAll(ctx context.Context, cli *client, to *daemon, jbs []*submitted, pause time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	var wtg sync.WaitGroup
	for idx, jb := range jbs {
		wtg.Go(func() {
			sleep(ctx, pause*time.Duration(idx)/time.Duration(len(jbs)))
			if ans, ok := cli.cancel(ctx, to, jb.id, pause); ok {
				jb.cancelled = ans
			}
		})
	}
	wtg.Wait()
	for _, jb := range jbs {
		if jb.cancelled.status == 0 {
			return fmt.Errorf("the cancelling of job %s was not acknowledged", jb.id)
		}
	}
	return nil
}

// startedAfter returns the tasks of cancelled jobs that started later than the bound after the acknowledgement, and after a time from which all are in touch.
func (sys *system) startedAfter(jbs []*submitted, from time.Time) []string {
	var brk []string
	for _, jb := range jbs {
		for _, sta := range sys.ldg.of(jb.id) {
			if late := sta.at.Sub(jb.cancelled.at); late > cancelBound && sta.at.After(from) {
				brk = append(brk, fmt.Sprintf("UNASKED: %s starts task %s %.2f s after the cancelling of the job was acknowledged with %d",
					sta.server, sta.task, late.Seconds(), jb.cancelled.status))
			}
		}
	}
	return brk
}

// cancelAtStart cancels jobs at a daemon that was killed and starts again.
func cancelAtStart(ctx context.Context, sys *system, trouble bool) ([]string, error) {
	const (
		steps = 10
		// restart is the pause between the end of a process and its next start.
		restart = 500 * time.Millisecond
		// repeat is the pause of a client that got no connection.
		repeat = 50 * time.Millisecond
	)
	cli, one, two := newClient(sys), sys.daemons[0], sys.daemons[1]
	jbs, err := sys.submitAll(ctx, cli, one, steps)
	if err != nil {
		return nil, err
	}
	inTouch := time.Now().Add(restart + contactBound + 500*time.Millisecond) // With a margin for the start.
	if trouble {
		sys.rec.note("kill of %s", two.name)
		two.kill()
		sys.grp.Go(func() error {
			sleep(ctx, restart)
			return sys.startDaemon(two)
		})
	}
	if err := cancelAll(ctx, cli, two, jbs, repeat); err != nil {
		return nil, err
	}
	sleep(ctx, cancelBound+contactBound+4*time.Second)
	return sys.startedAfter(jbs, inTouch), nil
}

// lateStart has a backend server leave one order to start a task unanswered and carry it out late. The order is sent again and accepted; then the server
// is cut off, crashes behind the cut and starts again under its ID, before the late order is carried out.
func lateStart(ctx context.Context, sys *system, trouble bool) ([]string, error) {
	const (
		tasks = 3
		takes = 6 * time.Second
		// late is when the order is carried out, 2 to 12 s by the bench's page.
		late = 4 * time.Second
		// The cut begins cutAfter after the jobs were sent; its length is within what the site file tells.
		cutAfter = time.Second
		cut      = 800 * time.Millisecond
	)
	cli, srv := newClient(sys), sys.servers[0]
	if trouble {
		sys.rec.note("%s leaves the next order to start unanswered, and carries it out %v later", srv.name, late)
		srv.LoseAnswers(1, late)
	}
	for idx := range jobs {
		jb := job{id: fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&(1<<48-1), idx), steps: 1, tasks: tasks, takes: takes, deadline: 20 * time.Second}
		sys.grp.Go(func() error {
			cli.submit(ctx, sys.daemons[idx%len(sys.daemons)], jb)
			return nil
		})
	}
	sleep(ctx, cutAfter)
	if trouble {
		sys.bearAgain(ctx, srv, cut)
	}
	sleep(ctx, 2*takes+2*time.Second)
	return sys.runsTwice(), ctx.Err()
}

// runsTwice returns the tasks that ran twice at the same time.
func (sys *system) runsTwice() []string {
	var brk []string
	for _, one := range sys.std.Broken() {
		if strings.Contains(one, " runs on ") {
			brk = append(brk, "TWICE: "+one)
		}
	}
	return brk
}

// lateStartGivenUp has a backend server leave all orders to start one task unanswered and carry them out late. The order is given up, and the server accepts
// the stop; then it crashes and starts again under its ID, before the late orders are carried out.
func lateStartGivenUp(ctx context.Context, sys *system, trouble bool) ([]string, error) {
	const (
		// With its repetitions the order of one task is one of 20 orders, the site's share.
		many  = 20
		tasks = 3
		takes = 6 * time.Second
		late  = 4 * time.Second
		// An order is sent again attempts-1 times, then stopped.
		attempts = 3
		// The server crashes crashAfter after the jobs were sent.
		crashAfter = 1500 * time.Millisecond
	)
	cli := newClient(sys)
	los := &losing{late: late, left: attempts}
	if trouble {
		for _, srv := range sys.servers {
			srv.losing = los
		}
	}
	for idx := range many {
		jb := job{id: fmt.Sprintf("%012x%04x", time.Now().UnixMicro()&(1<<48-1), idx), steps: 1, tasks: tasks, takes: takes, deadline: 20 * time.Second}
		sys.grp.Go(func() error {
			cli.submit(ctx, sys.daemons[idx%len(sys.daemons)], jb)
			return nil
		})
	}
	sleep(ctx, crashAfter)
	if trouble {
		srv := los.lost()
		if srv == nil {
			return nil, fmt.Errorf("no order was given up within %v", crashAfter)
		}
		srv.Restart()
		sys.sto.List(srv.Server, service, srv.address, srv.zone, false)
		sys.rec.note("%s has crashed and started again under its ID", srv.name)
	}
	sleep(ctx, 2*takes)
	return sys.runsTwice(), ctx.Err()
}

// bearAgain cuts a backend server off from all daemons for a time, and has it crash behind the cut and start again under its ID.
func (sys *system) bearAgain(ctx context.Context, srv *server, cut time.Duration) {
	sys.rec.note("%s is cut off", srv.name)
	for _, lnk := range sys.linksTo(srv.name) {
		lnk.silence()
	}
	sleep(ctx, cut/2)
	sys.rec.note("%s crashes and starts again", srv.name)
	srv.Restart()
	sleep(ctx, cut/2)
	for _, lnk := range sys.linksTo(srv.name) {
		lnk.heal()
	}
	sys.sto.List(srv.Server, service, srv.address, srv.zone, false)
	sys.rec.note("end of the cut")
}
