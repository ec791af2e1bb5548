package submission

import (
	"testing"

	"chestnutstack/internal/request/shard"
)

// Jobs are ordered at shards of closed failure domains, or wait to their deadlines where all are closed.
func TestClosedDomains(t *testing.T) {
	cases := map[string]struct {
		story func(hrn *harness)
		want  []string
	}{
		"room in a closed domain is not used": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
			},
			want: []string{"place j.0.0.0 at other/2 bounce"},
		},
		"its leader knows it first": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 3, Closed: true}))
				hrn.submit(1, "j", 2)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1"},
		},
		"all are closed": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
			},
			want: []string{"reply 1 not-run"},
		},
		"the last one is closed while a job waits": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 0)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.report(other, 1, "j.0.0.0", shard.NotRun)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"place j.0.0.0 at other/2", "reply 1 not-run"},
		},
		"the last one is closed while a job runs": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.report(other, 1, "j.0.0.0", shard.Begun)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.record(hrn.crd.HandleTick(hrn.now))
				hrn.report(other, 1, "j.0.0.0", shard.Done)
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "reply 1 succeeded"},
		},
		"one is opened while a job waits": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 1)
				hrn.submit(1, "j", 2)
				hrn.report(other, 1, "j.0.0.0", shard.Begun)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.report(other, 1, "j.0.0.1", shard.NotRun)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, nil))
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "place j.0.0.1 at other/2", "place j.0.0.1 at other/2"},
		},
		"an open domain has no leader yet": {
			story: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "b.0"}, otherDomain))
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
				hrn.setLeader("b.0", false, other, 2, 1)
			},
			want: []string{"place j.0.0.0 at other/2"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { checkScenario(t, cse.story, cse.want) })
	}
}
