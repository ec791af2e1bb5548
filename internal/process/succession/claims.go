package succession

import "chestnutstack/internal/request/shard"

// claims has the fencing tokens with which instances lead shards, by shard: who leads one is asked for all of them on each tick.
type claims map[shard.Name]map[shard.InstanceID]int64

// set replaces what an instance claims.
func (clm claims) set(id shard.InstanceID, was, now map[shard.Name]int64) {
	for name := range was {
		if _, still := now[name]; !still {
			clm.remove(id, name)
		}
	}
	for name, tok := range now {
		clm.add(id, name, tok)
	}
}

func (clm claims) add(id shard.InstanceID, name shard.Name, token int64) {
	if clm[name] == nil {
		clm[name] = map[shard.InstanceID]int64{}
	}
	clm[name][id] = token
}

func (clm claims) remove(id shard.InstanceID, name shard.Name) {
	delete(clm[name], id)
	if len(clm[name]) == 0 {
		delete(clm, name)
	}
}

// strongest returns who claims a shard with the newest token; nobody is "". Servers obey the newest token that has reached
// them, so that a leader with an older one holds them no more: an owner that followed it would be told that its tasks run
// nowhere.
func (clm claims) strongest(name shard.Name) (id shard.InstanceID, token int64) {
	for oth, tok := range clm[name] {
		if id == "" || tok > token || tok == token && oth < id {
			id, token = oth, tok
		}
	}
	return id, token
}
