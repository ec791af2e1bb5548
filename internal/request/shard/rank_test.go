package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRankOf(t *testing.T) {
	// Within a priority, in time goes before late; what is of no use any more comes last, whatever its priority.
	now := time.Unix(1000, 0)
	aim, useful := now.Add(time.Second), now.Add(3*time.Second)
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
		"urgent and of no use": {priority: 0, done: 4 * time.Second, want: overdue},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(RankOf(cse.priority, now.Add(cse.done), aim, useful), cse.want)
		})
	}
}

func TestBegunIsFinishedFirst(t *testing.T) {
	// Of a job of two tasks one runs. The other can't be in time any more when room comes free, and one of a new job can.
	// Left behind new ones for as long as they come, it would lose what was done for its job.
	chk := is.New(t)
	dsk := newDesk(t, listed("s", 14000))
	for _, tsk := range []string{"j.0", "j.1"} {
		ord := dsk.order(0, tsk)
		ord.Due = dsk.now.Add(150 * time.Millisecond)
		dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
	}
	run := dsk.started("j.0", Accepted)
	dsk.pass(100 * time.Millisecond)
	dsk.place(0, "k.0")
	dsk.acts = nil
	dsk.look("s", RenewResult{Ended: []End{{Seq: 1, Run: run}}})
	chk.Equal(dsk.starts(), map[string]ServerID{"j.1": "s"})
}

func TestWaitOfEachRank(t *testing.T) {
	// Urgent work takes all the room, and less urgent work waits. By its share of the pool it would start within 0.1 s;
	// told so, its callers would be admitted and wait until their deadlines.
	const (
		turnover = 100.0
		meanRun  = 200 * time.Millisecond
	)
	chk := is.New(t)
	now := time.Unix(1000, 0)
	var drn drain
	var wrk [Ranks]int64
	wrk[0], wrk[2] = turnover*20, turnover*80
	drn.update(now, turnover, meanRun, wrk)
	chk.Equal(drn.waits(turnover, wrk)[2], 100*time.Millisecond)
	for range 20 {
		now = now.Add(drainInterval)
		drn.started[0] = turnover * 50
		drn.update(now, turnover, meanRun, wrk)
	}
	wts := drn.waits(turnover, wrk)
	chk.True(wts[0] < 30*time.Millisecond)
	chk.True(wts[2] > time.Second)
	chk.True(wts[1] >= wts[0]) // Late urgent work is behind all that is in time.
	for range 20 {
		now = now.Add(drainInterval)
		drn.update(now, turnover, meanRun, [Ranks]int64{})
	}
	chk.True(drn.waits(turnover, wrk)[2] < 110*time.Millisecond) // The urgent work is done; all the room is free.
}

// Runs of a second on a few servers: for most of it nothing starts, and what waits looks as if it were passed by for good.
func TestNothingStartsForAWhile(t *testing.T) {
	const (
		turnover = 100.0
		meanRun  = time.Second
	)
	chk := is.New(t)
	now := time.Unix(1000, 0)
	var drn drain
	var wrk [Ranks]int64
	wrk[0] = turnover * 80
	drn.update(now, turnover, meanRun, wrk)
	for range 15 {
		now = now.Add(drainInterval)
		drn.update(now, turnover, meanRun, wrk)
	}
	chk.Equal(drn.waits(turnover, wrk)[0], 80*time.Millisecond)
	for range 130 {
		now = now.Add(drainInterval)
		drn.update(now, turnover, meanRun, wrk)
	}
	chk.True(drn.waits(turnover, wrk)[0] > 80*time.Millisecond) // No run takes three times as long: the servers are stuck.
}
