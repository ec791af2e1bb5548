package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/request/submission"
)

// The reasons of answers to requests whose callers don't wait for them.
const (
	// reasonCallerGone means that the caller has closed its connection.
	reasonCallerGone = "the caller closed its connection"
	// reasonCallerLate means that the caller's deadline passed while its request waited to be read.
	reasonCallerLate = "the deadline passed before the request was read"
)

// caller is a call of Submit that waits for its answer.
type caller struct {
	ctx    context.Context //nolint:containedctx // it has the connection of the request
	job    string
	answer chan<- submission.Answer
}

// callerLookInterval bounds how long the end of a connection goes unnoticed behind bytes that are not read, such as a request that is sent ahead. It is
// the time in which a lost instance is noticed, so that the runs are over within minResendAfter.
const callerLookInterval = missedHeartbeats * heartbeatInterval

// callersMayHaveLeft reports whether callers are to be looked at: after a pause, once the sockets are read after a long one, and each
// callerLookInterval.
func (dmn *Daemon) callersMayHaveLeft(now time.Time) bool {
	paused := !dmn.lastTickAt.IsZero() && now.Sub(dmn.lastTickAt) > pauseThreshold && dmn.callersSeenBefore != dmn.lastTickAt
	socketsRead := dmn.callersSeenAt.Before(dmn.socketsReadAt) && !now.Before(dmn.socketsReadAt)
	return paused || socketsRead || now.Sub(dmn.callersSeenAt) >= callerLookInterval
}

// discardAbsentCallers ends the calls whose callers have left, before the ends of their connections are read.
func (dmn *Daemon) discardAbsentCallers(now time.Time) {
	dmn.callersSeenAt, dmn.callersSeenBefore = now, dmn.lastTickAt
	for _, cal := range slices.Sorted(maps.Keys(dmn.callers)) {
		clr, waits := dmn.callers[cal]
		if !waits || !callerHasLeft(clr.ctx) {
			continue
		}
		delete(dmn.callers, cal)
		dmn.cnt.callersGone.Add(1)
		dmn.log.Info().Str("job", clr.job).Dur("connection-age", tcp.ConnectionAge(clr.ctx)).Bool("after-pause", now.Sub(dmn.lastTickAt) > pauseThreshold).
			Msg("caller has left, found by a look")
		clr.answer <- submission.Answer{Result: submission.Unfinished, Reason: reasonCallerGone}
		dmn.runCoordinatorActions(dmn.coordinator.HandleCallerGone(cal))
	}
	dmn.runLocalActions(now) // Before the event lets the own leaders start what is cancelled.
}

// beginRequest is beginEvent for a request. After a long pause of the process, and if the request has waited for long, it first waits for the end of
// the connection, which is read behind the request: the caller may have left, and its job may run elsewhere. It doesn't wait if the request is older
// than patience, which is how long its caller waits, 0 if that is not known.
func (dmn *Daemon) beginRequest(ctx context.Context, patience time.Duration) time.Time {
	if age := tcp.RequestAge(ctx); age > longPauseThreshold && (patience == 0 || age < patience) {
		sleepContext(ctx, socketReadTime)
	}
	for {
		now := dmn.beginEvent()
		wait := dmn.socketsReadAt.Sub(now)
		if wait <= 0 {
			return now
		}
		dmn.endEvent(now)
		if !sleepContext(ctx, wait) {
			return dmn.beginEvent()
		}
	}
}

// callerHasLeft reports whether the caller of a request has left, as far as is known here. The context ends only once the end of the connection is read.
func callerHasLeft(ctx context.Context) bool { return ctx.Err() != nil || tcp.CallerHasLeft(ctx) }

// absence returns why the caller of a job doesn't wait for its answer any more, so that the job may run elsewhere by now; empty if it waits.
func absence(ctx context.Context, sub *submission.Submission) string {
	switch {
	case callerHasLeft(ctx):
		return reasonCallerGone
	case sub.Waited >= sub.CallerTimeout:
		return reasonCallerLate
	}
	return ""
}

// logAbsence logs and counts a job that is not submitted as its caller doesn't wait for it, with the last long pause of the process, which may have
// delayed it.
func (dmn *Daemon) logAbsence(ctx context.Context, sub *submission.Submission, reason string) {
	dmn.cnt.callersGone.Add(1)
	lin := dmn.log.Info().Str("request", sub.Request).Str("job", sub.ID).Str("route", sub.Route).Str("reason", reason).
		Dur("patience", sub.CallerTimeout).Dur("connection-age", tcp.ConnectionAge(ctx)).Dur("request-age", sub.Waited)
	if dmn.longPause > 0 {
		lin = lin.Dur("last-pause", dmn.longPause).Dur("resumed-ago", dmn.now().Sub(dmn.socketsReadAt.Add(-socketReadTime)))
	}
	lin.Msg("caller has left before its job was submitted")
}
