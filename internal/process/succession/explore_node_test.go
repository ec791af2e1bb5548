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

// node is an entry instance without sockets: its desk, its council and the shards that it leads, joined as package daemon joins them.
type node struct {
	ply          *play
	name, domain string
	id           shard.InstanceID
	life         int64
	// dead processes have ended; those of dark ones have lost their power, so that nothing refuses a connection.
	dead, dark, leaving bool
	began               time.Time
	// stalled processes get no processor until a time; what comes meanwhile waits in inbox, by source.
	stalled time.Time
	inbox   map[string][]func()
	// checked is when silence was last looked for.
	tickedAt, checked, sharedAt, openAt time.Time
	round                               int64
	elc                                 *Elector
	dsk                                 *submission.Desk
	ldrs                                map[shard.Name]*shard.Leader
	upl                                 *shard.Uplink
	sessions                            map[string]*session
	entries                             map[shard.ServerID]shard.ServerEntry
	missing                             map[shard.ServerID]shard.ServerEntry
	listReadAt                          time.Time
	census                              *serverlist.Coverage
	// listedTo is the offset of the last read of the list.
	listedTo       int64
	local          []func()
	calls          map[submission.Call]*attempt
	openWith       map[shard.InstanceID]bool
	reaches        map[shard.Name]*Reachability
	leadersChanged bool
}

type (
	orderMessage struct {
		shd   shard.Name
		token int64
		ord   shard.Order
	}
	withdrawalMessage struct {
		shd   shard.Name
		token int64
		task  string
	}
	reportMessage struct{ rep shard.Report }
)

func lifeID(name string, life int64) shard.InstanceID {
	return shard.InstanceID(name + "/" + strconv.FormatInt(life, 10))
}

func sortedKeys[Key cmp.Ordered, Value any](set map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(set))
}

const (
	tickInterval = 20 * time.Millisecond
	proof        = 1300 * time.Millisecond
	starvedFor   = 500 * time.Millisecond
	entryReturn  = 2500 * time.Millisecond
	missingFor   = 30 * time.Second
)

// startNode starts the next life of an instance.
func (ply *play) startNode(name, domain string) *node {
	ply.lives++
	nod := &node{
		ply: ply, name: name, domain: domain, life: ply.lives, id: lifeID(name, ply.lives), began: ply.now, round: ply.lives,
		inbox: map[string][]func(){}, ldrs: map[shard.Name]*shard.Leader{}, upl: shard.NewUplink(0),
		sessions: map[string]*session{}, calls: map[submission.Call]*attempt{}, openWith: map[shard.InstanceID]bool{},
		entries: map[shard.ServerID]shard.ServerEntry{}, missing: map[shard.ServerID]shard.ServerEntry{}, reaches: map[shard.Name]*Reachability{},
		checked: ply.now, census: serverlist.NewCoverage(serverlist.CoverageConfig{RecoveryTime: entryReturn, MaxUnlisted: missingFor}),
	}
	nod.dsk = submission.NewDesk(submission.Config{
		Self: nod.id, Domain: domain, Proof: proof, RetryAfter: time.Second, Vacancy: 1500 * time.Millisecond, Link: nod.upl,
	}, ply.now)
	nod.elc = New(DefaultConfig(), Instance{ID: nod.id, Domain: domain, Cores: 0.4}, ply.now)
	for _, oth := range ply.names {
		if oth != name {
			nod.sessions[oth] = &session{nod: nod, peer: oth, own: fakeEpoch{life: nod.life}, interval: fakeBeatInterval}
		}
	}
	ply.nodes[name] = nod
	ply.note("%s starts", nod.id)
	nod.every(tickInterval, func() { nod.run(nod.tick) })
	nod.every(fakeBeatInterval/2, nod.watch)
	nod.every(fakeBeatInterval, nod.beatAll)
	nod.every(400*time.Millisecond, nod.readList)
	nod.readList()
	return nod
}

func (nod *node) session(peer string) *session { return nod.sessions[peer] }

func (nod *node) carryOut() {
	for len(nod.local) > 0 {
		next := nod.local[0]
		nod.local = nod.local[1:]
		next()
	}
}

func (nod *node) beat() fakeBeat {
	bet := fakeBeat{round: nod.round, listedTo: nod.wholeTo(), loads: map[shard.Name]shard.Load{}, ins: Instance{
		ID: nod.id, Domain: nod.domain, Cores: 0.4, Ready: nod.elc.Ready(), Leaving: nod.leaving, Leads: map[shard.Name]int64{},
	}}
	for _, name := range sortedKeys(nod.ldrs) {
		bet.ins.Leads[name] = nod.ldrs[name].Token()
		bet.loads[name] = nod.ldrs[name].Load(nod.ply.now)
	}
	return bet
}

// wholeTo returns up to which offset of the list all servers that may live are known, and listed.
func (nod *node) wholeTo() int64 {
	if !nod.census.Complete(nod.ply.now) || len(nod.missing) > 0 {
		return 0
	}
	return nod.listedTo
}

func (nod *node) heard(from shard.InstanceID, at time.Time, bet fakeBeat, msgs []any) {
	nod.run(func(now time.Time) {
		for _, name := range sortedKeys(nod.ldrs) {
			nod.ldrs[name].OwnerHeard(from, at)
		}
		nod.round = max(nod.round, bet.round)
		nod.census.HandlePeerComplete(now, bet.listedTo)
		if _, changed := nod.elc.HandleHeartbeat(bet.ins); changed {
			nod.leaveWeaker()
			nod.updateLeaders()
			nod.updatePaces()
		}
		for _, name := range sortedKeys(bet.loads) {
			if nod.dsk.Leads(submission.Target{Shard: name, Leader: from, Token: bet.ins.Leads[name]}) {
				nod.deskDo(nod.dsk.SetLoad(name, bet.loads[name]))
			}
		}
		for _, msg := range msgs {
			nod.take(now, from, msg)
		}
	})
}

func (nod *node) take(now time.Time, from shard.InstanceID, msg any) {
	switch msg := msg.(type) {
	case orderMessage:
		nod.placeOrder(now, submission.Target{Shard: msg.shd, Leader: nod.id, Token: msg.token}, msg.ord)
	case withdrawalMessage:
		if ldr := nod.leader(msg.shd, msg.token); ldr != nil {
			nod.shardDo(msg.shd, ldr.Cancel(now, from, msg.task))
		}
	case reportMessage:
		nod.ply.note("%s hears from %s: %s %v (token %d)", nod.id, from, msg.rep.Task, msg.rep.Outcome, msg.rep.Token)
		nod.deskDo(nod.dsk.Report(now, from, msg.rep))
	}
}

func (nod *node) lost(id shard.InstanceID, silent bool) {
	nod.ply.note("%s loses %s", nod.id, id)
	nod.run(func(now time.Time) {
		nod.elc.HandleInstanceLost(now, id, silent)
		for _, name := range sortedKeys(nod.ldrs) {
			nod.shardDo(name, nod.ldrs[name].OwnerLost(now, id))
		}
		nod.deskDo(nod.dsk.InstanceLost(now, id))
		nod.updateLeaders()
		nod.updatePaces()
	})
}

func (nod *node) lose(ses *session, cause string, silent bool) {
	if was, had := ses.reset(); had {
		nod.ply.note("%s: %s", nod.id, cause)
		nod.lost(was, silent)
	}
}

// watch gives up the sessions of nodes that are not heard.
func (nod *node) watch() {
	now := nod.ply.now
	late := now.Sub(nod.checked) > fakeBeatInterval
	check := func() {
		nod.checked = nod.ply.now
		for _, peer := range nod.ply.names {
			ses := nod.sessions[peer]
			if ses == nil || late && !nod.openWith[ses.id()] {
				continue
			}
			if cause, silent := ses.missing(nod.ply.now); cause != "" {
				nod.lose(ses, cause, silent)
			}
		}
	}
	if late {
		nod.ply.after(20*time.Millisecond, func() { nod.deliver("watch", check) })
		return
	}
	check()
}

func (nod *node) beatAll() {
	for _, peer := range nod.ply.names {
		ses := nod.sessions[peer]
		if ses == nil || ses.up && (nod.ply.now.Sub(ses.answeredAt) < ses.interval || nod.ply.now.Sub(ses.calledAt) < ses.interval) {
			continue
		}
		ses.signal()
	}
}

func (nod *node) updatePaces() {
	for _, peer := range nod.ply.names {
		ses := nod.sessions[peer]
		if ses == nil {
			continue
		}
		itv := seldom
		if nod.openWith[ses.id()] || nod.ply.nodes[peer].domain == nod.domain {
			itv = fakeBeatInterval
		}
		if itv < ses.interval {
			ses.paced = nod.ply.now
		}
		ses.interval = itv
	}
}

func (nod *node) nudge() {
	for _, peer := range nod.ply.names {
		if ses := nod.sessions[peer]; ses != nil {
			ses.signal()
		}
	}
}

func (nod *node) tick(now time.Time) {
	if now.Sub(nod.tickedAt) > 60*time.Millisecond {
		nod.elc.HandlePause(now)
	}
	nod.tickedAt = now
	if len(nod.entries) > 0 && !nod.leaving && !nod.elc.Ready() {
		nod.elc.SetReady(now)
		nod.nudge()
	}
	nod.leaveWeaker()
	for _, shd := range SortedShards(nod.shards()) {
		if ldr := nod.ldrs[shd.Name]; ldr != nil && shd.Domain != nod.domain && ldr.Disobeyed(now) {
			nod.abandon(shd.Name, false)
		}
	}
	for _, shd := range nod.elc.Decide(now) {
		if shd.Domain == nod.domain || nod.reachable(now, shd) {
			nod.takeOver(now, shd.Name)
		}
	}
	if nod.leadersChanged {
		nod.leadersChanged = false
		nod.updateLeaders()
		nod.updatePaces()
	}
	if now.Sub(nod.openAt) >= fakeBeatInterval {
		nod.openAt = now
		clear(nod.openWith)
		for _, name := range sortedKeys(nod.ldrs) {
			nod.ldrs[name].Owners(nod.openWith)
		}
		nod.dsk.Leaders(nod.openWith)
		nod.updatePaces()
	}
	for _, name := range sortedKeys(nod.ldrs) {
		if ldr := nod.ldrs[name]; ldr != nil {
			nod.shardDo(name, ldr.Tick(now))
		}
	}
	nod.deskDo(nod.dsk.Tick(now))
}

func (nod *node) reachable(now time.Time, shd Shard) bool {
	rch := nod.reaches[shd.Name]
	if rch == nil {
		rch = &Reachability{}
		nod.reaches[shd.Name] = rch
	}
	if rch.Confirmed(now) {
		delete(nod.reaches, shd.Name)
		return true
	}
	ents := nod.shards()[shd]
	if len(ents) == 0 || !rch.StartProbe(now) {
		return false
	}
	ent := ents[nod.ply.rnd.IntN(len(ents))]
	act := shard.Hold{Server: ent, Token: 1}
	nod.call(ent.ID, ProbeTimeout, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) { srv.hold(act, reply) },
		func(_ shard.Look, vdt shard.Verdict) {
			nod.run(func(at time.Time) {
				if vdt == shard.Unknown {
					rch.HandleProbeFailure(at)
				} else if rch.HandleProbeAnswer(at, now) {
					nod.nudge()
				}
			})
		})
	return false
}

func (nod *node) takeOver(now time.Time, name shard.Name) {
	nod.round++
	tok := nod.round<<20 | nod.life
	nod.ply.note("%s takes %s over with %d", nod.id, name, tok)
	ldr := shard.NewLeader(shard.DefaultConfig(), nod.upl, name, tok, now)
	nod.ldrs[name] = ldr
	nod.elc.HandleTakeover(now, name, tok)
	nod.leadersChanged = true
	nod.tellServers(now)
	nod.nudge()
	nod.ply.after(time.Millisecond, func() { nod.deliver("list", nod.readList) })
}

func (nod *node) abandon(name shard.Name, fenced bool) {
	ldr := nod.ldrs[name]
	if ldr == nil {
		return
	}
	nod.ply.note("%s leaves %s, fenced %t", nod.id, name, fenced)
	delete(nod.ldrs, name)
	nod.shardDo(name, ldr.Resign())
	nod.elc.HandleLeadershipEnd(nod.ply.now, name, fenced)
	nod.leadersChanged = true
}

func (nod *node) leaveWeaker() {
	for _, name := range nod.elc.Superseded() {
		nod.abandon(name, false)
	}
	nod.carryOut()
}

func (nod *node) updateLeaders() {
	for _, shd := range SortedShards(nod.shards()) {
		led, tok := nod.elc.Leader(shd)
		nod.deskDo(nod.dsk.SetLeader(submission.Target{Shard: shd.Name, Leader: led, Token: tok}, shd.Domain))
	}
}
