package daemon

import (
	"context"
	"maps"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// enter takes the lock for an event and returns the time. A process whose machine was suspended first gives up
// what it believed: others have taken over meanwhile, and renewing leases now would keep alive what its
// callers have sent elsewhere.
func (dmn *Daemon) enter() time.Time {
	dmn.mu.Lock()
	now := dmn.now()
	if dmn.mesh != nil {
		dmn.uplink.SetPeers(dmn.mesh.UnacknowledgedBytes())
	}
	if !dmn.tickedAt.IsZero() && now.Sub(dmn.tickedAt) > starvedFor {
		for _, ldr := range dmn.leaders {
			ldr.HeldUp(now.Add(readTime))
		}
	}
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
	dmn.carryOut(now)
	if dmn.desk != nil && dmn.desk.HeldBytes() > 0 {
		dmn.uplink.SetPeers(dmn.mesh.UnacknowledgedBytes())
		dmn.deskDo(dmn.desk.Resume())
		dmn.carryOut(now)
	}
	dmn.shareLoads(now)
	dmn.mu.Unlock()
}

// carryOut does what concerns this instance itself, and what follows from that.
func (dmn *Daemon) carryOut(now time.Time) {
	for len(dmn.local) > 0 {
		next := dmn.local[0]
		dmn.local = dmn.local[1:]
		next(now)
	}
	dmn.local = nil
}

// shareInterval is how old the own shards' loads may be in what the desk and the others are told; a task that
// goes after room that is gone bounces within 2 ms.
const shareInterval = 4 * time.Millisecond

// shareLoads tells the own desk what room the own shards have; the others hear it with each beat.
func (dmn *Daemon) shareLoads(now time.Time) {
	if dmn.desk == nil || len(dmn.leaders) == 0 || now.Sub(dmn.sharedAt) < shareInterval {
		return
	}
	dmn.sharedAt = now
	queued := dmn.desk.HeldBytes()
	for _, ldr := range dmn.leaders {
		queued += ldr.WaitingBytes()
	}
	dmn.uplink.SetQueued(queued)
	for name, ldr := range dmn.leaders {
		dmn.deskDo(dmn.desk.SetLoad(name, ldr.Load(now)))
	}
	dmn.carryOut(now)
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
	if pause := now.Sub(dmn.tickedAt); pause > heldUpFor {
		dmn.council.HeldUp(now) // So is a process that has just started.
		dmn.logHeldUp(pause)
	}
	dmn.tickedAt = now
	if dmn.listed && dmn.cfg.Load() != nil && dmn.domains.Known() && len(dmn.entries) > 0 {
		if !dmn.council.Ready() {
			dmn.council.SetReady(now)
			// Two instances that don't know of each other that they are ready would both take a shard over.
			dmn.nudgeNear()
		}
	}
	dmn.leaveWeaker(now)
	dmn.leaveDisobeyed(now)
	for _, shd := range dmn.council.Decide(now) {
		if shd.Domain == dmn.prm.Settings.FailureDomain || dmn.reachable(now, shd) {
			dmn.takeOver(now, shd.Name)
		}
	}
	if dmn.leadersChanged {
		dmn.leadersChanged = false
		dmn.updateLeaders()
		dmn.updatePaces()
	}
	dmn.updateOpen(now)
	closedRuns := 0
	for name, ldr := range dmn.leaders {
		dmn.shardDo(name, ldr.Tick(now))
		closedRuns += ldr.RunsWhileClosed()
	}
	dmn.cnt.closedRuns.Store(int64(closedRuns))
	dmn.deskDo(dmn.desk.Tick(now))
}

// leaveWeaker leaves the shards that another instance leads with a newer token.
func (dmn *Daemon) leaveWeaker(now time.Time) {
	for _, name := range dmn.council.Weaker() {
		dmn.abandon(now, name, false)
	}
	dmn.carryOut(now)
}

// leaveDisobeyed leaves the shards of other failure domains whose servers all have stopped answering, or never did. They are cut off, and
// more likely led by their own instances, which would follow this one's newer token at the end of the cut.
func (dmn *Daemon) leaveDisobeyed(now time.Time) {
	for shd := range dmn.divided {
		ldr := dmn.leaders[shd.Name]
		if shd.Domain != dmn.prm.Settings.FailureDomain && ldr != nil && ldr.Disobeyed(now) {
			dmn.abandon(now, shd.Name, false)
		}
	}
	dmn.carryOut(now)
}

// logHeldUp tells how long the process came to nothing: whether it, or another one, was short of processor is what
// explains most of what it missed.
func (dmn *Daemon) logHeldUp(pause time.Duration) {
	if dmn.tickedAt.IsZero() {
		return
	}
	dmn.cnt.heldUps.Add(1)
	dmn.log.Info().Dur("pause", pause).Msg("held up")
}

// takeOver makes this instance the leader of a shard.
func (dmn *Daemon) takeOver(now time.Time, name shard.Name) {
	tok := dmn.token()
	dmn.divisions.Confirm()
	ldr := shard.NewLeader(dmn.shardConfig(), dmn.uplink, name, tok, now)
	dmn.leaders[name] = ldr
	dmn.council.Took(now, name, tok)
	dmn.leadersChanged = true
	dmn.log.Info().Str("shard", string(name)).Int64("token", tok).Msg("taking the shard over")
	for shd := range dmn.divided {
		if shd.Name == name {
			dmn.shardDo(name, ldr.SetClosed(now, dmn.domains.Closed(shd.Domain)))
			dmn.shardDo(name, ldr.SetServers(now, dmn.listing(now, shd)))
		}
	}
	dmn.mesh.SendHeartbeats()
	// The former leader may have taken in servers that were added since the last read.
	dmn.wantServers()
}

// token returns a fencing token that no other instance ever uses, higher than all it has heard of.
func (dmn *Daemon) token() int64 {
	dmn.round++
	return dmn.round<<lifeBits | dmn.life&(1<<lifeBits-1)
}

// lifeBits is the part of a token that names its holder: a million lives of instances, and as many rounds
// stay below the 53 bits that every JSON reader keeps.
const lifeBits = 20

// abandon gives a shard up.
func (dmn *Daemon) abandon(now time.Time, name shard.Name, fenced bool) {
	ldr := dmn.leaders[name]
	delete(dmn.leaders, name)
	dmn.shardDo(name, ldr.Resign())
	dmn.council.Left(now, name, fenced)
	dmn.leadersChanged = true
	dmn.log.Info().Str("shard", string(name)).Bool("fenced", fenced).Msg("leaving the shard")
}

// updateOpen notes the instances with which orders lie open, on either side.
func (dmn *Daemon) updateOpen(now time.Time) {
	if now.Sub(dmn.openAt) < beatInterval {
		return
	}
	dmn.openAt = now
	clear(dmn.openWith)
	for _, ldr := range dmn.leaders {
		ldr.Owners(dmn.openWith)
	}
	dmn.desk.Leaders(dmn.openWith)
	dmn.updatePaces()
}

// noteOrder notes an order that is about to lie open between this instance and another one: from now on each of them misses
// the other after four beats, as the chain of leases needs.
func (dmn *Daemon) noteOrder(id shard.InstanceID) {
	if !dmn.openWith[id] && id != dmn.self {
		dmn.openWith[id] = true
		dmn.updatePaces()
	}
}

// updateLeaders tells the desk who leads what.
func (dmn *Daemon) updateLeaders() {
	for shd := range dmn.divided {
		led, tok := dmn.council.Leader(shd)
		tgt := submission.Target{Shard: shd.Name, Leader: led, Token: tok}
		dmn.deskDo(dmn.desk.SetLeader(tgt, shd.Domain))
	}
}

// redivide cuts the listed backend servers into shards.
func (dmn *Daemon) redivide(now time.Time) {
	if dmn.council == nil {
		return
	}
	ents := make([]shard.ServerEntry, 0, len(dmn.entries))
	for _, ent := range dmn.entries {
		if dmn.services[ent.Service] {
			ents = append(ents, ent)
		}
	}
	dmn.divided = dmn.divisions.Divide(ents)
	for _, mis := range dmn.missing {
		// A leader that gave its shard up for want of entries left its servers' leases to lapse, and what ran there was lost.
		if now.Sub(mis.since) <= missingFor && dmn.services[mis.ent.Service] {
			dmn.divisions.Keep(dmn.divided, mis.ent.FailureDomain)
		}
	}
	dmn.council.SetShards(succession.Sorted(dmn.divided))
	dmn.leadersChanged = true
	gone := maps.Clone(dmn.leaders)
	for shd := range dmn.divided {
		delete(gone, shd.Name)
		if ldr := dmn.leaders[shd.Name]; ldr != nil {
			dmn.shardDo(shd.Name, ldr.SetServers(now, dmn.listing(now, shd)))
		}
	}
	for name := range gone {
		if len(dmn.entries) > 0 {
			dmn.abandon(now, name, false)
		}
	}
}
