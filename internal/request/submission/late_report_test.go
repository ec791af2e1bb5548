package submission

import (
	"testing"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// TestLateReportOnAnEarlierOrder guards against a task that runs twice: the leadership of its shard passes to a second instance and back within a
// few milliseconds. The first one's report that the earlier order has not run comes late, when the task is again with a leadership of the
// same instance, and must not be taken for a report on the later order, while the second instance runs the task.
func TestLateReportOnAnEarlierOrder(t *testing.T) {
	const first, second = shard.InstanceID("first/1"), shard.InstanceID("second/2")
	cases := map[string]struct {
		// back is the token of the first instance when the shard comes back to it, as the owner hears it.
		back int64
		// lost is set if the second instance is lost, else it has resigned the shard.
		lost bool
	}{
		"back with a newer token":                            {back: 12},
		"back, its former token is heard first":              {back: 10},
		"back with a newer token, second lost":               {back: 12, lost: true},
		"back, its former token is heard first, second lost": {back: 10, lost: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			lead := func(id shard.InstanceID, token int64) {
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0", Leader: id, Token: token}, otherDomain))
				hrn.record(hrn.crd.HandleLoad("a.0", shard.Load{Number: token, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
			}
			lead(first, 10)
			hrn.submit(1, "j", 1)
			lead(second, 11)
			hrn.report(second, 11, "j.0.0.0", shard.NotRun)
			hrn.report(second, 11, "j.0.0.0", shard.Started)
			if cse.lost {
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, second, "not heard"))
			}
			lead(first, cse.back)
			if !cse.lost {
				hrn.report(second, 11, "j.0.0.0", shard.Lost)
			}
			hrn.acts = nil
			hrn.report(first, 10, "j.0.0.0", shard.NotRun)
			for _, act := range hrn.acts {
				if ord, ok := act.(SendOrder); ok {
					chk.True(ord.Order.Reassigned) // The second instance runs the task.
				}
			}
		})
	}
}
