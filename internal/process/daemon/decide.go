package daemon

import (
	"context"
	"maps"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/platform"
)

// enter takes the lock for an event and returns the time. A process whose machine was suspended first gives up
// what it believed: others have taken over meanwhile, and renewing leases now would keep alive what its
// callers have sent elsewhere.
func (dmn *Daemon) enter() time.Time {
	dmn.mu.Lock()
	now := dmn.now()
	if slp := dmn.prm.Suspended(); slp-dmn.suspended > frozenFor {
		dmn.thaw(now, slp-dmn.suspended)
		dmn.suspended = slp
	}
	return now
}

func (dmn *Daemon) thaw(now time.Time, slept time.Duration) {
	dmn.log.Warn().Dur("suspended", slept).Msg("the machine was suspended; giving up its shards")
	for name := range dmn.leaders {
		dmn.abandon(now, name, false)
	}
}

// exit carries out what the event led to and releases the lock.
func (dmn *Daemon) exit(now time.Time) {
	for len(dmn.local) > 0 {
		next := dmn.local[0]
		dmn.local = dmn.local[1:]
		next(now)
	}
	dmn.local = nil
	dmn.shareLoads(now)
	dmn.mu.Unlock()
}

// shareInterval is how old the own shards' loads may be in what the desk and the others are told; a task that
// goes after room that is gone bounces within 2 ms.
const shareInterval = 4 * time.Millisecond

// shareLoads tells the own desk, and with the next batch the others, what room the own shards have.
func (dmn *Daemon) shareLoads(now time.Time) {
	if dmn.desk == nil || len(dmn.leaders) == 0 || now.Sub(dmn.sharedAt) < shareInterval {
		return
	}
	dmn.sharedAt = now
	for name, ldr := range dmn.leaders {
		dmn.loads[name] = ldr.Load(now)
		dmn.deskDo(dmn.desk.SetLoad(name, dmn.loads[name]))
	}
	for len(dmn.local) > 0 {
		next := dmn.local[0]
		dmn.local = dmn.local[1:]
		next(now)
	}
}

// runTicks drives what is due by time alone.
func (dmn *Daemon) runTicks(ctx context.Context) error {
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
		}
		now := dmn.enter()
		dmn.tick(now)
		dmn.exit(now)
	}
}

func (dmn *Daemon) tick(now time.Time) {
	if dmn.listed && dmn.cfg.Load() != nil && len(dmn.entries) > 0 {
		if !dmn.council.Ready() {
			dmn.council.SetReady(now)
			// Two instances that don't know of each other that they are ready would both take a shard over.
			dmn.mesh.Nudge()
		}
	}
	take, leave := dmn.council.Decide(now)
	for _, name := range leave {
		dmn.abandon(now, name, false)
	}
	for _, shd := range take {
		if shd.Domain == dmn.prm.Settings.FailureDomain || dmn.reachable(now, shd) {
			dmn.takeOver(now, shd.Name)
		}
	}
	dmn.updateLeaders()
	dmn.updatePaces()
	for name, ldr := range dmn.leaders {
		dmn.shardDo(name, ldr.Tick(now))
	}
	dmn.deskDo(dmn.desk.Tick(now))
}

// takeOver makes this instance the leader of a shard.
func (dmn *Daemon) takeOver(now time.Time, name shard.Name) {
	tok := dmn.token()
	dmn.divisions.Confirm()
	ldr := shard.NewLeader(dmn.shardConfig(), name, tok, now)
	dmn.leaders[name] = ldr
	dmn.council.Took(name, tok)
	dmn.log.Info().Str("shard", string(name)).Int64("token", tok).Msg("taking the shard over")
	for shd, ents := range dmn.divided {
		if shd.Name == name {
			dmn.shardDo(name, ldr.SetServers(now, ents, dmn.entries))
		}
	}
	dmn.mesh.Nudge()
}

// abandon gives a shard up.
func (dmn *Daemon) abandon(now time.Time, name shard.Name, fenced bool) {
	ldr := dmn.leaders[name]
	delete(dmn.leaders, name)
	dmn.shardDo(name, ldr.Resign())
	dmn.council.Left(now, name, fenced)
	dmn.log.Info().Str("shard", string(name)).Bool("fenced", fenced).Msg("leaving the shard")
}

// updatePaces tells the mesh which instances depend on each other: all on those that lead.
func (dmn *Daemon) updatePaces() {
	paces := make(map[shard.InstanceID]int, len(dmn.council.Others()))
	for id, ins := range dmn.council.Others() {
		pace := strangerPace
		switch {
		case dmn.council.Leads() || len(ins.Leads) > 0:
			pace = 1
		case ins.Domain == dmn.prm.Settings.FailureDomain:
			pace = neighbourPace
		}
		paces[id] = pace
	}
	dmn.mesh.SetPaces(paces)
}

// updateLeaders tells the desk who leads what.
func (dmn *Daemon) updateLeaders() {
	for shd := range dmn.divided {
		led, tok := dmn.council.Leader(shd)
		near := shd.Domain == dmn.prm.Settings.FailureDomain
		tgt := submission.Target{Shard: shd.Name, Leader: led, Token: tok}
		dmn.deskDo(dmn.desk.SetLeader(tgt, near))
	}
}

// redivide cuts the listed backend servers into shards.
func (dmn *Daemon) redivide(now time.Time) {
	if dmn.council == nil {
		return
	}
	ents := make([]shard.ServerEntry, 0, len(dmn.entries))
	for _, ent := range dmn.entries {
		ents = append(ents, ent)
	}
	dmn.divided = dmn.divisions.Divide(ents)
	dmn.council.SetShards(succession.Sorted(dmn.divided))
	gone := maps.Clone(dmn.leaders)
	for shd, ents := range dmn.divided {
		delete(gone, shd.Name)
		if ldr := dmn.leaders[shd.Name]; ldr != nil {
			dmn.shardDo(shd.Name, ldr.SetServers(now, ents, dmn.entries))
		}
	}
	for name := range gone {
		if len(dmn.entries) > 0 {
			dmn.abandon(now, name, false)
		}
	}
}

// Beat implements mesh.Handler.
func (dmn *Daemon) Beat() mesh.Beat {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	bet := mesh.Beat{
		Domain: dmn.prm.Settings.FailureDomain, Processor: dmn.prm.Settings.Processor, Ready: dmn.council.Ready(),
		Leaving: dmn.leaving.Load(), Round: dmn.round, Divisions: maps.Clone(dmn.divisions),
	}
	if cfg := dmn.cfg.Load(); cfg != nil {
		bet.ConfigVersion = cfg.Version()
	}
	for name, ldr := range dmn.leaders {
		bet.Leads = append(bet.Leads, mesh.Lead{Shard: name, Token: ldr.Token(), Load: dmn.loads[name]})
	}
	return bet
}

// Heard implements mesh.Handler.
func (dmn *Daemon) Heard(from shard.InstanceID, bet mesh.Beat, msgs []mesh.Message) {
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.hear(now, from, bet)
	for _, msg := range msgs {
		dmn.takeMessage(now, from, msg)
	}
}

func (dmn *Daemon) hear(now time.Time, from shard.InstanceID, bet mesh.Beat) {
	dmn.round = max(dmn.round, bet.Round)
	if dmn.divisions.Merge(bet.Divisions) {
		dmn.log.Info().Str("from", string(from)).Interface("divisions", bet.Divisions).Msg("division into shards changed")
		dmn.redivide(now)
	}
	ins := succession.Instance{
		ID: from, Domain: bet.Domain, Processor: bet.Processor,
		Ready: bet.Ready, Leaving: bet.Leaving, Leads: map[shard.Name]int64{},
	}
	for _, led := range bet.Leads {
		ins.Leads[led.Shard] = led.Token
	}
	fresh, changed := dmn.council.Heard(ins)
	if fresh {
		dmn.log.Info().Str("instance", string(from)).Msg("instance heard")
	}
	if changed {
		dmn.updateLeaders()
	}
	for _, led := range bet.Leads {
		if dmn.desk.Leads(submission.Target{Shard: led.Shard, Leader: from, Token: led.Token}) {
			dmn.deskDo(dmn.desk.SetLoad(led.Shard, led.Load))
		}
	}
	if data := dmn.cfgData.Load(); data != nil && bet.ConfigVersion < dmn.cfg.Load().Version() {
		dmn.passConfiguration(now, from, *data)
	}
}

// passConfiguration gives a peer a newer configuration than it has, as the store may be out of its reach.
//
// A large one has a megabyte, and 40 instances that all pass it to all would stop the system; so a peer gets the time to
// read it by itself, and then the others send it in turn, in an order that differs from peer to peer.
func (dmn *Daemon) passConfiguration(now time.Time, to shard.InstanceID, data []byte) {
	turn := time.Duration(dmn.council.Rank(string(to)))
	if now.Sub(dmn.cfgAt) < passAfter+turn*passTurn || now.Sub(dmn.passed[to]) < passPause {
		return
	}
	dmn.passed[to] = now
	dmn.mesh.Send(to, mesh.Configuration{Data: data})
}

const (
	// passAfter is the time in which a peer reads a new configuration from a sound store, passTurn what each sender
	// leaves to the one before it: two of them fail before the two seconds are over that a change may take.
	passAfter = 500 * time.Millisecond
	passTurn  = 400 * time.Millisecond
	// passPause leaves a peer the time to say that it has the configuration.
	passPause = time.Second
)

func (dmn *Daemon) takeMessage(now time.Time, from shard.InstanceID, msg mesh.Message) {
	switch msg := msg.(type) {
	case mesh.Order:
		dmn.placeOrder(now, submission.Target{Shard: msg.Shard, Leader: dmn.self, Token: msg.Token}, msg.Order)
	case mesh.Withdrawal:
		if ldr := dmn.leader(msg.Shard, msg.Token); ldr != nil {
			dmn.shardDo(msg.Shard, ldr.Cancel(now, from, msg.Task))
		}
	case mesh.Report:
		dmn.logReport(from, msg.Report)
		dmn.deskDo(dmn.desk.Report(now, from, msg.Report))
	case mesh.Configuration:
		// It takes the lock itself.
		dmn.group.Go(func() error {
			dmn.takeConfiguration(msg.Data, string(from))
			return nil
		})
	}
}

// placeOrder gives an order to the leader of a shard, or says that it lies with none here.
func (dmn *Daemon) placeOrder(now time.Time, tgt submission.Target, ord shard.Order) {
	ldr := dmn.leader(tgt.Shard, tgt.Token)
	if ldr == nil {
		// Whoever leads the shard now may know of the task; the owner waits for it.
		dmn.tell(now, ord.Owner, shard.Report{Task: ord.Task, Token: tgt.Token, Outcome: shard.Lost})
		return
	}
	dmn.shardDo(tgt.Shard, ldr.Place(now, ord))
}

// tell passes a report to the owner of an order.
func (dmn *Daemon) tell(now time.Time, owner shard.InstanceID, rep shard.Report) {
	if owner != dmn.self {
		dmn.mesh.Send(owner, mesh.Report{Report: rep})
		return
	}
	dmn.logReport(dmn.self, rep)
	dmn.deskDo(dmn.desk.Report(now, dmn.self, rep))
}

// Lost implements mesh.Handler.
func (dmn *Daemon) Lost(id shard.InstanceID) {
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.log.Warn().Str("instance", string(id)).Msg("instance lost")
	dmn.council.Lost(now, id)
	for name, ldr := range dmn.leaders {
		dmn.shardDo(name, ldr.OwnerLost(now, id))
	}
	dmn.deskDo(dmn.desk.InstanceLost(now, id))
	dmn.updateLeaders()
}

// deskDo carries out what the desk decided.
func (dmn *Daemon) deskDo(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.Place:
			if act.Target.Leader != dmn.self {
				msg := mesh.Order{Shard: act.Target.Shard, Token: act.Target.Token, Order: act.Order}
				dmn.mesh.Send(act.Target.Leader, msg)
				continue
			}
			dmn.local = append(dmn.local, func(now time.Time) { dmn.placeOrder(now, act.Target, act.Order) })
		case submission.Withdraw:
			dmn.withdraw(act)
		case submission.Reply:
			dmn.reply(act)
		}
	}
}

func (dmn *Daemon) withdraw(act submission.Withdraw) {
	name := act.Target.Shard
	if act.Target.Leader != dmn.self {
		dmn.mesh.Send(act.Target.Leader, mesh.Withdrawal{Shard: name, Token: act.Target.Token, Task: act.Task})
		return
	}
	dmn.local = append(dmn.local, func(now time.Time) {
		if ldr := dmn.leader(name, act.Target.Token); ldr != nil {
			dmn.shardDo(name, ldr.Cancel(now, dmn.self, act.Task))
		}
	})
}

func (dmn *Daemon) reply(act submission.Reply) {
	if chn := dmn.callers[act.Call]; chn != nil {
		delete(dmn.callers, act.Call)
		chn <- act.Answer
	}
}

// shardDo carries out what a leader decided.
func (dmn *Daemon) shardDo(name shard.Name, acts []shard.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case shard.Tell:
			dmn.local = append(dmn.local, func(now time.Time) { dmn.tell(now, act.Owner, act.Report) })
		case shard.StartRun:
			dmn.group.Go(func() error { return dmn.startRun(name, act) })
		case shard.StopRun:
			dmn.group.Go(func() error { return dmn.stopRun(name, act) })
		case shard.Hold:
			dmn.group.Go(func() error { return dmn.hold(name, act) })
		}
	}
	if ldr := dmn.leaders[name]; ldr != nil && ldr.Lost() > 0 {
		dmn.abandon(dmn.now(), name, true)
	}
}

const (
	// startTimeout, stopTimeout and holdSlack, what a look may take besides its wait, are some 20 times what a sound
	// server takes. An order without an answer costs its task that long.
	startTimeout = 100 * time.Millisecond
	stopTimeout  = 80 * time.Millisecond
	holdSlack    = 80 * time.Millisecond
)

// leader returns the leader that an answer belongs to: an answer to an earlier one is dropped, as the
// new one has asked the servers again.
func (dmn *Daemon) leader(name shard.Name, token int64) *shard.Leader {
	if ldr := dmn.leaders[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

func (dmn *Daemon) startRun(name shard.Name, act shard.StartRun) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, startTimeout)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	sent := dmn.now()
	vdt, clk := dmn.prm.Servers.Start(ctx, srv, act.Run, act.Payload, act.Token, act.Until)
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.start(vdt, now.Sub(sent))
	dmn.log.Info().Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Int64("token", act.Token).Dur("took", now.Sub(sent)).Stringer("verdict", vdt).Msg("start")
	if ldr := dmn.leader(name, act.Token); ldr != nil {
		dmn.shardDo(name, ldr.Started(now, act.Server.ID, act.Run, vdt, clk))
	}
	return nil
}

func (dmn *Daemon) stopRun(name shard.Name, act shard.StopRun) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, stopTimeout)
	defer cancel()
	srv := platform.Server{ID: act.Server.ID, Address: act.Server.Address}
	vdt := dmn.prm.Servers.Stop(ctx, srv, act.Run, act.Token)
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.stops.Add(1)
	dmn.log.Info().Str("task", act.Run.Task).Int64("run", act.Run.Number).Str("server", string(act.Server.ID)).
		Stringer("verdict", vdt).Msg("stop")
	if ldr := dmn.leader(name, act.Token); ldr != nil {
		dmn.shardDo(name, ldr.Stopped(now, act.Server.ID, act.Run, vdt))
	}
	return nil
}

func (dmn *Daemon) hold(name shard.Name, act shard.Hold) error {
	if act.Pause > 0 && !pause(dmn.ctx, act.Pause) {
		return nil
	}
	ctx, cancel := context.WithTimeout(dmn.ctx, act.Wait+holdSlack)
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
