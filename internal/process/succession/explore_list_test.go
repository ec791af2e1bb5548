package succession

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// The nodes' copies of the list of backend servers.

// listRecord is a record of the list: the entry of a server, or that it is gone.
type listRecord struct {
	ent    shard.ServerEntry
	listed bool
}

// readList reads the list of servers from the store, if the links to and from it are up.
func (nod *node) readList() {
	sim := nod.sim
	if !sim.up(nod.name, storeName) || !sim.up(storeName, nod.name) {
		return
	}
	began, end := sim.now, len(sim.list)
	sim.after(sim.delay(), func() {
		nod.deliver("list", func() { nod.handle(func(now time.Time) { nod.applyListRead(now, began, end) }) })
	})
}

// applyListRead takes in the records that a read which was sent at began has shown: at first those that the list consists of before the offset end, then
// each record since the last read. Older reads are dropped.
func (nod *node) applyListRead(now, began time.Time, end int) {
	if began.Before(nod.listReadAt) {
		return
	}
	first := nod.listReadAt.IsZero()
	if first {
		nod.coverage.HandleFullRead(now, int64(end))
	}
	if now.Sub(nod.sim.began) < warmUp {
		nod.coverage.HandlePeerComplete(now, int64(end)) // The system has run for long when the simulation begins.
	}
	for _, rec := range nod.sim.list[nod.listEnd:end] {
		nod.applyListRecord(rec, first)
	}
	nod.listReadAt, nod.listEnd = began, end
	nod.coverage.HandleKnown(now, int64(end))
	nod.elector.SetShards(SortedShards(nod.shards()))
	nod.leadersChanged = true
	nod.updateServers(now)
}

// applyListRecord takes in a record of the list. A server that is gone may still work and is kept as missing, but not by the first read, which does
// not show it.
func (nod *node) applyListRecord(rec listRecord, first bool) {
	ent, was := nod.entries[rec.ent.ID]
	switch {
	case rec.listed:
		nod.entries[rec.ent.ID] = rec.ent
		delete(nod.missing, rec.ent.ID)
	case was:
		delete(nod.entries, rec.ent.ID)
		if !first {
			ent.Leaving = true
			nod.missing[ent.ID] = ent
		}
	}
}

// updateServers gives the listing to the leaders on this node.
func (nod *node) updateServers(now time.Time) {
	div := nod.shards()
	for _, shd := range SortedShards(div) {
		ldr := nod.leaders[shd.Name]
		if ldr == nil {
			continue
		}
		lst := shard.Listing{
			Listed: div[shd], All: nod.entries, Shards: nod.divisions.ConfirmedCount(shd.Domain),
			Belongs: func(ent shard.ServerEntry) bool { return nod.shardOf(ent) == shd },
		}
		if nod.coverage.Complete(now) {
			lst.ReadAt = nod.listReadAt
		}
		for _, id := range sortedKeys(nod.missing) {
			if nod.shardOf(nod.missing[id]) == shd {
				lst.Missing = append(lst.Missing, nod.missing[id])
			}
		}
		nod.runLeaderActions(shd.Name, ldr.SetServers(now, lst))
	}
}
