package fault_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/fault"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outcomes feeds tasks of random jobs to servers and returns how many are ejected.
func outcomes(det *fault.Detector, servers []*fault.Server, cls *fault.Class, fails func(srv int) float64, num int) int {
	rnd := rand.New(rand.NewPCG(3, 4))
	for idx := range num {
		pos := rnd.IntN(len(servers))
		if servers[pos].State() == fault.Ejected {
			continue
		}
		if rnd.Float64() < fails(pos) {
			det.HandleFailure(now, servers[pos], fmt.Sprint("job-", idx), cls)
		} else {
			det.HandleSuccess(servers[pos], cls)
		}
	}
	return det.EjectedCount()
}

func newServers(num int) (*fault.Detector, []*fault.Server) {
	det := fault.New(fault.DefaultConfig())
	det.SetServerCount(num)
	var servers []*fault.Server
	for range num {
		servers = append(servers, &fault.Server{})
	}
	return det, servers
}

func TestWhoIsAtFault(tst *testing.T) {
	for name, tcs := range map[string]struct {
		fails func(srv int) float64
		want  int
	}{
		"nobody":                      {fails: func(int) float64 { return 0.02 }, want: 0},
		"one server fails all":        {fails: func(srv int) float64 { return map[bool]float64{true: 1}[srv == 3] }, want: 1},
		"the jobs fail on all":        {fails: func(int) float64 { return 1 }, want: 0},
		"the jobs fail now and then":  {fails: func(int) float64 { return 0.3 }, want: 0},
		"a server among failing jobs": {fails: func(srv int) float64 { return map[bool]float64{true: 1, false: 0.2}[srv == 3] }, want: 1},
	} {
		tst.Run(name, func(tst *testing.T) {
			iss := is.New(tst)
			det, servers := newServers(10)
			// The failure rate of the entry is learnt before; a new entry is the test below.
			got := outcomes(det, servers, &fault.Class{}, tcs.fails, 3000)
			iss.Equal(got, tcs.want)
		})
	}
}

// A job of hundreds of tasks that can never run fails them all on one server: it must not take a
// good server out.
func TestOneJobIsNoEvidence(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	for range 300 {
		det.HandleFailure(now, servers[0], "job-1", &fault.Class{})
	}
	iss.Equal(servers[0].State(), fault.Trusted)
}

// When every server seems faulty the rest would drown in the work of the ejected ones.
func TestEjectionHasAFloor(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	for idx := range 1000 {
		// Each failure in a catalogue entry of its own: the evidence is against the servers.
		det.HandleFailure(now, servers[idx%10], fmt.Sprint("job-", idx), &fault.Class{})
	}
	iss.Equal(det.EjectedCount(), 3)
}

func TestProbeBack(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	srv := servers[0]
	eject := func() {
		for idx := 0; srv.State() == fault.Trusted; idx++ {
			det.HandleFailure(now, srv, fmt.Sprint("job-", idx), &fault.Class{})
		}
	}
	eject()
	iss.Equal(det.StartProbe(now, srv), false) // the pause is not over
	first := srv.ProbeAt().Sub(now)
	iss.True(det.StartProbe(srv.ProbeAt(), srv))
	iss.True(det.HandleFailure(now, srv, "probe", &fault.Class{}))
	iss.Equal(srv.ProbeAt().Sub(now), 2*first) // the pause doubles
	iss.True(det.StartProbe(srv.ProbeAt(), srv))
	for range fault.DefaultConfig().ProbeSuccesses {
		det.HandleSuccess(srv, &fault.Class{})
	}
	iss.Equal(srv.State(), fault.Trusted)
	iss.Equal(det.EjectedCount(), 0)
}
