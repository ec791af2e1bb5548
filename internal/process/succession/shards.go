package succession

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// serversPerShard is the size that shards are cut to. With some ten backend servers an instance, each instance leads about one
// shard and sends its share of the starts, by its link and its processor; the larger a shard, the better its tasks are
// packed. Of 64 servers, a quarter of the instances sent all starts.
const serversPerShard = 9

// Divisions has the division of each failure domain.
type Divisions map[string]shard.Division

// Merge takes in what another instance has and reports whether anything has changed.
func (dvs Divisions) Merge(oth Divisions) bool {
	changed := false
	for dom, dvn := range oth {
		own := dvs[dom]
		if dvn.Stamp > own.Stamp || dvn.Stamp == own.Stamp && dvn.Stamp > 0 && dvn.Count > own.Count {
			dvs[dom] = dvn
			changed = true
		}
	}
	return changed
}

// Confirm turns guesses into divisions that others follow, as the own instance is about to act on them.
func (dvs Divisions) Confirm() {
	for dom, dvn := range dvs {
		if dvn.Stamp == 0 {
			dvs[dom] = shard.Division{Count: dvn.Count, Stamp: 1}
		}
	}
}

// Divide assigns backend servers to shards, those of a failure domain evenly by hash. The number of a
// domain's shards is kept while it fits within a factor of two, as each change moves servers between leaders.
func (dvs Divisions) Divide(ents []shard.ServerEntry) map[Shard][]shard.ServerEntry {
	byDomain := map[string][]shard.ServerEntry{}
	for _, ent := range ents {
		byDomain[ent.FailureDomain] = append(byDomain[ent.FailureDomain], ent)
	}
	divided := map[Shard][]shard.ServerEntry{}
	for dom, lst := range byDomain {
		dvs.update(dom, len(lst))
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

// KeepEmptyShards adds the shards of a failure domain without servers, so that their leaders stay. The entries of all servers that were
// cut off together with their domain lapse together, while its instances lead them well.
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
	return shardOf(ent.FailureDomain, pick(ent.ID, max(1, dvs[ent.FailureDomain].Count)))
}

func (dvs Divisions) update(domain string, servers int) {
	old := dvs[domain]
	want := max(1, (servers+serversPerShard/2)/serversPerShard)
	if old.Stamp == 0 {
		dvs[domain] = shard.Division{Count: want}
	} else if want >= 2*old.Count {
		// The list shrinks for a while when the store is away, so that fewer servers change nothing.
		dvs[domain] = shard.Division{Count: want, Stamp: old.Stamp + 1}
	}
}

func shardOf(domain string, num int) Shard {
	return Shard{Name: shard.Name(domain + "." + strconv.Itoa(num)), Domain: domain}
}

// pick returns the shard with the highest hash, so that a change of the number moves few servers.
func pick(id shard.ServerID, count int) int {
	var bst int
	var top uint64
	for num := range count {
		if sum := xxhash.Sum64String(string(id) + " " + strconv.Itoa(num)); sum >= top {
			bst, top = num, sum
		}
	}
	return bst
}

// SortedShards returns the shards by name.
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
