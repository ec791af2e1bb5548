package succession

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestExploreUnseenRestarts guards against a task that runs twice because a start has reached an incarnation of its server that the leader did not know:
// the lease was meant for a clock that is ahead, is cut to the longest one, and outlasts what a leader waits that has lost the server.
func TestExploreUnseenRestarts(t *testing.T) {
	explore(t, []uint64{118, 1601, 1813}, simulateUnseenRestarts)
}

// simulateUnseenRestarts returns the simulation of a seed after it has run.
func simulateUnseenRestarts(seed uint64) *simRun {
	sim, rnd := newLeaseSimulation(seed, 16, []string{"a", "a", "b", "b"}[:2+seed%3])
	for range rnd.IntN(4) {
		sim.after(within(rnd, activeTime), sim.submit)
	}
	for range rnd.IntN(3) {
		sim.after(within(rnd, activeTime), sim.injectFault)
	}
	for range 3 + rnd.IntN(5) {
		sim.after(within(rnd, activeTime), func() { sim.unseenRestart(rnd) })
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// newLeaseSimulation returns a simulation after its warm-up, whose servers follow the rules for leases strictly, and a random source of its own for the
// troubles.
func newLeaseSimulation(seed, stream uint64, servers []string) (*simRun, *rand.Rand) {
	rnd := rand.New(rand.NewPCG(seed, stream))
	sim := newSimulation(seed, []string{"a", "a", "b"}, servers)
	sim.strict, sim.losses, sim.lossRnd = true, map[[2]string]loss{}, rnd
	for _, srv := range sim.servers {
		if rnd.IntN(3) == 0 {
			srv.clockRate = 1 / clockSkew
		}
	}
	sim.runUntil(sim.began.Add(warmUp))
	return sim, rnd
}

// unseenRestart restarts a server and submits jobs of long tasks around the restart. The store, which would tell of the restart, may be out of the
// leader's reach, answers of either incarnation may be lost, and the leader loses the server soon, for longer than any lease.
func (sim *simRun) unseenRestart(rnd *rand.Rand) {
	srv := sim.servers[rnd.IntN(len(sim.servers))]
	led := sim.leader(shard.Name(srv.domain + ".0"))
	if led == "" || srv.down() {
		return
	}
	if rnd.IntN(2) == 0 {
		sim.cutLink(storeName, led, within(rnd, time.Second))
	}
	for range 1 + rnd.IntN(3) {
		sim.after(within(rnd, 200*time.Millisecond), func() { sim.submitLong(rnd, sim.names[rnd.IntN(len(sim.names))]) })
	}
	switch rnd.IntN(5) {
	case 0:
		sim.after(within(rnd, 100*time.Millisecond), func() { sim.cutLink(string(srv.id), led, 300*time.Millisecond) })
	case 1:
		sim.loseMessages(led, string(srv.id), 300*time.Millisecond, rnd.Float64())
		fallthrough
	case 2:
		sim.loseMessages(string(srv.id), led, 300*time.Millisecond, rnd.Float64())
	}
	crash := within(rnd, 100*time.Millisecond)
	sim.after(crash, func() { srv.restart(within(rnd, 80*time.Millisecond)) })
	sim.after(crash+within(rnd, 500*time.Millisecond), func() {
		dur := 500*time.Millisecond + within(rnd, 2*time.Second)
		sim.note("%s loses %s for %v", led, srv.id, dur)
		sim.cutLink(led, string(srv.id), dur)
		if rnd.IntN(2) == 0 {
			sim.cutLink(string(srv.id), led, dur)
		}
	})
}

// submitLong sends a new job to a node, whose tasks run for longer than most leases.
func (sim *simRun) submitLong(rnd *rand.Rand, name string) {
	sim.submitTo(name, 1+rnd.IntN(4), 700*time.Millisecond+within(rnd, 1300*time.Millisecond))
}

// within draws a duration from 0 up to a bound.
func within(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most) + 1))
}

// loss is the share of messages that are lost until a time.
type loss struct {
	until time.Time
	share float64
}

// loseMessages has a share of the messages from one process to another lost, for a time.
func (sim *simRun) loseMessages(from, to string, dur time.Duration, share float64) {
	sim.note("%.2f of the messages from %s to %s are lost for %v", share, from, to, dur)
	sim.losses[[2]string{from, to}] = loss{until: sim.now.Add(dur), share: share}
}

// loses reports whether a message from one process to another that is sent now is lost.
func (sim *simRun) loses(from, to string) bool {
	los, lossy := sim.losses[[2]string{from, to}]
	return lossy && sim.now.Before(los.until) && sim.lossRnd.Float64() < los.share
}
