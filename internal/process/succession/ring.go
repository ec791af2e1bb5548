package succession

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// watchersPerSide is how many instances on either side of the ring an instance watches. The loss of one together with its watchers is
// noticed by the heartbeats of the rest of its failure domain, of which one is due each few dozen milliseconds.
const watchersPerSide = 1

// Neighbours returns the instances of the own failure domain that this one watches and that watch it: those next to it on the hash ring.
// All instances that hear the same others compute the same ring.
func (elc *Elector) Neighbours() map[shard.InstanceID]bool {
	near := map[shard.InstanceID]bool{}
	for _, id := range elc.ringNeighbours(elc.self.ID) {
		near[id] = true
	}
	return near
}

// NotifyRank returns the own turn, 0 for the first, in sending another instance the news that it lacks: the receiver's ring neighbours have
// turns 0 and 1, all others 1 plus their DutyRank for the receiver. Two instances may have the same turn.
func (elc *Elector) NotifyRank(to shard.InstanceID) int {
	if ins := elc.peers[to]; ins != nil && ins.Domain == elc.self.Domain {
		if idx := slices.Index(elc.ringNeighbours(to), elc.self.ID); idx >= 0 {
			return idx
		}
	}
	return 1 + elc.DutyRank(string(to))
}

// ringNeighbours returns the neighbours of an instance of the own failure domain, the nearest first.
func (elc *Elector) ringNeighbours(id shard.InstanceID) []shard.InstanceID {
	rng := elc.ring()
	at := slices.Index(rng, id)
	var near []shard.InstanceID
	for step := 1; step <= watchersPerSide; step++ {
		for _, idx := range []int{at + step, at - step} {
			oth := rng[(idx+watchersPerSide*len(rng))%len(rng)]
			if oth != id && !slices.Contains(near, oth) {
				near = append(near, oth)
			}
		}
	}
	return near
}

// ring returns the instances of the own failure domain, the own one included, in the order of the hashes of their IDs.
func (elc *Elector) ring() []shard.InstanceID {
	type place struct {
		id   shard.InstanceID
		hash uint64
	}
	plcs := []place{{elc.self.ID, xxhash.Sum64String(string(elc.self.ID))}}
	for id, ins := range elc.peers {
		if ins.Domain == elc.self.Domain {
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

// DomainPeerCount returns how many other instances of the own failure domain are heard.
func (elc *Elector) DomainPeerCount() int {
	num := 0
	for _, ins := range elc.peers {
		if ins.Domain == elc.self.Domain {
			num++
		}
	}
	return num
}
