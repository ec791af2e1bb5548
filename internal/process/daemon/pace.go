package daemon

import (
	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
)

const (
	// leaderPace is the pause in beats between two instances that don't depend on each other, in a small system. In a larger
	// one it grows with their number, so that an instance makes no more calls: nearShare and farShare are how many instances
	// of its own failure domain and of others it talks to in the time of a beat.
	leaderPace = 3
	nearShare  = 2
	farShare   = 2
	// strangerPace is the pause where neither leads anything.
	strangerPace = 10
)

// updatePaces tells the mesh how often to talk to each instance: at each beat with those on which a lease depends, or a take-over.
func (dmn *Daemon) updatePaces() {
	others := dmn.council.Others()
	own := dmn.prm.Settings.FailureDomain
	vacant := dmn.council.Vacant(own)
	watched := dmn.council.Neighbours()
	near := dmn.council.Near()
	nearPace := max(leaderPace, near/nearShare)
	farPace := max(leaderPace, (len(others)-near)/farShare)
	paces := make(map[shard.InstanceID]mesh.Schedule, len(others))
	for id, ins := range others {
		pace := farPace
		if ins.Domain == own {
			pace = nearPace
		}
		switch {
		case dmn.openWith[id], watched[id], vacant && ins.Domain == own:
			pace = 1
		case !dmn.council.Leads() && len(ins.Leads) == 0:
			pace = max(pace, strangerPace)
		}
		paces[id] = mesh.Schedule{Intervals: pace, OpenOrders: dmn.openWith[id]}
	}
	dmn.mesh.SetSchedules(paces)
}

// nudgeNear tells the own failure domain at once what is new here and concerns who is to lead its shards.
func (dmn *Daemon) nudgeNear() {
	dmn.mesh.SendHeartbeatsIf(func(id shard.InstanceID) bool {
		ins := dmn.council.Others()[id]
		return ins != nil && ins.Domain == dmn.prm.Settings.FailureDomain
	})
}
