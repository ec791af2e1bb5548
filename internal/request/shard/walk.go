package shard

import (
	"cmp"
	"maps"
	"slices"
)

// Decisions walk servers and runs in the order in which they were added, and orders by their tasks: the same events lead to the same actions.

// putServer adds a server, or puts it in the place of the one that has its ID.
func (ldr *Leader) putServer(srv *server) {
	old := ldr.servers[srv.ent.ID]
	ldr.servers[srv.ent.ID], ldr.hadServers = srv, true
	if idx := slices.Index(ldr.serverList, old); idx >= 0 {
		ldr.serverList = slices.Clone(ldr.serverList)
		ldr.serverList[idx] = srv
		return
	}
	ldr.serverList = append(ldr.serverList, srv)
}

// removeServer removes the server that has a server's ID.
func (ldr *Leader) removeServer(srv *server) {
	ldr.serverList = without(ldr.serverList, ldr.servers[srv.ent.ID])
	delete(ldr.servers, srv.ent.ID)
}

// ordersByTask returns all orders, sorted by their tasks.
func (ldr *Leader) ordersByTask() []*order {
	return slices.SortedFunc(maps.Values(ldr.orders), func(one, two *order) int { return cmp.Compare(one.Task, two.Task) })
}

// without returns a copy of a list without one of its items, as the list may be walked meanwhile.
func without[Item comparable](list []Item, itm Item) []Item {
	return slices.DeleteFunc(slices.Clone(list), func(oth Item) bool { return oth == itm })
}
