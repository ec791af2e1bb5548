package succession

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestExploreNewDivisions guards against tasks that run twice, as TestExploreOrders does: here nodes divide a failure domain into more shards, and
// learn of that in different order, while leaders are lost or succeeded.
func TestExploreNewDivisions(t *testing.T) {
	explore(t, []uint64{508, 536, 664, 764, 951, 1333, 1425, 1583, 1649}, simulateNewDivisions)
}

// simulateNewDivisions returns the simulation of a seed after it has run. The failure domain a has five servers, in one shard at first.
func simulateNewDivisions(seed uint64) *simRun {
	rnd := rand.New(rand.NewPCG(seed, 19))
	sim := newSimulation(seed, []string{"a", "a", "b"}, []string{"a", "a", "a", "a", "a", "b"}[:5+rnd.IntN(2)])
	sim.runUntil(sim.began.Add(warmUp))
	for range 6 + rnd.IntN(6) {
		sim.after(sim.within(activeTime), func() { sim.submitTo("i3b", 1+sim.rnd.IntN(4), 100*time.Millisecond+sim.within(1500*time.Millisecond)) })
	}
	for range 2 + rnd.IntN(3) {
		sim.after(sim.within(activeTime), sim.loseLeaderAfterDivision)
	}
	for range rnd.IntN(4) {
		sim.after(sim.within(activeTime), sim.injectFault)
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// loseLeaderAfterDivision has a node divide the failure domain a into more shards, mostly, and has the leader of a.0 end, or another node take that
// shard over, soon before or after that; jobs come around it, and some servers are out of a node's reach.
func (sim *simRun) loseLeaderAfterDivision() {
	fst, snd := sim.nodes["i1a"], sim.nodes["i2a"]
	if sim.leader("a.0") == snd.name {
		fst, snd = snd, fst
	}
	if sim.rnd.IntN(4) > 0 {
		nod := sim.anyNode()
		sim.after(sim.within(150*time.Millisecond), func() { nod.divide("a", 1+sim.rnd.IntN(2)) })
	}
	for range 4 {
		sim.after(sim.within(200*time.Millisecond), func() { sim.submitTo("i3b", 1+sim.rnd.IntN(4), 300*time.Millisecond+sim.within(time.Second)) })
	}
	for _, srv := range sim.servers {
		if sim.rnd.IntN(3) == 0 {
			sim.cutBothWays(snd.name, string(srv.id), sim.within(1500*time.Millisecond))
		}
	}
	if sim.rnd.IntN(4) == 0 {
		sim.expireEntries(sim.within(time.Second))
	}
	sim.after(50*time.Millisecond+sim.within(150*time.Millisecond), func() {
		if sim.rnd.IntN(2) == 0 {
			sim.endProcess(fst, 200*time.Millisecond+sim.within(time.Second))
			return
		}
		sim.secondLeader()
	})
}

// divide divides a failure domain into more shards than the node knows.
func (nod *node) divide(domain string, more int) {
	nod.deliver("division", func() {
		nod.handle(func(now time.Time) {
			old := nod.divisions[domain]
			nod.mergeDivisions(now, Divisions{domain: {Count: old.Count + more, Stamp: old.Stamp + 1}})
		})
	})
}

// mergeDivisions takes in divisions that another node has told.
func (nod *node) mergeDivisions(now time.Time, dvs Divisions) {
	if !nod.divisions.Merge(dvs) {
		return
	}
	nod.sim.note("%s has divisions %v", nod.id, nod.divisions)
	nod.elector.SetShards(SortedShards(nod.shards()))
	nod.leadersChanged = true
	nod.updateServers(now)
}

// shards returns the shards known to the node with their listed servers.
func (nod *node) shards() map[Shard][]shard.ServerEntry {
	div := map[Shard][]shard.ServerEntry{}
	for _, id := range sortedKeys(nod.missing) {
		nod.keepShards(div, nod.missing[id])
	}
	for _, id := range sortedKeys(nod.entries) {
		ent := nod.entries[id]
		nod.keepShards(div, ent)
		shd := nod.shardOf(ent)
		div[shd] = append(div[shd], ent)
	}
	return div
}

// keepShards adds the shards that exist as a server does.
func (nod *node) keepShards(div map[Shard][]shard.ServerEntry, ent shard.ServerEntry) {
	if nod.sim.shardNumbers == nil {
		nod.divisions.KeepEmptyShards(div, ent.FailureDomain)
		return
	}
	shd := nod.shardOf(ent)
	div[shd] = append([]shard.ServerEntry(nil), div[shd]...)
}

// shardOf returns the shard of a server: by the simulation's numbers, if it has any, else by the divisions that the node knows.
func (nod *node) shardOf(ent shard.ServerEntry) Shard {
	if nums := nod.sim.shardNumbers; nums != nil {
		return shardOf(ent.FailureDomain, nums[ent.ID])
	}
	return nod.divisions.ShardOf(ent)
}

// shardsOfDomain returns by how many shards of a failure domain a node leads, as last heard; 0 if that is not known.
func (nod *node) shardsOfDomain(leader shard.InstanceID, domain string) int {
	if leader == nod.id {
		return nod.divisions.ConfirmedCount(domain)
	}
	if ins := nod.elector.Peers()[leader]; ins != nil {
		return ins.Divisions.ConfirmedCount(domain)
	}
	return 0
}

// firstDivisions returns the divisions of all failure domains into one shard.
func (sim *simRun) firstDivisions() Divisions {
	dvs := Divisions{}
	for _, srv := range sim.servers {
		dvs[srv.domain] = shard.Division{Count: 1, Stamp: 1}
	}
	return dvs
}

// Guards against plays in which all servers stay in the shard a.0.
func TestExploredServersAreDivided(t *testing.T) {
	for seed := range uint64(20) {
		sim := simulateNewDivisions(seed)
		for _, nod := range sim.nodes {
			if shds := nod.shards(); len(shds) > 2 && len(slices.Concat(slices.Collect(maps.Values(shds))...)) > len(shds[shardOf("a", 0)])+1 {
				return
			}
		}
	}
	t.Error("no server has moved")
}
