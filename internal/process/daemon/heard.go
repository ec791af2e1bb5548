package daemon

import (
	"maps"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// Heartbeat implements mesh.Handler.
func (dmn *Daemon) Heartbeat() mesh.Heartbeat {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	bet := mesh.Heartbeat{
		Domain: dmn.prm.Settings.FailureDomain, Processor: dmn.prm.Settings.Processor, Ready: dmn.council.Ready(),
		Leaving: dmn.leaving.Load(), TokenRound: dmn.round, Divisions: maps.Clone(dmn.divisions), ClosedDomains: dmn.domains.View(),
	}
	if cfg := dmn.cfg.Load(); cfg != nil {
		bet.ConfigVersion = cfg.Version()
	}
	now := dmn.now()
	bet.CompleteUpTo = dmn.listedTo(now)
	for name, ldr := range dmn.leaders {
		// The room that has just come free goes with the report of the end that freed it; the next beat may be 400 ms away.
		bet.Leaderships = append(bet.Leaderships, mesh.Leadership{Shard: name, Token: ldr.Token(), Load: ldr.Load(now)})
	}
	return bet
}

// HandleBatch implements mesh.Handler.
func (dmn *Daemon) HandleBatch(from shard.InstanceID, at time.Time, bet mesh.Heartbeat, msgs []mesh.Message) {
	now := dmn.enter()
	defer dmn.exit(now)
	for _, ldr := range dmn.leaders {
		ldr.OwnerHeard(from, at)
	}
	dmn.hear(now, from, bet)
	for _, msg := range msgs {
		dmn.takeMessage(now, from, msg)
	}
}

func (dmn *Daemon) hear(now time.Time, from shard.InstanceID, bet mesh.Heartbeat) {
	dmn.round = max(dmn.round, bet.TokenRound)
	dmn.mergeClosings(now, from, bet.ClosedDomains)
	dmn.hearListed(now, from, bet.CompleteUpTo)
	if dmn.divisions.Merge(bet.Divisions) {
		dmn.log.Info().Str("from", string(from)).Interface("divisions", bet.Divisions).Msg("division into shards changed")
		dmn.redivide(now)
	}
	ins := succession.Instance{
		ID: from, Domain: bet.Domain, Processor: bet.Processor,
		Ready: bet.Ready, Leaving: bet.Leaving, Leads: map[shard.Name]int64{},
	}
	for _, led := range bet.Leaderships {
		ins.Leads[led.Shard] = led.Token
	}
	fresh, changed := dmn.council.Heard(ins)
	if fresh {
		dmn.log.Info().Str("peer", string(from)).Msg("instance heard")
	}
	if changed {
		// First of all: a shard that another one leads by now is not led here until the next tick, or its orders would be both here
		// and there.
		dmn.leaveWeaker(now)
		dmn.updateLeaders()
		dmn.updatePaces()
	}
	for _, led := range bet.Leaderships {
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
// read it by itself, and then the others send it in turn: its neighbours first, who hear it most often, and the others in an
// order that differs from peer to peer.
func (dmn *Daemon) passConfiguration(now time.Time, to shard.InstanceID, data []byte) {
	turn := time.Duration(dmn.council.Turn(to))
	after := passAfter
	if dmn.cfgFromPeer {
		after = 0 // The store is out of this instance's reach, and more likely out of the peer's, too.
	}
	if now.Sub(dmn.cfgAt) < after+turn*passTurn || now.Sub(dmn.passed[to]) < passPause {
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
	case mesh.Cancellation:
		if ldr := dmn.leader(msg.Shard, msg.Token); ldr != nil {
			dmn.shardDo(msg.Shard, ldr.Cancel(now, from, msg.Task))
		}
	case mesh.Report:
		dmn.logReport(from, msg.Report)
		dmn.deskDo(dmn.desk.Report(now, from, msg.Report))
	case mesh.LossNotice:
		dmn.doubt(from, msg.Instance)
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
	dmn.noteOrder(ord.Owner)
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

// HandleStaleBatch implements mesh.Handler.
func (dmn *Daemon) HandleStaleBatch(from shard.InstanceID, age time.Duration, messages int) {
	dmn.cnt.lateBatches.Add(1)
	dmn.log.Warn().Str("peer", string(from)).Dur("age", age).Int("messages", messages).Msg("batch comes too late")
}

// HandleInstanceLost implements mesh.Handler.
func (dmn *Daemon) HandleInstanceLost(id shard.InstanceID, cau mesh.Cause) {
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.log.Warn().Str("peer", string(id)).Str("cause", string(cau)).Msg("instance lost")
	dmn.passOn(id, cau)
	dmn.council.Lost(now, id, cau.IsSilence())
	for name, ldr := range dmn.leaders {
		dmn.shardDo(name, ldr.OwnerLost(now, id))
	}
	dmn.deskDo(dmn.desk.InstanceLost(now, id))
	dmn.updateLeaders()
	dmn.updatePaces()
}

// passOn tells the own failure domain that one of its instances has fallen silent: not all of them watch it, and whoever is to take
// its shards over may not.
func (dmn *Daemon) passOn(lost shard.InstanceID, cau mesh.Cause) {
	ins := dmn.council.Others()[lost]
	if ins == nil || ins.Domain != dmn.prm.Settings.FailureDomain || !cau.IsSilence() || cau == mesh.Suspected {
		return // It was seen to end, or the others were told by whoever missed it first.
	}
	for id, oth := range dmn.council.Others() {
		if id != lost && oth.Domain == ins.Domain {
			dmn.mesh.Send(id, mesh.LossNotice{Instance: lost})
		}
	}
}

// doubt asks an instance at once that another one has missed.
func (dmn *Daemon) doubt(from, missed shard.InstanceID) {
	if missed == dmn.self || dmn.council.Others()[missed] == nil {
		return
	}
	dmn.log.Info().Str("peer", string(missed)).Str("from", string(from)).Msg("instance missed by another")
	dmn.mesh.Suspect(missed)
}
