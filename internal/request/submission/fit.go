package submission

import "math"

const (
	// factorUnit is the number of units of a factor in loads in one.
	factorUnit = 1000
	// inTimeMargin is the one by which leaders judge whether a task is in time on a server.
	inTimeMargin = 0.15
	// minSlowFactor is the least run time of a server over that of an average one for which leaders may have a task wait for a faster one;
	// maxSlowFactor exceeds that of any sound server.
	minSlowFactor, maxSlowFactor = 1.35, 100
)

// fit judges which free servers suit a task, beyond their room.
type fit struct {
	jb  *job
	stp *Step
	// mostFactor is the largest factor of run times at which the task is expected to be in time, in thousandths; 0 if it does not matter.
	mostFactor int64
}

func (crd *Coordinator) newFit(tsk *task, stp *Step) *fit {
	ft := &fit{jb: tsk.job, stp: stp}
	left := tsk.job.due.Sub(crd.now)
	if !crd.cfg.Features.ServerSpeeds || left <= 0 || stp.ExpectedRunTime <= 0 {
		return ft
	}
	times := float64(left) / float64(stp.ExpectedRunTime) * math.Exp(-inTimeMargin)
	ft.mostFactor = int64(factorUnit * min(max(times, minSlowFactor), maxSlowFactor))
	return ft
}

// inTime reports whether a task is expected to be in time on the server at an index of a shard's free servers.
func (ft *fit) inTime(viw *shardView, idx int) bool {
	fcs := viw.load.FreeFactors
	return ft.mostFactor == 0 || idx >= len(fcs) || fcs[idx] <= ft.mostFactor
}

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
