package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against room that stays unused though only this owner knows of it, and against owners that start at once and all count on the same loads.
func TestFreshLoadsCountForMore(t *testing.T) {
	const all = 32
	for name, cse := range map[string]struct {
		// running is the time since the owner started, age that since the load came.
		running, age time.Duration
		least, most  float64
	}{
		"fresh, the owner has just started":  {startTime / 2, 0, all, all},
		"fresh":                              {2 * startTime, 0, 1, 1},
		"of middle age":                      {2 * startTime, freshTime / 2, all/2 - 1, all/2 + 1},
		"as old as the others' loads":        {2 * startTime, freshTime, all, all},
		"old":                                {2 * startTime, 2 * freshTime, all, all},
		"from later, as the clock went back": {2 * startTime, -freshTime, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newSharingHarness(self)
			hrn.crd.NoteTime(hrn.now.Add(cse.running))
			hrn.tell("a.0", 2)
			hrn.crd.NoteTime(hrn.now.Add(cse.running + cse.age))
			got := hrn.crd.contentionFor(hrn.crd.shards[shard.Name("a.0")], all)
			chk.True(got >= cse.least)
			chk.True(got <= cse.most)
		})
	}
}
