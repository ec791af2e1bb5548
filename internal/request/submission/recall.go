package submission

import "chestnutstack/internal/request/shard"

// anyQueuedElsewhere reports whether a task waits in the leader's queue of a shard other than the named one.
func (crd *Coordinator) anyQueuedElsewhere(except shard.Name) bool {
	for _, tsk := range crd.tasks {
		if tsk.inLeaderQueue() && tsk.shard != except {
			return true
		}
	}
	return false
}

// inLeaderQueue reports whether a task is believed to wait in a leader's queue and was not recalled yet. A task that was sent for free
// capacity starts or is returned by itself: its start is reported late, and recalling all such tasks took four tenths of the orders of a
// busy system.
func (tsk *task) inLeaderQueue() bool {
	return !tsk.done && !tsk.started && !tsk.recalled && tsk.queued && tsk.leader != ""
}

// recallFor recalls as many waiting tasks from other shards as would start at once in the free capacity of this one.
func (crd *Coordinator) recallFor(viw *shardView) {
	var recalled int64
	rom := crd.newRecallRoom(viw)
	for _, jb := range crd.jobsByArrival() {
		for _, tks := range jb.tasks {
			for _, tsk := range tks {
				if !tsk.inLeaderQueue() || tsk.shard == viw.name || crd.now.Before(tsk.movableAt) || !crd.worthRecalling(tsk) {
					continue
				}
				stp := &jb.sub.Steps[tsk.step]
				if !viw.suits(jb, stp) {
					continue
				}
				switch ft := crd.newFit(tsk, stp); {
				case rom != nil && rom.done():
					return
				case rom != nil && !rom.take(ft):
					continue // A smaller task may fit.
				case rom == nil && ft.startable(viw) == 0 && viw.startableTasks(jb, stp) > 0:
					continue // It would be late there; others may not.
				case rom == nil && crd.claimableTasks(viw, ft, crd.Contention()) <= recalled:
					return
				}
				recalled++
				tsk.recalled, tsk.returns = true, 0
				crd.send(tsk, shard.Order{Recall: true})
			}
		}
	}
}

// worthRecalling reports whether a task waits for capacity for longer than a recall and another order take. A task that waits for its
// leader's link is not recalled, as a new order would send the payload over the owner's link again.
func (crd *Coordinator) worthRecalling(tsk *task) bool {
	viw := crd.shards[tsk.shard]
	return viw == nil || viw.load.LinkWait(0) == 0 && viw.load.CapacityWait(crd.rank(tsk.job), viw.sentSinceLoad) >= minWaitWhenFull
}
