package succession

import (
	"math/rand/v2"
	"time"
)

// injectFault injects a random fault, and one time in three another one later. Jobs are submitted around its end, as that is when nodes
// change what they know of each other.
func (sim *simRun) injectFault() {
	nod := sim.anyNode()
	dur := 20*time.Millisecond + sim.within(2500*time.Millisecond)
	for range sim.rnd.IntN(3) {
		sim.after(max(0, dur-150*time.Millisecond+sim.within(500*time.Millisecond)), sim.submit)
	}
	switch sim.rnd.IntN(12) {
	case 0, 1:
		sim.note("domain %s is partitioned for %v", nod.domain, dur)
		sim.partition(nod.domain, dur)
		if sim.rnd.IntN(2) == 0 {
			sim.partitionWithTakeovers(nod.domain)
		}
	case 2:
		oth := sim.anyNode()
		sim.note("link %s to %s is cut for %v", nod.name, oth.name, dur)
		sim.cutLink(nod.name, oth.name, dur)
	case 3, 4:
		srv := sim.servers[sim.rnd.IntN(len(sim.servers))]
		from, to := nod.name, string(srv.id)
		if sim.rnd.IntN(2) == 0 {
			from, to = to, from
		}
		sim.note("link %s to %s is cut for %v", from, to, dur)
		sim.cutLink(from, to, dur)
	case 5:
		if !nod.dead {
			nod.pause(dur)
		}
	case 6:
		sim.endProcess(nod, dur)
	case 7, 8:
		sim.expireEntries(dur)
	case 9:
		srv := sim.servers[sim.rnd.IntN(len(sim.servers))]
		srv.lostAnswers = 1 + sim.rnd.IntN(4)
		sim.note("%s loses the answers to %d calls", srv.id, srv.lostAnswers)
	default:
		sim.forceTakeover()
	}
	if sim.rnd.IntN(3) == 0 {
		sim.after(sim.within(dur+100*time.Millisecond), sim.injectFault)
	}
}

// injectRestarts crashes random servers at random times, most for less than the time of a few calls. Jobs come around the restarts.
func (sim *simRun) injectRestarts(rnd *rand.Rand) {
	for range 1 + rnd.IntN(5) {
		down := 5*time.Millisecond + time.Duration(rnd.Int64N(int64(200*time.Millisecond)))
		if rnd.IntN(4) == 0 {
			down = time.Duration(rnd.Int64N(int64(3 * time.Second)))
		}
		srv, at := sim.servers[rnd.IntN(len(sim.servers))], time.Duration(rnd.Int64N(int64(activeTime)))
		sim.after(at, func() { srv.restart(down) })
		sim.after(at+down/2, sim.submit)
	}
}

// partitionWithTakeovers partitions a failure domain whose entries expire meanwhile, and has a random node on either side take a shard
// over; new jobs come around the end of the partition.
func (sim *simRun) partitionWithTakeovers(domain string) {
	dur := time.Second + sim.within(3*time.Second)
	sim.partition(domain, dur)
	sim.after(sim.within(dur/2), func() { sim.expireEntries(sim.within(2 * dur)) })
	sim.after(sim.within(dur), sim.forceTakeover)
	for range 4 {
		sim.after(dur-100*time.Millisecond+sim.within(400*time.Millisecond), sim.submit)
	}
}

// forceTakeover has a random node take a random shard over, whether or not it would decide to.
func (sim *simRun) forceTakeover() {
	nod := sim.anyNode()
	shds := SortedShards(nod.shards())
	if nod.dead || nod.stopping || len(shds) == 0 || !nod.elector.Ready() {
		return
	}
	shd := shds[sim.rnd.IntN(len(shds))]
	nod.deliver("forced", func() {
		nod.handle(func(now time.Time) {
			if nod.leaders[shd.Name] == nil {
				nod.takeOver(now, shd.Name)
			}
		})
	})
}

func (sim *simRun) anyNode() *node { return sim.nodes[sim.names[sim.rnd.IntN(len(sim.names))]] }

// partition cuts the links between a failure domain and all other nodes and servers and the store, for a time.
func (sim *simRun) partition(domain string, dur time.Duration) {
	inside, outside := []string{}, []string{storeName}
	add := func(name, dom string) {
		if dom == domain {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, name := range sim.names {
		add(name, sim.nodes[name].domain)
	}
	for _, srv := range sim.servers {
		add(string(srv.id), srv.domain)
	}
	for _, one := range inside {
		for _, two := range outside {
			sim.cutBothWays(one, two, dur)
		}
	}
}

// expireEntries removes the entries of random servers for a time.
func (sim *simRun) expireEntries(dur time.Duration) {
	for _, srv := range sim.servers {
		if sim.rnd.IntN(4) == 0 {
			continue
		}
		sim.note("entry of %s is expired for %v", srv.id, dur)
		sim.setListed(srv, false)
		sim.after(dur+sim.within(400*time.Millisecond), func() { sim.setListed(srv, true) })
	}
}

func (sim *simRun) setListed(srv *fakeServer, there bool) {
	sim.list = append(sim.list, listRecord{ent: srv.entry(), listed: there})
	sim.listed[srv.id] = there
}

// endProcess ends a process by a kill, a power loss or a planned stop, and later starts its next incarnation.
func (sim *simRun) endProcess(nod *node, dur time.Duration) {
	if nod.dead || nod.stopping {
		return
	}
	how := sim.rnd.IntN(3)
	if how == 2 {
		sim.note("%s stops", nod.id)
		nod.stopping = true
		nod.elector.SetStopping()
		nod.signalAll()
		sim.after(dur/2, func() {
			if !nod.dead {
				nod.leaving = true
				nod.elector.SetLeaving()
				nod.signalAll()
			}
		})
	}
	finish := func() {
		sim.note("%s ends, how %d", nod.id, how)
		if how == 2 {
			nod.handle(func(time.Time) { nod.runCoordinatorActions(nod.coordinator.Shutdown()) })
		}
		nod.dead, nod.powerLost = true, how == 1
		for _, cal := range sortedKeys(nod.callers) {
			if how != 1 {
				nod.callers[cal].disconnect()
			}
		}
		sim.after(100*time.Millisecond+dur/2, func() { sim.startNode(nod.name, nod.domain) })
	}
	if how == 2 {
		sim.after(dur, finish)
		return
	}
	finish()
}
