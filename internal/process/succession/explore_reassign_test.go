package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReassignedOrdersDoNotRunTwice guards against a task that runs twice: its owner sends the order to a new leader at the moment when
// the links to the former leader, and from there to a server, are cut one after the other, and the time after which the new leader
// takes the run for over is too short.
func TestReassignedOrdersDoNotRunTwice(t *testing.T) {
	for late := time.Duration(0); late <= 800*time.Millisecond; late += 25 * time.Millisecond {
		t.Run(fmt.Sprint("the link to the server is cut after ", late), func(t *testing.T) {
			chk := is.New(t)
			sim := newSimulation(1, []string{"a", "b", "b"}, []string{"a", "a", "b", "b"})
			sim.runUntil(sim.now.Add(warmUp))
			led := sim.leader("b.0")
			next := map[string]string{"i2b": "i3b", "i3b": "i2b"}[led]
			// The first job fills the owner's own domain for a while, so that the second one is queued at the other domain's leader.
			sim.submitTo("i1a", 4, 900*time.Millisecond)
			sim.runUntil(sim.now.Add(50 * time.Millisecond))
			sim.submitTo("i1a", 4, 3*time.Second)
			sim.runUntil(sim.now.Add(250 * time.Millisecond))
			for _, srv := range []string{"s3b", "s4b"} {
				sim.cutBothWays(next, srv, 3*time.Second)
			}
			sim.cutBothWays(led, next, 3*time.Second)
			sim.nodes[next].handle(func(now time.Time) { sim.nodes[next].takeOver(now, "b.0") })
			sim.cutLink("i1a", led, 3*time.Second)
			sim.runUntil(sim.now.Add(late))
			sim.cutLink(led, "s3b", 3*time.Second)
			sim.cutLink(led, "s4b", 3*time.Second)
			sim.runUntil(sim.now.Add(6 * time.Second))
			chk.Equal(sim.violations, nil)
			if testing.Verbose() && len(sim.violations) > 0 {
				sim.write(t)
			}
		})
	}
}
