package succession

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"

	"github.com/matryer/is"
)

// TestExploreUnclaimedRuns guards against a task that runs twice because a new leader has extended the lease of a run that it could not stop and for
// which no order had come, while the former leader, succeeded without knowing it, gave the order back after its own last extension.
func TestExploreUnclaimedRuns(t *testing.T) {
	explore(t, []uint64{206, 658, 4073}, simulateUnclaimedRuns)
}

// simulateUnclaimedRuns returns the simulation of a seed after it has run.
func simulateUnclaimedRuns(seed uint64) *simRun {
	sim, rnd := newLeaseSimulation(seed, 17, [][]string{{"a", "b"}, {"a", "a", "b"}, {"a", "a", "b", "b"}}[seed%3])
	for range 2 + rnd.IntN(5) {
		sim.after(within(rnd, activeTime), func() { sim.submitLong(rnd, sim.names[rnd.IntN(len(sim.names))]) })
	}
	for range rnd.IntN(2) {
		sim.after(within(rnd, activeTime), sim.injectFault)
	}
	for range 2 + rnd.IntN(4) {
		sim.after(within(rnd, activeTime), func() { sim.succeedUnseen(rnd) })
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// TestExploreRestartsBetweenLeaders guards against a task that runs twice because a former leader has extended the lease of an incarnation that it did not
// know: the lease, meant for a clock that is ahead, is one of all runs of the server, and outlasts what the next leader waits for those that it starts.
func TestExploreRestartsBetweenLeaders(t *testing.T) {
	explore(t, []uint64{692}, simulateRestartsBetweenLeaders)
}

// TestRestartedServerObeysTwoLeaders guards against a server that is given more than it has room for: it has started again and forgotten the token, and a
// former leader, succeeded without knowing it, starts tasks there beside its successor.
func TestRestartedServerObeysTwoLeaders(t *testing.T) {
	sim := simulateRestartsBetweenLeaders(8465)
	is.New(t).Equal(sim.violations, nil)
}

// simulateRestartsBetweenLeaders returns the simulation of a seed after it has run.
func simulateRestartsBetweenLeaders(seed uint64) *simRun {
	sim, rnd := newLeaseSimulation(seed, 18, [][]string{{"a", "b"}, {"a", "a", "b"}, {"a", "a", "b", "b"}}[seed%3])
	for range 2 + rnd.IntN(5) {
		sim.after(within(rnd, activeTime), func() { sim.submitLong(rnd, sim.names[rnd.IntN(len(sim.names))]) })
	}
	for range rnd.IntN(3) {
		sim.after(within(rnd, activeTime), sim.injectFault)
	}
	for range 2 + rnd.IntN(4) {
		sim.after(within(rnd, activeTime), func() { sim.succeedUnseen(rnd) })
	}
	for range 2 + rnd.IntN(4) {
		sim.after(within(rnd, activeTime), func() { sim.unseenRestart(rnd) })
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// succeedUnseen has the shard a.0 taken over by a node that neither its leader nor, most times, the owner of its tasks hears. The two leaders reach the
// servers in turn: the former one loses them around the takeover, the new one later, and a share of its calls or of their answers are lost before.
func (sim *simRun) succeedUnseen(rnd *rand.Rand) {
	fst, snd := sim.nodes["i1a"], sim.nodes["i2a"]
	if sim.leader("a.0") == snd.name {
		fst, snd = snd, fst
	}
	dur := 600*time.Millisecond + within(rnd, 1500*time.Millisecond)
	for range 1 + rnd.IntN(2) {
		sim.submitLong(rnd, []string{"i3b", fst.name}[rnd.IntN(2)])
	}
	sim.cutBothWays(fst.name, snd.name, dur)
	if rnd.IntN(5) > 0 {
		sim.cutLink("i3b", snd.name, dur)
		sim.cutLink(snd.name, "i3b", dur)
	}
	takeover := within(rnd, 400*time.Millisecond)
	lost := max(0, takeover-150*time.Millisecond+within(rnd, 200*time.Millisecond))
	sim.after(takeover, func() { snd.deliver("forced", func() { snd.takeOverUnasked("a.0") }) })
	for _, srv := range sim.servers {
		if srv.domain != "a" {
			continue
		}
		id := string(srv.id)
		sim.after(lost+within(rnd, 20*time.Millisecond), func() { sim.cutSome(rnd, fst.name, id, dur) })
		if rnd.IntN(4) == 0 {
			sim.after(takeover+within(rnd, 150*time.Millisecond), func() { srv.lostAnswers = 1 + rnd.IntN(3) })
		} else {
			share := 0.2 + 0.6*rnd.Float64()
			sim.after(takeover+50*time.Millisecond+within(rnd, 70*time.Millisecond), func() { sim.loseMessages(snd.name, id, dur, share) })
		}
		sim.after(takeover+120*time.Millisecond+within(rnd, 150*time.Millisecond), func() { sim.cutSome(rnd, snd.name, id, dur) })
	}
}

// cutSome cuts the link from a node to a server, the one back, or both, nine times of ten.
func (sim *simRun) cutSome(rnd *rand.Rand, one, two string, dur time.Duration) {
	how := rnd.IntN(10)
	if how < 8 {
		sim.cutLink(one, two, dur)
	}
	if how >= 3 && how < 9 {
		sim.cutLink(two, one, dur)
	}
}

// takeOverUnasked takes a shard over, whether or not the node would decide to.
func (nod *node) takeOverUnasked(name shard.Name) {
	nod.handle(func(now time.Time) {
		if nod.leaders[name] == nil && nod.elector.Ready() && !nod.stopping {
			nod.takeOver(now, name)
		}
	})
}
