package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/config"
)

// Configuration implements platform.Entry.
func (dmn *Daemon) Configuration() *config.Configuration { return dmn.cfg.Load() }

// AwaitStart implements platform.Entry. Requests that reach a process in its first second are served a little
// later; that they had to come again would cost their callers more.
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
	tmr := time.NewTimer(startPatience)
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

// Serving implements platform.Entry.
func (dmn *Daemon) Serving() bool { return !dmn.leaving.Load() }

// Waiting implements platform.Entry.
func (dmn *Daemon) Waiting(rte config.Route) int {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	if dmn.desk == nil {
		return 0
	}
	return dmn.desk.NotStartedCount(rte.Name())
}

// Refused implements platform.Entry.
func (dmn *Daemon) Refused(request, reason string, status int) {
	dmn.cnt.refusals.Add(1)
	dmn.log.Info().Str("request", request).Str("reason", reason).Int("status", status).Msg("refused")
}

// Submit implements platform.Entry.
func (dmn *Daemon) Submit(ctx context.Context, rte config.Route, sub submission.Submission) submission.Answer {
	sub.Route = rte.Name()
	dmn.cnt.submissions.Add(1)
	now := dmn.enter()
	if dmn.desk == nil {
		dmn.exit(now)
		return submission.Answer{
			Result: submission.NotRun, RetryAfter: retryAfter, Reason: "this instance is not registered yet",
		}
	}
	cal := dmn.nextCall()
	chn := make(chan submission.Answer, 1)
	dmn.callers[cal] = chn
	dmn.log.Info().Str("request", sub.Request).Str("job", sub.ID).Str("route", sub.Route).
		Int("priority", sub.Priority).Dur("patience", sub.CallerTimeout).Int64("config", dmn.cfg.Load().Version()).
		Msg("submitted")
	dmn.deskDo(dmn.desk.HandleSubmit(now, cal, sub))
	dmn.exit(now)
	select {
	case ans := <-chn:
		dmn.answered(&sub, ans, now)
		return ans
	case <-ctx.Done():
	}
	gone := dmn.enter()
	delete(dmn.callers, cal)
	dmn.deskDo(dmn.desk.HandleCallerGone(cal))
	dmn.exit(gone)
	ans := submission.Answer{Result: submission.Unfinished, Reason: "the caller closed its connection"}
	dmn.answered(&sub, ans, now)
	return ans
}

// logReport tells what came of an order. That it began is in its start's line, too.
func (dmn *Daemon) logReport(from shard.InstanceID, rep shard.Report) {
	lvl := zerolog.InfoLevel
	if rep.Outcome == shard.Begun {
		lvl = zerolog.DebugLevel
	}
	dmn.log.WithLevel(lvl).Str("task", rep.Task).Str("from", string(from)).Stringer("outcome", rep.Outcome).
		Dur("took", rep.Took).Str("server", string(rep.Server)).Bool("hopeless", rep.Hopeless).Msg("report")
}
