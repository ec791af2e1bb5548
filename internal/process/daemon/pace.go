package daemon

import (
	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
)

const (
	// minPace is the pause, in heartbeat intervals, between two instances that don't depend on each other, in a small system. In a larger
	// one the pause grows with the number of instances, so that each one's number of calls doesn't: in one interval it calls about
	// nearPeersPerBeat instances of its own failure domain and farPeersPerBeat of others.
	minPace          = 3
	nearPeersPerBeat = 2
	farPeersPerBeat  = 2
	// idlePace is the pause, in heartbeat intervals, between two instances of which neither leads a shard.
	idlePace = 10
)

// updatePaces sets how often this instance sends heartbeats to each other one: at every interval if a lease or a takeover depends on it.
func (dmn *Daemon) updatePaces() {
	others := dmn.elector.Peers()
	own := dmn.prm.Settings.FailureDomain
	vacant := dmn.elector.HasVacantShard(own)
	watched := dmn.elector.Neighbours()
	near := dmn.elector.DomainPeerCount()
	nearPace := max(minPace, near/nearPeersPerBeat)
	farPace := max(minPace, (len(others)-near)/farPeersPerBeat)
	paces := make(map[shard.InstanceID]mesh.Schedule, len(others))
	for id, ins := range others {
		pace := farPace
		if ins.Domain == own {
			pace = nearPace
		}
		switch {
		case dmn.openOrdersWith[id], watched[id], vacant && ins.Domain == own:
			pace = 1
		case !dmn.elector.LeadsAny() && len(ins.Leads) == 0:
			pace = max(pace, idlePace)
		}
		paces[id] = mesh.Schedule{Intervals: pace, OpenOrders: dmn.openOrdersWith[id]}
	}
	dmn.mesh.SetSchedules(paces)
}

// nudgeDomain sends a heartbeat at once to the instances of the own failure domain, after a change that matters for who leads its shards.
func (dmn *Daemon) nudgeDomain() {
	dmn.mesh.SendHeartbeatsIf(func(id shard.InstanceID) bool {
		ins := dmn.elector.Peers()[id]
		return ins != nil && ins.Domain == dmn.prm.Settings.FailureDomain
	})
}
