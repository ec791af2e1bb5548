package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/platform"
)

// runCoordinatorActions executes actions that the coordinator returned; those for this instance are queued in localActions.
func (dmn *Daemon) runCoordinatorActions(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.SendOrder:
			dmn.cnt.countOrder(&act)
			dmn.logOrder(&act)
			if act.Target.Leader != dmn.self {
				dmn.noteOpenOrder(act.Target.Leader)
				msg := mesh.Order{Shard: act.Target.Shard, Token: act.Target.Token, Order: act.Order}
				dmn.mesh.Send(act.Target.Leader, msg)
				continue
			}
			dmn.localActions = append(dmn.localActions, func(now time.Time) { dmn.placeOrder(now, act.Target, act.Order) })
		case submission.CancelOrder:
			dmn.cancelOrder(act)
		case submission.Reply:
			dmn.replyToCaller(act)
		case submission.RecordAdmission:
			dmn.logAdmission(&act)
		case submission.CorrectionChange:
			dmn.logCorrectionChange(&act)
		case submission.FeatureChange:
			dmn.logFeatureChange("", &act.Change)
		}
	}
}

// cancelOrder has the leader of a shard cancel an order.
func (dmn *Daemon) cancelOrder(act submission.CancelOrder) {
	name := act.Target.Shard
	dmn.log.Info().Str("task", act.Task).Str("shard", string(name)).Str("leader", string(act.Target.Leader)).Bool("followed", act.Followed).
		Msg("withdraw")
	if act.Target.Leader != dmn.self {
		dmn.mesh.Send(act.Target.Leader, mesh.Cancellation{Shard: name, Token: act.Target.Token, Task: act.Task, Followed: act.Followed})
		return
	}
	dmn.localActions = append(dmn.localActions, func(now time.Time) {
		if ldr := dmn.leaderWithToken(name, act.Target.Token); ldr != nil {
			dmn.runLeaderActions(name, ldr.Cancel(now, dmn.self, act.Task, act.Followed))
		}
	})
}

// logAdmission logs and counts why a job was admitted or refused.
func (dmn *Daemon) logAdmission(act *submission.RecordAdmission) {
	dmn.cnt.countAdmission(act)
	lin := dmn.log.Info().Str("job", act.ID).Dur("work", act.ExpectedRunTime).Dur("due", act.DueIn).Dur("useful", act.UsefulFor).
		Bool("room", act.HasFreeCapacity).Float64("correction", act.Correction)
	if len(act.ExpectedWaits) > 0 {
		lin = lin.Durs("waits", act.ExpectedWaits)
	}
	if act.Refused {
		lin.Msg("not admitted")
		return
	}
	lin.Msg("admitted")
}

// replyToCaller passes a final answer to the waiting Submit, if its caller hasn't gone.
func (dmn *Daemon) replyToCaller(act submission.Reply) {
	if clr, waits := dmn.callers[act.Call]; waits {
		delete(dmn.callers, act.Call)
		clr.answer <- act.Answer
	}
}

// runLeaderActions executes actions that the leader of a shard returned; calls to backend servers run in the background. It resigns the
// shard if a backend server has obeyed a newer token.
func (dmn *Daemon) runLeaderActions(name shard.Name, acts []shard.Action) {
	timeout := dmn.uplink.AnswerTimeout()
	lst := dmn.listState(dmn.now())
	for _, act := range acts {
		switch act := act.(type) {
		case shard.SendReport:
			dmn.localActions = append(dmn.localActions, func(now time.Time) { dmn.sendReport(now, act.Owner, act.Report) })
		case shard.QuarantineServer:
			dmn.cnt.quarantines.Add(1)
			dmn.log.Info().Str("server", string(act.Server)).Float64("measure", act.Measure).Float64("level", act.Level).Dur("pause", act.Duration).
				Msg(act.Reason)
		case shard.NoteIncarnation:
			dmn.log.Info().Str("server", string(act.Server)).Str("shard", string(name)).Int64("known-incarnation", int64(act.Known)).
				Int64("incarnation", int64(act.Told)).Int("runs-carried", act.Carried).Msg(act.Reason)
		case shard.NoteRunOver:
			dmn.logRunOver(name, &act)
		case shard.NoteOutlivedLease:
			dmn.logOutlivedLease(name, &act)
		case shard.FeatureChange:
			dmn.logFeatureChange(name, &act)
		case shard.NotePreemption:
			dmn.logPreemption(name, &act)
		case shard.ReadList:
			dmn.requestListRead()
		case shard.NoteReturn:
			dmn.logReturn(name, &act)
		case shard.NoteRepeatedOrder:
			dmn.logRepeatedOrder(name, &act)
		case shard.NoteAdoption:
			dmn.logAdoption(name, &act)
		case shard.StartRun:
			dmn.cnt.urgent.waits[act.Priority].observe(act.Waited)
			dmn.group.Go(func() error { return dmn.startRun(name, act, lst, timeout) })
		case shard.StopRun:
			dmn.group.Go(func() error { return dmn.stopRun(name, act, timeout) })
		case shard.Renew:
			dmn.group.Go(func() error { return dmn.renew(name, act, act.WaitForEnd+timeout) })
		}
	}
	if ldr := dmn.leaders[name]; ldr != nil && ldr.LostServers() > 0 {
		dmn.resignShard(dmn.now(), name, true)
	}
}

// logFeatureChange logs that a feature has begun or ended to act in a shard or, without a shard, in this owner's decisions.
func (dmn *Daemon) logFeatureChange(name shard.Name, act *shard.FeatureChange) {
	lin := dmn.log.Info().Str("feature", string(act.Feature))
	if name != "" {
		lin = lin.Str("shard", string(name))
	}
	for _, fig := range act.Figures {
		lin = lin.Float64(fig.Name, fig.Value)
	}
	if act.Active {
		lin.Msg("feature begins to act")
		return
	}
	lin.Msg("feature ends to act")
}

// leaderWithToken returns the leader of a shard if it holds the token, else nil. An answer to an earlier leader is dropped, as the new one
// has asked the servers again.
func (dmn *Daemon) leaderWithToken(name shard.Name, token int64) *shard.Leader {
	if ldr := dmn.leaders[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

// startRun starts a run on a backend server, with a timeout for the answer, and passes the result to the leader that ordered it by a state of
// the list of servers.
func (dmn *Daemon) startRun(name shard.Name, act shard.StartRun, lst listState, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, timeout)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	sent := dmn.now()
	clr, clk, err := dmn.prm.Servers.Start(ctx, srv, act.Run, act.Payload, act.Token, act.LeaseUntil)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.cnt.countStart(clr, now.Sub(sent))
	dmn.uplink.HandleStartResult(act.Payload, now.Sub(sent), clr)
	lin := dmn.log.Info().Err(err).Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Str("shard", string(name)).Int64("token", act.Token).Str("owner", string(act.Owner)).Int("attempt", act.Attempt).Int("repeat", act.Repeat).
		Dur("waited", act.Waited).Dur("took", now.Sub(sent)).Stringer("verdict", clr).
		Int64("processor-used", act.UsedProcessor).Int64("processor-room", act.Server.Processor).
		Int64("memory-used", act.UsedMemory).Int64("memory-room", act.Server.Memory).
		Int64("list-offset", lst.offset).Dur("list-age", lst.age).Dur("clock-answered", clk)
	leaseFields(lin, act.Lease).Msg("start")
	if ldr := dmn.leaderWithToken(name, act.Token); ldr != nil {
		dmn.runLeaderActions(name, ldr.HandleStartResult(now, act.Server.ID, act.Run, clr, clk))
	}
	return nil
}

// stopRun stops a run on a backend server, with a timeout for the answer, and passes the result to the leader that ordered it.
func (dmn *Daemon) stopRun(name shard.Name, act shard.StopRun, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, timeout)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	clr, err := dmn.prm.Servers.Stop(ctx, srv, act.Run, act.Token)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.cnt.stops.Add(1)
	dmn.log.Info().Err(err).Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Str("shard", string(name)).Int64("token", act.Token).Str("reason", string(act.Reason)).Stringer("verdict", clr).Msg("stop")
	if ldr := dmn.leaderWithToken(name, act.Token); ldr != nil {
		dmn.runLeaderActions(name, ldr.HandleStopResult(now, act, clr))
	}
	return nil
}

// renew waits for the action's pause, extends the leases on a backend server and passes the server's list of runs to the leader.
func (dmn *Daemon) renew(name shard.Name, act shard.Renew, timeout time.Duration) error {
	if act.Delay > 0 && !sleepContext(dmn.ctx, act.Delay) {
		return nil
	}
	ctx, cancel := context.WithTimeout(dmn.ctx, timeout)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	sent := dmn.now()
	res, clr, err := dmn.prm.Servers.Hold(ctx, srv, act.Token, act.AckedSeq, act.LeaseUntil, act.WaitForEnd)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.cnt.renewals.Add(1)
	if clr != shard.Accepted {
		dmn.log.Warn().Err(err).Str("server", string(act.Server.ID)).Int64("token", act.Token).Stringer("verdict", clr).
			Dur("lease-until", act.LeaseUntil).Dur("took", now.Sub(sent)).Msg("look failed")
	}
	if ldr := dmn.leaderWithToken(name, act.Token); ldr != nil {
		if clr == shard.Accepted {
			dmn.rounds.HandleAccepted(name)
		}
		dmn.runLeaderActions(name, ldr.HandleRenewResult(now, sent, act, res, clr))
	}
	return nil
}
