package succession

import (
	"maps"
	"time"

	"chestnutstack/internal/request/shard"
)

// What a node knows of the list of servers.

// shards returns the shards that the node knows of, one for each failure domain of its list.
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

// readList reads the list of servers, if the store answers.
func (nod *node) readList() {
	ply := nod.ply
	if !ply.open(nod.name, storeName) || !ply.open(storeName, nod.name) {
		return
	}
	began := ply.now
	listed, offset := maps.Clone(ply.listed), ply.offset
	ply.after(ply.delay(), func() {
		nod.deliver("list", func() { nod.run(func(now time.Time) { nod.takeList(now, began, listed, offset) }) })
	})
}

func (nod *node) takeList(now, began time.Time, listed map[shard.ServerID]bool, offset int64) {
	if began.Before(nod.listReadAt) {
		return
	}
	if nod.listReadAt.IsZero() {
		nod.census.HandleFullRead(now, offset)
	}
	if now.Sub(nod.ply.began) < warmUp {
		nod.census.HandlePeerComplete(now, offset) // The system had been at work for long when the play began.
	}
	nod.listReadAt, nod.listedTo = began, offset
	for _, srv := range nod.ply.servers {
		if ent, was := nod.entries[srv.id]; was && !listed[srv.id] {
			delete(nod.entries, srv.id)
			ent.Leaving = true
			nod.missing[srv.id] = ent
		} else if listed[srv.id] {
			nod.entries[srv.id] = srv.entry()
			delete(nod.missing, srv.id)
		}
	}
	nod.elc.SetShards(SortedShards(nod.shards()))
	nod.leadersChanged = true
	nod.tellServers(now)
}

func (nod *node) tellServers(now time.Time) {
	for shd, ents := range nod.shards() {
		ldr := nod.ldrs[shd.Name]
		if ldr == nil {
			continue
		}
		lst := shard.Listing{Listed: ents, All: nod.entries}
		if nod.census.Complete(now) {
			lst.ReadAt = nod.listReadAt
		}
		for _, id := range sortedKeys(nod.missing) {
			if shardOf(nod.missing[id].FailureDomain, 0) == shd {
				lst.Missing = append(lst.Missing, nod.missing[id])
			}
		}
		nod.shardDo(shd.Name, ldr.SetServers(now, lst))
	}
}
