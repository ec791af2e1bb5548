package mesh_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
)

// Guards against a report of a start that waits for as long as the other instance makes all calls.
func TestDeferredReportArrivesWithinAnInterval(t *testing.T) {
	for name, pause := range map[string]time.Duration{"just after a call": 0, "between two calls": 50 * time.Millisecond, "later": 730 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inPair(t, func(_ *pipe.Network, one, two *node) {
				chk := is.New(t)
				time.Sleep(time.Second + pause)
				one.msh.Send(mesh.ID("two", 1), mesh.Report{Report: shard.Report{Task: "from one", Outcome: shard.Started}})
				two.msh.Send(mesh.ID("one", 1), mesh.Report{Report: shard.Report{Task: "from two", Outcome: shard.Started}})
				time.Sleep(150 * time.Millisecond) // An interval, and a call.
				atOne, _, _ := one.seen()
				atTwo, _, _ := two.seen()
				chk.True(slices.Contains(atOne, "from two"))
				chk.True(slices.Contains(atTwo, "from one"))
			})
		})
	}
}
