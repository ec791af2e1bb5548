package daemon

import (
	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
)

const (
	// minIntervals is the pause, in heartbeat intervals, between two instances that don't depend on each other, in a small system. In a larger
	// one the pause grows with the number of instances, so that each one's number of calls doesn't: in one interval it calls about
	// nearPeersPerBeat instances of its own failure domain and farPeersPerBeat of others.
	minIntervals     = 3
	nearPeersPerBeat = 2
	farPeersPerBeat  = 2
	// idleIntervals is the pause, in heartbeat intervals, between two instances of which neither leads a shard.
	idleIntervals = 10
)

// updateSchedule sets how often this instance sends heartbeats to each other one: at every interval if a lease or a takeover depends on it.
func (dmn *Daemon) updateSchedule() {
	others := dmn.elector.Peers()
	own := dmn.prm.Settings.FailureDomain
	leaderless := dmn.elector.HasLeaderlessShard(own)
	watched := dmn.elector.Neighbours()
	near := dmn.elector.DomainPeerCount()
	nearIntervals := max(minIntervals, near/nearPeersPerBeat)
	farIntervals := max(minIntervals, (len(others)-near)/farPeersPerBeat)
	paces := make(map[shard.InstanceID]mesh.Schedule, len(others))
	for id, ins := range others {
		pace := farIntervals
		if ins.Domain == own {
			pace = nearIntervals
		}
		switch {
		case dmn.openOrdersWith[id], watched[id], leaderless && ins.Domain == own:
			pace = 1
		case !dmn.elector.LeadsAny() && len(ins.Leads) == 0:
			pace = max(pace, idleIntervals)
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
