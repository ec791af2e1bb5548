package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// servers returns entries of a number of servers of a failure domain.
func servers(domain string, num int) []shard.ServerEntry {
	var ents []shard.ServerEntry
	for idx := range num {
		ents = append(ents, shard.ServerEntry{ID: shard.ServerID(fmt.Sprint(domain, idx)), FailureDomain: domain})
	}
	return ents
}

func TestStartedInstancesAdoptTheDivision(t *testing.T) {
	// Guards against instances that divide a domain differently and take servers from each other every few seconds, so that calls are
	// refused. The domain has grown from 17 servers in two shards to 24, which an instance that starts then would divide into three; it
	// has to adopt the division that the others have acted on.
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
	// Guards against divisions that stay different after both sides of a partition have changed them, whichever side is heard first.
	cases := map[string][2]shard.Division{
		"later stamp":        {{Count: 2, Stamp: 3}, {Count: 5, Stamp: 4}},
		"same stamp":         {{Count: 2, Stamp: 3}, {Count: 5, Stamp: 3}},
		"one is provisional": {{Count: 7}, {Count: 5, Stamp: 1}},
		// A leader that told an owner its division would lead more servers by a later one into fewer shards.
		"later stamp, fewer shards": {{Count: 5, Stamp: 3}, {Count: 2, Stamp: 4}},
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
	// Guards against servers that change their shards when others are added: from 180 servers to 200, the old ones stay.
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

// fixture is the Elector of instance self/1 and the present time of the test.
type fixture struct {
	elc *Elector
	now time.Time
}

// newFixture returns an instance of domain a that has become ready and knows one shard of domain a and one of b.
func newFixture(cores float64) *fixture {
	fix := &fixture{now: time.Unix(1000, 0)}
	fix.elc = New(DefaultConfig(), Instance{ID: "self/1", Domain: "a", Cores: cores}, fix.now)
	fix.elc.SetShards([]Shard{{Name: "a.0", Domain: "a"}, {Name: "b.0", Domain: "b"}})
	fix.elc.SetReady(fix.now)
	return fix
}

// heartbeat delivers a heartbeat of a ready instance that leads shards with token 7.
func (fix *fixture) heartbeat(id, domain string, cores float64, leaving bool, leads ...shard.Name) {
	ins := Instance{
		ID: shard.InstanceID(id), Domain: domain, Cores: cores, Ready: true, Leaving: leaving,
		Leads: map[shard.Name]int64{},
	}
	for _, name := range leads {
		ins.Leads[name] = 7
	}
	fix.elc.HandleHeard(fix.now)
	fix.elc.HandleHeartbeat(ins)
}

// takeovers returns the shards that the instance takes over within a time, with decisions each 10 ms.
func (fix *fixture) takeovers(within time.Duration) map[shard.Name]bool {
	tko := map[shard.Name]bool{}
	for end := fix.now.Add(within); fix.now.Before(end); fix.now = fix.now.Add(10 * time.Millisecond) {
		take := fix.elc.Decide(fix.now)
		for _, shd := range take {
			tko[shd.Name] = true
			fix.elc.HandleTakeover(fix.now, shd.Name, 9)
		}
	}
	return tko
}

func TestWhoTakesOver(t *testing.T) {
	cases := map[string]struct {
		// events are the heartbeats and losses before the decisions.
		events func(fix *fixture)
		want   []shard.Name
	}{
		"no other instance was ever heard, all shards": {
			events: func(*fixture) {},
			want:   []shard.Name{"a.0", "b.0"},
		},
		"shards with healthy leaders stay": {
			events: func(fix *fixture) {
				fix.heartbeat("x/1", "a", 0.4, false, "a.0")
				fix.heartbeat("y/1", "b", 0.4, false, "b.0")
			},
		},
		"a shard of another domain is left to its own instances": {
			events: func(fix *fixture) { fix.heartbeat("x/1", "b", 0.4, false) },
			want:   []shard.Name{"a.0"},
		},
		"the shard of a leaving leader is taken over": {
			events: func(fix *fixture) {
				fix.heartbeat("x/1", "a", 0.4, true, "a.0")
				fix.heartbeat("y/1", "b", 0.4, false, "b.0")
			},
			want: []shard.Name{"a.0"},
		},
		"a leader of another domain is replaced": {
			events: func(fix *fixture) { fix.heartbeat("y/1", "b", 0.4, false, "a.0", "b.0") },
			want:   []shard.Name{"a.0"},
		},
		"a leader with fewer cores is replaced": {
			events: func(fix *fixture) {
				fix.heartbeat("x/1", "a", 0.1, false, "a.0")
				fix.heartbeat("y/1", "b", 0.4, false, "b.0")
			},
			want: []shard.Name{"a.0"},
		},
		"a leader of three shards with equal cores is replaced": {
			events: func(fix *fixture) { fix.heartbeat("x/1", "a", 0.4, false, "a.0", "a.1", "b.0") },
			want:   []shard.Name{"a.0"},
		},
		"all others are lost, so this one is more likely partitioned": {
			events: func(fix *fixture) {
				fix.heartbeat("x/1", "a", 0.4, false, "a.0")
				fix.elc.HandleInstanceLost(fix.now, "x/1", true)
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.4)
			cse.events(fix)
			got := fix.takeovers(1200 * time.Millisecond)
			chk.Equal(len(got), len(cse.want))
			for _, nam := range cse.want {
				chk.True(got[nam])
			}
		})
	}
}

func TestFencedLeaderBacksOff(t *testing.T) {
	// Guards against a shard that changes hands without end: two instances that don't hear each other both expect to lead it, and meet
	// each other's token. The wait doubles each time.
	chk := is.New(t)
	fix := newFixture(0.4)
	tries := 0
	for end := fix.now.Add(10 * time.Second); fix.now.Before(end); fix.now = fix.now.Add(10 * time.Millisecond) {
		take := fix.elc.Decide(fix.now)
		for _, shd := range take {
			if shd.Name == "a.0" {
				tries++
			}
			fix.elc.HandleTakeover(fix.now, shd.Name, 9)
			fix.elc.HandleLeadershipEnd(fix.now, shd.Name, true)
		}
	}
	chk.True(tries >= 4 && tries <= 9)
}

func TestBackoffReachesItsMaximum(t *testing.T) {
	// Guards against an instance that keeps taking a shard over from a leader it does not hear, more often than each MaxBackoff.
	chk := is.New(t)
	fix := newFixture(0.4)
	cfg := DefaultConfig()
	for range 10 {
		fix.elc.HandleTakeover(fix.now, "a.0", 9)
		fix.elc.HandleLeadershipEnd(fix.now, "a.0", true)
	}
	lost := fix.now
	chk.True(!fix.takeovers(cfg.MaxBackoff - time.Millisecond)["a.0"])
	fix.now = lost.Add(cfg.MaxBackoff)
	chk.True(fix.takeovers(time.Second)["a.0"])
}

func TestFormerLeaderWaitsLikeOthers(t *testing.T) {
	// Guards against an instance that takes a shard over again in the moment its leadership ends: it had no leader for a while before it
	// was first taken over, and that time must not count once more. The new leader may not have been heard yet.
	chk := is.New(t)
	fix := newFixture(0.4)
	chk.True(fix.takeovers(time.Second)["a.0"])
	fix.elc.HandleLeadershipEnd(fix.now, "a.0", false)
	chk.True(!fix.takeovers(DefaultConfig().TakeoverDelay - 10*time.Millisecond)["a.0"])
	chk.True(fix.takeovers(100 * time.Millisecond)["a.0"])
}

func TestDutyRanksAreDistinct(t *testing.T) {
	// Guards against a duty done by several instances or none, and against one instance that has most duties first.
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
	// Guards against one instance that takes over all shards without a leader. Of two with equal cores the first takes one shard, and
	// leaves the second until the other instance has heard of the takeover.
	chk := is.New(t)
	fix := newFixture(0.8)
	fix.elc.SetShards([]Shard{{Name: "a.0", Domain: "a"}, {Name: "a.1", Domain: "a"}})
	fix.heartbeat("x/1", "a", 0.8, false)
	fix.now = fix.now.Add(time.Second)
	fix.elc.Decide(fix.now)
	fix.now = fix.now.Add(50 * time.Millisecond)
	take := fix.elc.Decide(fix.now)
	chk.True(len(take) <= 1)
	for _, shd := range take {
		fix.elc.HandleTakeover(fix.now, shd.Name, 9)
	}
	chk.Equal(len(fix.takeovers(20*time.Millisecond)), 0)
}

func TestDivisionGrowsWithTheList(t *testing.T) {
	// Guards against a shard with more servers than one instance can lead: the domain was divided when only 4 of its 17 servers were
	// registered.
	chk := is.New(t)
	dvs := Divisions{}
	dvs.Divide(servers("a", 4))
	dvs.Confirm()
	dvs.Divide(servers("a", 17))
	chk.Equal(dvs["a"], shard.Division{Count: 2, Stamp: 2})
}

func TestPausedInstanceIgnoresMissedHeartbeats(t *testing.T) {
	// Guards against a takeover from a healthy leader whose heartbeats a starting instance missed while short of processor time. A shard
	// that never had a leader is taken over at once even then.
	cases := map[string]struct {
		hadLeader, paused bool
		want              bool
	}{
		"its leader was lost, not paused":   {hadLeader: true, want: true},
		"its leader was lost, paused":       {hadLeader: true, paused: true},
		"it never had a leader, paused":     {paused: true, want: true},
		"it never had a leader, not paused": {want: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.2)
			if cse.hadLeader {
				fix.heartbeat("one/2", "a", 0.8, false, "a.0")
				fix.takeovers(time.Second)
				fix.elc.HandleInstanceLost(fix.now, "one/2", true)
			}
			fix.heartbeat("two/3", "b", 0.8, false, "b.0")
			if cse.paused {
				fix.elc.HandlePause(fix.now)
			}
			chk.Equal(fix.takeovers(400 * time.Millisecond)["a.0"], cse.want)
		})
	}
}

func TestCandidatesTakeOverInOrder(t *testing.T) {
	// Guards against a shard without a leader because the preferred candidate is paused: the next one takes it over after CandidateDelay.
	chk := is.New(t)
	fix := newFixture(0.2)
	fix.heartbeat("strong/2", "a", 0.8, false)
	chk.True(!fix.takeovers(200 * time.Millisecond)["a.0"])
	chk.True(fix.takeovers(400 * time.Millisecond)["a.0"])
}

func TestOverloadedInstanceIgnoresMissedHeartbeats(t *testing.T) {
	// Guards against an instance with too little processor time to read heartbeats, which misses 13 others within half a second, and takes
	// all their shards over, one each 30 ms. It waits until it reads them again; the shards of a rack without power, and of one lost
	// leader, are taken over at once.
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
			fix := newFixture(0.2)
			fix.heartbeat("far/1", "b", 0.8, false, "b.0")
			for num := range cse.others {
				// Each instance leads one shard, which has no leader once that instance is lost.
				fix.heartbeat(fmt.Sprint("near-", num, "/1"), "a", 0.2, false, shard.Name(fmt.Sprint("a.", num)))
			}
			fix.takeovers(time.Second)
			for num := range cse.silent {
				fix.now = fix.now.Add(30 * time.Millisecond)
				fix.elc.HandleInstanceLost(fix.now, shard.InstanceID(fmt.Sprint("near-", num, "/1")), true)
			}
			chk.Equal(len(fix.takeovers(1400*time.Millisecond)) > 0, cse.took)
			chk.True(len(fix.takeovers(time.Second)) > 0 || cse.took) // Later it takes the shards without a leader over in any case.
		})
	}
}
