package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against tasks that are sent and recalled for free processor whose server has no memory left for them: the leader returns them at once, and
// they go round.
func TestTasksGoWhereMemoryIsFree(t *testing.T) {
	const memory = 64
	load := func(number int64, free, freeMemory []int64) shard.Load {
		return shard.Load{Number: number, ServiceRate: 1_000_000, Free: free, FreeMemory: freeMemory, LinkWindow: 1 << 20}
	}
	cases := map[string]struct {
		here, elsewhere shard.Load
		// later is told of the other shard once the tasks are sent.
		later *shard.Load
		want  []string
	}{
		"too little memory here": {
			here: load(1, freeList(1), []int64{memory - 1}), elsewhere: load(1, freeList(1), []int64{memory}),
			want: []string{"order j.0.0.0 at other/2 return-if-busy", "order j.0.0.1 at self/1"},
		},
		"memory of one task on a server with the processor of two": {
			here: load(1, []int64{28000}, []int64{2*memory - 1}), elsewhere: load(1, nil, nil),
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1"},
		},
		"memory that is free later": {
			here: load(1, freeList(1), []int64{memory}), elsewhere: load(1, nil, nil), later: &shard.Load{Free: freeList(1), FreeMemory: []int64{memory}},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1", "order j.0.0.1 at self/1 recall"},
		},
		"processor that is free later, without memory": {
			here: load(1, freeList(1), []int64{memory}), elsewhere: load(1, nil, nil), later: &shard.Load{Free: freeList(1), FreeMemory: []int64{memory - 1}},
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1"},
		},
		"a leader that tells no memory": {
			here: load(1, freeList(2), nil), elsewhere: load(1, nil, nil),
			want: []string{"order j.0.0.0 at self/1 return-if-busy", "order j.0.0.1 at self/1 return-if-busy"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			hrn := newHarness()
			for idx := range cse.here.RankWaits {
				cse.here.RankWaits[idx] = 500 * time.Millisecond
				cse.elsewhere.RankWaits[idx] = time.Second
			}
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0", Leader: self, Token: 1}, sameDomain))
			hrn.record(hrn.crd.HandleLeader(Target{Shard: "b.0", Leader: other, Token: 1}, otherDomain))
			hrn.record(hrn.crd.HandleLoad("a.0", cse.here))
			hrn.record(hrn.crd.HandleLoad("b.0", cse.elsewhere))
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, Submission{
				ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
				Objective: func(work time.Duration) time.Duration { return 20 * work },
				Steps:     []Step{{Count: 2, Processor: 14000, Memory: memory, ExpectedRunTime: 100 * time.Millisecond}},
			}))
			if cse.later != nil {
				hrn.record(hrn.crd.HandleLoad("b.0", load(2, cse.later.Free, cse.later.FreeMemory)))
			}
			is.New(t).Equal(hrn.takeTexts(), cse.want)
		})
	}
}
