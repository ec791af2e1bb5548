package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The processors of the two kinds of runners, in thousandths of a core: the larger kind has one and a half times as many.
const (
	smallRunner = 32000
	largeRunner = 48000
)

const (
	// downTime is how long a runner is down that crashes.
	downTime = 50 * time.Millisecond
	// settleTime is how long nothing happens between two rounds.
	settleTime = 4 * time.Second
	rounds     = 3
)

// loadAll has as many jobs come at once, each of one task, and waits for their answers.
func loadAll(ctx context.Context, dep *deployment, round, jobs int, cpu int64, label string) {
	var wgr sync.WaitGroup
	for num := range jobs {
		jb := &job{
			id: fmt.Sprintf("5c0e7a21d94b%04x", round<<8|num), prefix: firstQueue, steps: 1, cpu: cpu, label: label, takes: 900 * time.Millisecond,
			patience: 6 * time.Second,
		}
		dep.submit(ctx, &wgr, dep.daemons[num%len(dep.daemons)], jb)
	}
	wgr.Wait()
}

// loadRestarted has a runner of the large kind, which has the label a, start again under its ID as one of the small kind, which has the label b, and then
// jobs come. That is repeated, with the runner large again before.
func loadRestarted(ctx context.Context, dep *deployment, jobs int, cpu int64, label string) error {
	rnr := dep.runners[0]
	become := func(capacity int64, kind string) error {
		if err := rnr.restart(downTime, capacity, kind); err != nil {
			return err
		}
		dep.list(rnr)
		return nil
	}
	for round := range rounds {
		if err := become(largeRunner, "a"); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if dep.trouble {
			if err := become(smallRunner, "b"); err != nil {
				return err
			}
		}
		loadAll(ctx, dep, round, jobs, cpu, label)
		time.Sleep(settleTime)
	}
	return nil
}

// otherKind has the runner come back with room for one task in place of two.
func otherKind(ctx context.Context, dep *deployment) ([]string, error) {
	err := loadRestarted(ctx, dep, 2*len(dep.runners), 20000, "")
	return dep.rec.overfull, err
}

// otherLabel has the runner come back without the label that the jobs require.
func otherLabel(ctx context.Context, dep *deployment) ([]string, error) {
	err := loadRestarted(ctx, dep, 3*len(dep.runners), 14000, "a")
	return dep.rec.unlabelled, err
}
