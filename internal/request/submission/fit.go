package submission

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"chestnutstack/internal/request/shard"
)

// minSlowFactor is the least run time of a server over that of an average one for which leaders may have a task wait for a faster one.
const minSlowFactor = 1.35

// fit judges which free servers suit a task, beyond their room.
type fit struct {
	jb  *job
	stp *Step
	// mostFactor is the largest factor of run times at which the task is expected to be in time, +Inf if it does not matter.
	mostFactor float64
}

// newFit returns what judges free servers for a task of a step.
func (crd *Coordinator) newFit(tsk *task, stp *Step) *fit {
	ft := &fit{jb: tsk.job, stp: stp, mostFactor: math.Inf(1)}
	left := tsk.job.due.Sub(crd.now)
	if crd.cfg.Features.ServerSpeeds && left > 0 && stp.ExpectedRunTime > 0 {
		ft.mostFactor = max(float64(left)/float64(stp.ExpectedRunTime)*math.Exp(-shard.InTimeMargin), minSlowFactor)
	}
	return ft
}

// inTime reports whether a task is expected to be in time on the server at an index of a shard's free servers.
func (ft *fit) inTime(viw *shardView, idx int) bool { return viw.load.FreeFactor(idx) <= ft.mostFactor }

// startable returns how many tasks like this one would start at once in a shard, in time if they can be.
func (ft *fit) startable(viw *shardView) int64 {
	if !viw.suits(ft.jb, ft.stp) {
		return 0
	}
	num := int64(0)
	for idx := range viw.load.Free {
		if ft.inTime(viw, idx) {
			num += viw.load.StartableFor(ft.jb.sub.Priority, idx, ft.stp.Processor, ft.stp.Memory)
		}
	}
	return num
}

// maxMisses is how many waiting tasks are tried for the free room of one load.
const maxMisses = 128

// recallRoom is the room of a shard for which this owner recalls tasks.
type recallRoom struct {
	viw  *shardView
	free []int64
	// misses counts the tasks that did not fit.
	misses int
}

// done reports whether no room is left, or enough tasks did not fit: thousands may wait, and loads come hundreds of times a second.
func (rom *recallRoom) done() bool {
	return rom.misses >= maxMisses || slices.Max(rom.free) <= 0
}

// newRecallRoom returns the room of a shard for which this owner recalls tasks where speeds are used, nil elsewhere. What is free on a server is often too
// little for the task that has waited longest, but enough for another.
//
// If all owners recalled tasks for the same server, most of the tasks would come too late and be returned. So each free server of a load is for about one
// owner, by a hash; there are about as many owners as shards.
func (crd *Coordinator) newRecallRoom(viw *shardView) *recallRoom {
	if !crd.cfg.Features.ServerSpeeds || len(viw.load.FreeFactors) == 0 {
		return nil
	}
	rom := &recallRoom{viw: viw, free: slices.Clone(viw.load.Free)}
	for idx := range rom.free {
		hsh := fnv.New32a()
		_, _ = fmt.Fprint(hsh, crd.cfg.Self, viw.name, viw.load.Number, idx) // Write of a hash returns no error.
		if sum := hsh.Sum32(); (sum^sum>>16)%uint32(len(crd.shards)) != 0 {
			rom.free[idx] = 0
		}
	}
	return rom
}

// take takes the room of a task on the server with the least room that has enough, and reports whether there is one.
func (rom *recallRoom) take(ft *fit) bool {
	bst := -1
	for idx, free := range rom.free {
		fits := free >= ft.stp.Processor && rom.viw.load.StartableFor(ft.jb.sub.Priority, idx, ft.stp.Processor, ft.stp.Memory) > 0 && ft.inTime(rom.viw, idx)
		if fits && (bst < 0 || free < rom.free[bst]) {
			bst = idx
		}
	}
	if bst < 0 || !rom.viw.suits(ft.jb, ft.stp) {
		rom.misses++
		return false
	}
	rom.free[bst] -= ft.stp.Processor
	return true
}
