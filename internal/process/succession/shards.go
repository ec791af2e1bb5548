package succession

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// serversPerShard is the intended number of backend servers of a shard. There are some ten backend servers per instance, so each
// instance leads about one shard and its link and processor carry their share of the starts. Larger shards pack tasks
// better, but with 64 servers a shard a quarter of the instances sent all starts.
const serversPerShard = 9

// Divisions has the division into shards of each failure domain, by its name. A division with Stamp 0 is provisional: no instance has acted
// on it yet. Of two confirmed ones the higher stamp and the higher count hold: the count by which an instance leads never falls.
type Divisions map[string]shard.Division

// Merge adopts the confirmed divisions of another instance, and reports whether any division has changed. Owners count on it that a leader which
// has told them a division never leads by fewer shards.
func (dvs Divisions) Merge(oth Divisions) bool {
	changed := false
	for dom, dvn := range oth {
		own := dvs[dom]
		if dvn.Stamp == 0 {
			continue
		}
		if own.Stamp > 0 {
			dvn = shard.Division{Count: max(own.Count, dvn.Count), Stamp: max(own.Stamp, dvn.Stamp)}
		}
		changed = changed || dvn != own
		dvs[dom] = dvn
	}
	return changed
}

// Confirm gives a stamp to each provisional division, so that other instances adopt it; it is called before the own instance acts on
// the divisions.
func (dvs Divisions) Confirm() {
	for dom, dvn := range dvs {
		if dvn.Stamp == 0 {
			dvs[dom] = shard.Division{Count: dvn.Count, Stamp: 1}
		}
	}
}

// Divide adjusts the number of shards of each failure domain to the number of its servers, and assigns its servers to them evenly by hash. A
// provisional number follows the servers; a confirmed one grows only when the servers call for at least twice as many, as each change moves
// servers between leaders.
func (dvs Divisions) Divide(ents []shard.ServerEntry) map[Shard][]shard.ServerEntry {
	byDomain := map[string][]shard.ServerEntry{}
	for _, ent := range ents {
		byDomain[ent.FailureDomain] = append(byDomain[ent.FailureDomain], ent)
	}
	divided := map[Shard][]shard.ServerEntry{}
	for dom, lst := range byDomain {
		dvs.updateCount(dom, len(lst))
		for num := range dvs[dom].Count {
			divided[shardOf(dom, num)] = nil
		}
		for _, ent := range lst {
			shd := dvs.ShardOf(ent)
			divided[shd] = append(divided[shd], ent)
		}
	}
	return divided
}

// KeepEmptyShards adds to divided those shards of a failure domain that have no listed servers, so that their leaders stay. When a
// domain is partitioned from the store, the entries of all its servers expire together, while its instances lead them as before.
func (dvs Divisions) KeepEmptyShards(divided map[Shard][]shard.ServerEntry, domain string) {
	for num := range dvs[domain].Count {
		shd := shardOf(domain, num)
		if _, there := divided[shd]; !there {
			divided[shd] = nil
		}
	}
}

// ShardOf returns the shard that a backend server belongs to.
func (dvs Divisions) ShardOf(ent shard.ServerEntry) Shard {
	return shardOf(ent.FailureDomain, rendezvousIndex(ent.ID, max(1, dvs[ent.FailureDomain].Count)))
}

// ConfirmedCount returns into how many shards a failure domain is divided; 0 if that is not known or provisional.
func (dvs Divisions) ConfirmedCount(domain string) int {
	if dvs[domain].Stamp == 0 {
		return 0
	}
	return dvs[domain].Count
}

// updateCount sets a provisional number of shards (stamp 0) for a failure domain, or doubles or more a confirmed one under a new stamp.
func (dvs Divisions) updateCount(domain string, servers int) {
	old := dvs[domain]
	want := max(1, (servers+serversPerShard/2)/serversPerShard)
	if old.Stamp == 0 {
		dvs[domain] = shard.Division{Count: want}
	} else if want >= 2*old.Count {
		// The number never falls: the list shrinks for a while when the store is unavailable.
		dvs[domain] = shard.Division{Count: want, Stamp: old.Stamp + 1}
	}
}

// shardOf returns the shard with a number, counted from 0, of a failure domain.
func shardOf(domain string, num int) Shard {
	return Shard{Name: shard.Name(domain + "." + strconv.Itoa(num)), Domain: domain}
}

// rendezvousIndex returns the index of a server's shard by rendezvous hashing, so that a change of the count moves few servers.
func rendezvousIndex(id shard.ServerID, count int) int {
	var bst int
	var top uint64
	for num := range count {
		if sum := xxhash.Sum64String(string(id) + " " + strconv.Itoa(num)); sum >= top {
			bst, top = num, sum
		}
	}
	return bst
}

// SortedShards returns the keys of divided in the order of their names.
func SortedShards(divided map[Shard][]shard.ServerEntry) []Shard {
	shs := make([]Shard, 0, len(divided))
	for shd := range divided {
		shs = append(shs, shd)
	}
	slices.SortFunc(shs, func(one, two Shard) int {
		if one.Name < two.Name {
			return -1
		}
		return 1
	})
	return shs
}
