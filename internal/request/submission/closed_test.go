package submission

import (
	"testing"

	"chestnutstack/internal/request/shard"
)

// Jobs are ordered at shards of closed failure domains, or wait to their deadlines where all are closed.
func TestClosedDomains(t *testing.T) {
	cases := map[string]struct {
		story func(bch *bench)
		want  []string
	}{
		"room in a closed domain is not used": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.lead("b.0", false, other, 2, 1)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.submit(1, "j", 1)
			},
			want: []string{"place j.0.0.0 at other/2 bounce"},
		},
		"its leader knows it first": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.lead("b.0", false, other, 2, 1)
				bch.did(bch.dsk.HandleLoad("b.0", shard.Load{Number: 3, Closed: true}))
				bch.submit(1, "j", 2)
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1"},
		},
		"all are closed": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.submit(1, "j", 1)
			},
			want: []string{"reply 1 not-run"},
		},
		"the last one is closed while a job waits": {
			story: func(bch *bench) {
				bch.lead("a.0", true, other, 1, 0)
				bch.submit(1, "j", 1)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.report(other, 1, "j.0.0.0", shard.NotRun)
				bch.did(bch.dsk.HandleTick(bch.now))
			},
			want: []string{"place j.0.0.0 at other/2", "reply 1 not-run"},
		},
		"the last one is closed while a job runs": {
			story: func(bch *bench) {
				bch.lead("a.0", true, other, 1, 1)
				bch.submit(1, "j", 1)
				bch.report(other, 1, "j.0.0.0", shard.Begun)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.did(bch.dsk.HandleTick(bch.now))
				bch.report(other, 1, "j.0.0.0", shard.Done)
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "reply 1 succeeded"},
		},
		"one is opened while a job waits": {
			story: func(bch *bench) {
				bch.lead("a.0", true, other, 1, 1)
				bch.submit(1, "j", 2)
				bch.report(other, 1, "j.0.0.0", shard.Begun)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.report(other, 1, "j.0.0.1", shard.NotRun)
				bch.did(bch.dsk.HandleClosedDomains(bch.now, nil))
			},
			want: []string{"place j.0.0.0 at other/2 bounce", "place j.0.0.1 at other/2", "place j.0.0.1 at other/2"},
		},
		"an open domain has no leader yet": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.did(bch.dsk.HandleLeader(Target{Shard: "b.0"}, elsewhere))
				bch.did(bch.dsk.HandleClosedDomains(bch.now, []string{own}))
				bch.submit(1, "j", 1)
				bch.lead("b.0", false, other, 2, 1)
			},
			want: []string{"place j.0.0.0 at other/2"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { checkStory(t, cse.story, cse.want) })
	}
}
