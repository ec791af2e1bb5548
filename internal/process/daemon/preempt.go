package daemon

import (
	"strconv"
	"sync/atomic"

	"chestnutstack/internal/request/shard"
)

// urgentCounters are the metrics of headroom and preemption. processorAside and reservedServers are gauges: the processor of the servers led here
// that the least urgent tasks may not use, in thousandths of a core, and the servers reserved for urgent tasks that wait.
type urgentCounters struct {
	processorAside, reservedServers atomic.Int64
	// preemptions counts the runs that were stopped for urgent tasks; workLost has how long each had run.
	preemptions atomic.Int64
	workLost    histogram
	// waits has how long tasks waited at their leader before each start, by priority.
	waits [shard.Priorities]histogram
}

// countPreemption counts a run that is being stopped for an urgent task.
func (cnt *urgentCounters) countPreemption(act *shard.NotePreemption) {
	cnt.preemptions.Add(1)
	cnt.workLost.observe(act.WorkLost)
}

// write passes each metric to line.
func (cnt *urgentCounters) write(line func(string, int64)) {
	line("headroom-processor-set-aside", cnt.processorAside.Load())
	line("headroom-servers-reserved", cnt.reservedServers.Load())
	line("preemptions", cnt.preemptions.Load())
	cnt.workLost.write("preempted-run", line)
	for pri := range cnt.waits {
		cnt.waits[pri].write("wait-priority-"+strconv.Itoa(pri), line)
	}
}

// updateHeadroomGauges sets the gauges of headroom to the sums over the shards led here.
func (dmn *Daemon) updateHeadroomGauges() {
	var aside, reserved int64
	for _, ldr := range dmn.leaders {
		aside += ldr.ProcessorSetAside()
		reserved += int64(ldr.ReservedServers())
	}
	dmn.cnt.urgent.processorAside.Store(aside)
	dmn.cnt.urgent.reservedServers.Store(reserved)
}

// logPreemption logs and counts a run that is being stopped for an urgent task, with what the decision went by.
func (dmn *Daemon) logPreemption(name shard.Name, act *shard.NotePreemption) {
	dmn.cnt.urgent.countPreemption(act)
	dmn.log.Info().Str("task", act.Task).Str("for", act.For).Int("priority", act.Priority).Int("for-priority", act.ForPriority).
		Str("shard", string(name)).Str("server", string(act.Server)).Dur("work-lost", act.WorkLost).
		Int64("processor", act.Processor).Dur("slack", act.Slack).Dur("waited", act.Waited).Dur("room-in", act.RoomIn).Dur("stop-time", act.StopTime).
		Dur("restart-slack", act.RestartSlack).Dur("restart-wait", act.RestartWait).Int64("budget-left", act.BudgetLeft).
		Dur("server-heard", act.ServerHeard).Dur("progress-seen", act.ProgressSeen).Msg("run is stopped for a more urgent task")
}
