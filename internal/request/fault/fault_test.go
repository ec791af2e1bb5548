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

// outcomes reports num tasks of distinct jobs on random servers to the detector, and returns the number of ejected servers.
func outcomes(det *fault.Detector, servers []*fault.Server, rat *fault.EntryRate, fails func(srv int) float64, num int) int {
	rnd := rand.New(rand.NewPCG(3, 4))
	for idx := range num {
		pos := rnd.IntN(len(servers))
		if servers[pos].State() == fault.Ejected {
			continue
		}
		if rnd.Float64() < fails(pos) {
			det.HandleFailure(now, servers[pos], fmt.Sprint("job-", idx), rat)
		} else {
			det.HandleSuccess(servers[pos], rat)
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

// Fails if a good server is ejected because a catalogue entry's tasks fail everywhere, or if a faulty server is kept.
func TestServerOrJobAtFault(tst *testing.T) {
	for name, tcs := range map[string]struct {
		fails func(srv int) float64
		want  int
	}{
		"no server, a low failure rate":      {fails: func(int) float64 { return 0.02 }, want: 0},
		"one server fails every task":        {fails: func(srv int) float64 { return map[bool]float64{true: 1}[srv == 3] }, want: 1},
		"the jobs fail on every server":      {fails: func(int) float64 { return 1 }, want: 0},
		"the jobs fail at times":             {fails: func(int) float64 { return 0.3 }, want: 0},
		"a faulty server among failing jobs": {fails: func(srv int) float64 { return map[bool]float64{true: 1, false: 0.2}[srv == 3] }, want: 1},
	} {
		tst.Run(name, func(tst *testing.T) {
			iss := is.New(tst)
			det, servers := newServers(10)
			// One Class for all tasks: the failure rate of the entry is learnt. TestEjectedShareIsBounded uses new entries.
			got := outcomes(det, servers, &fault.EntryRate{}, tcs.fails, 3000)
			iss.Equal(got, tcs.want)
		})
	}
}

// Fails if a job of hundreds of tasks, all of which fail on one server, ejects that server though the job is at fault.
func TestOneJobEjectsNoServer(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	for range 300 {
		det.HandleFailure(now, servers[0], "job-1", &fault.EntryRate{})
	}
	iss.Equal(servers[0].State(), fault.Trusted)
}

// Fails if all servers are ejected when every one seems faulty: the last ones would be overloaded with the work of the others.
func TestEjectedShareIsBounded(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	for idx := range 1000 {
		// Each failure is in its own catalogue entry, so that it counts against the server only.
		det.HandleFailure(now, servers[idx%10], fmt.Sprint("job-", idx), &fault.EntryRate{})
	}
	iss.Equal(det.EjectedCount(), 3)
}

// Fails if an ejected server is probed too early, its probe delay doesn't grow, or it stays ejected after successful probes.
func TestProbeRestoresServer(tst *testing.T) {
	iss := is.New(tst)
	det, servers := newServers(10)
	srv := servers[0]
	eject := func() {
		for idx := 0; srv.State() == fault.Trusted; idx++ {
			det.HandleFailure(now, srv, fmt.Sprint("job-", idx), &fault.EntryRate{})
		}
	}
	eject()
	iss.Equal(det.StartProbe(now, srv), false) // the probe delay is not over
	first := srv.ProbeAt().Sub(now)
	iss.True(det.StartProbe(srv.ProbeAt(), srv))
	iss.True(det.HandleFailure(now, srv, "probe", &fault.EntryRate{}))
	iss.Equal(srv.ProbeAt().Sub(now), 2*first) // the probe delay doubles
	iss.True(det.StartProbe(srv.ProbeAt(), srv))
	for range fault.DefaultConfig().ProbeSuccesses {
		det.HandleSuccess(srv, &fault.EntryRate{})
	}
	iss.Equal(srv.State(), fault.Trusted)
	iss.Equal(det.EjectedCount(), 0)
}
