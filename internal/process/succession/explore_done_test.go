package succession

import (
	"testing"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// TestDoneRunStartsAgain guards against a task that starts again after a run of it has ended as done: the leader acknowledges the end to the server, which
// forgets it, while no owner has claimed the run or the report doesn't reach the owner, which orders the task anew.
func TestDoneRunStartsAgain(t *testing.T) {
	chk := is.NewRelaxed(t)
	for _, seed := range []uint64{273, 285, 288} {
		chk.Equal(simulateCutOffs(seed).startsAfterDone, nil)
	}
}

// doneRun is a run that has ended as done. The end is taken note of when a leader acknowledges it, unless the server's lease has ended between the two.
type doneRun struct {
	server                               shard.ServerID
	number                               int64
	leaseOver, noted, startedAgain, told bool
}

// noteAcked keeps that a leader has acknowledged an end.
func (sim *simRun) noteAcked(srv *fakeServer, end shard.End) {
	for _, dne := range sim.doneRuns[end.Run.Task] {
		if dne.server == srv.id && dne.number == end.Run.Number && end.Kind == shard.EndedDone && !dne.leaseOver && srv.lease > srv.clock() {
			dne.noted = true
			sim.checkDone(end.Run.Task, dne)
		}
	}
}

// noteLapse keeps that a server's lease has ended and begins anew.
func (sim *simRun) noteLapse(srv *fakeServer) {
	for _, dnes := range sim.doneRuns {
		for _, dne := range dnes {
			dne.leaseOver = dne.leaseOver || dne.server == srv.id
		}
	}
}

// noteStartAfterDone keeps that a task has started again after runs that ended as done.
func (sim *simRun) noteStartAfterDone(task string) {
	for _, dne := range sim.doneRuns[task] {
		dne.startedAgain = true
		sim.checkDone(task, dne)
	}
}

// checkDone keeps a task that has started again after a run whose end as done is taken note of.
func (sim *simRun) checkDone(task string, dne *doneRun) {
	if dne.noted && dne.startedAgain && !dne.told {
		dne.told = true
		sim.note("BROKEN %s starts again though its run at %s is done, and that is taken note of", task, dne.server)
		sim.startsAfterDone = append(sim.startsAfterDone, task)
	}
}
