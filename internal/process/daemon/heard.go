package daemon

import (
	"maps"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// Heartbeat implements mesh.Handler: it returns the content of this instance's next heartbeat.
func (dmn *Daemon) Heartbeat() mesh.Heartbeat {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	bet := mesh.Heartbeat{
		Domain: dmn.prm.Settings.FailureDomain, Processor: dmn.prm.Settings.Processor, Ready: dmn.elector.Ready(),
		Stopping: dmn.stopping.Load(), Leaving: dmn.leaving.Load(), TokenRound: dmn.rounds.Highest(), Divisions: maps.Clone(dmn.divisions), ClosedDomains: dmn.closedDomains.View(),
	}
	if cfg := dmn.cfg.Load(); cfg != nil {
		bet.ConfigVersion = cfg.Version()
	}
	now := dmn.now()
	bet.CompleteUpTo = dmn.completeListOffset(now)
	if dmn.follower.Exact() {
		bet.ListOffset = dmn.follower.KnownTo()
	}
	siz := dmn.limit.Size()
	bet.ListBytes, bet.ListRate, bet.WantsList = siz.Full, siz.PerSecond, dmn.wants && (dmn.gap || !dmn.follower.Known()) || dmn.behind
	for name, ldr := range dmn.leaders {
		// Capacity that has just become free is also in the report of the run's end, as the next heartbeat may be 400 ms away.
		bet.Leaderships = append(bet.Leaderships, mesh.Leadership{Shard: name, Token: ldr.Token(), Load: ldr.Load(now)})
	}
	return bet
}

// HandleBatch implements mesh.Handler: it processes a heartbeat and the messages of an instance that was alive at a time, by the own clock.
func (dmn *Daemon) HandleBatch(from shard.InstanceID, at time.Time, bet mesh.Heartbeat, msgs []mesh.Message) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if len(msgs) > 0 {
		dmn.cnt.batchAges.observe(now.Sub(at))
	}
	for _, ldr := range dmn.leaders {
		ldr.HandleOwnerHeard(from, at)
	}
	dmn.elector.HandleHeard(now)
	dmn.handleHeartbeat(now, from, bet)
	for _, msg := range msgs {
		dmn.handleMessage(now, from, msg)
	}
}

// handleHeartbeat merges the state in another instance's heartbeat and updates leaders and heartbeat intervals if leadership changed.
func (dmn *Daemon) handleHeartbeat(now time.Time, from shard.InstanceID, bet mesh.Heartbeat) {
	if _, known := dmn.firstHeardAt[from]; !dmn.rounds.HandleHeard(bet.TokenRound) && !known {
		dmn.log.Error().Str("peer", string(from)).Int64("round", bet.TokenRound).Msg("instance tells an impossible round")
	}
	dmn.mergeClosings(now, from, bet.ClosedDomains)
	dmn.handleCompleteOffset(now, from, bet.CompleteUpTo)
	dmn.handleListState(from, &bet)
	if dmn.divisions.Merge(bet.Divisions) {
		dmn.log.Info().Str("from", string(from)).Interface("divisions", bet.Divisions).Msg("division into shards changed")
		dmn.updateShards(now)
	}
	ins := succession.Instance{
		ID: from, Domain: bet.Domain, Cores: bet.Processor,
		Ready: bet.Ready, Stopping: bet.Stopping, Leaving: bet.Leaving, Leads: map[shard.Name]int64{}, Divisions: bet.Divisions,
	}
	for _, led := range bet.Leaderships {
		ins.Leads[led.Shard] = led.Token
	}
	fresh, changed := dmn.elector.HandleHeartbeat(ins)
	if fresh {
		dmn.firstHeardAt[from] = now
		dmn.jobQueries.handleHeard(from)
		dmn.log.Info().Str("peer", string(from)).Msg("instance heard")
	}
	if changed {
		// Before anything else, not at the next tick: a shard that another instance leads by now would have its orders on both.
		dmn.resignSuperseded(now)
		dmn.updateLeaders()
		dmn.updateSchedule()
	}
	dmn.coordinator.NoteTime(now)
	for _, led := range bet.Leaderships {
		if dmn.coordinator.IsLeader(submission.Target{Shard: led.Shard, Leader: from, Token: led.Token}) {
			dmn.runCoordinatorActions(dmn.coordinator.HandleLoad(led.Shard, led.Load))
		}
	}
	if data := dmn.cfgData.Load(); data != nil && bet.ConfigVersion < dmn.cfg.Load().Version() {
		dmn.sendConfiguration(now, from, *data)
	}
	dmn.sendServerChanges(now, from, bet.ListOffset)
	// An instance that starts wants the list before it knows whether its own read is limited.
	if bet.WantsList && (dmn.limited || !dmn.limit.FullReadsFit(len(dmn.elector.Peers()))) {
		dmn.sendWholeList(now, from, bet.ListOffset)
	}
}

// sendConfiguration sends a configuration to an instance with an older one, as the store may be out of its reach.
//
// A large configuration has 1 MB, and 40 instances that all sent it to all would saturate the network. So the other instance first gets
// the time to read it from the store; then the senders take turns: its neighbours first, whose heartbeats it gets most often, the others
// in an order that differs by receiver. The turns of an instance that has just started count from when it was first heard: sent by all at
// once, the configuration would fill its link for seconds, and it would lose all other instances.
func (dmn *Daemon) sendConfiguration(now time.Time, to shard.InstanceID, data []byte) {
	turn := time.Duration(dmn.elector.NotifyRank(to))
	after := configSendDelay
	if dmn.cfgFromPeer {
		after = 0 // The store is out of this instance's reach, so probably out of the other's, too.
	}
	lacking := dmn.cfgAt
	if first := dmn.firstHeardAt[to]; first.After(lacking) {
		lacking = first
	}
	if now.Sub(lacking) < after+turn*configSendStagger || now.Sub(dmn.configSentAt[to]) < configSendPause {
		return
	}
	dmn.configSentAt[to] = now
	dmn.cnt.configsSent.Add(1)
	dmn.log.Info().Str("peer", string(to)).Int("bytes", len(data)).Int64("version", dmn.cfg.Load().Version()).Msg("configuration sent")
	dmn.mesh.Send(to, mesh.Configuration{Data: data})
}

const (
	// configSendDelay is the time in which an instance reads a new configuration from a working store; configSendStagger is the time
	// between the turns of two senders, so that two of them may fail within the 2 s that a configuration change may take.
	configSendDelay   = 500 * time.Millisecond
	configSendStagger = 400 * time.Millisecond
	// configSendPause is the minimum time between two sends to an instance, so that it can report that it has the configuration.
	configSendPause = time.Second
)

// handleMessage processes a message of another instance.
func (dmn *Daemon) handleMessage(now time.Time, from shard.InstanceID, msg mesh.Message) {
	switch msg := msg.(type) {
	case mesh.Order:
		dmn.placeOrder(now, submission.Target{Shard: msg.Shard, Leader: dmn.self, Token: msg.Token}, msg.Order)
	case mesh.Cancellation:
		if ldr := dmn.leaderWithToken(msg.Shard, msg.Token); ldr != nil {
			dmn.runLeaderActions(msg.Shard, ldr.Cancel(now, from, msg.Task, msg.Followed))
		}
	case mesh.Report:
		dmn.logReport(from, msg.Report)
		dmn.runCoordinatorActions(dmn.coordinator.HandleReport(now, from, msg.Report))
	case mesh.LossNotice:
		dmn.suspectPeer(from, msg.Instance)
	case mesh.JobQuery:
		dmn.handleJobQuery(from, msg)
	case mesh.JobAnswer:
		dmn.jobQueries.handleAnswer(from, msg)
	case mesh.ServerSpeeds:
		dmn.handleServerSpeeds(now, from, msg.Told)
	case mesh.ServerChanges:
		dmn.handleServerChanges(now, from, msg.Data)
	case mesh.ServerList:
		// In the background, as it takes some milliseconds and the lock that is held here.
		dmn.group.Go(func() error {
			dmn.handleServerList(from, msg.Data)
			return nil
		})
	case mesh.Configuration:
		// In the background, as it takes the lock that is held here.
		dmn.group.Go(func() error {
			dmn.applyConfiguration(msg.Data, string(from))
			return nil
		})
	}
}

// placeOrder passes an order to the leader of its shard, or reports it lost if this instance doesn't lead the shard with that token.
func (dmn *Daemon) placeOrder(now time.Time, tgt submission.Target, ord shard.Order) {
	ldr := dmn.leaderWithToken(tgt.Shard, tgt.Token)
	if ldr == nil {
		// The present leader of the shard may have the task; its owner waits until that is known.
		dmn.sendReport(now, ord.Owner, shard.Report{Task: ord.Task, Token: tgt.Token, Outcome: shard.Lost})
		return
	}
	dmn.noteOpenOrder(ord.Owner)
	dmn.runLeaderActions(tgt.Shard, ldr.HandleOrder(now, ord))
}

// sendReport passes a report to the owner of an order, which may be this instance.
func (dmn *Daemon) sendReport(now time.Time, owner shard.InstanceID, rep shard.Report) {
	if owner != dmn.self {
		dmn.mesh.Send(owner, mesh.Report{Report: rep})
		return
	}
	dmn.logReport(dmn.self, rep)
	dmn.runCoordinatorActions(dmn.coordinator.HandleReport(now, dmn.self, rep))
}

// HandleStaleBatch implements mesh.Handler: it logs and counts a batch that was rejected because of its age.
func (dmn *Daemon) HandleStaleBatch(from shard.InstanceID, age time.Duration, messages int) {
	dmn.cnt.lateBatches.Add(1)
	dmn.log.Warn().Str("peer", string(from)).Dur("age", age).Int("messages", messages).Msg("batch comes too late")
}

// HandleTooLarge implements mesh.Handler: it logs and counts a message that is too large to be sent.
func (dmn *Daemon) HandleTooLarge(to shard.InstanceID, bytes int) {
	dmn.cnt.largeMessages.Add(1)
	dmn.log.Error().Str("peer", string(to)).Int("bytes", bytes).Msg("message is too large to be sent")
}

// HandleInstanceLost implements mesh.Handler: it passes the loss of an instance to all decision types.
func (dmn *Daemon) HandleInstanceLost(id shard.InstanceID, cau mesh.Cause) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.log.Warn().Str("peer", string(id)).Str("cause", string(cau)).Msg("instance lost")
	dmn.announceLoss(id, cau)
	dmn.jobQueries.handleLoss(now, id, cau != mesh.Refused)
	delete(dmn.firstHeardAt, id)
	delete(dmn.configSentAt, id)
	delete(dmn.changesSentAt, id)
	delete(dmn.knowing, id)
	delete(dmn.listSentAt, id)
	dmn.elector.HandleInstanceLost(now, id, cau.IsSilence())
	for name, ldr := range dmn.leaders {
		dmn.runLeaderActions(name, ldr.HandleOwnerLost(now, id))
	}
	dmn.runCoordinatorActions(dmn.coordinator.HandleInstanceLost(now, id, string(cau)))
	dmn.updateLeaders()
	dmn.updateSchedule()
}

// announceLoss tells the instances of the own failure domain that one of theirs is silent: not all of them watch it, perhaps not the one
// that is to take over its shards.
func (dmn *Daemon) announceLoss(lost shard.InstanceID, cau mesh.Cause) {
	ins := dmn.elector.Peers()[lost]
	if ins == nil || ins.Domain != dmn.prm.Settings.FailureDomain || !cau.IsSilence() || cau == mesh.Suspected {
		return // Its end was seen, or the instance that missed it first has told the others.
	}
	for id, oth := range dmn.elector.Peers() {
		if id != lost && oth.Domain == ins.Domain {
			dmn.mesh.Send(id, mesh.LossNotice{Instance: lost})
		}
	}
}

// suspectPeer checks at once an instance that another one has missed.
func (dmn *Daemon) suspectPeer(from, missed shard.InstanceID) {
	if missed == dmn.self || dmn.elector.Peers()[missed] == nil {
		return
	}
	dmn.log.Info().Str("peer", string(missed)).Str("from", string(from)).Msg("instance missed by another")
	dmn.mesh.Suspect(missed)
}
