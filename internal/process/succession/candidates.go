package succession

import (
	"cmp"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/shard"
)

// replaceable reports whether the own instance may take a shard over from its leader led: that one is leaving; or the own instance is of
// the shard's failure domain, and the leader is stopping while the own instance leads few shards, or the own instance is ready for ReturnDelay,
// and the leader is of another domain or has at least twice the load per core.
func (elc *Elector) replaceable(now time.Time, shd Shard, led shard.InstanceID) bool {
	ins := elc.peers[led]
	if ins == nil {
		return false
	}
	if ins.Leaving || ins.Stopping && elc.self.Domain == shd.Domain && elc.leadsFew() {
		return true
	}
	if elc.self.Domain != shd.Domain || now.Sub(elc.readyAt) < elc.cfg.ReturnDelay {
		return false
	}
	return ins.Domain != shd.Domain || shardsPerCore(&elc.self, 1) <= handoverLoadRatio*shardsPerCore(ins, 0)
}

// handoverLoadRatio is the highest ratio of the own shards per core, after a takeover, to the present leader's at which a shard is taken
// over for load. It is well below 1, as each takeover costs the shard a tenth of a second without starts.
const handoverLoadRatio = 0.5

// leadsFew reports whether the own instance would lead at most maxShareOfStopping times its part of the shards of its failure domain, if all instances
// were back that are stopping now, or one shard only.
func (elc *Elector) leadsFew() bool {
	if len(elc.self.Leads) == 0 {
		return true
	}
	all := Instance{Cores: elc.self.Cores, Leads: maps.Clone(elc.self.Leads)}
	for _, ins := range elc.peers {
		if ins.Domain == elc.self.Domain {
			all.Cores += ins.Cores
			maps.Copy(all.Leads, ins.Leads)
		}
	}
	return shardsPerCore(&elc.self, 1) <= maxShareOfStopping*shardsPerCore(&all, 0)
}

// maxShareOfStopping leaves room for the shards of every other instance. Where more of them stop side by side, those that are left would lead many
// shards, and be held up by them.
const maxShareOfStopping = 2.5

// shardsPerCore returns the number of shards that an instance would lead per core if it led more of them.
func shardsPerCore(ins *Instance, more int) float64 {
	return float64(len(ins.Leads)+more) / max(ins.Cores, minCores)
}

// minCores keeps shardsPerCore finite for an instance that doesn't report its cores.
const minCores = 0.01

// candidatesBefore returns how many other instances are preferred over the own one as leader of a shard.
func (elc *Elector) candidatesBefore(shd Shard) int {
	num := 0
	for _, ins := range elc.peers {
		if ins.Ready && !ins.Stopping && !ins.Leaving && preferred(ins, &elc.self, shd) {
			num++
		}
	}
	return num
}

// preferred reports whether instance one is a better leader of a shard than two: instances of the shard's failure domain come first,
// then those with fewer shards per core, then the order is by hash.
func preferred(one, two *Instance, shd Shard) bool {
	return cmp.Or(
		-cmp.Compare(inDomain(one, shd), inDomain(two, shd)),
		cmp.Compare(shardsPerCore(one, 1), shardsPerCore(two, 1)),
		cmp.Compare(tieBreak(one, shd), tieBreak(two, shd)),
	) < 0
}

// inDomain returns 1 if an instance is in the failure domain of a shard, else 0.
func inDomain(ins *Instance, shd Shard) int {
	if ins.Domain == shd.Domain {
		return 1
	}
	return 0
}

// tieBreak returns a hash that orders equal candidates differently for each shard.
func tieBreak(ins *Instance, shd Shard) uint64 {
	return xxhash.Sum64String(string(ins.ID) + " " + string(shd.Name))
}
