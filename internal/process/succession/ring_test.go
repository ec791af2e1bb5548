package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// newRing returns the electors of all instances of a failure domain, which hear each other and one instance of another domain.
func newRing(num int) map[shard.InstanceID]*Elector {
	elcs := map[shard.InstanceID]*Elector{}
	for idx := range num {
		id := shard.InstanceID(fmt.Sprint("near-", idx, "/1"))
		elcs[id] = New(DefaultConfig(), Instance{ID: id, Domain: "a"}, time.Unix(1000, 0))
		for oth := range num {
			if oth != idx {
				elcs[id].HandleHeartbeat(Instance{ID: shard.InstanceID(fmt.Sprint("near-", oth, "/1")), Domain: "a"})
			}
		}
		elcs[id].HandleHeartbeat(Instance{ID: "far/1", Domain: "b"})
	}
	return elcs
}

// Guards against an instance that no other watches, whose loss is noticed late, and one that watches all others, which has no time for
// its callers.
func TestEachInstanceIsWatched(t *testing.T) {
	for _, num := range []int{1, 2, 3, 4, 5, 6, 30} {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			chk := is.New(t)
			elcs := newRing(num)
			for id, elc := range elcs {
				near := elc.Neighbours()
				chk.Equal(len(near), min(2*watchersPerSide, num-1))
				for oth := range near {
					chk.True(elcs[oth].Neighbours()[id])
				}
			}
		})
	}
}

// Guards against several instances, or none, that are first to send another one what it lacks; one that the store refuses to serve else
// gets a configuration only from instances that it hears every few seconds.
func TestNeighboursNotifyFirst(t *testing.T) {
	chk := is.New(t)
	elcs := newRing(30)
	const to = shard.InstanceID("near-7/1")
	ranks := map[int]int{}
	for id, elc := range elcs {
		if id == to {
			continue
		}
		ranks[elc.NotifyRank(to)]++
		if elc.Neighbours()[to] {
			chk.True(elc.NotifyRank(to) < 2*watchersPerSide)
		}
	}
	chk.Equal(ranks[0], 1)
}

// Guards against ticks that check all shards although nothing has changed, and against a lost leader whose shards are taken over later
// because of that.
func TestUnchangedShardsAreSkipped(t *testing.T) {
	chk := is.New(t)
	fix := newFixture(0.4)
	var shs []Shard
	leads := map[shard.Name]int64{}
	for num := range 120 {
		shs = append(shs, Shard{Name: shard.Name(fmt.Sprint("a.", num)), Domain: "a"})
		leads[shs[num].Name] = 7
	}
	fix.elc.SetShards(shs)
	fix.elc.HandleHeartbeat(Instance{ID: "x/1", Domain: "a", Cores: 4000, Ready: true, Leads: leads})
	fix.takeovers(time.Second)
	fix.elc.Decide(fix.now)
	chk.Equal(len(fix.elc.shardsToCheck(fix.now.Add(20*time.Millisecond))), 0)
	chk.Equal(len(fix.elc.shardsToCheck(fix.now.Add(300*time.Millisecond))), 120)
	fix.elc.HandleHeartbeat(Instance{ID: "y/1", Domain: "b", Cores: 0.4, Ready: true})
	fix.elc.HandleInstanceLost(fix.now, "x/1", false)
	chk.True(len(fix.takeovers(100*time.Millisecond)) >= 2)
}

// Guards against an index of claims that names a leader whose claim has ended, or one with an older token than the newest.
func TestLeaderIsTheNewestClaim(t *testing.T) {
	chk := is.New(t)
	fix := newFixture(0.4)
	shd := Shard{Name: "a.0", Domain: "a"}
	leader := func() shard.InstanceID { led, _ := fix.elc.Leader(shd); return led }
	claim := func(id shard.InstanceID, leads map[shard.Name]int64) {
		fix.elc.HandleHeartbeat(Instance{ID: id, Domain: "a", Ready: true, Leads: leads})
	}
	claim("x/1", map[shard.Name]int64{"a.0": 5, "a.1": 6})
	chk.Equal(leader(), shard.InstanceID("x/1"))
	fix.elc.HandleTakeover(fix.now, "a.0", 9)
	chk.Equal(leader(), shard.InstanceID("self/1"))
	claim("y/1", map[shard.Name]int64{"a.0": 12})
	chk.Equal(fix.elc.Superseded(), []shard.Name{"a.0"})
	fix.elc.HandleLeadershipEnd(fix.now, "a.0", false)
	claim("y/1", nil)
	chk.Equal(leader(), shard.InstanceID("x/1"))
	claim("x/1", map[shard.Name]int64{"a.1": 6})
	chk.Equal(leader(), shard.InstanceID(""))
	claim("x/1", map[shard.Name]int64{"a.0": 20})
	fix.elc.HandleInstanceLost(fix.now, "x/1", true)
	fix.elc.HandleInstanceLost(fix.now, "x/1", true)
	chk.Equal(leader(), shard.InstanceID(""))
	chk.Equal(len(fix.elc.claims), 0)
}
