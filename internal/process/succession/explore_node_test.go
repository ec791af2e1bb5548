package succession

import (
	"cmp"
	"fmt"
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
	cnc                                 *Council
	dsk                                 *submission.Desk
	ldrs                                map[shard.Name]*shard.Leader
	upl                                 *shard.Uplink
	sessions                            map[string]*session
	entries                             map[shard.ServerID]shard.ServerEntry
	missing                             map[shard.ServerID]shard.ServerEntry
	listReadAt                          time.Time
	census                              *serverlist.Census
	// listedTo is the offset of the last read of the list.
	listedTo       int64
	local          []func()
	calls          map[submission.Call]*attempt
	openWith       map[shard.InstanceID]bool
	reaches        map[shard.Name]*Reach
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
		entries: map[shard.ServerID]shard.ServerEntry{}, missing: map[shard.ServerID]shard.ServerEntry{}, reaches: map[shard.Name]*Reach{},
		checked: ply.now, census: serverlist.NewCensus(serverlist.CensusConfig{Return: entryReturn, Missing: missingFor}),
	}
	nod.dsk = submission.NewDesk(submission.Config{
		Self: nod.id, Domain: domain, Proof: proof, RetryAfter: time.Second, Vacancy: 1500 * time.Millisecond, Link: nod.upl,
	}, ply.now)
	nod.cnc = New(DefaultConfig(), Instance{ID: nod.id, Domain: domain, Processor: 0.4}, ply.now)
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

// every does something again and again while the process runs; a process that stands still does it once when it goes on.
func (nod *node) every(dur time.Duration, act func()) {
	pending := false
	var next func()
	src := fmt.Sprint("timer ", nod.ply.lives, dur)
	next = func() {
		if nod.dead {
			return
		}
		if !pending {
			pending = true
			nod.deliver(src, func() { pending = false; act() })
		}
		nod.ply.after(dur, next)
	}
	nod.ply.after(nod.ply.within(dur), next)
}

// deliver has the process do something, in the order of its source.
func (nod *node) deliver(source string, act func()) {
	if nod.dead {
		return
	}
	if nod.ply.now.Before(nod.stalled) || len(nod.inbox) > 0 {
		nod.inbox[source] = append(nod.inbox[source], act)
		return
	}
	act()
}

// stall stands the process still for a while; afterwards it does what has come, of each source in order.
func (nod *node) stall(dur time.Duration) {
	nod.ply.note("%s stands still for %v", nod.id, dur)
	nod.stalled = nod.ply.now.Add(dur)
	nod.ply.after(dur, nod.drain)
}

func (nod *node) drain() {
	if nod.dead || len(nod.inbox) == 0 || nod.ply.now.Before(nod.stalled) {
		return
	}
	srcs := sortedKeys(nod.inbox)
	src := srcs[nod.ply.rnd.IntN(len(srcs))]
	act := nod.inbox[src][0]
	if nod.inbox[src] = nod.inbox[src][1:]; len(nod.inbox[src]) == 0 {
		delete(nod.inbox, src)
	}
	act()
	nod.ply.after(nod.ply.within(600*time.Microsecond), nod.drain)
}

// run does something as an event of the process, with what follows from it.
func (nod *node) run(act func(now time.Time)) {
	now := nod.ply.now
	if !nod.tickedAt.IsZero() && now.Sub(nod.tickedAt) > starvedFor {
		for _, name := range sortedKeys(nod.ldrs) {
			nod.ldrs[name].HeldUp(now.Add(50 * time.Millisecond))
		}
	}
	act(now)
	nod.carryOut()
	if now.Sub(nod.sharedAt) >= 4*time.Millisecond {
		nod.sharedAt = now
		for _, name := range sortedKeys(nod.ldrs) {
			nod.deskDo(nod.dsk.SetLoad(name, nod.ldrs[name].Load(now)))
		}
		nod.carryOut()
	}
}

func (nod *node) carryOut() {
	for len(nod.local) > 0 {
		next := nod.local[0]
		nod.local = nod.local[1:]
		next()
	}
}

func (nod *node) beat() fakeBeat {
	bet := fakeBeat{round: nod.round, listedTo: nod.wholeTo(), loads: map[shard.Name]shard.Load{}, ins: Instance{
		ID: nod.id, Domain: nod.domain, Processor: 0.4, Ready: nod.cnc.Ready(), Leaving: nod.leaving, Leads: map[shard.Name]int64{},
	}}
	for _, name := range sortedKeys(nod.ldrs) {
		bet.ins.Leads[name] = nod.ldrs[name].Token()
		bet.loads[name] = nod.ldrs[name].Load(nod.ply.now)
	}
	return bet
}

// wholeTo returns up to which offset of the list all servers that may live are known, and listed.
func (nod *node) wholeTo() int64 {
	if !nod.census.Whole(nod.ply.now) || len(nod.missing) > 0 {
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
		nod.census.Told(now, bet.listedTo)
		if _, changed := nod.cnc.Heard(bet.ins); changed {
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
		nod.cnc.Lost(now, id, silent)
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
		nod.cnc.HeldUp(now)
	}
	nod.tickedAt = now
	if len(nod.entries) > 0 && !nod.leaving && !nod.cnc.Ready() {
		nod.cnc.SetReady(now)
		nod.nudge()
	}
	nod.leaveWeaker()
	for _, shd := range Sorted(nod.shards()) {
		if ldr := nod.ldrs[shd.Name]; ldr != nil && shd.Domain != nod.domain && ldr.Disobeyed(now) {
			nod.abandon(shd.Name, false)
		}
	}
	for _, shd := range nod.cnc.Decide(now) {
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
		rch = &Reach{}
		nod.reaches[shd.Name] = rch
	}
	if rch.Holds(now) {
		delete(nod.reaches, shd.Name)
		return true
	}
	ents := nod.shards()[shd]
	if len(ents) == 0 || !rch.Ask(now) {
		return false
	}
	ent := ents[nod.ply.rnd.IntN(len(ents))]
	act := shard.Hold{Server: ent, Token: 1}
	nod.call(ent.ID, ReachTimeout, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) { srv.hold(act, reply) },
		func(_ shard.Look, vdt shard.Verdict) {
			nod.run(func(at time.Time) {
				if vdt == shard.Unknown {
					rch.Unanswered(at)
				} else if rch.Answered(at, now) {
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
	nod.cnc.Took(now, name, tok)
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
	nod.cnc.Left(nod.ply.now, name, fenced)
	nod.leadersChanged = true
}

func (nod *node) leaveWeaker() {
	for _, name := range nod.cnc.Weaker() {
		nod.abandon(name, false)
	}
	nod.carryOut()
}

func (nod *node) updateLeaders() {
	for _, shd := range Sorted(nod.shards()) {
		led, tok := nod.cnc.Leader(shd)
		nod.deskDo(nod.dsk.SetLeader(submission.Target{Shard: shd.Name, Leader: led, Token: tok}, shd.Domain))
	}
}

// shards returns the shards that the node knows of, one for each failure domain of its list.
func (nod *node) shards() map[Shard][]shard.ServerEntry {
	div := map[Shard][]shard.ServerEntry{}
	for _, id := range sortedKeys(nod.missing) {
		shd := shardOf(nod.missing[id].FailureDomain, 0)
		div[shd] = nil
	}
	for _, id := range sortedKeys(nod.entries) {
		shd := shardOf(nod.entries[id].FailureDomain, 0)
		div[shd] = append(div[shd], nod.entries[id])
	}
	return div
}

// readList reads the list of servers, if the store answers.
func (nod *node) readList() {
	ply := nod.ply
	if !ply.open(nod.name, storeName) || !ply.open(storeName, nod.name) {
		return
	}
	began := ply.now
	listed, offset := maps.Clone(ply.listed), ply.offset
	ply.after(ply.delay(), func() {
		nod.deliver("list", func() { nod.run(func(now time.Time) { nod.takeList(now, began, listed, offset) }) })
	})
}

func (nod *node) takeList(now, began time.Time, listed map[shard.ServerID]bool, offset int64) {
	if began.Before(nod.listReadAt) {
		return
	}
	if nod.listReadAt.IsZero() {
		nod.census.ReadAll(now, offset)
	}
	if now.Sub(nod.ply.began) < warmUp {
		nod.census.Told(now, offset) // The system had been at work for long when the play began.
	}
	nod.listReadAt, nod.listedTo = began, offset
	for _, srv := range nod.ply.servers {
		if ent, was := nod.entries[srv.id]; was && !listed[srv.id] {
			delete(nod.entries, srv.id)
			ent.Leaving = true
			nod.missing[srv.id] = ent
		} else if listed[srv.id] {
			nod.entries[srv.id] = srv.entry()
			delete(nod.missing, srv.id)
		}
	}
	nod.cnc.SetShards(Sorted(nod.shards()))
	nod.leadersChanged = true
	nod.tellServers(now)
}

func (nod *node) tellServers(now time.Time) {
	for shd, ents := range nod.shards() {
		ldr := nod.ldrs[shd.Name]
		if ldr == nil {
			continue
		}
		lst := shard.Listing{Listed: ents, All: nod.entries}
		if nod.census.Whole(now) {
			lst.ReadAt = nod.listReadAt
		}
		for _, id := range sortedKeys(nod.missing) {
			if shardOf(nod.missing[id].FailureDomain, 0) == shd {
				lst.Missing = append(lst.Missing, nod.missing[id])
			}
		}
		nod.shardDo(shd.Name, ldr.SetServers(now, lst))
	}
}

func (nod *node) leader(name shard.Name, token int64) *shard.Leader {
	if ldr := nod.ldrs[name]; ldr != nil && ldr.Token() == token {
		return ldr
	}
	return nil
}

func (nod *node) placeOrder(now time.Time, tgt submission.Target, ord shard.Order) {
	ldr := nod.leader(tgt.Shard, tgt.Token)
	if ldr == nil {
		nod.tell(ord.Owner, shard.Report{Task: ord.Task, Token: tgt.Token, Outcome: shard.Lost})
		return
	}
	nod.noteOrder(ord.Owner)
	nod.shardDo(tgt.Shard, ldr.Place(now, ord))
}

func (nod *node) noteOrder(id shard.InstanceID) {
	if !nod.openWith[id] && id != nod.id {
		nod.openWith[id] = true
		nod.updatePaces()
	}
}

func (nod *node) tell(owner shard.InstanceID, rep shard.Report) {
	if owner == nod.id {
		nod.deskDo(nod.dsk.Report(nod.ply.now, nod.id, rep))
		return
	}
	nod.send(owner, reportMessage{rep})
}

// send gives a message to the session with one life of a node.
func (nod *node) send(to shard.InstanceID, msg any) {
	for _, peer := range nod.ply.names {
		if ses := nod.sessions[peer]; ses != nil && ses.up && ses.id() == to {
			ses.push(msg)
		}
	}
}

func (nod *node) deskDo(acts []submission.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case submission.Place:
			nod.ply.note("%s orders %s at %s %d followed %t at %q recall %t", nod.id, act.Order.Task, act.Target.Leader, act.Target.Token,
				act.Order.Followed, act.Order.At, act.Order.Recall)
			if act.Target.Leader != nod.id {
				nod.noteOrder(act.Target.Leader)
				nod.send(act.Target.Leader, orderMessage{act.Target.Shard, act.Target.Token, act.Order})
				continue
			}
			nod.local = append(nod.local, func() { nod.placeOrder(nod.ply.now, act.Target, act.Order) })
		case submission.Withdraw:
			nod.ply.note("%s withdraws %s from %s", nod.id, act.Task, act.Target.Leader)
			if act.Target.Leader != nod.id {
				nod.send(act.Target.Leader, withdrawalMessage{act.Target.Shard, act.Target.Token, act.Task})
				continue
			}
			nod.local = append(nod.local, func() {
				if ldr := nod.leader(act.Target.Shard, act.Target.Token); ldr != nil {
					nod.shardDo(act.Target.Shard, ldr.Cancel(nod.ply.now, nod.id, act.Task))
				}
			})
		case submission.Reply:
			if att := nod.calls[act.Call]; att != nil {
				delete(nod.calls, act.Call)
				nod.ply.after(time.Millisecond, func() { att.answered(act.Answer) })
			}
		}
	}
}

func (nod *node) shardDo(name shard.Name, acts []shard.Action) {
	patience := nod.upl.Patience()
	for _, act := range acts {
		switch act := act.(type) {
		case shard.Tell:
			nod.local = append(nod.local, func() { nod.tell(act.Owner, act.Report) })
		case shard.StartRun:
			nod.startRun(name, act, patience)
		case shard.StopRun:
			nod.ply.note("%s stops %s %d at %s", nod.id, act.Run.Task, act.Run.Number, act.Server.ID)
			nod.call(act.Server.ID, patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) {
				reply(shard.Look{}, srv.stop(act))
			}, func(_ shard.Look, vdt shard.Verdict) {
				nod.run(func(now time.Time) {
					if ldr := nod.leader(name, act.Token); ldr != nil {
						nod.shardDo(name, ldr.Stopped(now, act.Server.ID, act.Run, vdt))
					}
				})
			})
		case shard.Hold:
			nod.ply.after(act.Pause, func() { nod.deliver(fmt.Sprint("pause ", nod.ply.count), func() { nod.hold(name, act, patience) }) })
		}
	}
	if ldr := nod.ldrs[name]; ldr != nil && ldr.Lost() > 0 {
		nod.abandon(name, true)
	}
}

func (nod *node) startRun(name shard.Name, act shard.StartRun, patience time.Duration) {
	nod.ply.note("%s starts %s %d at %s with %d", nod.id, act.Run.Task, act.Run.Number, act.Server.ID, act.Token)
	sent := nod.ply.now
	nod.call(act.Server.ID, patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) {
		vdt := srv.start(act, nod.ply.takes(act.Run.Task))
		reply(shard.Look{Clock: srv.clock()}, vdt)
	}, func(lok shard.Look, vdt shard.Verdict) {
		nod.run(func(now time.Time) {
			nod.upl.Answered(act.Payload, now.Sub(sent), vdt)
			if ldr := nod.leader(name, act.Token); ldr != nil {
				nod.shardDo(name, ldr.Started(now, act.Server.ID, act.Run, vdt, lok.Clock))
			}
		})
	})
}

func (nod *node) hold(name shard.Name, act shard.Hold, patience time.Duration) {
	sent := nod.ply.now
	nod.call(act.Server.ID, act.Wait+patience, func(srv *fakeServer, reply func(shard.Look, shard.Verdict)) { srv.hold(act, reply) },
		func(lok shard.Look, vdt shard.Verdict) {
			nod.run(func(now time.Time) {
				if ldr := nod.leader(name, act.Token); ldr != nil {
					nod.shardDo(name, ldr.Looked(now, sent, act, lok, vdt))
				}
			})
		})
}

// call makes a call of a server: it may be lost on the way there or back, or be carried out late and without an answer.
func (nod *node) call(to shard.ServerID, patience time.Duration, carryOut func(srv *fakeServer, reply func(shard.Look, shard.Verdict)),
	answered func(lok shard.Look, vdt shard.Verdict),
) {
	ply := nod.ply
	ply.calls++
	src := fmt.Sprint("call ", ply.calls)
	done := false
	finish := func(lok shard.Look, vdt shard.Verdict) {
		nod.deliver(src, func() {
			if !done {
				done = true
				answered(lok, vdt)
			}
		})
	}
	ply.after(patience, func() { finish(shard.Look{}, shard.Unknown) })
	srv := ply.server(to)
	if !ply.open(nod.name, string(to)) {
		return
	}
	if srv.lose > 0 {
		srv.lose--
		ply.after(ply.within(3*time.Second), func() { carryOut(srv, func(shard.Look, shard.Verdict) {}) })
		return
	}
	ply.after(ply.delay(), func() {
		carryOut(srv, func(lok shard.Look, vdt shard.Verdict) {
			if ply.open(string(to), nod.name) {
				ply.after(ply.delay(), func() { finish(lok, vdt) })
			}
		})
	})
}
