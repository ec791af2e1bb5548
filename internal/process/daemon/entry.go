package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/config"
)

// Configuration implements platform.Entry: it returns the configuration in force, nil if there is none yet.
func (dmn *Daemon) Configuration() *config.Configuration { return dmn.cfg.Load() }

// AwaitStart implements platform.Entry: it waits at most startWait until the instance is registered and configured. A request in a
// process's first second is served a little later; a refusal and a retry would cost its caller more.
func (dmn *Daemon) AwaitStart(ctx context.Context) {
	select {
	case <-dmn.joined:
		select {
		case <-dmn.configured:
			return
		default:
		}
	default:
	}
	tmr := time.NewTimer(startWait)
	defer tmr.Stop()
	for _, chn := range []chan struct{}{dmn.configured, dmn.joined} {
		select {
		case <-chn:
		case <-ctx.Done():
			return
		case <-tmr.C:
			return
		}
	}
}

// Serving implements platform.Entry: it reports whether new connections are welcome, which they aren't while the process stops.
func (dmn *Daemon) Serving() bool { return !dmn.stopping.Load() }

// Waiting implements platform.Entry: it returns how many submissions of a route have not begun.
func (dmn *Daemon) Waiting(rte config.Route) int {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	if dmn.coordinator == nil {
		return 0
	}
	return dmn.coordinator.NotStartedCount(rte.Name())
}

// Refused implements platform.Entry: it logs and counts a request that was answered without being submitted.
func (dmn *Daemon) Refused(request, reason string, status int) {
	dmn.cnt.refusals.Add(1)
	dmn.log.Info().Str("request", request).Str("reason", reason).Int("status", status).Msg("refused")
}

// Submit implements platform.Entry: it submits a job and waits for its answer, or until ctx ends because the caller has gone.
func (dmn *Daemon) Submit(ctx context.Context, rte config.Route, sub submission.Submission) submission.Answer {
	sub.Route = rte.Name()
	dmn.cnt.submissions.Add(1)
	now := dmn.beginRequest(ctx, sub.CallerTimeout)
	sub.Waited = tcp.RequestAge(ctx)
	dmn.cnt.requestAges.observe(sub.Waited)
	if reason := absence(ctx, &sub); reason != "" {
		dmn.logAbsence(ctx, &sub, reason)
		dmn.endEvent(now)
		return submission.Answer{Result: submission.NotRun, RetryAfter: retryAfter, Reason: reason}
	}
	if dmn.coordinator == nil {
		dmn.endEvent(now)
		return submission.Answer{
			Result: submission.NotRun, RetryAfter: retryAfter, Reason: "this instance is not registered yet",
		}
	}
	cal := dmn.nextCall()
	chn := make(chan submission.Answer, 1)
	dmn.callers[cal] = caller{ctx: ctx, job: sub.ID, answer: chn}
	dmn.log.Info().Str("request", sub.Request).Str("job", sub.ID).Str("route", sub.Route).
		Int("priority", sub.Priority).Dur("patience", sub.CallerTimeout).Int64("config", dmn.cfg.Load().Version()).
		Dur("connection-age", tcp.ConnectionAge(ctx)).Dur("request-age", sub.Waited).Msg("submitted")
	dmn.runCoordinatorActions(dmn.coordinator.HandleSubmit(now, cal, sub))
	dmn.endEvent(now)
	select {
	case ans := <-chn:
		dmn.recordAnswer(&sub, ans, now)
		return ans
	case <-ctx.Done():
	}
	gone := dmn.beginEvent()
	delete(dmn.callers, cal)
	dmn.runCoordinatorActions(dmn.coordinator.HandleCallerGone(cal))
	dmn.endEvent(gone)
	ans := submission.Answer{Result: submission.Unfinished, Reason: reasonCallerGone}
	dmn.recordAnswer(&sub, ans, now)
	return ans
}

// logReport logs the outcome of an order; the begin of a run only at debug level, as the log line of its start has it.
func (dmn *Daemon) logReport(from shard.InstanceID, rep shard.Report) {
	lvl := zerolog.InfoLevel
	if rep.Outcome == shard.Started {
		lvl = zerolog.DebugLevel
	}
	lin := dmn.log.WithLevel(lvl).Str("task", rep.Task).Str("from", string(from)).Stringer("outcome", rep.Outcome).
		Dur("took", rep.Took).Str("server", string(rep.Server)).Bool("hopeless", rep.TooLate)
	if rep.Outcome == shard.NotRun {
		dmn.cnt.countReturn(rep.Reason)
		lin = lin.Stringer("reason", rep.Reason)
	}
	if rep.Outcome == shard.OrderReplaced {
		lin = lin.Str("new-owner", string(rep.NewOwner))
	}
	lin.Msg("report")
}
