package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/config"
)

// jobQueries are the queries for jobs that wait for the answers of other instances.
type jobQueries struct {
	open map[int64]*jobQuery
	last int64
	// unheard has the instances that were lost though their processes may live and have jobs open, and when.
	unheard map[shard.InstanceID]time.Time
}

// jobQuery is one query. Its finding goes to done once it is known.
type jobQuery struct {
	// asked has the instances whose answers are missing.
	asked   map[shard.InstanceID]bool
	finding submission.Finding
	done    chan submission.Finding
}

const (
	// jobQueryTimeout is the silence after which an instance is taken for lost.
	jobQueryTimeout = missedHeartbeats * heartbeatInterval
	// maxJobQueries bounds the queries that wait at once: each costs a message to every instance.
	maxJobQueries = 64
	// unheardMemory is how long an instance that was lost counts as one that may have a job open.
	unheardMemory = 30 * time.Second
)

// newJobQueries returns the queries of an instance that has lost no other.
func newJobQueries() jobQueries {
	return jobQueries{open: map[int64]*jobQuery{}, unheard: map[shard.InstanceID]time.Time{}}
}

// begin returns a new query that waits for instances, and its number.
func (jqs *jobQueries) begin(fin submission.Finding, asked map[shard.InstanceID]bool) (int64, *jobQuery) {
	qry := &jobQuery{asked: asked, finding: fin, done: make(chan submission.Finding, 1)}
	jqs.last++
	jqs.open[jqs.last] = qry
	jqs.settle(jqs.last)
	return jqs.last, qry
}

// end removes a query that has waited long enough, and returns what is known by then.
func (jqs *jobQueries) end(num int64, qry *jobQuery) submission.Finding {
	delete(jqs.open, num)
	fin := qry.finding
	fin.Complete = fin.Complete && len(qry.asked) == 0
	return fin
}

// FindJob implements platform.Entry: it looks for a route's job at all instances that are heard, and cancels it if cancel is set.
func (dmn *Daemon) FindJob(ctx context.Context, rte config.Route, id string, cancel bool) submission.Finding {
	num, qry := dmn.beginJobQuery(ctx, rte.Name(), id, cancel)
	timeout := time.NewTimer(jobQueryTimeout)
	defer timeout.Stop()
	select {
	case fin := <-qry.done:
		return fin
	case <-timeout.C:
	case <-ctx.Done():
	}
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	return dmn.jobQueries.end(num, qry)
}

// beginJobQuery looks for a job here and asks the other instances for it. A job that is found here is one of theirs, too, only if its caller has submitted it
// again; so they are still told to cancel it, and their answers aren't waited for. Nothing is cancelled for a caller who has left, as the job may have been
// submitted anew since.
func (dmn *Daemon) beginJobQuery(ctx context.Context, route, id string, cancel bool) (int64, *jobQuery) {
	now := dmn.beginRequest(ctx, 0)
	defer dmn.endEvent(now)
	if callerHasLeft(ctx) {
		dmn.cnt.callersGone.Add(1)
		dmn.log.Info().Str("job", id).Str("route", route).Bool("cancel", cancel).Dur("request-age", tcp.RequestAge(ctx)).Msg("caller has left before its query was handled")
		return dmn.jobQueries.begin(submission.Finding{}, nil)
	}
	if dmn.coordinator == nil || len(dmn.jobQueries.open) >= maxJobQueries {
		return dmn.jobQueries.begin(submission.Finding{}, nil)
	}
	fin := submission.Finding{State: dmn.jobState(route, id, cancel, dmn.self), Complete: dmn.jobQueries.knowsAll(now)}
	asked := map[shard.InstanceID]bool{}
	if fin.State == submission.NoJob || cancel {
		for peer := range dmn.elector.Peers() {
			asked[peer] = true
		}
	}
	num, qry := dmn.jobQueries.begin(fin, asked)
	for peer := range asked {
		dmn.mesh.Send(peer, mesh.JobQuery{Number: num, Route: route, Job: id, Cancel: cancel})
	}
	return num, qry
}

// jobState returns the state of a job of this instance, and cancels it if cancel is set; from is the instance that asks.
func (dmn *Daemon) jobState(route, id string, cancel bool, from shard.InstanceID) submission.JobState {
	if !cancel {
		return dmn.coordinator.JobState(route, id)
	}
	sta, acts := dmn.coordinator.HandleCancel(route, id)
	dmn.runCoordinatorActions(acts)
	if sta != submission.NoJob {
		dmn.cnt.cancels.Add(1)
		dmn.log.Info().Str("job", id).Str("route", route).Str("from", string(from)).Bool("running", sta == submission.JobRunning).Msg("job cancelled")
	}
	return sta
}

// handleJobQuery answers another instance's query.
func (dmn *Daemon) handleJobQuery(from shard.InstanceID, qry mesh.JobQuery) {
	dmn.mesh.Send(from, mesh.JobAnswer{Number: qry.Number, State: dmn.jobState(qry.Route, qry.Job, qry.Cancel, from)})
}

// handleAnswer takes in another instance's answer.
func (jqs *jobQueries) handleAnswer(from shard.InstanceID, ans mesh.JobAnswer) {
	qry := jqs.open[ans.Number]
	if qry == nil {
		return
	}
	delete(qry.asked, from)
	qry.finding.State = max(qry.finding.State, ans.State)
	jqs.settle(ans.Number)
}

// handleHeard takes note that an instance is heard: it can be asked, and its machine's former processes have ended.
func (jqs *jobQueries) handleHeard(id shard.InstanceID) {
	for oth := range jqs.unheard {
		if mesh.Name(oth) == mesh.Name(id) {
			delete(jqs.unheard, oth)
		}
	}
}

// handleLoss takes note that an instance was lost, and whether its process may live.
func (jqs *jobQueries) handleLoss(now time.Time, id shard.InstanceID, mayLive bool) {
	jqs.forget(now)
	if mayLive {
		jqs.unheard[id] = now
	}
	for num, qry := range jqs.open {
		if qry.asked[id] {
			delete(qry.asked, id)
			qry.finding.Complete = qry.finding.Complete && !mayLive
			jqs.settle(num)
		}
	}
}

// knowsAll reports whether no instance may have a job open that can't be asked.
func (jqs *jobQueries) knowsAll(now time.Time) bool {
	jqs.forget(now)
	return len(jqs.unheard) == 0
}

// forget removes the instances that were lost long ago.
func (jqs *jobQueries) forget(now time.Time) {
	for id, at := range jqs.unheard {
		if now.Sub(at) > unheardMemory {
			delete(jqs.unheard, id)
		}
	}
}

// settle ends a query once the job is found or all instances have answered.
func (jqs *jobQueries) settle(num int64) {
	qry := jqs.open[num]
	if qry.finding.State == submission.NoJob && len(qry.asked) > 0 {
		return
	}
	delete(jqs.open, num)
	qry.done <- qry.finding
}
