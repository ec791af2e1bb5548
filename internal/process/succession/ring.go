package succession

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// ringReach is how many instances on either side of a ring an instance watches. With four that watch each instance, the loss of
// power of a quarter of a failure domain leaves one without a watcher in 250 cases.
const ringReach = 2

// Neighbours returns the instances of the own failure domain that this one watches, and that watch it: those next to it on a
// ring by hash. All instances that hear the same others see the same ring.
func (cnc *Council) Neighbours() map[shard.InstanceID]bool {
	type place struct {
		id   shard.InstanceID
		hash uint64
	}
	rng := []place{{cnc.self.ID, xxhash.Sum64String(string(cnc.self.ID))}}
	for id, ins := range cnc.others {
		if ins.Domain == cnc.self.Domain {
			rng = append(rng, place{id, xxhash.Sum64String(string(id))})
		}
	}
	slices.SortFunc(rng, func(one, two place) int {
		return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.id, two.id))
	})
	own := slices.IndexFunc(rng, func(plc place) bool { return plc.id == cnc.self.ID })
	near := map[shard.InstanceID]bool{}
	for step := 1; step <= ringReach; step++ {
		near[rng[(own+step)%len(rng)].id] = true
		near[rng[(own+len(rng)*ringReach-step)%len(rng)].id] = true
	}
	delete(near, cnc.self.ID)
	return near
}

// Near returns how many of the others stand in the own failure domain.
func (cnc *Council) Near() int {
	num := 0
	for _, ins := range cnc.others {
		if ins.Domain == cnc.self.Domain {
			num++
		}
	}
	return num
}
