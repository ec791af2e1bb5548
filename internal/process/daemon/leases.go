package daemon

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"chestnutstack/internal/request/shard"
)

// leaseCounters are the metrics of runs by why they are counted as over.
type leaseCounters struct {
	// lapsed runs are listed as such by their server, unlisted ones neither as running nor as ended; the leases of those in over have ended by any clock.
	// outlived counts the runs that a server listed after the end of each lease that was sent to it.
	lapsed, unlisted, over, outlived atomic.Int64
}

// write passes the counters to line.
func (cnt *leaseCounters) write(line func(string, int64)) {
	line("runs-lapsed", cnt.lapsed.Load())
	line("runs-not-listed", cnt.unlisted.Load())
	line("leases-over", cnt.over.Load())
	line("leases-outlived", cnt.outlived.Load())
}

// leaseFields adds what a leader knows of the leases on a server to a log line.
func leaseFields(lin *zerolog.Event, lse shard.LeaseState) *zerolog.Event {
	return lin.Int64("incarnation", int64(lse.Incarnation)).Dur("lease-until", lse.Until).Dur("clock", lse.Clock).Dur("clock-age", lse.ClockAge)
}

// logRunOver logs and counts on what evidence the leader of a shard counts a run as over.
func (dmn *Daemon) logRunOver(name shard.Name, act *shard.NoteRunOver) {
	switch act.Evidence {
	case shard.ListedAsLapsed:
		dmn.cnt.leases.lapsed.Add(1)
	case shard.LeaseOver:
		dmn.cnt.leases.over.Add(1)
	case shard.NotListed:
		dmn.cnt.leases.unlisted.Add(1)
	case shard.ListedAsDone, shard.ListedAsFailed, shard.ListedAsStopped, shard.FormerIncarnation, shard.ServerReplaced:
	}
	lin := dmn.log.Info().Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server)).
		Str("shard", string(name)).Int64("token", dmn.tokenOf(name)).Str("evidence", string(act.Evidence)).
		Dur("extended-ago", act.Extended).Dur("accepted-ago", act.Accepted).Bool("followed", act.Followed)
	if act.StopReason != "" {
		lin = lin.Str("stop-reason", string(act.StopReason)).Dur("stop-ago", act.StopSent).Dur("stop-accepted-ago", act.StopAccepted)
	}
	leaseFields(lin, act.Lease).Msg("run is over")
}

// logOutlivedLease logs and counts a run that has outlived the leases of the leader of a shard.
func (dmn *Daemon) logOutlivedLease(name shard.Name, act *shard.NoteOutlivedLease) {
	dmn.cnt.leases.outlived.Add(1)
	lin := dmn.log.Warn().Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server)).
		Str("shard", string(name)).Int64("token", dmn.tokenOf(name))
	leaseFields(lin, act.Lease).Msg("run has outlived its lease")
}

// tokenOf returns the token with which this instance leads a shard, 0 if it doesn't.
func (dmn *Daemon) tokenOf(name shard.Name) int64 {
	if ldr := dmn.leaders[name]; ldr != nil {
		return ldr.Token()
	}
	return 0
}
