package submission

import (
	"testing"

	"chestnutstack/internal/request/shard"
)

// A job of which a task is known to be hopeless waits on, though nothing of it has begun; or one that has begun is given up.
func TestHopelessJob(t *testing.T) {
	hopeless := func(bch *bench, task string) {
		bch.did(bch.dsk.Report(bch.now, self, shard.Report{Task: task, Token: 1, Outcome: shard.NotRun, Hopeless: true}))
	}
	cases := map[string]struct {
		story func(bch *bench)
		want  []string
	}{
		"nothing has begun": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.submit(1, "j", 2)
				hopeless(bch, "j.0.0.0")
				bch.report(self, 1, "j.0.0.1", shard.NotRun)
			},
			want: []string{"place j.0.0.0 at self/1", "place j.0.0.1 at self/1", "place j.0.0.1 at self/1 recall", "reply 1 not-run"},
		},
		"the other task has begun meanwhile": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.submit(1, "j", 2)
				hopeless(bch, "j.0.0.0")
				bch.report(self, 1, "j.0.0.1", shard.Begun)
			},
			want: []string{"place j.0.0.0 at self/1", "place j.0.0.1 at self/1", "place j.0.0.1 at self/1 recall", "place j.0.0.0 at self/1"},
		},
		"the other task has begun before": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 1)
				bch.submit(1, "j", 2)
				bch.report(self, 1, "j.0.0.0", shard.Begun)
				hopeless(bch, "j.0.0.1")
			},
			want: []string{"place j.0.0.0 at self/1 bounce", "place j.0.0.1 at self/1", "place j.0.0.1 at self/1"},
		},
		"there is room elsewhere": {
			story: func(bch *bench) {
				bch.lead("a.0", true, self, 1, 0)
				bch.submit(1, "j", 1)
				bch.lead("b.0", true, other, 2, 1)
				bch.take()
				hopeless(bch, "j.0.0.0")
			},
			want: []string{"place j.0.0.0 at other/2 bounce"},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { checkStory(t, cse.story, cse.want) })
	}
}
