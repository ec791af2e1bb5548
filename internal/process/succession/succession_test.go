package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

func servers(domain string, num int) []shard.ServerEntry {
	var ents []shard.ServerEntry
	for idx := range num {
		ents = append(ents, shard.ServerEntry{ID: shard.ServerID(fmt.Sprint(domain, idx)), FailureDomain: domain})
	}
	return ents
}

func TestStartedInstancesAdoptTheDivision(t *testing.T) {
	// A failure domain has grown from 17 servers in two shards to 24. An instance that starts anew would cut
	// three shards; it and the old ones then took servers from each other every few seconds, and callers
	// were refused. It follows the division that the others have acted on.
	chk := is.New(t)
	old := Divisions{}
	old.Divide(servers("a", 17))
	old.Confirm()
	chk.Equal(old["a"].Count, 2)
	old.Divide(servers("a", 24))
	chk.Equal(old["a"].Count, 2)
	fresh := Divisions{}
	fresh.Divide(servers("a", 24))
	chk.Equal(fresh["a"].Count, 3)
	chk.True(fresh.Merge(old))
	chk.True(!old.Merge(fresh))
	chk.Equal(len(fresh.Divide(servers("a", 24))), 2)
}

func TestDivisionsAgree(t *testing.T) {
	// Two sides of a cut have changed the division. Once they hear each other again both have the same, whichever
	// side speaks first.
	cases := map[string][2]shard.Division{
		"later stamp":          {{Count: 2, Stamp: 3}, {Count: 5, Stamp: 4}},
		"same stamp":           {{Count: 2, Stamp: 3}, {Count: 5, Stamp: 3}},
		"one has only guessed": {{Count: 7}, {Count: 5, Stamp: 1}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			one, two := Divisions{"a": cse[0]}, Divisions{"a": cse[1]}
			one.Merge(two)
			two.Merge(one)
			chk.Equal(one["a"], two["a"])
			chk.Equal(one["a"].Count, 5)
		})
	}
}

func TestServersStayInTheirShards(t *testing.T) {
	// A tenth of the servers comes and goes; the others stay where they are.
	chk := is.New(t)
	dvs := Divisions{}
	was := dvs.Divide(servers("a", 180))
	dvs.Confirm()
	now := dvs.Divide(servers("a", 200))
	for shd, ents := range was {
		for _, ent := range ents {
			found := false
			for _, oth := range now[shd] {
				found = found || oth.ID == ent.ID
			}
			chk.True(found)
		}
	}
}

// board is a Council with others that it has heard.
type board struct {
	elc *Elector
	now time.Time
}

func newBoard(processor float64) *board {
	brd := &board{now: time.Unix(1000, 0)}
	brd.elc = New(DefaultConfig(), Instance{ID: "self/1", Domain: "a", Cores: processor}, brd.now)
	brd.elc.SetShards([]Shard{{Name: "a.0", Domain: "a"}, {Name: "b.0", Domain: "b"}})
	brd.elc.SetReady(brd.now)
	return brd
}

func (brd *board) hear(id, domain string, processor float64, leaving bool, leads ...shard.Name) {
	ins := Instance{
		ID: shard.InstanceID(id), Domain: domain, Cores: processor, Ready: true, Leaving: leaving,
		Leads: map[shard.Name]int64{},
	}
	for _, name := range leads {
		ins.Leads[name] = 7
	}
	brd.elc.HandleHeartbeat(ins)
}

// taken returns what the instance takes over within a time.
func (brd *board) taken(within time.Duration) map[shard.Name]bool {
	tkn := map[shard.Name]bool{}
	for end := brd.now.Add(within); brd.now.Before(end); brd.now = brd.now.Add(10 * time.Millisecond) {
		take := brd.elc.Decide(brd.now)
		for _, shd := range take {
			tkn[shd.Name] = true
			brd.elc.HandleTakeover(brd.now, shd.Name, 9)
		}
	}
	return tkn
}

func TestWhoTakesOver(t *testing.T) {
	cases := map[string]struct {
		// story says who is heard.
		story func(brd *board)
		want  []shard.Name
	}{
		"alone from the start, all shards": {
			story: func(*board) {},
			want:  []shard.Name{"a.0", "b.0"},
		},
		"a leader is left alone": {
			story: func(brd *board) {
				brd.hear("x/1", "a", 0.4, false, "a.0")
				brd.hear("y/1", "b", 0.4, false, "b.0")
			},
		},
		"a shard of another domain is left to its own instances": {
			story: func(brd *board) { brd.hear("x/1", "b", 0.4, false) },
			want:  []shard.Name{"a.0"},
		},
		"a leader that stops is followed at once": {
			story: func(brd *board) {
				brd.hear("x/1", "a", 0.4, true, "a.0")
				brd.hear("y/1", "b", 0.4, false, "b.0")
			},
			want: []shard.Name{"a.0"},
		},
		"a leader from another domain makes way": {
			story: func(brd *board) { brd.hear("y/1", "b", 0.4, false, "a.0", "b.0") },
			want:  []shard.Name{"a.0"},
		},
		"a weak leader makes way for a strong instance": {
			story: func(brd *board) {
				brd.hear("x/1", "a", 0.1, false, "a.0")
				brd.hear("y/1", "b", 0.4, false, "b.0")
			},
			want: []shard.Name{"a.0"},
		},
		"a leader of two makes way for an equal that leads none": {
			story: func(brd *board) { brd.hear("x/1", "a", 0.4, false, "a.0", "a.1", "b.0") },
			want:  []shard.Name{"a.0"},
		},
		"all others are lost, so this one is more likely cut off": {
			story: func(brd *board) {
				brd.hear("x/1", "a", 0.4, false, "a.0")
				brd.elc.HandleInstanceLost(brd.now, "x/1", true)
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			brd := newBoard(0.4)
			cse.story(brd)
			got := brd.taken(1200 * time.Millisecond)
			chk.Equal(len(got), len(cse.want))
			for _, nam := range cse.want {
				chk.True(got[nam])
			}
		})
	}
}

func TestFencedLeaderBacksOff(t *testing.T) {
	// Two instances that don't hear each other both believe that they are to lead. Each time one meets the other's
	// token it waits twice as long, so that the shard comes to rest.
	chk := is.New(t)
	brd := newBoard(0.4)
	tries := 0
	for end := brd.now.Add(10 * time.Second); brd.now.Before(end); brd.now = brd.now.Add(10 * time.Millisecond) {
		take := brd.elc.Decide(brd.now)
		for _, shd := range take {
			if shd.Name == "a.0" {
				tries++
			}
			brd.elc.HandleTakeover(brd.now, shd.Name, 9)
			brd.elc.HandleLeadershipEnd(brd.now, shd.Name, true)
		}
	}
	chk.True(tries >= 4 && tries <= 9)
}

func TestDutyRanksAreDistinct(t *testing.T) {
	// All instances that hear each other see the same order, so that one does a duty at a time; duties are spread.
	chk := is.New(t)
	ids := []shard.InstanceID{"a/1", "b/2", "c/3", "d/4", "e/5"}
	firsts := map[shard.InstanceID]bool{}
	for num := range 20 {
		duty := fmt.Sprint("peer/", num)
		ranks := map[int]bool{}
		for _, id := range ids {
			elc := New(DefaultConfig(), Instance{ID: id}, time.Unix(0, 0))
			for _, oth := range ids {
				if oth != id {
					elc.HandleHeartbeat(Instance{ID: oth})
				}
			}
			rnk := elc.DutyRank(duty)
			ranks[rnk] = true
			if rnk == 0 {
				firsts[id] = true
			}
		}
		chk.Equal(len(ranks), len(ids))
	}
	chk.True(len(firsts) > 2)
}

func TestShardsAreTakenOneAtATime(t *testing.T) {
	// All shards of a failure domain are without a leader. Two instances, equally strong, each take one: the one that
	// is first leaves the second shard until the other has heard of it.
	chk := is.New(t)
	brd := newBoard(0.8)
	brd.elc.SetShards([]Shard{{Name: "a.0", Domain: "a"}, {Name: "a.1", Domain: "a"}})
	brd.hear("x/1", "a", 0.8, false)
	brd.now = brd.now.Add(time.Second)
	brd.elc.Decide(brd.now)
	brd.now = brd.now.Add(50 * time.Millisecond)
	take := brd.elc.Decide(brd.now)
	chk.True(len(take) <= 1)
	for _, shd := range take {
		brd.elc.HandleTakeover(brd.now, shd.Name, 9)
	}
	chk.Equal(len(brd.taken(20*time.Millisecond)), 0)
}

func TestDivisionGrowsWithTheList(t *testing.T) {
	// The first instances acted when few servers had registered: one shard. When all 17 are there it is cut in two,
	// or one instance would lead more than it can.
	chk := is.New(t)
	dvs := Divisions{}
	dvs.Divide(servers("a", 4))
	dvs.Confirm()
	dvs.Divide(servers("a", 17))
	chk.Equal(dvs["a"], shard.Division{Count: 2, Stamp: 2})
}

func TestPausedInstanceIgnoresMissedHeartbeats(t *testing.T) {
	// A weak machine that has just started is short of processor and misses the leader of its shard, which is fine. It
	// leaves the shard alone until it has kept up for a while; a shard that never had a leader it takes at once.
	cases := map[string]struct {
		led, heldUp bool
		want        bool
	}{
		"its leader is missed, kept up":  {led: true, want: true},
		"its leader is missed, held up":  {led: true, heldUp: true},
		"it never had a leader, held up": {heldUp: true, want: true},
		"it never had a leader, kept up": {want: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			brd := newBoard(0.2)
			if cse.led {
				brd.hear("one/2", "a", 0.8, false, "a.0")
				brd.taken(time.Second)
				brd.elc.HandleInstanceLost(brd.now, "one/2", true)
			}
			brd.hear("two/3", "b", 0.8, false, "b.0")
			if cse.heldUp {
				brd.elc.HandlePause(brd.now)
			}
			chk.Equal(brd.taken(400 * time.Millisecond)["a.0"], cse.want)
		})
	}
}

func TestCandidatesTakeOverInOrder(t *testing.T) {
	// The newest instance of the failure domain does not take a shard that has lost its leader: it is held up. The next
	// one does after a while.
	chk := is.New(t)
	brd := newBoard(0.2)
	brd.hear("strong/2", "a", 0.8, false)
	chk.True(!brd.taken(200 * time.Millisecond)["a.0"])
	chk.True(brd.taken(400 * time.Millisecond)["a.0"])
}

func TestOverloadedInstanceIgnoresMissedHeartbeats(t *testing.T) {
	// A weak instance starts, and its callers' requests leave it too little processor to read what the others send. It misses
	// most of its failure domain within half a second ("instance lost" "not heard" 13 times), and took all shards over, one
	// each 30 ms. It waits until it has read on; a rack's loss of power, and that of one leader, are followed at once.
	cases := map[string]struct {
		others, silent int
		took           bool
	}{
		"most of the domain":              {others: 14, silent: 13},
		"a rack":                          {others: 14, silent: 6, took: true},
		"three in five of the domain":     {others: 14, silent: 9, took: true},
		"the leader alone":                {others: 14, silent: 1, took: true},
		"the one other of a small domain": {others: 1, silent: 1, took: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			brd := newBoard(0.2)
			brd.hear("far/1", "b", 0.8, false, "b.0")
			for num := range cse.others {
				// Each has a shard, the first one that which is missed.
				brd.hear(fmt.Sprint("near-", num, "/1"), "a", 0.2, false, shard.Name(fmt.Sprint("a.", num)))
			}
			brd.taken(time.Second)
			for num := range cse.silent {
				brd.now = brd.now.Add(30 * time.Millisecond)
				brd.elc.HandleInstanceLost(brd.now, shard.InstanceID(fmt.Sprint("near-", num, "/1")), true)
			}
			chk.Equal(len(brd.taken(1400*time.Millisecond)) > 0, cse.took)
			chk.True(len(brd.taken(time.Second)) > 0 || cse.took) // In the end it takes what nobody leads.
		})
	}
}
