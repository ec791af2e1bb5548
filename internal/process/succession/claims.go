package succession

import "chestnutstack/internal/request/shard"

// claims has the fencing tokens with which instances lead shards. It is indexed by shard, as each tick looks up the leader of each shard.
type claims map[shard.Name]map[shard.InstanceID]int64

// set replaces an instance's claims of before (was) by its present ones (now).
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

// newest returns the instance that claims a shard with the highest token, or "" if none does. Backend servers obey only the highest token
// that has reached them: a leader with a lower one can't renew its leases, and would tell owners that their tasks run nowhere.
func (clm claims) newest(name shard.Name) (id shard.InstanceID, token int64) {
	for oth, tok := range clm[name] {
		if id == "" || tok > token || tok == token && oth < id {
			id, token = oth, tok
		}
	}
	return id, token
}
