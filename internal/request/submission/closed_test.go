package submission

import (
	"testing"

	"chestnutstack/internal/request/shard"
)

// Fails if tasks are ordered from shards of closed failure domains, or if jobs wait until their deadline while all failure domains are
// closed.
func TestClosedDomains(t *testing.T) {
	cases := map[string]struct {
		scenario func(hrn *harness)
		want     []string
	}{
		"free capacity in a closed domain is not used": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy"},
		},
		"the leader reports the closing first": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.setLeader("b.0", false, other, 2, 1)
				hrn.record(hrn.crd.HandleLoad("b.0", shard.Load{Number: 3, Closed: true}))
				hrn.submit(1, "j", 2)
			},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1"},
		},
		"a leader tells it with the order that it returns": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 0)
				hrn.setLeader("b.0", false, other, 2, 0)
				hrn.setLongQueue("b.0", 3)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleReport(hrn.now, self, shard.Report{Task: "j.0.0.0", Token: 1, Outcome: shard.NotRun, Reason: shard.DomainClosed}))
			},
			want: []string{"order j.0.0.0 at self/1", "order j.0.0.0 at other/2"},
		},
		"all are closed": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
			},
			want: []string{"reply 1 not-run"},
		},
		"the last one is closed while a job waits": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 0)
				hrn.submit(1, "j", 1)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.report(other, 1, "j.0.0.0", shard.NotRun)
				hrn.record(hrn.crd.HandleTick(hrn.now))
			},
			want: []string{"order j.0.0.0 at other/2", "reply 1 not-run"},
		},
		"the last one is closed while a job runs": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 1)
				hrn.submit(1, "j", 1)
				hrn.report(other, 1, "j.0.0.0", shard.Started)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.record(hrn.crd.HandleTick(hrn.now))
				hrn.report(other, 1, "j.0.0.0", shard.Done)
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "reply 1 succeeded"},
		},
		"the last one is opened again while a job waits": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, other, 1, 1)
				hrn.submit(1, "j", 2)
				hrn.report(other, 1, "j.0.0.0", shard.Started)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.report(other, 1, "j.0.0.1", shard.NotRun)
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, nil))
			},
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "order j.0.0.1 at other/2", "order j.0.0.1 at other/2"},
		},
		"an open domain has no leader yet": {
			scenario: func(hrn *harness) {
				hrn.setLeader("a.0", true, self, 1, 1)
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "b.0"}, otherDomain))
				hrn.record(hrn.crd.HandleClosedDomains(hrn.now, []string{sameDomain}))
				hrn.submit(1, "j", 1)
				hrn.setLeader("b.0", false, other, 2, 1)
			},
			want: []string{"order j.0.0.0 at other/2"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { checkScenario(t, cse.scenario, cse.want) })
	}
}
