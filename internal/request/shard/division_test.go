package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs twice as a leader goes on with a server that has no entry and belongs to another shard since a new division: the
// next leader of this shard does not ask it.
func TestUnlistedServerOfAnotherShardIsDropped(t *testing.T) {
	s1, s2 := serverEntry("s1", size), serverEntry("s2", size)
	cases := map[string]struct {
		belongs func(ent ServerEntry) bool
		kept    bool
	}{
		"it belongs to the shard":     {belongs: func(ServerEntry) bool { return true }, kept: true},
		"it belongs to another shard": {belongs: func(ent ServerEntry) bool { return ent.ID != "s2" }},
		"the division is not told":    {kept: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, s1, s2)
			lst := Listing{Listed: []ServerEntry{s1}, All: map[ServerID]ServerEntry{"s1": s1}, ReadAt: har.now, Shards: 1}
			har.record(har.ldr.SetServers(har.now, lst))
			chk.Equal(len(har.place(0, "j.0", "j.1")), 2) // The entry of a live server may expire.
			lst.Shards, lst.Belongs = 3, cse.belongs
			har.now = har.now.Add(time.Millisecond)
			har.record(har.ldr.SetServers(har.now, lst))
			chk.Equal(har.ldr.servers["s2"] != nil, cse.kept)
			chk.Equal(har.reports(Lost) == 0, cse.kept)
		})
	}
}
