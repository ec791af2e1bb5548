package succession

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestExploreWrongLoads guards against tasks that go round between their owner and leaders, or never start, where leaders' loads are wrong or late.
func TestExploreWrongLoads(t *testing.T) { explore(t, nil, simulateWrongLoads) }

// simulateWrongLoads returns the simulation of a seed after it has run: the faults of TestExploreOrders, and loads that promise free capacity that
// there isn't, or tell what was true a while ago. At the end, with loads as they are, each node gets a job.
func simulateWrongLoads(seed uint64) *simRun {
	sim := newSimulation(seed, []string{"a", "b", "b"}, []string{"a", "a", "b", "b"})
	sim.runUntil(sim.began.Add(warmUp))
	for range 24 + sim.rnd.IntN(16) {
		sim.after(sim.within(activeTime), sim.submit)
	}
	for range sim.rnd.IntN(4) {
		sim.after(sim.within(activeTime), sim.injectFault)
	}
	rnd := rand.New(rand.NewPCG(seed, 15))
	for range 3 + rnd.IntN(6) {
		name, wrong := sim.names[rnd.IntN(len(sim.names))], []func(lod shard.Load) shard.Load{promise, sim.late()}[rnd.IntN(2)]
		at, dur := time.Duration(rnd.Int64N(int64(activeTime))), time.Second+time.Duration(rnd.Int64N(int64(3*time.Second)))
		sim.after(at, func() { sim.wrongLoads[name] = wrong })
		sim.after(at+dur, func() { delete(sim.wrongLoads, name) })
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + 4*settleTime)) // Faults lead to others, and callers try four times.
	sim.checkRefused()
	last := len(sim.jobs)
	for _, name := range sim.names {
		sim.submitTo(name, 1, 100*time.Millisecond)
	}
	sim.runUntil(sim.now.Add(callerTimeout))
	for _, job := range sim.jobs[last:] {
		if !job.succeeded {
			sim.violation("%s, sent after all faults, was not run", job.id)
		}
	}
	return sim
}

// promise returns a load with free capacity for any task.
func promise(lod shard.Load) shard.Load {
	lod.Free = slices.Repeat([]int64{serverSize}, 4)
	lod.FreeMemory = slices.Repeat([]int64{1 << 20}, 4)
	lod.RankWaits = [shard.Ranks]time.Duration{}
	return lod
}

// late returns a change of loads that tells the first one of each second under the numbers of those that follow.
func (sim *simRun) late() func(lod shard.Load) shard.Load {
	var told shard.Load
	var toldAt time.Time
	return func(lod shard.Load) shard.Load {
		if sim.now.Sub(toldAt) > time.Second {
			told, toldAt = lod, sim.now
		}
		num := lod.Number
		lod = told
		lod.Number = num
		return lod
	}
}

// load returns what a leader on the node tells of its shard.
func (nod *node) load(name shard.Name) shard.Load {
	lod := nod.leaders[name].Load(nod.sim.now)
	if wrong := nod.sim.wrongLoads[nod.name]; wrong != nil {
		lod = wrong(lod)
	}
	return lod
}

const (
	// ordersEach5s bounds the orders and recalls that an owner sends of a task in 5 s, ordersAtOnce those at one moment: its own leader answers at once.
	ordersEach5s, ordersAtOnce = 40, 8
)

// sentOrder is when an owner last sent orders and recalls of a task: how many since the start of a span of 5 s, and how many at one moment.
type sentOrder struct {
	since, at      time.Time
	num, numAtOnce int
}

// noteOrder counts an order or recall and reports a violation if its task goes round. Orders that follow to a new leader don't count.
func (sim *simRun) noteOrder(owner shard.InstanceID, ord *shard.Order) {
	if ord.Reassigned {
		return
	}
	key := string(owner) + " " + ord.Task
	snt := sim.orders[key]
	if snt == nil {
		snt = &sentOrder{}
		sim.orders[key] = snt
	}
	if sim.now.Sub(snt.since) > 5*time.Second {
		snt.since, snt.num = sim.now, 0
	}
	if !sim.now.Equal(snt.at) {
		snt.at, snt.numAtOnce = sim.now, 0
	}
	snt.num++
	snt.numAtOnce++
	if snt.num == ordersEach5s+1 || snt.numAtOnce == ordersAtOnce+1 {
		sim.violation("%s goes round: %d orders by %s since %v, %d at once", ord.Task, snt.num, owner, snt.since.Sub(sim.began), snt.numAtOnce)
	}
}
