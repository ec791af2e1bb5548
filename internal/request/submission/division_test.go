package submission

import (
	"testing"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against a task that runs twice as its new leader is not told that a former one has led a larger shard: the least number of shards by
// which a leader has acted that may have started the task goes with each order, until the task is known to run nowhere.
func TestReassignedOrderTellsTheFormerDivision(t *testing.T) {
	const task = "j.0.0.0"
	lead := func(hrn *harness, id shard.InstanceID, token int64, shards int) {
		hrn.crd.HandleDivision("a.0", shards)
		hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0", Leader: id, Token: token}, otherDomain))
		hrn.record(hrn.crd.HandleLoad("a.0", shard.Load{Number: token, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
	}
	cases := map[string]struct {
		story func(hrn *harness)
		want  int
	}{
		"the division is the same": {
			story: func(hrn *harness) { lead(hrn, "one/1", 10, 3); hrn.submit(1, "j", 1); lead(hrn, "two/1", 11, 3) },
			want:  3,
		},
		"the new leader has more shards": {
			story: func(hrn *harness) { lead(hrn, "one/1", 10, 1); hrn.submit(1, "j", 1); lead(hrn, "two/1", 11, 3) },
			want:  1,
		},
		"the former leader has learned of them after the order": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 1)
				hrn.submit(1, "j", 1)
				hrn.crd.HandleDivision("a.0", 3)
				lead(hrn, "two/1", 11, 3)
			},
			want: 1,
		},
		"two leaders later": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 1)
				hrn.submit(1, "j", 1)
				lead(hrn, "two/1", 11, 3)
				lead(hrn, "three/1", 12, 6)
			},
			want: 1,
		},
		"the second leader has acted by an older division": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 3)
				hrn.submit(1, "j", 1)
				lead(hrn, "two/1", 11, 1)
				lead(hrn, "three/1", 12, 3)
			},
			want: 1,
		},
		"the former leader is lost": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 1)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleInstanceLost(hrn.now, "one/1", "not heard"))
				lead(hrn, "two/1", 11, 3)
			},
			want: 1,
		},
		"the former leader does not tell its division": {
			story: func(hrn *harness) { lead(hrn, "one/1", 10, 0); hrn.submit(1, "j", 1); lead(hrn, "two/1", 11, 3) },
		},
		"one of the former leaders did not tell its division": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 3)
				hrn.submit(1, "j", 1)
				lead(hrn, "two/1", 11, 0)
				lead(hrn, "three/1", 12, 3)
			},
		},
		"the task was proven to run nowhere since": {
			story: func(hrn *harness) {
				lead(hrn, "one/1", 10, 1)
				hrn.submit(1, "j", 1)
				lead(hrn, "two/1", 11, 3)
				hrn.report("two/1", 11, task, shard.NotRun)
				lead(hrn, "three/1", 12, 3)
			},
			want: 3,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			cse.story(hrn)
			last, ok := hrn.acts[len(hrn.acts)-1].(SendOrder)
			chk.True(ok && last.Order.Reassigned)
			chk.Equal(last.Order.FormerShards, cse.want)
		})
	}
}
