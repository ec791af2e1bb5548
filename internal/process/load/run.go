package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/request/verdict"
)

// Run submits the jobs of every partner and returns the report. The error tells why the run could not
// be made or was interrupted; the report of an interrupted run covers what was done until then.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	rnr := &runner{cfg: cfg, client: newClient(cfg), tally: newTally()}
	before := fetchAll(ctx, cfg)
	rnr.begin = time.Now()
	jobs := rnr.arriveAll(ctx)
	took := time.Since(rnr.begin)
	// What an interrupted run did is checked all the same.
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closingTime)
	defer stop()
	after := fetchAll(closing, cfg)
	starts := readJournals(closing, cfg)
	rep := newReport(rnr, jobs, took)
	rep.addMessages(before, after)
	rep.addStarts(starts, rnr.tally)
	return rep, ctx.Err()
}

type runner struct {
	cfg    Config
	client *client
	tally  *tally
	begin  time.Time
}

// arriveAll returns the number of jobs of all partners once the last of them was answered.
func (rnr *runner) arriveAll(ctx context.Context) int {
	jobs := make([]int, len(rnr.cfg.Partners))
	var grp errgroup.Group
	for idx, par := range rnr.cfg.Partners {
		grp.Go(func() error {
			jobs[idx] = rnr.arrive(ctx, par)
			return nil
		})
	}
	// The functions of the group return no error.
	_ = grp.Wait()
	sum := 0
	for _, num := range jobs {
		sum += num
	}
	return sum
}

// arrive makes a partner's arrivals happen, waits for the answers and returns their number. When
// too many calls wait, the next arrival is late; its response time still counts from its due time.
func (rnr *runner) arrive(ctx context.Context, par Partner) int {
	gen := newGenerator(rnr.cfg, par)
	var grp errgroup.Group
	grp.SetLimit(rnr.cfg.InFlight)
	jobs := 0
	for jobs < rnr.cfg.Jobs {
		arr := gen.next()
		if arr.due > rnr.cfg.Duration || sleepUntil(ctx, rnr.begin.Add(arr.due)) != nil {
			break
		}
		jobs++
		entry := rnr.client.entry(&arr)
		grp.Go(func() error {
			rnr.job(ctx, &arr, entry)
			return nil
		})
		if arr.twinAt > 0 {
			grp.Go(func() error {
				rnr.twin(ctx, &arr, entry)
				return nil
			})
		}
	}
	// The functions of the group return no error.
	_ = grp.Wait()
	return jobs
}

// job submits a job, again after a refusal that proves not-run, until it has its last reply.
func (rnr *runner) job(ctx context.Context, arr *arrival, entry int) {
	due := rnr.begin.Add(arr.due)
	last := due.Add(rnr.cfg.Deadline)
	rnr.tally.late(time.Since(due))
	ctx, stop := context.WithDeadline(ctx, last.Add(answerGrace))
	defer stop()
	for try := 0; ; try++ {
		rpl := rnr.attempt(ctx, arr, entry+try, try > 0)
		rnr.tally.reply(arr, rpl)
		again := time.Now().Add(rpl.retryAfter)
		if !retryable(rpl) || try >= rnr.cfg.Retries || again.After(last) ||
			sleepUntil(ctx, again) != nil {
			rnr.tally.end(arr, rpl, time.Since(due))
			return
		}
		rnr.tally.retry()
	}
}

func retryable(rpl reply) bool {
	return rpl.verdict == verdict.NotRun && rpl.retryAfter > 0
}

func (rnr *runner) attempt(ctx context.Context, arr *arrival, entry int, again bool) reply {
	entry %= len(rnr.cfg.Entries)
	msg := rnr.client.request(arr, rnr.begin, again)
	if arr.cancelAt > 0 {
		return rnr.client.submitAndCancel(ctx, arr, entry, msg, rnr.begin.Add(arr.cancelAt))
	}
	return rnr.client.submit(ctx, arr, entry, msg)
}

// twin sends the same submission to another entry instance. Its reply must not be wrong, but has
// no response time of its own.
func (rnr *runner) twin(ctx context.Context, arr *arrival, entry int) {
	if sleepUntil(ctx, rnr.begin.Add(arr.twinAt)) != nil {
		return
	}
	rnr.tally.twin()
	last := rnr.begin.Add(arr.due + rnr.cfg.Deadline)
	ctx, stop := context.WithDeadline(ctx, last.Add(answerGrace))
	defer stop()
	msg := rnr.client.request(arr, rnr.begin, !rnr.cfg.UnmarkedTwins)
	entry = (entry + 1) % len(rnr.cfg.Entries)
	rnr.tally.reply(arr, rnr.client.submit(ctx, arr, entry, msg))
}
