package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReassignedOrdersDoNotRunTwice guards against a task that runs twice: its owner follows a new leader at the moment in which the
// ways to the former one and from there to a server break, one after the other, and the new leader's proof by time is too short.
func TestReassignedOrdersDoNotRunTwice(t *testing.T) {
	for late := time.Duration(0); late <= 800*time.Millisecond; late += 25 * time.Millisecond {
		t.Run(fmt.Sprint("the way to the server breaks after ", late), func(t *testing.T) {
			chk := is.New(t)
			ply := newPlay(1, []string{"a", "b", "b"}, []string{"a", "a", "b", "b"})
			ply.runUntil(ply.now.Add(warmUp))
			led := ply.leader("b.0")
			next := map[string]string{"i2b": "i3b", "i3b": "i2b"}[led]
			// The first job fills the owner's own domain for a while, so that the second one lies with the other domain's leader.
			ply.submitTo("i1a", 4, 900*time.Millisecond)
			ply.runUntil(ply.now.Add(50 * time.Millisecond))
			ply.submitTo("i1a", 4, 3*time.Second)
			ply.runUntil(ply.now.Add(250 * time.Millisecond))
			for _, srv := range []string{"s3b", "s4b"} {
				ply.cutBoth(next, srv, 3*time.Second)
			}
			ply.cutBoth(led, next, 3*time.Second)
			ply.nodes[next].run(func(now time.Time) { ply.nodes[next].takeOver(now, "b.0") })
			ply.cut("i1a", led, 3*time.Second)
			ply.runUntil(ply.now.Add(late))
			ply.cut(led, "s3b", 3*time.Second)
			ply.cut(led, "s4b", 3*time.Second)
			ply.runUntil(ply.now.Add(6 * time.Second))
			chk.Equal(ply.broken, nil)
			if testing.Verbose() && len(ply.broken) > 0 {
				ply.write(t)
			}
		})
	}
}
