package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against the last of many instances that stop side by side leading the shards of all, and against a domain that nobody leads meanwhile.
func TestShardsOfStoppingLeaders(t *testing.T) {
	cases := map[string]struct {
		stopping, leaving bool
		// others is how many other instances stop, each of which leads a shard; own is how many shards this one leads.
		others, own int
		want        bool
	}{
		"one stops":                                 {stopping: true, others: 1, own: 1, want: true},
		"two of three stop":                         {stopping: true, others: 2, own: 1, want: true},
		"many stop, this one leads none":            {stopping: true, others: 8, want: true},
		"many stop, this one has led one of theirs": {stopping: true, others: 8, own: 2},
		"they are about to end":                     {stopping: true, leaving: true, others: 8, own: 5, want: true},
		"none stops":                                {others: 8, own: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := &fixture{now: time.Unix(1000, 0)}
			fix.elc = New(DefaultConfig(), Instance{ID: "self/1", Domain: "a", Cores: 0.4}, fix.now)
			var shds []Shard
			for num := range cse.others + cse.own {
				shds = append(shds, shardOf("a", num))
			}
			fix.elc.SetShards(shds)
			fix.elc.SetReady(fix.now)
			for num, shd := range shds {
				if num >= cse.others {
					fix.elc.HandleTakeover(fix.now, shd.Name, 5)
					continue
				}
				fix.elc.HandleHeard(fix.now)
				fix.elc.HandleHeartbeat(Instance{
					ID: shard.InstanceID("x" + string(shd.Name) + "/1"), Domain: "a", Cores: 0.4, Ready: true, Stopping: cse.stopping, Leaving: cse.leaving,
					Leads: map[shard.Name]int64{shd.Name: 7},
				})
			}
			fix.now = fix.now.Add(2 * time.Second)
			chk.Equal(len(fix.elc.Decide(fix.now.Add(-time.Second)))+len(fix.elc.Decide(fix.now)) > 0, cse.want)
		})
	}
}

// Guards against shards that instances of another failure domain lead while their own ones, which all stop, still can.
func TestShardStaysInItsDomainWhileAllStop(t *testing.T) {
	for name, leaving := range map[string]bool{"stopping": false, "about to end": true} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.4)
			for num := range 3 {
				ins := Instance{ID: shard.InstanceID(fmt.Sprint("y", num, "/1")), Domain: "b", Cores: 0.4, Ready: true, Stopping: true, Leaving: leaving}
				if num == 0 {
					ins.Leads = map[shard.Name]int64{"b.0": 7}
				}
				fix.elc.HandleHeard(fix.now)
				fix.elc.HandleHeartbeat(ins)
			}
			chk.Equal(fix.takeovers(2 * time.Second)["b.0"], leaving)
		})
	}
}

// Guards against an instance that takes a shard over while it stops, and against one that waits for it to.
func TestStoppingInstanceTakesNothingOver(t *testing.T) {
	chk := is.New(t)
	fix := newFixture(0.4)
	fix.elc.SetStopping()
	chk.Equal(len(fix.takeovers(2*time.Second)), 0)
	fix = newFixture(0.4)
	fix.elc.HandleHeard(fix.now)
	fix.elc.HandleHeartbeat(Instance{ID: "x/1", Domain: "a", Cores: 4, Ready: true, Stopping: true})
	fix.heartbeat("y/1", "a", 0.4, true, "a.0")
	chk.True(fix.takeovers(time.Second)["a.0"])
}
