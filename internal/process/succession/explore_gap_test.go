package succession

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// A task may run again as soon as a server has told that its former run is over. Without that word a second run begins by a sum of times, and how
// long after the first one's latest end it does tells how much the sum has left.

// pastRun is the last run of a task that has ended.
type pastRun struct {
	server shard.ServerID
	number int64
	// endClock is when the run ended on its server's clock, latestEnd until when it might have lasted.
	endClock  time.Duration
	latestEnd time.Time
	// leaseOver is set once a leader has counted the run as over by the end of the leases that it had sent.
	leaseOver bool
	// done is set if the run ended by itself.
	done bool
	// told has the nodes that the server has told of the end, or of none of its runs being the task's.
	told map[string]bool
}

// gap is the time from the latest end of a task's run to the start of its next one.
type gap struct {
	dur  time.Duration
	task string
	at   time.Duration
}

// gaps has the shortest gaps before starts of which no node was told that the former run is over: byLease of those that a leader has counted as over by its
// leases, byOwner of the others, whose owner or next leader has waited for a time.
type gaps struct{ byLease, byOwner *gap }

// noteEnd keeps the end of a run.
func (sim *simRun) noteEnd(srv *fakeServer, rn *fakeRun, how shard.EndKind) {
	if sim.pastRuns == nil {
		return
	}
	if how == shard.EndedDone {
		sim.doneRuns[rn.id.Task] = append(sim.doneRuns[rn.id.Task], &doneRun{server: srv.id, number: rn.id.Number})
	}
	past := &pastRun{
		server: srv.id, number: rn.id.Number, latestEnd: rn.latestEnd, endClock: srv.clock(), done: how == shard.EndedDone, told: map[string]bool{},
	}
	if past.latestEnd.Before(sim.now) {
		past.latestEnd = sim.now
	}
	sim.pastRuns[rn.id.Task] = past
}

// noteTold keeps which ended runs a server's answer has told a node of.
func (sim *simRun) noteTold(nod *node, id shard.ServerID, res shard.RenewResult, clr shard.CallResult) {
	if clr != shard.Accepted {
		return
	}
	for _, past := range sim.pastRuns {
		if past.server == id && past.endClock <= res.Clock {
			past.told[nod.name] = true
		}
	}
}

// noteGap keeps the time between the former run of a task and a start, if it is short and not by the word of the first run's server.
func (sim *simRun) noteGap(at *fakeServer, act shard.StartRun) {
	run := act.Run
	past := sim.pastRuns[run.Task]
	if past == nil || past.done {
		return
	}
	gp := &gap{dur: sim.now.Sub(past.latestEnd), task: run.Task, at: sim.now.Sub(sim.began)}
	switch {
	case len(past.told) > 0:
	case past.leaseOver:
		sim.gaps.byLease = shorter(sim.gaps.byLease, gp)
	default:
		sim.gaps.byOwner = shorter(sim.gaps.byOwner, gp)
	}
	sim.note("%s %d begins at %s %v after the latest end of its run at %s, told %v", run.Task, run.Number, at.id, gp.dur, past.server, sortedKeys(past.told))
}

// shorter returns the shorter one of two gaps, of which the first may be nil.
func shorter(one, two *gap) *gap {
	if one == nil || two.dur < one.dur {
		return two
	}
	return one
}

// noteLeaseOver keeps that a leader has counted a run as over by the end of its lease.
func (sim *simRun) noteLeaseOver(act shard.NoteRunOver) {
	past := sim.pastRuns[act.Run.Task]
	if past != nil && past.server == act.Server && past.number == act.Run.Number && act.Evidence == shard.LeaseOver {
		past.leaseOver = true
	}
}
