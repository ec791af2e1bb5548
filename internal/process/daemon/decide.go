package daemon

import (
	"context"
	"maps"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// beginEvent takes the lock for an event and returns the time. After a suspension of the machine it first resigns all shards: other
// instances have taken over meanwhile, and renewed leases would keep alive runs whose jobs the callers have sent elsewhere. After a long pause
// nothing starts and no job is submitted until the sockets are read. Calls whose callers have left meanwhile are ended before the event can order more
// tasks of their jobs.
func (dmn *Daemon) beginEvent() time.Time {
	dmn.mu.Lock()
	now := dmn.now()
	if dmn.mesh != nil {
		dmn.uplink.SetPeerBytes(dmn.mesh.UnacknowledgedBytes())
	}
	if pause := now.Sub(dmn.lastTickAt); !dmn.lastTickAt.IsZero() && pause > longPauseThreshold {
		for _, ldr := range dmn.leaders {
			ldr.HandlePause(now.Add(socketReadTime))
		}
		if dmn.coordinator != nil && dmn.pausedSince != dmn.lastTickAt {
			dmn.pausedSince, dmn.longPause, dmn.socketsReadAt = dmn.lastTickAt, pause, now.Add(socketReadTime)
			dmn.coordinator.HandlePause(pause, dmn.socketsReadAt)
		}
	}
	if dmn.callersMayHaveLeft(now) {
		dmn.discardAbsentCallers(now)
	}
	if slp := dmn.prm.Suspended(); slp-dmn.suspended > suspensionThreshold {
		dmn.handleSuspension(now, slp-dmn.suspended)
		dmn.suspended = slp
	}
	return now
}

// handleSuspension resigns all shards after the machine was suspended for a time.
func (dmn *Daemon) handleSuspension(now time.Time, suspended time.Duration) {
	dmn.log.Warn().Dur("suspended", suspended).Msg("the machine was suspended; giving up its shards")
	for name := range dmn.leaders {
		dmn.resignShard(now, name, false)
	}
}

// endEvent executes the local actions that the event led to, resumes orders that waited for the link, and releases the lock.
func (dmn *Daemon) endEvent(now time.Time) {
	dmn.runLocalActions(now)
	if dmn.coordinator != nil && dmn.coordinator.HeldBytes() > 0 {
		dmn.uplink.SetPeerBytes(dmn.mesh.UnacknowledgedBytes())
		dmn.runCoordinatorActions(dmn.coordinator.ResumeHeld())
		dmn.runLocalActions(now)
	}
	dmn.shareLoads(now)
	dmn.mu.Unlock()
}

// runLocalActions executes the actions addressed to this instance itself, and those that follow from them.
func (dmn *Daemon) runLocalActions(now time.Time) {
	for len(dmn.localActions) > 0 {
		next := dmn.localActions[0]
		dmn.localActions = dmn.localActions[1:]
		next(now)
	}
	dmn.localActions = nil
}

// loadShareInterval is the maximum age of the own shards' loads that the coordinator uses. A stale load does little harm: an order sent
// for capacity that is gone is returned within 2 ms.
const loadShareInterval = 4 * time.Millisecond

// shareLoads passes the loads of the own shards to the own coordinator; other instances get them with each heartbeat.
func (dmn *Daemon) shareLoads(now time.Time) {
	if dmn.coordinator == nil || len(dmn.leaders) == 0 || now.Sub(dmn.loadsSharedAt) < loadShareInterval {
		return
	}
	dmn.loadsSharedAt = now
	queued := dmn.coordinator.HeldBytes()
	for _, ldr := range dmn.leaders {
		queued += ldr.QueuedBytes()
	}
	dmn.uplink.SetQueuedBytes(queued)
	for name, ldr := range dmn.leaders {
		dmn.runCoordinatorActions(dmn.coordinator.HandleLoad(name, ldr.Load(now)))
	}
	dmn.runLocalActions(now)
}

// runTicks triggers decisions that depend on time alone, each tickInterval until ctx ends.
func (dmn *Daemon) runTicks(ctx context.Context) error {
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
		}
		now := dmn.beginEvent()
		dmn.tick(now)
		dmn.endEvent(now)
	}
}

// tick detects pauses of the process, resigns and takes over shards, and passes the time to the leaders and the coordinator.
func (dmn *Daemon) tick(now time.Time) {
	if pause := now.Sub(dmn.lastTickAt); pause > pauseThreshold {
		dmn.elector.HandlePause(now) // Also at the first tick: a process that has just started has heard nobody yet.
		dmn.logPause(pause)
	}
	dmn.lastTickAt = now
	if dmn.instancesRead && dmn.cfg.Load() != nil && dmn.closedDomains.Initialized() && len(dmn.entries) > 0 {
		if !dmn.elector.Ready() {
			dmn.elector.SetReady(now)
			// Two ready instances that don't know of each other's readiness would both take over a shard.
			dmn.nudgeDomain()
		}
	}
	dmn.resignSuperseded(now)
	dmn.resignUnreachable(now)
	for _, shd := range dmn.elector.Decide(now) {
		if shd.Domain == dmn.prm.Settings.FailureDomain || dmn.reachable(now, shd) {
			dmn.takeOver(now, shd.Name)
		}
	}
	if dmn.leadersChanged {
		dmn.leadersChanged = false
		dmn.updateLeaders()
		dmn.updateSchedule()
	}
	dmn.keepRoundMark(now)
	dmn.updateOpenOrders(now)
	closedRuns, overfull := 0, 0
	for name, ldr := range dmn.leaders {
		dmn.runLeaderActions(name, ldr.Tick(now))
		closedRuns += ldr.RunsWhileClosed()
		overfull += ldr.OverfullServers()
	}
	dmn.tellSpeeds(now)
	dmn.cnt.closedRuns.Store(int64(closedRuns))
	dmn.cnt.overfullServers.Store(int64(overfull))
	dmn.updateHeadroomGauges()
	dmn.cnt.listAge.Store(int64(dmn.listState(now).age))
	dmn.coordinator.SetServersComplete(dmn.knowsAllServers(now))
	dmn.runCoordinatorActions(dmn.coordinator.HandleTick(now))
	dmn.cnt.claims.store(dmn.coordinator)
}

// resignSuperseded resigns the shards that another instance leads with a newer token.
func (dmn *Daemon) resignSuperseded(now time.Time) {
	for _, name := range dmn.elector.Superseded() {
		dmn.resignShard(now, name, false)
	}
	dmn.runLocalActions(now)
}

// resignUnreachable resigns the shards of other failure domains whose servers have all stopped answering, or never answered. Such a
// domain is cut off and probably led by its own instances, which would yield to this instance's newer token when the cut ends.
func (dmn *Daemon) resignUnreachable(now time.Time) {
	for shd := range dmn.serversByShard {
		ldr := dmn.leaders[shd.Name]
		if shd.Domain != dmn.prm.Settings.FailureDomain && ldr != nil && ldr.Isolated(now) {
			dmn.resignShard(now, shd.Name, false)
		}
	}
	dmn.runLocalActions(now)
}

// logPause logs and counts a pause of this process: lack of processor time, here or on another instance, explains most of the heartbeats
// and answers that it missed.
func (dmn *Daemon) logPause(pause time.Duration) {
	if dmn.lastTickAt.IsZero() {
		return
	}
	dmn.cnt.pauses.Add(1)
	dmn.log.Info().Dur("pause", pause).Msg("held up")
}

// takeOver makes this instance the leader of a shard, with a new fencing token.
func (dmn *Daemon) takeOver(now time.Time, name shard.Name) {
	tok := dmn.nextToken(now)
	dmn.divisions.Confirm()
	ldr := shard.NewLeader(dmn.shardConfig(), dmn.uplink, name, tok, now)
	dmn.leaders[name] = ldr
	dmn.elector.HandleTakeover(now, name, tok)
	dmn.leadersChanged = true
	dmn.logTakeover(now, name, tok)
	for shd := range dmn.serversByShard {
		if shd.Name == name {
			dmn.runLeaderActions(name, ldr.SetClosed(now, dmn.closedDomains.Closed(shd.Domain)))
			dmn.runLeaderActions(name, ldr.SetServers(now, dmn.shardListing(now, shd)))
		}
	}
	dmn.useSpeeds(now, name, ldr)
	dmn.mesh.SendHeartbeats()
}

// logTakeover logs a takeover with the leader that the shard was last seen to have, how long ago, and how many instances are heard.
func (dmn *Daemon) logTakeover(now time.Time, name shard.Name, tok int64) {
	lin := dmn.log.Info().Str("shard", string(name)).Int64("token", tok).Int("heard", len(dmn.elector.Peers()))
	if led, at := dmn.elector.LastLeader(name); led != "" {
		lin = lin.Str("former", string(led)).Dur("former-ago", now.Sub(at))
	}
	lin.Msg("taking the shard over")
}

// resignShard ends the leadership of a shard; fenced says that a backend server has rejected the token for a newer one.
func (dmn *Daemon) resignShard(now time.Time, name shard.Name, fenced bool) {
	ldr := dmn.leaders[name]
	delete(dmn.leaders, name)
	dmn.runLeaderActions(name, ldr.Resign())
	if fenced {
		dmn.handleTokenRefused(now, name, ldr.Token())
	}
	dmn.elector.HandleLeadershipEnd(now, name, fenced)
	dmn.leadersChanged = true
	lin := dmn.log.Info().Str("shard", string(name)).Bool("fenced", fenced)
	if pause := dmn.elector.BarredFor(now); pause > 0 {
		lin = lin.Dur("takes-none-for", pause)
	}
	lin.Msg("leaving the shard")
}

// updateOpenOrders updates the instances with which unfinished orders exist, at most once per heartbeat interval.
func (dmn *Daemon) updateOpenOrders(now time.Time) {
	if now.Sub(dmn.openOrdersUpdatedAt) < heartbeatInterval {
		return
	}
	dmn.openOrdersUpdatedAt = now
	clear(dmn.openOrdersWith)
	for _, ldr := range dmn.leaders {
		ldr.AddOwners(dmn.openOrdersWith)
	}
	dmn.coordinator.AddLeaders(dmn.openOrdersWith)
	dmn.updateSchedule()
}

// noteOpenOrder notes an order that is about to be open between this instance and another one: from now on each sends the other a
// heartbeat at every interval, so that a loss is noticed after four, as lease expiry requires.
func (dmn *Daemon) noteOpenOrder(id shard.InstanceID) {
	if !dmn.openOrdersWith[id] && id != dmn.self {
		dmn.openOrdersWith[id] = true
		dmn.updateSchedule()
	}
}

// updateLeaders passes the leader of each shard to the coordinator.
func (dmn *Daemon) updateLeaders() {
	for shd := range dmn.serversByShard {
		led, tok := dmn.elector.Leader(shd)
		tgt := submission.Target{Shard: shd.Name, Leader: led, Token: tok}
		dmn.coordinator.HandleDivision(shd.Name, dmn.shardsOfDomain(led, shd.Domain))
		dmn.runCoordinatorActions(dmn.coordinator.HandleLeader(tgt, shd.Domain))
	}
}

// shardsOfDomain returns into how many shards an instance that leads some divides a failure domain, as last heard; 0 if that is not known.
func (dmn *Daemon) shardsOfDomain(leader shard.InstanceID, domain string) int {
	if leader == dmn.self {
		return dmn.divisions.ConfirmedCount(domain)
	}
	if ins := dmn.elector.Peers()[leader]; ins != nil {
		return ins.Divisions.ConfirmedCount(domain)
	}
	return 0
}

// updateShards divides the listed backend servers into shards, updates the leaders' servers and resigns shards that no longer exist.
func (dmn *Daemon) updateShards(now time.Time) {
	if dmn.elector == nil {
		return
	}
	ents := make([]shard.ServerEntry, 0, len(dmn.entries))
	for _, ent := range dmn.entries {
		if dmn.services[ent.Service] {
			ents = append(ents, ent)
		}
	}
	dmn.serversByShard = dmn.divisions.Divide(ents)
	for _, mis := range dmn.missing {
		// Without its shard a leader would resign for want of entries, its servers' leases would expire, and their runs would be lost.
		if now.Sub(mis.since) <= maxUnlisted && dmn.services[mis.ent.Service] {
			dmn.divisions.KeepEmptyShards(dmn.serversByShard, mis.ent.FailureDomain)
		}
	}
	dmn.elector.SetShards(succession.SortedShards(dmn.serversByShard))
	dmn.coordinator.HandleServers(dmn.serverKinds(now))
	dmn.leadersChanged = true
	obsolete := maps.Clone(dmn.leaders)
	for shd := range dmn.serversByShard {
		delete(obsolete, shd.Name)
		if ldr := dmn.leaders[shd.Name]; ldr != nil {
			dmn.runLeaderActions(shd.Name, ldr.SetServers(now, dmn.shardListing(now, shd)))
		}
	}
	for name := range obsolete {
		if len(dmn.entries) > 0 {
			dmn.resignShard(now, name, false)
		}
	}
}
