package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnansweredStopsOfALostOwner guards against a task that runs twice: its owner loses power, the server leaves the stop of its run without an
// answer, and something extends the lease until the caller has submitted the job again.
func TestUnansweredStopsOfALostOwner(t *testing.T) {
	cases := map[string]struct {
		// load is how often another owner orders a task from the same server; 0 for never. pause is how long the leader is paused before it would
		// miss the owner. otherEnds is when a task of another owner ends on the server, after the loss of power: the next renewal is sent then.
		load, pause, otherEnds time.Duration
		// lastBatch has the leader paused from just before the owner's last batch arrives.
		lastBatch bool
	}{
		"nothing else happens":                                 {},
		"another task ends":                                    {otherEnds: 550 * time.Millisecond},
		"other tasks start there":                              {load: 250 * time.Millisecond},
		"the leader is paused":                                 {pause: 400 * time.Millisecond},
		"the leader is paused, and a task ends":                {pause: 400 * time.Millisecond, otherEnds: 750 * time.Millisecond},
		"the owner's last batch is read late, and a task ends": {pause: 330 * time.Millisecond, otherEnds: 820 * time.Millisecond, lastBatch: true},
	}
	// ownerLives is how long the owner lives after it has ordered the task.
	const ownerLives = 500 * time.Millisecond
	for name, cse := range cases {
		for _, seed := range []uint64{0, 1, 2, 3, 4, 5} {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				chk := is.New(t)
				sim := newSimulation(seed, []string{"a", "a", "b"}, []string{"a", "b"})
				sim.runUntil(sim.now.Add(warmUp))
				// The first job fills the server of the owner's domain for a while, so that the second one runs in the other domain.
				sim.submitTo("i1a", 2, 400*time.Millisecond)
				sim.runUntil(sim.now.Add(50 * time.Millisecond))
				job := sim.newJob(1, 4*time.Second)
				job.patient = true
				job.send(sim.nodes["i1a"])
				if cse.otherEnds > 0 {
					oth := sim.newJob(1, ownerLives+cse.otherEnds)
					oth.patient = true
					oth.send(sim.nodes["i3b"])
				}
				sim.runUntil(sim.now.Add(ownerLives))
				sim.server("s2b").losesStops = true
				if cse.lastBatch {
					sim.nodes["i3b"].pause(cse.pause)
					sim.nodes["i1a"].sessions["i3b"].signal()
					sim.runUntil(sim.now.Add(5 * time.Millisecond))
				}
				sim.note("i1a loses power")
				sim.nodes["i1a"].dead, sim.nodes["i1a"].powerLost = true, true
				sim.after(resendAfter, func() { job.send(sim.nodes["i2a"]) })
				if cse.pause > 0 && !cse.lastBatch {
					sim.after(280*time.Millisecond, func() { sim.nodes["i3b"].pause(cse.pause) })
				}
				for past := cse.load; past > 0 && past < resendAfter; past += cse.load {
					sim.after(past, func() { sim.submitTo("i3b", 1, 100*time.Millisecond) })
				}
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
