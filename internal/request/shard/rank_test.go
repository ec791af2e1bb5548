package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRankOf(t *testing.T) {
	// Within a priority, tasks in time go before late ones; those of no use any more come last, whatever their priority.
	now := time.Unix(1000, 0)
	due, usefulUntil := now.Add(time.Second), now.Add(3*time.Second)
	cases := map[string]struct {
		priority int
		done     time.Duration
		want     Rank
	}{
		"urgent, in time":      {priority: 0, done: time.Second, want: 0},
		"urgent, late":         {priority: 0, done: 2 * time.Second, want: 1},
		"next, in time":        {priority: 1, done: 0, want: 2},
		"least, late":          {priority: 2, done: 3 * time.Second, want: 5},
		"beyond the last":      {priority: 9, done: 0, want: 4},
		"below the first":      {priority: -1, done: 0, want: 0},
		"urgent and of no use": {priority: 0, done: 4 * time.Second, want: uselessRank},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(RankOf(cse.priority, now.Add(cse.done), due, usefulUntil), cse.want)
		})
	}
}

func TestStartedJobIsFinishedFirst(t *testing.T) {
	// One task of a job of two runs. When capacity comes free, the other can't be in time any more, and a task of a new job can. If it
	// waited behind new ones for as long as they come, the work done for its job would be lost.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 14000))
	for _, tsk := range []string{"j.0", "j.1"} {
		ord := har.order(0, tsk)
		ord.Due = har.now.Add(150 * time.Millisecond)
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	run := har.answerStart("j.0", Accepted)
	har.advance(100 * time.Millisecond)
	har.place(0, "k.0")
	har.acts = nil
	har.answerRenewal("s", RenewResult{Ended: []End{{Seq: 1, Run: run}}})
	chk.Equal(har.starts(), map[string]ServerID{"j.1": "s"})
}

func TestWaitOfEachRank(t *testing.T) {
	// Urgent work takes all the capacity, and less urgent work waits. By its share of the pool it would start within 0.1 s; if that were
	// the estimate, callers would be admitted and then wait until their deadlines.
	const (
		serviceRate = 100.0
		meanRun     = 200 * time.Millisecond
	)
	chk := is.New(t)
	now := time.Unix(1000, 0)
	var drn drainRates
	var wrk [Ranks]int64
	wrk[0], wrk[2] = serviceRate*20, serviceRate*80
	drn.update(now, serviceRate, meanRun, wrk)
	chk.Equal(drn.waits(serviceRate, wrk)[2], 100*time.Millisecond)
	for range 20 {
		now = now.Add(drainInterval)
		drn.started[0] = serviceRate * 50
		drn.update(now, serviceRate, meanRun, wrk)
	}
	wts := drn.waits(serviceRate, wrk)
	chk.True(wts[0] < 30*time.Millisecond)
	chk.True(wts[2] > time.Second)
	chk.True(wts[1] >= wts[0]) // Late urgent work is behind all urgent work in time.
	for range 20 {
		now = now.Add(drainInterval)
		drn.update(now, serviceRate, meanRun, [Ranks]int64{})
	}
	chk.True(drn.waits(serviceRate, wrk)[2] < 110*time.Millisecond) // The urgent work is done; all the capacity is free.
}

// With runs of a second on a few servers nothing starts for most of the time; waiting tasks must not count as passed over for that.
func TestRatesKeepWhileNothingStarts(t *testing.T) {
	const (
		serviceRate = 100.0
		meanRun     = time.Second
	)
	chk := is.New(t)
	now := time.Unix(1000, 0)
	var drn drainRates
	var wrk [Ranks]int64
	wrk[0] = serviceRate * 80
	drn.update(now, serviceRate, meanRun, wrk)
	for range 15 {
		now = now.Add(drainInterval)
		drn.update(now, serviceRate, meanRun, wrk)
	}
	chk.Equal(drn.waits(serviceRate, wrk)[0], 80*time.Millisecond)
	for range 130 {
		now = now.Add(drainInterval)
		drn.update(now, serviceRate, meanRun, wrk)
	}
	chk.True(drn.waits(serviceRate, wrk)[0] > 80*time.Millisecond) // No run takes three times the mean: the servers are stuck.
}
