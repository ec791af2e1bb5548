package succession

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// serversPerShard is the size that shards are cut to: the larger a shard, the better its tasks are packed
// and the fewer instances lead; a leader with 0.8 of a core calls some 60 servers with 8 starts a second each.
const serversPerShard = 64

// Divide assigns backend servers to shards, those of a failure domain evenly by hash. The number of a
// domain's shards is kept while it fits within a factor of two, as each change moves servers between leaders.
func Divide(ents []shard.ServerEntry, counts map[string]int) map[Shard][]shard.ServerEntry {
	byDomain := map[string][]shard.ServerEntry{}
	for _, ent := range ents {
		byDomain[ent.FailureDomain] = append(byDomain[ent.FailureDomain], ent)
	}
	divided := map[Shard][]shard.ServerEntry{}
	for dom, lst := range byDomain {
		counts[dom] = shardCount(len(lst), counts[dom])
		for num := range counts[dom] {
			divided[shardOf(dom, num)] = nil
		}
		for _, ent := range lst {
			shd := shardOf(dom, pick(ent.ID, counts[dom]))
			divided[shd] = append(divided[shd], ent)
		}
	}
	return divided
}

func shardCount(servers, before int) int {
	want := max(1, (servers+serversPerShard/2)/serversPerShard)
	if before > 0 && want <= 2*before && 2*want >= before {
		return before
	}
	return want
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

// Sorted returns the shards by name.
func Sorted(divided map[Shard][]shard.ServerEntry) []Shard {
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
