package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/platform"
)

// deskDo carries out what the desk decided.
func (dmn *Daemon) deskDo(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.Place:
			dmn.logPlace(&act)
			if act.Target.Leader != dmn.self {
				dmn.noteOrder(act.Target.Leader)
				msg := mesh.Order{Shard: act.Target.Shard, Token: act.Target.Token, Order: act.Order}
				dmn.mesh.Send(act.Target.Leader, msg)
				continue
			}
			dmn.local = append(dmn.local, func(now time.Time) { dmn.placeOrder(now, act.Target, act.Order) })
		case submission.Withdraw:
			dmn.withdraw(act)
		case submission.Reply:
			dmn.reply(act)
		case submission.Admit:
			dmn.logAdmission(&act)
		}
	}
}

// logPlace tells where an order goes, unless it is believed to start there at once, which its start will tell.
func (dmn *Daemon) logPlace(act *submission.Place) {
	lvl := zerolog.InfoLevel
	if act.Order.Bounce {
		lvl = zerolog.DebugLevel
	}
	dmn.log.WithLevel(lvl).Str("task", act.Order.Task).Str("shard", string(act.Target.Shard)).
		Str("leader", string(act.Target.Leader)).Int64("token", act.Target.Token).Bool("recalled", act.Order.Recall).
		Bool("followed", act.Order.Followed).Msg("order")
}

func (dmn *Daemon) withdraw(act submission.Withdraw) {
	name := act.Target.Shard
	dmn.log.Info().Str("task", act.Task).Str("shard", string(name)).Str("leader", string(act.Target.Leader)).Msg("withdraw")
	if act.Target.Leader != dmn.self {
		dmn.mesh.Send(act.Target.Leader, mesh.Cancellation{Shard: name, Token: act.Target.Token, Task: act.Task})
		return
	}
	dmn.local = append(dmn.local, func(now time.Time) {
		if ldr := dmn.leader(name, act.Target.Token); ldr != nil {
			dmn.shardDo(name, ldr.Cancel(now, dmn.self, act.Task))
		}
	})
}

// logAdmission tells why a job was admitted or refused.
func (dmn *Daemon) logAdmission(act *submission.Admit) {
	dmn.cnt.admission(act)
	lin := dmn.log.Info().Str("job", act.ID).Dur("work", act.Work).Dur("due", act.Due).Dur("useful", act.Useful).
		Bool("room", act.Room)
	if len(act.Waits) > 0 {
		lin = lin.Durs("waits", act.Waits)
	}
	if act.Refused {
		lin.Msg("not admitted")
		return
	}
	lin.Msg("admitted")
}

func (dmn *Daemon) reply(act submission.Reply) {
	if chn := dmn.callers[act.Call]; chn != nil {
		delete(dmn.callers, act.Call)
		chn <- act.Answer
	}
}

// shardDo carries out what a leader decided.
func (dmn *Daemon) shardDo(name shard.Name, acts []shard.Action) {
	patience := dmn.uplink.Patience()
	for _, act := range acts {
		switch act := act.(type) {
		case shard.Tell:
			dmn.local = append(dmn.local, func(now time.Time) { dmn.tell(now, act.Owner, act.Report) })
		case shard.PauseServer:
			dmn.log.Info().Str("server", string(act.Server)).Float64("measure", act.Measure).Dur("pause", act.Pause).
				Msg(act.Reason)
		case shard.StartRun:
			dmn.group.Go(func() error { return dmn.startRun(name, act, patience) })
		case shard.StopRun:
			dmn.group.Go(func() error { return dmn.stopRun(name, act, patience) })
		case shard.Hold:
			dmn.group.Go(func() error { return dmn.hold(name, act, act.Wait+patience) })
		}
	}
	if ldr := dmn.leaders[name]; ldr != nil && ldr.Lost() > 0 {
		dmn.abandon(dmn.now(), name, true)
	}
}

// leader returns the leader that an answer belongs to: an answer to an earlier one is dropped, as the
// new one has asked the servers again.
func (dmn *Daemon) leader(name shard.Name, token int64) *shard.Leader {
	if ldr := dmn.leaders[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

func (dmn *Daemon) startRun(name shard.Name, act shard.StartRun, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, patience)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	sent := dmn.now()
	vdt, clk, err := dmn.prm.Servers.Start(ctx, srv, act.Run, act.Payload, act.Token, act.Until)
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.start(vdt, now.Sub(sent))
	dmn.uplink.Answered(act.Payload, now.Sub(sent), vdt)
	dmn.log.Info().Err(err).Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Int64("token", act.Token).Dur("took", now.Sub(sent)).Stringer("verdict", vdt).Msg("start")
	if ldr := dmn.leader(name, act.Token); ldr != nil {
		dmn.shardDo(name, ldr.Started(now, act.Server.ID, act.Run, vdt, clk))
	}
	return nil
}

func (dmn *Daemon) stopRun(name shard.Name, act shard.StopRun, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, patience)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	vdt, err := dmn.prm.Servers.Stop(ctx, srv, act.Run, act.Token)
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.stops.Add(1)
	dmn.log.Info().Err(err).Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Stringer("verdict", vdt).Msg("stop")
	if ldr := dmn.leader(name, act.Token); ldr != nil {
		dmn.shardDo(name, ldr.Stopped(now, act.Server.ID, act.Run, vdt))
	}
	return nil
}

func (dmn *Daemon) hold(name shard.Name, act shard.Hold, patience time.Duration) error {
	if act.Pause > 0 && !pause(dmn.ctx, act.Pause) {
		return nil
	}
	ctx, cancel := context.WithTimeout(dmn.ctx, patience)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	sent := dmn.now()
	look, vdt, err := dmn.prm.Servers.Hold(ctx, srv, act.Token, act.Seen, act.Until, act.Wait)
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.looks.Add(1)
	if vdt != shard.Accepted {
		dmn.log.Warn().Err(err).Str("server", string(act.Server.ID)).Stringer("verdict", vdt).Msg("look failed")
	}
	if ldr := dmn.leader(name, act.Token); ldr != nil {
		dmn.shardDo(name, ldr.Looked(now, sent, act, look, vdt))
	}
	return nil
}
