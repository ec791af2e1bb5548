package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against an instance that is cut off from most others and takes shards over again and again from a leader that it can't hear, and against one that
// contests nothing though the others have ended, or though it hears who has won.
func TestRefusedTakeoverInTheMinority(t *testing.T) {
	const others = 5
	cases := map[string]struct {
		// silent others fall silent, ended others end.
		silent, ended int
		// after happens once the takeover was refused.
		after func(fix *fixture)
		// again is set if shard, a.0 if it is empty, is taken over again within a second.
		shard shard.Name
		again bool
	}{
		"it has lost more than it hears": {silent: 4},
		"it hears nobody":                {silent: 5},
		"it hears more than it has lost": {silent: 2, again: true},
		"most others have ended":         {silent: 1, ended: 3, again: true},
		"all others have ended":          {ended: 5, again: true},
		"the leader that has won is heard, and another shard has none": {silent: 4, shard: "a.1", again: true, after: func(fix *fixture) {
			fix.heartbeat("other-4/1", "a", 0.4, false, "a.0")
			fix.elc.HandleLeadershipEnd(fix.now, "a.1", false)
		}},
		"another shard has none": {silent: 4, shard: "a.1", after: func(fix *fixture) { fix.elc.HandleLeadershipEnd(fix.now, "a.1", false) }},
		"the others are heard again": {silent: 4, after: func(fix *fixture) {
			fix.heartbeat("other-0/1", "b", 0.4, false)
			fix.heartbeat("other-1/1", "b", 0.4, false)
		}, again: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.8)
			fix.elc.SetShards([]Shard{{Name: "a.0", Domain: "a"}, {Name: "a.1", Domain: "a"}})
			for num := range others {
				fix.heartbeat(fmt.Sprintf("other-%d/1", num), "b", 0.4, false)
			}
			for num := range cse.silent + cse.ended {
				fix.elc.HandleInstanceLost(fix.now, shard.InstanceID(fmt.Sprintf("other-%d/1", num)), num < cse.silent)
			}
			chk.True(fix.takeovers(5 * time.Second)["a.0"])
			fix.elc.HandleLeadershipEnd(fix.now, "a.0", true)
			if cse.after != nil {
				cse.after(fix)
			}
			if cse.shard == "" {
				cse.shard = "a.0"
			}
			chk.Equal(fix.takeovers(time.Second)[cse.shard], cse.again)
			chk.True(cse.again || fix.takeovers(DefaultConfig().MinorityPause)[cse.shard]) // Not for good.
		})
	}
}
