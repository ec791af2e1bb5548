package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against tasks that are sent and recalled for free capacity of shards none of whose servers can run them, and against jobs that no server can
// ever run and that wait.
func TestTasksGoWhereAServerSuits(t *testing.T) {
	small := shard.ServerKind{Service: "render", Processor: 13999, Memory: 1000}
	other := shard.ServerKind{Service: "other", Processor: 32000, Memory: 1000}
	plain := shard.ServerKind{Service: "render", Processor: 32000, Memory: 1000}
	gold := shard.ServerKind{Service: "render", Processor: 32000, Memory: 1000, Labels: []string{"gold"}}
	cases := map[string]struct {
		here, elsewhere []shard.ServerKind
		// former is set if there was another shard, which is no more.
		former     bool
		label      string
		memory     int64
		incomplete bool
		want       []string
	}{
		"too small here":         {here: []shard.ServerKind{small}, elsewhere: []shard.ServerKind{small, plain}, want: []string{"order j.0.0.0 at other/2 return-if-busy"}},
		"another service here":   {here: []shard.ServerKind{other}, elsewhere: []shard.ServerKind{plain}, want: []string{"order j.0.0.0 at other/2 return-if-busy"}},
		"the label elsewhere":    {here: []shard.ServerKind{plain}, elsewhere: []shard.ServerKind{gold}, label: "gold", want: []string{"order j.0.0.0 at other/2 return-if-busy"}},
		"too little memory here": {here: []shard.ServerKind{plain}, elsewhere: []shard.ServerKind{{Service: "render", Processor: 32000, Memory: 1001}}, memory: 1001, want: []string{"order j.0.0.0 at other/2 return-if-busy"}},
		"here is not known":      {elsewhere: []shard.ServerKind{gold}, want: []string{"order j.0.0.0 at self/1 return-if-busy"}},
		"the label nowhere":      {here: []shard.ServerKind{plain}, elsewhere: []shard.ServerKind{plain}, label: "gold", want: []string{"reply 1 not-run"}},
		"the label nowhere, after a shard is no more": {
			here: []shard.ServerKind{plain}, elsewhere: []shard.ServerKind{plain}, former: true, label: "gold", want: []string{"reply 1 not-run"},
		},
		"the label nowhere, as far as is known": {
			here: []shard.ServerKind{plain}, elsewhere: []shard.ServerKind{plain}, label: "gold", incomplete: true, want: []string{"order j.0.0.0 at self/1"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 4)
			hrn.setLeader("b.0", false, shard.InstanceID("other/2"), 2, 1)
			if cse.former {
				hrn.crd.HandleServers(map[shard.Name][]shard.ServerKind{"a.0": cse.here, "a.1": {plain}, "b.0": cse.elsewhere})
			}
			hrn.crd.HandleServers(map[shard.Name][]shard.ServerKind{"a.0": cse.here, "b.0": cse.elsewhere})
			hrn.crd.SetServersComplete(!cse.incomplete)
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, Submission{
				ID: "j", Service: "render", MaxAttempts: 3, CallerTimeout: 5 * time.Second,
				Objective: func(work time.Duration) time.Duration { return 20 * work },
				Steps:     []Step{{Count: 1, Processor: 14000, Memory: cse.memory, Label: cse.label, ExpectedRunTime: 100 * time.Millisecond}},
			}))
			for _, act := range hrn.acts {
				if rep, ok := act.(Reply); ok {
					chk.True(rep.Answer.RetryAfter >= time.Second)
				}
			}
			chk.Equal(hrn.takeTexts(), cse.want)
		})
	}
}
