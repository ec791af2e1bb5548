package succession

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// ringReach is how many instances on either side of a ring an instance watches. One that loses power together with those that watch it
// is missed by the calls of the others of its failure domain, of which one comes each few dozen milliseconds.
const ringReach = 1

// Neighbours returns the instances of the own failure domain that this one watches, and that watch it: those next to it on a
// ring by hash. All instances that hear the same others see the same ring.
func (cnc *Elector) Neighbours() map[shard.InstanceID]bool {
	near := map[shard.InstanceID]bool{}
	for _, id := range cnc.around(cnc.self.ID) {
		near[id] = true
	}
	return near
}

// NotifyRank returns how many instances go before the own one in telling another what it lacks: its neighbours are the first.
func (cnc *Elector) NotifyRank(to shard.InstanceID) int {
	if ins := cnc.others[to]; ins != nil && ins.Domain == cnc.self.Domain {
		if idx := slices.Index(cnc.around(to), cnc.self.ID); idx >= 0 {
			return idx
		}
	}
	return 1 + cnc.DutyRank(string(to))
}

// around returns the neighbours of an instance of the own failure domain, the nearest first.
func (cnc *Elector) around(id shard.InstanceID) []shard.InstanceID {
	rng := cnc.ring()
	at := slices.Index(rng, id)
	var near []shard.InstanceID
	for step := 1; step <= ringReach; step++ {
		for _, idx := range []int{at + step, at - step} {
			oth := rng[(idx+ringReach*len(rng))%len(rng)]
			if oth != id && !slices.Contains(near, oth) {
				near = append(near, oth)
			}
		}
	}
	return near
}

// ring returns the instances of the own failure domain in the order of their hashes.
func (cnc *Elector) ring() []shard.InstanceID {
	type place struct {
		id   shard.InstanceID
		hash uint64
	}
	plcs := []place{{cnc.self.ID, xxhash.Sum64String(string(cnc.self.ID))}}
	for id, ins := range cnc.others {
		if ins.Domain == cnc.self.Domain {
			plcs = append(plcs, place{id, xxhash.Sum64String(string(id))})
		}
	}
	slices.SortFunc(plcs, func(one, two place) int {
		return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.id, two.id))
	})
	rng := make([]shard.InstanceID, 0, len(plcs))
	for _, plc := range plcs {
		rng = append(rng, plc.id)
	}
	return rng
}

// DomainPeerCount returns how many of the others stand in the own failure domain.
func (cnc *Elector) DomainPeerCount() int {
	num := 0
	for _, ins := range cnc.others {
		if ins.Domain == cnc.self.Domain {
			num++
		}
	}
	return num
}
