package succession

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestExploreCutOffInstances guards against a task that runs twice although its caller has submitted its job once: single instances are cut off from all others
// and the store while they reach backend servers and callers, take shards over, are fenced, and others win the shards back; the owner orders the task anew.
func TestExploreCutOffInstances(t *testing.T) {
	low := map[string]*gap{}
	seedOf := map[string]uint64{}
	explore(t, nil, func(seed uint64) *simRun {
		sim := simulateCutOffs(seed)
		for name, gp := range map[string]*gap{"by the leader's leases": sim.gaps.byLease, "by a wait": sim.gaps.byOwner} {
			if gp == nil {
				continue
			}
			if gp.dur < nearMiss && testing.Verbose() {
				t.Logf("seed %d, %s: %s starts at %v, %v after the latest end of its former run", seed, name, gp.task, gp.at, gp.dur)
			}
			if low[name] = shorter(low[name], gp); low[name] == gp {
				seedOf[name] = seed
			}
		}
		return sim
	})
	for name, gp := range low {
		report := t.Logf
		if gp.dur < 0 {
			report = t.Errorf // Only luck has ended the former run in time.
		}
		report("%s: the shortest gap is %v, of seed %d (%s at %v)", name, gp.dur, seedOf[name], gp.task, gp.at)
	}
}

// nearMiss is the time between two runs below which a seed is worth a look.
const nearMiss = 50 * time.Millisecond

// newCutOffSimulation returns a simulation after its warm-up with several shards in failure domain a, so that one instance leads more than one.
func newCutOffSimulation(seed uint64) (*simRun, *rand.Rand) {
	rnd := rand.New(rand.NewPCG(seed, 19))
	nodes := [][]string{{"a", "a", "b"}, {"a", "a", "a", "b"}, {"a", "a"}, {"a", "a", "b", "b"}}[rnd.IntN(4)]
	shards, each := 2+rnd.IntN(2), 1+rnd.IntN(2)
	var servers []string
	for range shards * each {
		servers = append(servers, "a")
	}
	for range rnd.IntN(3) * len(nodes) / 3 {
		servers = append(servers, "b")
	}
	numbers := map[shard.ServerID]int{}
	for num, dom := range servers {
		if dom == "a" {
			numbers[shard.ServerID(fmt.Sprint("s", num+1, dom))] = num % shards
		}
	}
	sim := newSimulation(seed, nodes, servers)
	sim.shardNumbers, sim.pastRuns, sim.doneRuns = numbers, map[string]*pastRun{}, map[string][]*doneRun{}
	sim.strict, sim.losses, sim.lossRnd = true, map[[2]string]loss{}, rnd
	for _, srv := range sim.servers {
		if rnd.IntN(2) == 0 {
			srv.clockRate = 1 / clockSkew
		}
	}
	sim.runUntil(sim.began.Add(warmUp))
	return sim, rnd
}

// simulateCutOffs returns the simulation of a seed after it has run: one or two instances are cut off several times.
func simulateCutOffs(seed uint64) *simRun {
	sim, rnd := newCutOffSimulation(seed)
	for range 3 + rnd.IntN(8) {
		sim.after(within(rnd, cutOffTime), func() { sim.submitOnce(rnd, sim.names[rnd.IntN(len(sim.names))]) })
	}
	for range 1 + rnd.IntN(2) {
		sim.cutOffInSeries(rnd, sim.names[rnd.IntN(len(sim.names))], 1+rnd.IntN(4))
	}
	for range rnd.IntN(3) {
		sim.after(within(rnd, cutOffTime), sim.injectFault)
	}
	sim.runUntil(sim.began.Add(warmUp + cutOffTime + settleTime))
	return sim
}

const (
	cutOffTime    = 6 * time.Second
	cutOffTimeout = 12 * time.Second
)

// submitOnce sends a new job of long tasks to a node; its caller never sends it again.
func (sim *simRun) submitOnce(rnd *rand.Rand, name string) {
	job := sim.newJob(1+rnd.IntN(4), 600*time.Millisecond+within(rnd, 2500*time.Millisecond))
	job.once, job.patient, job.timeout = true, true, cutOffTimeout
	job.send(sim.nodes[name])
}

// cutOffInSeries cuts a node off a number of times, with a pause between two.
func (sim *simRun) cutOffInSeries(rnd *rand.Rand, name string, times int) {
	at := within(rnd, 2*time.Second)
	for range times {
		dur := cutOffDuration(rnd)
		sim.after(at, func() { sim.cutOff(rnd, sim.nodes[name], dur) })
		at += dur + 20*time.Millisecond + within(rnd, 1200*time.Millisecond)*time.Duration(rnd.IntN(2))
	}
}

// cutOffDuration draws a duration of 0.2 to 5 s, one time in two one after which an instance that hears nobody has just taken shards over.
func cutOffDuration(rnd *rand.Rand) time.Duration {
	if rnd.IntN(2) == 0 {
		return 1800*time.Millisecond + within(rnd, 900*time.Millisecond)
	}
	return 200*time.Millisecond + within(rnd, 700*time.Millisecond)*time.Duration(1+rnd.IntN(7))
}

// cutOff cuts a node off from the other nodes and the store, for a time, while it reaches backend servers and callers; it may go on to hear some, or to be heard
// by some. Servers out of reach, lost answers, pauses and takeovers come around the beginning and the end.
func (sim *simRun) cutOff(rnd *rand.Rand, nod *node, dur time.Duration) {
	sim.note("%s is cut off for %v", nod.id, dur)
	chance := func(num int) bool { return rnd.IntN(num) == 0 }
	for _, name := range sim.names {
		if name == nod.name || chance(8) {
			continue
		}
		how := rnd.IntN(8)
		if how > 0 {
			sim.cutLink(nod.name, name, dur-within(rnd, 100*time.Millisecond))
		}
		if how != 1 {
			sim.cutLink(name, nod.name, dur-within(rnd, 100*time.Millisecond))
		}
	}
	if !chance(6) {
		sim.cutBothWays(nod.name, storeName, dur)
	}
	if chance(2) {
		taker := sim.nodes[sim.names[rnd.IntN(len(sim.names))]]
		if chance(2) {
			taker = nod
		}
		sim.around(rnd, dur, func() { taker.deliver("forced", func() { taker.takeOverUnasked(sim.anyShard(rnd)) }) })
	}
	for range 1 + rnd.IntN(4) {
		sim.around(rnd, dur, func() { sim.submitOnce(rnd, sim.names[rnd.IntN(len(sim.names))]) })
	}
	for range rnd.IntN(3) {
		oth := sim.nodes[sim.names[rnd.IntN(len(sim.names))]]
		if chance(2) {
			oth = nod
		}
		sim.around(rnd, dur, func() { sim.disturbProcess(rnd, oth) })
	}
	for _, srv := range sim.servers {
		switch rnd.IntN(6) {
		case 0, 1:
			sim.around(rnd, dur, func() { sim.disturbServer(rnd, srv, nod) })
		case 2, 3:
			sim.around(rnd, dur, func() { sim.keepFor(rnd, srv, sim.names[rnd.IntN(len(sim.names))]) })
		}
	}
}

// keepFor has a server out of reach of all nodes but one, and soon out of that one's reach, too.
func (sim *simRun) keepFor(rnd *rand.Rand, srv *fakeServer, last string) {
	dur := 700*time.Millisecond + within(rnd, 1500*time.Millisecond)
	sim.note("%s can be reached by %s only for %v", srv.id, last, dur)
	for _, name := range sim.names {
		if name != last {
			sim.cutBothWays(name, string(srv.id), dur)
		}
	}
	sim.after(within(rnd, 700*time.Millisecond), func() { sim.loseServer(rnd, last, string(srv.id), dur) })
}

// loseServer has a server out of reach of a node, one time in two so that calls of the node still arrive there for a while.
func (sim *simRun) loseServer(rnd *rand.Rand, name, id string, dur time.Duration) {
	sim.cutLink(id, name, dur)
	if rnd.IntN(2) == 0 {
		sim.after(within(rnd, 400*time.Millisecond), func() { sim.cutLink(name, id, dur) })
		return
	}
	sim.cutLink(name, id, dur)
}

// around schedules act around the beginning of a trouble that lasts for dur, around its end, or in between.
func (sim *simRun) around(rnd *rand.Rand, dur time.Duration, act func()) {
	switch rnd.IntN(3) {
	case 0:
		sim.after(within(rnd, 500*time.Millisecond), act)
	case 1:
		sim.after(max(0, dur-200*time.Millisecond+within(rnd, 700*time.Millisecond)), act)
	default:
		sim.after(within(rnd, dur), act)
	}
}

func (sim *simRun) anyShard(rnd *rand.Rand) shard.Name {
	srv := sim.servers[rnd.IntN(len(sim.servers))]
	return shardOf(srv.domain, sim.shardNumbers[srv.id]).Name
}

// disturbProcess pauses a process, or lets it run in short pieces only.
func (sim *simRun) disturbProcess(rnd *rand.Rand, nod *node) {
	dur := 30*time.Millisecond + within(rnd, 900*time.Millisecond)
	switch {
	case nod.dead:
	case rnd.IntN(3) == 0:
		sim.starve(nod, dur)
	default:
		nod.pause(dur)
	}
}

// disturbServer has a server out of reach of one node, most times the one that is cut off, or has calls or answers of one kind lost.
func (sim *simRun) disturbServer(rnd *rand.Rand, srv *fakeServer, nod *node) {
	if rnd.IntN(2) == 0 {
		nod = sim.nodes[sim.names[rnd.IntN(len(sim.names))]]
	}
	dur := 100*time.Millisecond + within(rnd, 1500*time.Millisecond)
	flag := func(lost *bool, what string) {
		sim.note("%s %s for %v", srv.id, what, dur)
		*lost = true
		sim.after(dur, func() { *lost = false })
	}
	switch rnd.IntN(8) {
	case 0, 1, 2:
		sim.note("%s and %s are cut for %v", nod.id, srv.id, dur)
		sim.loseServer(rnd, nod.name, string(srv.id), dur)
	case 3:
		sim.loseMessages(nod.name, string(srv.id), dur, rnd.Float64())
	case 4:
		srv.lostAnswers = 1 + rnd.IntN(4)
	case 5:
		flag(&srv.losesStops, "loses stops")
	case 6:
		flag(&srv.losesStartAnswers, "does not answer starts")
	default:
		flag(&srv.losesRenewals, "loses renewals")
	}
}
