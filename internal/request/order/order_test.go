package order_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/order"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// put adds a job that arrived at a time after start.
func put(que *order.Queue[string], name, partner string, after, remaining time.Duration) *order.Item[string] {
	itm := &order.Item[string]{Value: name}
	que.Put(itm, partner, start.Add(after), remaining)
	return itm
}

// drain empties the queue and returns the names of its jobs in order.
func drain(que *order.Queue[string]) string {
	names := ""
	for itm := que.Next(); itm != nil; itm = que.Next() {
		names += itm.Value
		que.Remove(itm)
	}
	return names
}

// Fails if a long job starves behind shorter ones that arrive later, though ageing outweighs their remaining work.
func TestShortestFirstWithAgeing(tst *testing.T) {
	for name, tcs := range map[string]struct {
		ageing float64
		want   string
	}{
		"shortest first":              {ageing: 0, want: "dcba"},
		"a second outweighs a second": {ageing: 1, want: "bdca"},
		"nearly first in, first out":  {ageing: 100, want: "abdc"},
	} {
		tst.Run(name, func(tst *testing.T) {
			que := order.NewQueue[string](tcs.ageing)
			put(que, "a", "one", 0, 9*time.Second)
			put(que, "b", "one", time.Second, 3*time.Second)
			put(que, "c", "one", 4*time.Second, 2*time.Second)
			put(que, "d", "one", 4*time.Second, time.Second)
			is.New(tst).Equal(drain(que), tcs.want)
		})
	}
}

// Fails if one partner's burst starves the other because the partner with less slot time is not served next.
func TestPartnersShareSlotTime(tst *testing.T) {
	iss := is.New(tst)
	que := order.NewQueue[string](1)
	burst := put(que, "burst", "one", 0, time.Hour)
	quiet := put(que, "quiet", "two", time.Second, time.Second)
	given := map[string]time.Duration{}
	for range 100 {
		itm := que.Next()
		partner, cost := "one", 300*time.Millisecond
		if itm == quiet {
			partner, cost = "two", 100*time.Millisecond
		}
		given[partner] += cost
		que.Charge(partner, cost, que.BusyPeriod())
	}
	dif := given["one"] - given["two"]
	iss.True(dif.Abs() <= 300*time.Millisecond)
	que.Remove(quiet)
	iss.Equal(que.Next(), burst) // the only partner with jobs
}

// Fails if a partner's slot time from a period when no other had work delays its next job behind the other's large one.
func TestIdlePartnerIsNotCharged(tst *testing.T) {
	iss := is.New(tst)
	que := order.NewQueue[string](1)
	alone := put(que, "alone", "one", 0, time.Second)
	que.Charge("one", time.Hour, que.BusyPeriod())
	que.Remove(alone)
	put(que, "large", "two", time.Second, time.Minute)
	put(que, "small", "one", 2*time.Second, time.Second)
	que.Charge("two", time.Millisecond, que.BusyPeriod())
	iss.Equal(que.Next().Value, "small")
}

// Fails if a declaration that is wrong by a factor is used for too long, stragglers are taken for a change of the workload, or a real
// change goes unnoticed.
func TestRunTimeEstimator(tst *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	around := func(dur time.Duration) time.Duration {
		return time.Duration(float64(dur) * math.Exp(0.2*rnd.NormFloat64()))
	}
	iss := is.New(tst)
	var run order.RunTimeEstimator
	iss.Equal(run.Estimate(0, time.Second), time.Second)
	iss.Equal(run.Estimate(time.Minute, time.Second), time.Minute)
	for range 50 {
		run.Observe(around(200*time.Millisecond), time.Minute)
	}
	iss.True(near(run.Estimate(time.Minute, time.Second), 200*time.Millisecond, 0.3))
	for range 3 {
		run.Observe(10*time.Minute, time.Minute)
	}
	iss.True(near(run.Estimate(time.Minute, time.Second), 200*time.Millisecond, 0.5)) // stragglers
	for range 60 {
		run.Observe(around(900*time.Millisecond), time.Minute)
	}
	iss.True(near(run.Estimate(time.Minute, time.Second), 900*time.Millisecond, 0.3)) // change
	var scaled order.RunTimeEstimator
	for idx := range 100 {
		real := time.Duration(1+idx%20) * 50 * time.Millisecond
		scaled.Observe(around(real), 3*real)
	}
	iss.True(near(scaled.Estimate(3*time.Second, 0), time.Second, 0.3)) // declarations off by a constant factor
}

// near reports whether got differs from want by less than that share of want.
func near(got, want time.Duration, share float64) bool {
	return math.Abs(float64(got-want)) < share*float64(want)
}

func BenchmarkQueue(bch *testing.B) {
	for _, num := range []int{10, 1000, 100_000} {
		bch.Run(fmt.Sprint("jobs-", num), func(bch *testing.B) {
			que := order.NewQueue[string](1)
			for idx := range num {
				put(que, "job", "one", time.Duration(idx)*time.Millisecond, time.Duration(idx%97)*time.Second)
			}
			bch.ReportAllocs()
			for bch.Loop() {
				itm := que.Next()
				que.Remove(itm)
				que.Put(itm, "one", start, 50*time.Second)
			}
		})
	}
}
