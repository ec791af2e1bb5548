package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Config says what to play.
type Config struct {
	// Program is the daemon's binary.
	Program string
	// Dir takes a directory of logs for each seed.
	Dir   string
	Shape Shape
}

// Result is what came of a seed.
type Result struct {
	Seed uint64
	// Broken are the promises that were broken, in the order in which they were noticed.
	Broken []string
	// Served, Refused and Unanswered count the jobs; Starts are those that backend servers have seen.
	Served, Refused, Unanswered int
	Troubles                    []string
	// HeldUp is the longest time for which the soak's own process got no processor, HeldUpAt when that ended. It is no broken
	// promise; it tells whether the machine stood still while others seemed to.
	HeldUp   time.Duration
	HeldUpAt time.Time
	// Dir has the logs of the processes.
	Dir string
}

// play is one seed.
type play struct {
	seed uint64
	shp  Shape
	sys  *system
	chk  *checker
	hld  *holdUp

	mu       sync.Mutex
	outcomes []*outcome
	// versions were published and are to be in force at a time.
	versions []published
}

type published struct {
	number int
	at     time.Time
}

const (
	// startTime is what a system takes to start before callers come.
	startTime = 2500 * time.Millisecond
	// healTime is what it gets after the last trouble before it has to serve again: 4 s, the target, and a margin for a
	// machine that is shared with other plays.
	healTime = 5 * time.Second
	// drainJobs is the longest that a job of a caller lives: its tries and the pauses between.
	drainJobs = mostTries * (patience + resendAfter)
	callers   = 8
)

// Play runs one seed and returns what it broke.
func Play(ctx context.Context, cfg Config, seed uint64) (Result, error) {
	res := Result{Seed: seed, Dir: filepath.Join(cfg.Dir, fmt.Sprintf("seed-%d", seed))}
	if err := os.MkdirAll(res.Dir, 0o700); err != nil {
		return res, errors.Wrap(err, "logs")
	}
	var grp errgroup.Group
	sys, err := newSystem(cfg.Shape, seed, cfg.Program, res.Dir, &grp)
	ply := &play{seed: seed, shp: cfg.Shape, sys: sys, hld: &holdUp{}}
	ply.chk = &checker{hld: ply.hld}
	for _, ins := range sys.ins {
		ins.hld = ply.hld
	}
	if err == nil {
		err = ply.run(ctx, &res)
	}
	res.HeldUp, res.HeldUpAt = ply.hld.longest()
	for _, ins := range sys.ins {
		ins.signal(syscall.SIGCONT)
		ins.signal(syscall.SIGKILL)
	}
	sys.end()
	if end := grp.Wait(); err == nil {
		err = end
	}
	for _, ins := range sys.ins {
		for _, own := range ins.own {
			ply.chk.note("FAULT: %s", own)
		}
	}
	res.Broken = slices.Concat(sys.ldg.Broken(), ply.chk.found())
	return res, err
}

func (ply *play) run(ctx context.Context, res *Result) error {
	for _, ins := range ply.sys.ins {
		if err := ply.sys.start(ins); err != nil {
			return err
		}
	}
	if !sleep(ctx, startTime) {
		return ctx.Err()
	}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	for num := range callers {
		ply.sys.grp.Go(func() error { return newCaller(ply, num).run(sending) })
	}
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	ply.sys.grp.Go(func() error { return ply.hld.run(probing) })
	for _, ins := range ply.sys.ins {
		ply.sys.grp.Go(func() error { return ply.probe(probing, ins) })
	}
	err := ply.troubles(ctx, res)
	if err != nil {
		return err
	}
	sleep(ctx, healTime)
	stopSending()
	ply.recovered(ctx)
	ply.drain(ctx)
	stopProbing()
	ply.stopAll()
	ply.judge(res)
	return ctx.Err()
}

// troubles lets the plan's troubles come and returns when all are over.
func (ply *play) troubles(ctx context.Context, res *Result) error {
	began := time.Now()
	var grp errgroup.Group
	for _, trb := range makePlan(ply.seed, ply.shp) {
		res.Troubles = append(res.Troubles, fmt.Sprintf("%.1f s %s", trb.at.Seconds(), trb.kind))
		grp.Go(func() error {
			if !sleep(ctx, time.Until(began.Add(trb.at))) {
				return nil
			}
			if !planned[trb.kind] {
				defer ply.chk.begin()()
			}
			return ply.inject(ctx, trb)
		})
	}
	err := grp.Wait()
	sleep(ctx, time.Until(began.Add(ply.shp.For)))
	return err
}

// ended notes how a job ended.
func (ply *play) ended(out *outcome) {
	ply.mu.Lock()
	defer ply.mu.Unlock()
	ply.outcomes = append(ply.outcomes, out)
}

// recovered checks that jobs are served again after the last trouble, at every instance.
func (ply *play) recovered(ctx context.Context) {
	cal := newCaller(ply, callers)
	for num, ins := range ply.sys.ins {
		job := cal.job(num)
		job.fails, job.leaves, job.to = false, 0, num
		job.Payload = makePayload(job.ID, job.Expected, false)
		ply.sys.ldg.Ask(&job.Job)
		for range mostTries {
			from := time.Now()
			rep, err := cal.call(ctx, ins, job)
			if err == nil && rep.Status == http.StatusOK {
				break
			}
			if ply.hld.within(from, time.Now()) > 0 {
				continue // The machine stood still meanwhile.
			}
			ply.chk.note("RECOVER: %s answers %d %q %v after the troubles", ins.mch.Name, rep.Status, rep.Body, err)
			break
		}
	}
}

// drain waits until nothing runs, and notes what still does.
func (ply *play) drain(ctx context.Context) {
	for until := time.Now().Add(drainJobs); time.Now().Before(until); {
		if ply.sys.ldg.Running() == 0 || !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	ply.chk.note("UNASKED: %d tasks run on after the last job", ply.sys.ldg.Running())
}

// stopAll stops all instances as planned, at once.
func (ply *play) stopAll() {
	for _, ins := range ply.sys.ins {
		ins.signal(syscall.SIGTERM)
	}
	for _, ins := range ply.sys.ins {
		if !ins.await() {
			ply.chk.note("%s did not end within its time to stop", ins.mch.Name)
		}
	}
}

func (ply *play) judge(res *Result) {
	ply.mu.Lock()
	defer ply.mu.Unlock()
	for _, out := range ply.outcomes {
		ldg := ply.sys.ldg
		ply.chk.judge(out, record{
			starts: ldg.JobStarts(out.id), done: ldg.JobDone(out.id), failures: ldg.JobFailures(out.id),
		})
		switch {
		case out.status == statusServed:
			res.Served++
		case out.refused:
			res.Refused++
		default:
			res.Unanswered++
		}
	}
}

// Check says what is wrong with a configuration.
func (cfg *Config) Check() error {
	shp := cfg.Shape
	switch {
	case shp.Domains < 1 || shp.Entries < 1 || shp.Servers < 1 ||
		min(shp.Troubles, shp.Closings, shp.ServerRestarts, shp.UnseenRestarts, shp.RoomChanges) < 0:
		return errors.New("a system has failure domains, entry instances and backend servers")
	case shp.Domains*shp.Entries < 2 || shp.Domains*shp.Entries > mostEntries || shp.Domains > mostDomains:
		return errors.Newf("want 2 to %d entry instances in up to %d failure domains", mostEntries, mostDomains)
	case shp.For <= quietTail+2*time.Second:
		return errors.Newf("want longer than %v: troubles end %v before", quietTail+2*time.Second, quietTail)
	}
	return nil
}

const (
	// mostEntries keeps a play under a few hundred processes.
	mostEntries = 200
	mostDomains = 20
)
