package daemon

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// causeCounters are the metrics of orders by why they were sent, and of what orders met at their leaders.
type causeCounters struct {
	// orders counts orders by reason, delays by what had kept their tasks from being ordered.
	orders [submission.OrderReasons]atomic.Int64
	delays [submission.OrderDelays]atomic.Int64
	// repeated counts the orders that met another one of their task at its leader, ofOtherOwner those of them whose owners differ.
	repeated, ofOtherOwner atomic.Int64
	// adopted counts the runs that were found at takeovers and connected to orders, adoptedEnds the ends.
	adopted, adoptedEnds atomic.Int64
}

// count counts an order by its cause.
func (cnt *causeCounters) count(cau *submission.OrderCause) {
	cnt.orders[cau.Reason].Add(1)
	cnt.delays[cau.Delay].Add(1)
}

// write passes the counters to line; recalls and orders for new leaders have counters of their own.
func (cnt *causeCounters) write(line func(string, int64)) {
	for rsn := submission.FirstOrder; rsn < submission.NewLeader; rsn++ {
		line("orders-"+rsn.String(), cnt.orders[rsn].Load())
	}
	for dly := submission.NoDelay + 1; dly < submission.OrderDelays; dly++ {
		line("orders-held-by-"+dly.String(), cnt.delays[dly].Load())
	}
	line("orders-repeated", cnt.repeated.Load())
	line("orders-of-another-owner", cnt.ofOtherOwner.Load())
	line("runs-adopted", cnt.adopted.Load())
	line("ends-adopted", cnt.adoptedEnds.Load())
}

// logOrder logs where an order goes and why; at debug level if it is a task's first one and expected to start at once, as the log line of the
// start has the same data.
func (dmn *Daemon) logOrder(act *submission.SendOrder) {
	lvl, cau := zerolog.InfoLevel, &act.Cause
	if act.Order.ReturnIfBusy && cau.Reason == submission.FirstOrder {
		lvl = zerolog.DebugLevel
	}
	lin := dmn.log.WithLevel(lvl).Str("task", act.Order.Task).Str("shard", string(act.Target.Shard)).
		Str("leader", string(act.Target.Leader)).Int64("token", act.Target.Token).Bool("recalled", act.Order.Recall).
		Bool("followed", act.Order.Reassigned).Stringer("reason", cau.Reason).Int("number", cau.Number)
	if cau.Former.Leader != "" {
		lin = lin.Str("former-shard", string(cau.Former.Shard)).Str("former-leader", string(cau.Former.Leader)).
			Int64("former-token", cau.Former.Token).Dur("former-ago", cau.FormerAge)
	}
	if cau.LastServer != "" {
		lin = lin.Str("last-server", string(cau.LastServer))
	}
	if cau.Return != shard.NoReason {
		lin = lin.Stringer("returned", cau.Return)
	}
	if cau.Loss != "" {
		lin = lin.Str("orphaned-by", string(cau.Loss)).Str("cause", cau.LossCause).Dur("orphaned-ago", cau.LossAge)
	}
	if act.Order.Reassigned {
		lin = lin.Dur("may-run-for", act.Order.MayRunFor).Int("former-shards", act.Order.FormerShards)
	}
	if cau.Delay != submission.NoDelay {
		lin = lin.Stringer("held-by", cau.Delay).Dur("held-for", cau.Delayed)
	}
	lin.Msg("order")
}

// logReturn logs on what evidence the leader of a shard is about to return an order that was with a former leader.
func (dmn *Daemon) logReturn(name shard.Name, act *shard.NoteReturn) {
	evd := "chain-of-leases"
	if act.Proven {
		evd = "all-servers"
	}
	dmn.log.Info().Str("task", act.Task).Str("shard", string(name)).Int64("token", dmn.tokenOf(name)).Str("owner", string(act.Owner)).
		Str("evidence", evd).Bool("proven", act.Proven).Int("servers", act.Servers).Dur("oldest-confirmed", act.OldestConfirmed).
		Dur("waited", act.Waited).Dur("may-run-for", act.MayRunFor).Msg("order that followed runs nowhere")
}

// logRepeatedOrder logs and counts an order that has met another one of its task at the leader of a shard.
func (dmn *Daemon) logRepeatedOrder(name shard.Name, act *shard.NoteRepeatedOrder) {
	dmn.cnt.causes.repeated.Add(1)
	if act.Owner != act.FormerOwner {
		dmn.cnt.causes.ofOtherOwner.Add(1)
	}
	lin := dmn.log.Info().Str("task", act.Task).Str("shard", string(name)).Int64("token", dmn.tokenOf(name)).Str("owner", string(act.Owner)).
		Str("former-owner", string(act.FormerOwner)).Dur("former-ago", act.FormerAge).Bool("former-cancelled", act.Cancelled).
		Bool("followed", act.Followed).Bool("former-kept", act.Kept)
	if act.Server != "" {
		lin = lin.Int64("run", act.Run.Number).Str("server", string(act.Server)).Bool("stopped", act.Stopped)
	}
	lin.Msg("order meets another one of its task")
}

// logAdoption logs and counts an order that was connected to a run which the leader of a shard has found at its takeover.
func (dmn *Daemon) logAdoption(name shard.Name, act *shard.NoteAdoption) {
	if act.Ended {
		dmn.cnt.causes.adoptedEnds.Add(1)
	} else {
		dmn.cnt.causes.adopted.Add(1)
	}
	dmn.log.Info().Str("task", act.Task).Int64("run", act.Run.Number).Str("server", string(act.Server)).Str("shard", string(name)).
		Int64("token", dmn.tokenOf(name)).Str("owner", string(act.Owner)).Dur("found-ago", act.Found).Bool("ended", act.Ended).
		Bool("stopped", act.Stopped).Msg("order adopts a run")
}
