package submission

import "chestnutstack/internal/request/shard"

// HandleServers records the kinds of the servers of each shard, nil where they are not known. It is called with each new listing, whose shards are all
// that there are.
func (crd *Coordinator) HandleServers(kinds map[shard.Name][]shard.ServerKind) {
	for name, knds := range kinds {
		viw := crd.shards[name]
		if viw == nil {
			viw = crd.addShard(name)
		}
		viw.kinds = knds
	}
	for name, viw := range crd.shards {
		if _, known := kinds[name]; !known {
			viw.kinds = []shard.ServerKind{}
		}
	}
	crd.countOwners()
}

// SetServersComplete sets whether the recorded kinds are surely those of all servers that may live.
func (crd *Coordinator) SetServersComplete(complete bool) { crd.kindsComplete = complete }

// unsuitedStep returns the number of a step of a job whose tasks no server can ever run, also if all are idle, or -1 if there is none. Rooms may grow
// again, and other servers may come, so callers may retry.
func (crd *Coordinator) unsuitedStep(jb *job) int {
	if !crd.kindsComplete || len(crd.shards) == 0 {
		return -1
	}
	for num := range jb.sub.Steps {
		suited := false
		for _, viw := range crd.shards {
			suited = suited || viw.suits(jb, &jb.sub.Steps[num])
		}
		if !suited {
			return num
		}
	}
	return -1
}
