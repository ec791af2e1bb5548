package succession

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/serverlist"
)

// node is an instance without sockets: its decisions as an owner of jobs, its Elector and the shards that it leads, joined as package
// daemon joins them.
type node struct {
	sim          *simRun
	name, domain string
	id           shard.InstanceID
	incarnation  int64
	// dead processes have ended. Those with powerLost have lost their power, so that connections to them get no answer, not even a
	// refusal. stopping ones shut down, leaving ones are about to end.
	dead, powerLost, stopping, leaving bool
	began                              time.Time
	// pausedUntil is until when the process gets no processor time; inbox has what it receives meanwhile, by source.
	pausedUntil time.Time
	inbox       map[string][]func()
	// silenceCheckedAt is when the sessions were last checked for silence. tokenRound is the highest round of fencing tokens used or
	// heard of. openOrdersWith are the instances with which unfinished orders exist, as of openOrdersUpdatedAt; loadsSharedAt is when the
	// loads of the own shards were last passed to the coordinator.
	lastTickAt, silenceCheckedAt, loadsSharedAt, openOrdersUpdatedAt time.Time
	tokenRound                                                       int64
	elector                                                          *Elector
	coordinator                                                      *submission.Coordinator
	leaders                                                          map[shard.Name]*shard.Leader
	uplink                                                           *shard.Uplink
	sessions                                                         map[string]*session
	entries                                                          map[shard.ServerID]shard.ServerEntry
	missing                                                          map[shard.ServerID]shard.ServerEntry
	listReadAt                                                       time.Time
	coverage                                                         *serverlist.Coverage
	divisions                                                        Divisions
	// listEnd is the offset before which the list is known.
	listEnd        int
	localActions   []func()
	callers        map[submission.CallID]*attempt
	openOrdersWith map[shard.InstanceID]bool
	reachability   map[shard.Name]*Reachability
	leadersChanged bool
}

type (
	orderMessage struct {
		shd   shard.Name
		token int64
		ord   shard.Order
	}
	cancelMessage struct {
		shd      shard.Name
		token    int64
		task     string
		followed bool
	}
	reportMessage struct{ rep shard.Report }
)

func incarnationID(name string, incarnation int64) shard.InstanceID {
	return shard.InstanceID(name + "/" + strconv.FormatInt(incarnation, 10))
}

func sortedKeys[Key cmp.Ordered, Value any](set map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(set))
}

const (
	tickInterval       = 20 * time.Millisecond
	orphanExpiry       = 1300 * time.Millisecond
	longPauseThreshold = 500 * time.Millisecond
	recoveryTime       = 2500 * time.Millisecond
	maxUnlisted        = 30 * time.Second
)

// startNode starts the next incarnation of an instance.
func (sim *simRun) startNode(name, domain string) *node {
	sim.incarnations++
	nod := &node{
		sim: sim, name: name, domain: domain, incarnation: sim.incarnations, id: incarnationID(name, sim.incarnations), began: sim.now, tokenRound: sim.incarnations,
		inbox: map[string][]func(){}, leaders: map[shard.Name]*shard.Leader{}, uplink: shard.NewUplink(0),
		sessions: map[string]*session{}, callers: map[submission.CallID]*attempt{}, openOrdersWith: map[shard.InstanceID]bool{},
		entries: map[shard.ServerID]shard.ServerEntry{}, missing: map[shard.ServerID]shard.ServerEntry{}, reachability: map[shard.Name]*Reachability{}, divisions: sim.firstDivisions(),
		silenceCheckedAt: sim.now, coverage: serverlist.NewCoverage(serverlist.CoverageConfig{RecoveryTime: recoveryTime, MaxUnlisted: maxUnlisted}),
	}
	nod.coordinator = submission.NewCoordinator(submission.Config{
		Self: nod.id, FailureDomain: domain, OrphanExpiry: orphanExpiry, RetryAfter: time.Second, LeaderlessTimeout: 1500 * time.Millisecond, Link: nod.uplink,
	}, sim.now)
	nod.elector = New(DefaultConfig(), Instance{ID: nod.id, Domain: domain, Cores: 0.4}, sim.now)
	for _, oth := range sim.names {
		if oth != name {
			nod.sessions[oth] = &session{nod: nod, peer: oth, own: fakeEpoch{incarnation: nod.incarnation}, interval: heartbeatInterval}
		}
	}
	sim.nodes[name] = nod
	sim.note("%s starts", nod.id)
	nod.every(tickInterval, func() { nod.handle(nod.tick) })
	nod.every(heartbeatInterval/2, nod.checkSilence)
	nod.every(heartbeatInterval, nod.sendHeartbeats)
	nod.every(400*time.Millisecond, nod.readList)
	nod.readList()
	return nod
}

func (nod *node) session(peer string) *session { return nod.sessions[peer] }

// runLocal carries out the messages of the node to itself.
func (nod *node) runLocal() {
	for len(nod.localActions) > 0 {
		next := nod.localActions[0]
		nod.localActions = nod.localActions[1:]
		next()
	}
}

// heartbeat returns the node's state as sent with each batch.
func (nod *node) heartbeat() heartbeat {
	hbt := heartbeat{round: nod.tokenRound, listOffset: nod.completeTo(), loads: map[shard.Name]shard.Load{}, ins: Instance{
		ID: nod.id, Domain: nod.domain, Cores: 0.4, Ready: nod.elector.Ready(), Stopping: nod.stopping, Leaving: nod.leaving, Leads: map[shard.Name]int64{},
		Divisions: maps.Clone(nod.divisions),
	}}
	for _, name := range sortedKeys(nod.leaders) {
		hbt.ins.Leads[name] = nod.leaders[name].Token()
		hbt.loads[name] = nod.load(name)
	}
	return hbt
}

// completeTo returns the offset of the list before which the node knows all servers that may be running, all of them with entries; 0 if
// it doesn't.
func (nod *node) completeTo() int64 {
	if !nod.coverage.Complete(nod.sim.now) || len(nod.missing) > 0 {
		return 0
	}
	return int64(nod.listEnd)
}

// handleHeartbeat takes in a heartbeat and messages of a peer, from which this node was surely heard at the time at.
func (nod *node) handleHeartbeat(from shard.InstanceID, at time.Time, hbt heartbeat, msgs []any) {
	nod.handle(func(now time.Time) {
		for _, name := range sortedKeys(nod.leaders) {
			nod.leaders[name].HandleOwnerHeard(from, at)
		}
		nod.elector.HandleHeard(now)
		nod.tokenRound = max(nod.tokenRound, hbt.round)
		nod.coverage.HandlePeerComplete(now, hbt.listOffset)
		nod.mergeDivisions(now, hbt.ins.Divisions)
		if _, changed := nod.elector.HandleHeartbeat(hbt.ins); changed {
			nod.resignSuperseded()
			nod.updateLeaders()
			nod.updateIntervals()
		}
		for _, name := range sortedKeys(hbt.loads) {
			if nod.coordinator.IsLeader(submission.Target{Shard: name, Leader: from, Token: hbt.ins.Leads[name]}) {
				nod.runCoordinatorActions(nod.coordinator.HandleLoad(name, hbt.loads[name]))
			}
		}
		for _, msg := range msgs {
			nod.handleMessage(now, from, msg)
		}
	})
}

// handleMessage handles a message of another node.
func (nod *node) handleMessage(now time.Time, from shard.InstanceID, msg any) {
	switch msg := msg.(type) {
	case orderMessage:
		nod.placeOrder(now, submission.Target{Shard: msg.shd, Leader: nod.id, Token: msg.token}, msg.ord)
	case cancelMessage:
		if ldr := nod.leaderWithToken(msg.shd, msg.token); ldr != nil {
			nod.runLeaderActions(msg.shd, ldr.Cancel(now, from, msg.task, msg.followed))
		}
	case reportMessage:
		nod.sim.note("%s gets a report from %s: %s %v (token %d)", nod.id, from, msg.rep.Task, msg.rep.Outcome, msg.rep.Token)
		nod.runCoordinatorActions(nod.coordinator.HandleReport(now, from, msg.rep))
	}
}

// handleLost handles the loss of another instance.
func (nod *node) handleLost(id shard.InstanceID, silent bool) {
	nod.sim.note("%s loses %s", nod.id, id)
	nod.handle(func(now time.Time) {
		nod.elector.HandleInstanceLost(now, id, silent)
		for _, name := range sortedKeys(nod.leaders) {
			nod.runLeaderActions(name, nod.leaders[name].HandleOwnerLost(now, id))
		}
		nod.runCoordinatorActions(nod.coordinator.HandleInstanceLost(now, id, "not heard"))
		nod.updateLeaders()
		nod.updateIntervals()
	})
}

func (nod *node) endSession(ses *session, cause string, silent bool) {
	if was, had := ses.reset(); had {
		nod.sim.note("%s: %s", nod.id, cause)
		nod.handleLost(was, silent)
	}
}

// checkSilence ends the sessions of peers that are not heard. After a pause of the own process it waits 20 ms so that received messages
// are handled first, and then checks only peers with orders.
func (nod *node) checkSilence() {
	now := nod.sim.now
	late := now.Sub(nod.silenceCheckedAt) > heartbeatInterval
	check := func() {
		nod.silenceCheckedAt = nod.sim.now
		for _, peer := range nod.sim.names {
			ses := nod.sessions[peer]
			if ses == nil || late && !nod.openOrdersWith[ses.id()] {
				continue
			}
			if cause, silent := ses.failure(nod.sim.now); cause != "" {
				nod.endSession(ses, cause, silent)
			}
		}
	}
	if late {
		nod.sim.after(20*time.Millisecond, func() { nod.deliver("watch", check) })
		return
	}
	check()
}

// sendHeartbeats calls the peers to which no call or answer was sent within the session's interval.
func (nod *node) sendHeartbeats() {
	for _, peer := range nod.sim.names {
		ses := nod.sessions[peer]
		if ses == nil || ses.established && (nod.sim.now.Sub(ses.answeredAt) < ses.interval || nod.sim.now.Sub(ses.calledAt) < ses.interval) {
			continue
		}
		ses.signal()
	}
}

// updateIntervals sets the heartbeat intervals: short for peers of the own failure domain and peers with orders.
func (nod *node) updateIntervals() {
	for _, peer := range nod.sim.names {
		ses := nod.sessions[peer]
		if ses == nil {
			continue
		}
		itv := idleInterval
		if nod.openOrdersWith[ses.id()] || nod.sim.nodes[peer].domain == nod.domain {
			itv = heartbeatInterval
		}
		if itv < ses.interval {
			ses.shortenedAt = nod.sim.now
		}
		ses.interval = itv
	}
}

// signalAll calls all peers now, so that they learn of a change.
func (nod *node) signalAll() {
	for _, peer := range nod.sim.names {
		if ses := nod.sessions[peer]; ses != nil {
			ses.signal()
		}
	}
}

// tick makes the decisions that are due by time.
func (nod *node) tick(now time.Time) {
	if now.Sub(nod.lastTickAt) > 60*time.Millisecond {
		nod.elector.HandlePause(now)
	}
	nod.lastTickAt = now
	if len(nod.entries) > 0 && !nod.stopping && !nod.elector.Ready() {
		nod.elector.SetReady(now)
		nod.signalAll()
	}
	nod.resignSuperseded()
	for _, shd := range SortedShards(nod.shards()) {
		if ldr := nod.leaders[shd.Name]; ldr != nil && shd.Domain != nod.domain && ldr.Isolated(now) {
			nod.resignShard(shd.Name, false)
		}
	}
	for _, shd := range nod.elector.Decide(now) {
		if shd.Domain == nod.domain || nod.reachable(now, shd) {
			nod.takeOver(now, shd.Name)
		}
	}
	if nod.leadersChanged {
		nod.leadersChanged = false
		nod.updateLeaders()
		nod.updateIntervals()
	}
	if now.Sub(nod.openOrdersUpdatedAt) >= heartbeatInterval {
		nod.openOrdersUpdatedAt = now
		clear(nod.openOrdersWith)
		for _, name := range sortedKeys(nod.leaders) {
			nod.leaders[name].AddOwners(nod.openOrdersWith)
		}
		nod.coordinator.AddLeaders(nod.openOrdersWith)
		nod.updateIntervals()
	}
	for _, name := range sortedKeys(nod.leaders) {
		if ldr := nod.leaders[name]; ldr != nil {
			nod.runLeaderActions(name, ldr.Tick(now))
		}
	}
	nod.runCoordinatorActions(nod.coordinator.HandleTick(now))
}

// reachable reports whether the servers of a shard of another failure domain answer probes for long enough, and probes one of them if
// that is due.
func (nod *node) reachable(now time.Time, shd Shard) bool {
	rch := nod.reachability[shd.Name]
	if rch == nil {
		rch = &Reachability{}
		nod.reachability[shd.Name] = rch
	}
	if rch.Confirmed(now) {
		delete(nod.reachability, shd.Name)
		return true
	}
	ents := nod.shards()[shd]
	if len(ents) == 0 || !rch.StartProbe(now) {
		return false
	}
	ent := ents[nod.sim.rnd.IntN(len(ents))]
	act := shard.Renew{Server: ent, Token: 1}
	nod.call(ent.ID, ProbeTimeout, func(srv *fakeServer, reply func(shard.RenewResult, shard.CallResult)) { srv.handleRenew(act, reply) },
		func(_ shard.RenewResult, clr shard.CallResult) {
			nod.handle(func(at time.Time) {
				if clr == shard.Unknown {
					rch.HandleProbeFailure(at)
				} else if rch.HandleProbeAnswer(at, now) {
					nod.signalAll()
				}
			})
		})
	return false
}

// takeOver begins to lead a shard with a new token.
func (nod *node) takeOver(now time.Time, name shard.Name) {
	nod.tokenRound++
	tok := nod.tokenRound<<20 | nod.incarnation
	nod.sim.note("%s begins to lead %s with token %d", nod.id, name, tok)
	cfg := shard.DefaultConfig()
	cfg.Features = nod.sim.features
	ldr := shard.NewLeader(cfg, nod.uplink, name, tok, now)
	nod.leaders[name] = ldr
	nod.elector.HandleTakeover(now, name, tok)
	nod.leadersChanged = true
	nod.updateServers(now)
	nod.signalAll()
	nod.sim.after(time.Millisecond, func() { nod.deliver("list", nod.readList) })
}

// resignShard ends the leadership of a shard.
func (nod *node) resignShard(name shard.Name, fenced bool) {
	ldr := nod.leaders[name]
	if ldr == nil {
		return
	}
	nod.sim.note("%s leaves %s, fenced %t", nod.id, name, fenced)
	delete(nod.leaders, name)
	nod.runLeaderActions(name, ldr.Resign())
	nod.elector.HandleLeadershipEnd(nod.sim.now, name, fenced)
	nod.leadersChanged = true
}

// resignSuperseded ends the leadership of shards that another node leads with a newer token.
func (nod *node) resignSuperseded() {
	for _, name := range nod.elector.Superseded() {
		nod.resignShard(name, false)
	}
	nod.runLocal()
}

// updateLeaders gives the known leaders to the node's decisions as an owner.
func (nod *node) updateLeaders() {
	for _, shd := range SortedShards(nod.shards()) {
		led, tok := nod.elector.Leader(shd)
		nod.coordinator.HandleDivision(shd.Name, nod.shardsOfDomain(led, shd.Domain))
		nod.runCoordinatorActions(nod.coordinator.HandleLeader(submission.Target{Shard: shd.Name, Leader: led, Token: tok}, shd.Domain))
	}
}
