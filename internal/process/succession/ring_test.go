package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// ringOf returns the councils of all instances of a failure domain that hear each other and one of another domain.
func ringOf(num int) map[shard.InstanceID]*Elector {
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

// An instance that nobody watches is missed late, and one that watches all has no time for its callers.
func TestEachInstanceIsWatched(t *testing.T) {
	for _, num := range []int{1, 2, 3, 4, 5, 6, 30} {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			chk := is.New(t)
			elcs := ringOf(num)
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

// An instance that the store turns away waits for a configuration from one that hears it every few seconds only.
func TestNeighboursNotifyFirst(t *testing.T) {
	chk := is.New(t)
	elcs := ringOf(30)
	const to = shard.InstanceID("near-7/1")
	turns := map[int]int{}
	for id, elc := range elcs {
		if id == to {
			continue
		}
		turns[elc.NotifyRank(to)]++
		if elc.Neighbours()[to] {
			chk.True(elc.NotifyRank(to) < 2*watchersPerSide)
		}
	}
	chk.Equal(turns[0], 1)
}

// All shards are gone through on each tick, though nothing has changed; and a leader that is lost is followed as soon all the same.
func TestUnchangedShardsAreSkipped(t *testing.T) {
	chk := is.New(t)
	brd := newBoard(0.4)
	var shs []Shard
	leads := map[shard.Name]int64{}
	for num := range 120 {
		shs = append(shs, Shard{Name: shard.Name(fmt.Sprint("a.", num)), Domain: "a"})
		leads[shs[num].Name] = 7
	}
	brd.elc.SetShards(shs)
	brd.elc.HandleHeartbeat(Instance{ID: "x/1", Domain: "a", Cores: 4000, Ready: true, Leads: leads})
	brd.taken(time.Second)
	brd.elc.Decide(brd.now)
	chk.Equal(len(brd.elc.shardsToCheck(brd.now.Add(20*time.Millisecond))), 0)
	chk.Equal(len(brd.elc.shardsToCheck(brd.now.Add(300*time.Millisecond))), 120)
	brd.elc.HandleHeartbeat(Instance{ID: "y/1", Domain: "b", Cores: 0.4, Ready: true})
	brd.elc.HandleInstanceLost(brd.now, "x/1", false)
	chk.True(len(brd.taken(100*time.Millisecond)) >= 2)
}

// The index of claims names a leader whose claim has gone, or an older one than the newest.
func TestLeaderIsTheNewestClaim(t *testing.T) {
	chk := is.New(t)
	brd := newBoard(0.4)
	shd := Shard{Name: "a.0", Domain: "a"}
	leader := func() shard.InstanceID { led, _ := brd.elc.Leader(shd); return led }
	claim := func(id shard.InstanceID, leads map[shard.Name]int64) {
		brd.elc.HandleHeartbeat(Instance{ID: id, Domain: "a", Ready: true, Leads: leads})
	}
	claim("x/1", map[shard.Name]int64{"a.0": 5, "a.1": 6})
	chk.Equal(leader(), shard.InstanceID("x/1"))
	brd.elc.HandleTakeover(brd.now, "a.0", 9)
	chk.Equal(leader(), shard.InstanceID("self/1"))
	claim("y/1", map[shard.Name]int64{"a.0": 12})
	chk.Equal(brd.elc.Superseded(), []shard.Name{"a.0"})
	brd.elc.HandleLeadershipEnd(brd.now, "a.0", false)
	claim("y/1", nil)
	chk.Equal(leader(), shard.InstanceID("x/1"))
	claim("x/1", map[shard.Name]int64{"a.1": 6})
	chk.Equal(leader(), shard.InstanceID(""))
	claim("x/1", map[shard.Name]int64{"a.0": 20})
	brd.elc.HandleInstanceLost(brd.now, "x/1", true)
	brd.elc.HandleInstanceLost(brd.now, "x/1", true)
	chk.Equal(leader(), shard.InstanceID(""))
	chk.Equal(len(brd.elc.claims), 0)
}
