package succession

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestExploreSecondLeaders guards against tasks that run twice, as TestExploreOrders does: here each fault is a takeover of a shard from a leader
// that lives, by a node that hears neither it nor some servers, while the owner of the tasks in another failure domain reaches one of the two only
// or hears the second one late, servers' answers are lost, or one of the two is short of processor.
func TestExploreSecondLeaders(t *testing.T) { explore(t, nil, simulateSecondLeaders) }

// simulateSecondLeaders returns the simulation of a seed after it has run. The shard a.0 has two or three servers, the owners' own one.
func simulateSecondLeaders(seed uint64) *simRun {
	rnd := rand.New(rand.NewPCG(seed, 14))
	sim := newSimulation(seed, []string{"a", "a", "b"}, []string{"a", "a", "b", "a"}[:3+rnd.IntN(2)])
	sim.runUntil(sim.began.Add(warmUp))
	for range 8 + rnd.IntN(8) {
		sim.after(sim.within(activeTime), func() { sim.submitTo("i3b", 1+sim.rnd.IntN(4), 100*time.Millisecond+sim.within(1500*time.Millisecond)) })
	}
	for range 3 + rnd.IntN(6) {
		sim.after(sim.within(activeTime), sim.secondLeader)
	}
	sim.runUntil(sim.began.Add(warmUp + activeTime + settleTime))
	sim.checkRefused()
	return sim
}

// secondLeader has a node of failure domain a take the shard a.0 over from the other one, behind a random choice of faults.
func (sim *simRun) secondLeader() {
	fst, snd := sim.nodes["i1a"], sim.nodes["i2a"]
	if sim.leader("a.0") == snd.name || sim.leader("a.0") == "" && sim.rnd.IntN(2) == 0 {
		fst, snd = snd, fst
	}
	dur := 50*time.Millisecond + sim.within(900*time.Millisecond)
	chance := func(num int) bool { return sim.rnd.IntN(num) == 0 }
	cut := func(from, to string, most time.Duration) {
		began := sim.within(most)
		sim.after(began, func() { sim.cutLink(from, to, sim.within(dur)) })
	}
	if !chance(4) {
		sim.cutBothWays(fst.name, snd.name, dur)
	}
	for _, srv := range sim.servers {
		switch {
		case srv.domain != "a":
		case chance(3):
			sim.cutBothWays(snd.name, string(srv.id), dur)
		case chance(4):
			cut(string(srv.id), fst.name, 100*time.Millisecond)
		case chance(6):
			srv.lostAnswers = 1 + sim.rnd.IntN(3)
		}
	}
	if !chance(3) {
		sim.cutLink("i3b", fst.name, sim.within(dur))
	}
	if chance(2) {
		sim.cutLink(snd.name, "i3b", sim.within(250*time.Millisecond))
	}
	if chance(4) {
		sim.starve([]*node{fst, snd}[sim.rnd.IntN(2)], dur)
	}
	if chance(5) {
		sim.expireEntries(dur)
	}
	sim.after(sim.within(600*time.Millisecond)*time.Duration(sim.rnd.IntN(2)), func() {
		snd.deliver("forced", func() {
			snd.handle(func(now time.Time) {
				if snd.leaders["a.0"] == nil && snd.elector.Ready() && !snd.dead {
					snd.takeOver(now, "a.0")
				}
			})
		})
	})
}

// starve lets a process run in short pieces only, for a time.
func (sim *simRun) starve(nod *node, dur time.Duration) {
	if nod.dead || dur <= 0 {
		return
	}
	piece := 40*time.Millisecond + sim.within(200*time.Millisecond)
	nod.pause(piece)
	sim.after(piece+sim.within(20*time.Millisecond), func() { sim.starve(nod, dur-piece) })
}
