package succession

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExploreTwoOwners guards against tasks that run twice, and false "not run" answers, where jobs are submitted to several instances at nearly the
// same time, which order the same tasks from one leader, while there are faults and callers leave.
func TestExploreTwoOwners(t *testing.T) {
	replaced, simulations := 0, 0
	explore(t, []uint64{602}, func(seed uint64) *simRun {
		sim := simulateTwoOwners(seed)
		simulations++
		for _, line := range sim.trace {
			if strings.Contains(line, " replaced (token") {
				replaced++
			}
		}
		return sim
	})
	is.New(t).True(replaced >= simulations) // Else the seeds say little.
}

// simulateTwoOwners returns the simulation of a seed after it has run, in one failure domain with one shard.
func simulateTwoOwners(seed uint64) *simRun {
	rnd := rand.New(rand.NewPCG(seed, 19))
	sim := newSimulation(seed, []string{"a", "a", "a"}, []string{"a", "a", "a"}[:1+rnd.IntN(3)])
	sim.runUntil(sim.began.Add(warmUp))
	for range 3 + rnd.IntN(4) {
		job := sim.newJob(1+rnd.IntN(4), 50*time.Millisecond+within(rnd, 1500*time.Millisecond))
		job.patient = rnd.IntN(2) == 0
		first := within(rnd, activeTime)
		for range 2 + rnd.IntN(2) {
			sim.after(first, func() { job.send(sim.anyNode()) })
			first += within(rnd, []time.Duration{10 * time.Millisecond, 300 * time.Millisecond}[rnd.IntN(2)])
		}
	}
	for range rnd.IntN(5) {
		sim.after(within(rnd, activeTime), sim.injectFault)
	}
	for range rnd.IntN(5) {
		pause := within(rnd, 1500*time.Millisecond)
		sim.after(within(rnd, activeTime), func() { sim.anyNode().pause(pause) })
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}
