package succession

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// TestExplorePreemption guards against tasks that run twice, servers over their capacity and false "not run" answers where runs are stopped for urgent
// tasks while leaders end, are paused and are succeeded, messages are lost and callers leave.
func TestExplorePreemption(t *testing.T) {
	preemptions, simulations := 0, 0
	explore(t, nil, func(seed uint64) *simRun {
		sim := simulatePreemption(seed)
		preemptions += sim.preemptions
		simulations++
		return sim
	})
	is.New(t).True(preemptions >= simulations/2) // Else the seeds say little.
}

// simulatePreemption is simulate with urgent jobs of short tasks among jobs of long ones, and with preemption.
func simulatePreemption(seed uint64) *simRun {
	rnd := rand.New(rand.NewPCG(seed, 14))
	sim := newSimulation(seed, []string{"a", "a", "b"}, []string{"a", "a", "b"}[:2+rnd.IntN(2)])
	sim.features = shard.Features{Headroom: rnd.IntN(2) == 0, Preemption: true}
	sim.runUntil(sim.began.Add(warmUp))
	for range 6 + rnd.IntN(4) {
		long := time.Second + time.Duration(rnd.Int64N(int64(500*time.Millisecond)))
		sim.after(sim.within(activeTime), func() { sim.newJob(2+rnd.IntN(3), long).send(sim.anyNode()) })
	}
	for range 20 + rnd.IntN(20) {
		short := 30*time.Millisecond + time.Duration(rnd.Int64N(int64(100*time.Millisecond)))
		sim.after(sim.within(activeTime), func() {
			job := sim.newJob(1+rnd.IntN(3), short)
			job.urgent = true
			job.send(sim.anyNode())
		})
	}
	for range 2 + rnd.IntN(6) {
		sim.after(sim.within(activeTime), sim.injectFault)
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}
