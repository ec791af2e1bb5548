package succession

import (
	"maps"
	"time"

	"chestnutstack/internal/request/shard"
)

// The nodes' copies of the list of backend servers.

// shards returns the shards known to the node, one for each failure domain of its copy of the list, with their listed servers.
func (nod *node) shards() map[Shard][]shard.ServerEntry {
	div := map[Shard][]shard.ServerEntry{}
	for _, id := range sortedKeys(nod.missing) {
		shd := shardOf(nod.missing[id].FailureDomain, 0)
		div[shd] = nil
	}
	for _, id := range sortedKeys(nod.entries) {
		shd := shardOf(nod.entries[id].FailureDomain, 0)
		div[shd] = append(div[shd], nod.entries[id])
	}
	return div
}

// readList reads the list of servers from the store, if the links to and from it are up.
func (nod *node) readList() {
	sim := nod.sim
	if !sim.up(nod.name, storeName) || !sim.up(storeName, nod.name) {
		return
	}
	began := sim.now
	listed, offset := maps.Clone(sim.listed), sim.offset
	sim.after(sim.delay(), func() {
		nod.deliver("list", func() { nod.handle(func(now time.Time) { nod.applyFullListing(now, began, listed, offset) }) })
	})
}

// applyFullListing takes in the listed servers and the offset of a read that was sent at began; older reads are dropped.
func (nod *node) applyFullListing(now, began time.Time, listed map[shard.ServerID]bool, offset int64) {
	if began.Before(nod.listReadAt) {
		return
	}
	if nod.listReadAt.IsZero() {
		nod.coverage.HandleFullRead(now, offset)
	}
	if now.Sub(nod.sim.began) < warmUp {
		nod.coverage.HandlePeerComplete(now, offset) // The system has run for long when the simulation begins.
	}
	nod.listReadAt, nod.listOffset = began, offset
	for _, srv := range nod.sim.servers {
		if ent, was := nod.entries[srv.id]; was && !listed[srv.id] {
			delete(nod.entries, srv.id)
			ent.Leaving = true
			nod.missing[srv.id] = ent
		} else if listed[srv.id] {
			nod.entries[srv.id] = srv.entry()
			delete(nod.missing, srv.id)
		}
	}
	nod.elector.SetShards(SortedShards(nod.shards()))
	nod.leadersChanged = true
	nod.updateServers(now)
}

// updateServers gives the listing to the leaders on this node.
func (nod *node) updateServers(now time.Time) {
	for shd, ents := range nod.shards() {
		ldr := nod.leaders[shd.Name]
		if ldr == nil {
			continue
		}
		lst := shard.Listing{Listed: ents, All: nod.entries}
		if nod.coverage.Complete(now) {
			lst.ReadAt = nod.listReadAt
		}
		for _, id := range sortedKeys(nod.missing) {
			if shardOf(nod.missing[id].FailureDomain, 0) == shd {
				lst.Missing = append(lst.Missing, nod.missing[id])
			}
		}
		nod.runLeaderActions(shd.Name, ldr.SetServers(now, lst))
	}
}
