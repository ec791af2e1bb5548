package slot_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/slot"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWidth(tst *testing.T) {
	shp := slot.Shape{Slots: 8, Capacity: job.Needs{Processors: 32, MemoryBytes: 128 << 30, Accelerators: 2}}
	for name, tcs := range map[string]struct {
		needs job.Needs
		want  uint32
	}{
		"no needs":               {needs: job.Needs{}, want: 1},
		"a part of a slot":       {needs: job.Needs{Processors: 1}, want: 1},
		"just one slot":          {needs: job.Needs{Processors: 4}, want: 1},
		"a little more":          {needs: job.Needs{Processors: 5}, want: 2},
		"memory decides":         {needs: job.Needs{Processors: 4, MemoryBytes: 40 << 30}, want: 3},
		"an accelerator":         {needs: job.Needs{Accelerators: 1}, want: 4},
		"all of it":              {needs: job.Needs{Processors: 32}, want: 8},
		"too many processors":    {needs: job.Needs{Processors: 33}, want: 0},
		"too much memory":        {needs: job.Needs{MemoryBytes: 1 << 63}, want: 0},
		"too many accelerators":  {needs: job.Needs{Accelerators: 3}, want: 0},
		"one byte over the slot": {needs: job.Needs{MemoryBytes: 16<<30 + 1}, want: 2},
	} {
		tst.Run(name, func(tst *testing.T) {
			is.New(tst).Equal(shp.Width(tcs.needs), tcs.want)
		})
	}
	bare := slot.Shape{Slots: 8}
	iss := is.New(tst)
	iss.Equal(bare.Width(job.Needs{Processors: 99}), uint32(1))  // not declared bounds nothing
	iss.Equal(bare.Width(job.Needs{Accelerators: 1}), uint32(0)) // no accelerator is none
}

// newPool returns a pool of open backend servers assigned to this instance, every other one in its failure domain.
func newPool(num int, slots uint32) (*slot.Pool, []*slot.Server) {
	pol := slot.New(rand.New(rand.NewPCG(1, 2)))
	var servers []*slot.Server
	for idx := range num {
		srv := pol.Put(slot.Params{
			ID: fmt.Sprint("server-", idx), Rack: fmt.Sprint("rack-", idx%7), Local: idx%2 == 0, Home: true,
			Shape: slot.Shape{Slots: slots},
		})
		pol.SetOpen(srv, true)
		servers = append(servers, srv)
	}
	return pol, servers
}

// Guards against slots that are lost or given out twice: after any sequence of events the totals and buckets must
// agree with the accounts of the servers.
func TestTotalsMatchServerAccounts(tst *testing.T) {
	rapid.Check(tst, func(tst *rapid.T) {
		pol, servers := newPool(4, 6)
		clk := now
		for range rapid.IntRange(1, 60).Draw(tst, "steps") {
			clk = clk.Add(time.Duration(rapid.IntRange(0, 400).Draw(tst, "ms")) * time.Millisecond)
			step(tst, pol, rapid.SampledFrom(servers).Draw(tst, "server"), clk)
			checkTotals(tst, pol, servers)
		}
	})
}

// step draws an event and applies it to the pool.
func step(tst *rapid.T, pol *slot.Pool, srv *slot.Server, clk time.Time) {
	num := uint32(rapid.IntRange(1, 8).Draw(tst, "number"))
	until := clk.Add(time.Second)
	switch rapid.IntRange(0, 9).Draw(tst, "event") {
	case 0, 1, 2:
		if got, wid := pol.Pick([]uint32{1}); got != nil {
			pol.Acquire(got, wid)
		}
	case 3:
		pol.Release(srv, min(num, srv.InUse()))
	case 4:
		var lent uint32
		free := pol.HomeFree()
		pol.Lend(slot.Loan{Peer: "a", Slots: num, Until: until, DrainedAt: until.Add(time.Second)}, func(_ *slot.Server, got uint32) {
			lent += got
		})
		if lent != min(num, free) {
			tst.Fatalf("lent %d of %d with %d free", lent, num, free)
		}
	case 5:
		pol.TakeBack(srv, "a", num)
	case 6:
		pol.SetReportedFree(srv, clk, min(num, srv.Slots()))
	case 7:
		pol.Expire(srv, clk)
	case 8:
		pol.SetOpen(srv, num%3 != 0)
	case 9:
		pol.SetMaxInUse(srv, num%3)
	}
}

// checkTotals checks the totals of the pool and Pick against the accounts of the servers.
func checkTotals(tst *rapid.T, pol *slot.Pool, servers []*slot.Server) {
	var free, used, lent uint32
	for _, srv := range servers {
		free += srv.Free()
		used += srv.InUse()
		lent += srv.Lent()
		if srv.Free()+srv.InUse() > srv.Slots() {
			tst.Fatalf("%s: %d free and %d in use of %d", srv.ID(), srv.Free(), srv.InUse(), srv.Slots())
		}
	}
	if free != pol.Free() || used != pol.InUse() || lent != pol.Lent() {
		tst.Fatalf("totals %d %d %d, servers %d %d %d", pol.Free(), pol.InUse(), pol.Lent(), free, used, lent)
	}
	if srv, _ := pol.Pick([]uint32{1}); (srv != nil) != (free > 0) {
		tst.Fatalf("picked %v with %d free", srv, free)
	}
}

func TestPickPrefersOwnDomainThenMostFree(tst *testing.T) {
	iss := is.New(tst)
	pol, servers := newPool(4, 4)
	pol.Acquire(servers[0], 3)
	for range 3 {
		srv, wid := pol.Pick([]uint32{1})
		pol.Acquire(srv, wid)
	}
	iss.Equal(servers[2].InUse(), uint32(3)) // own failure domain, most free
	srv, _ := pol.Pick([]uint32{2})
	iss.True(srv == servers[1] || srv == servers[3]) // two slots are free in the other one only
}

// Measures one placement decision; its time must not grow with the number of backend servers.
func BenchmarkPlace(bch *testing.B) {
	for _, num := range []int{50, 500, 3700} {
		bch.Run(fmt.Sprint("servers-", num), func(bch *testing.B) {
			pol, servers := newPool(num, 8)
			for idx, srv := range servers {
				pol.Acquire(srv, uint32(idx%8))
			}
			widths := []uint32{1}
			bch.ReportAllocs()
			for bch.Loop() {
				srv, wid := pol.Pick(widths)
				pol.Acquire(srv, wid)
				pol.Release(srv, wid)
			}
		})
	}
}
