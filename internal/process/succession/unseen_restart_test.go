package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// TestUnseenRestartOfAServer guards against a task that runs twice: a server has started again under its ID and takes a lease that was meant for
// the clock of its former incarnation, which lasts for the longest lease; none of its answers arrives, its owner loses power, and the caller
// submits the job again.
func TestUnseenRestartOfAServer(t *testing.T) {
	for name, slow := range map[string]bool{"calls are given up after 40 ms": false, "calls are given up after 300 ms": true} {
		for _, seed := range []uint64{0, 1, 2, 3, 4, 5} {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				chk := is.New(t)
				sim := newSimulation(seed, []string{"a", "a", "b"}, []string{"a", "b"})
				srv := sim.server("s2b")
				srv.clockRate = 1 / clockSkew
				sim.runUntil(sim.now.Add(warmUp))
				sim.submitTo("i1a", 2, 400*time.Millisecond)
				sim.runUntil(sim.now.Add(50 * time.Millisecond))
				if slow {
					for range 20 {
						sim.nodes["i3b"].uplink.HandleStartResult("", 300*time.Millisecond, shard.Accepted)
					}
				}
				sim.cutBothWays("i3b", storeName, 3*time.Second)
				srv.restart(0)
				srv.losesStops = true
				sim.runUntil(sim.now.Add(time.Millisecond))
				sim.cutLink("s2b", "i3b", 3*time.Second)
				job := sim.newJob(1, 4*time.Second)
				job.patient = true
				job.send(sim.nodes["i1a"])
				sim.runUntil(sim.now.Add(20 * time.Millisecond))
				sim.note("i1a loses power")
				sim.nodes["i1a"].dead, sim.nodes["i1a"].powerLost = true, true
				sim.after(resendAfter, func() { job.send(sim.nodes["i2a"]) })
				sim.runUntil(sim.now.Add(resendAfter + 50*time.Millisecond))
				if testing.Verbose() {
					sim.write(t)
				}
				chk.Equal(sim.starts[job.id+".0.0.0"], 2)
				chk.Equal(sim.violations, nil)
			})
		}
	}
}
