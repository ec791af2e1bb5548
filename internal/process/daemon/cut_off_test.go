package daemon

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	cutOffFirst = flag.Uint64("cut-off-first", 0, "first seed of TestCutOffInstances")
	cutOffSeeds = flag.Uint64("cut-off-seeds", 2, "number of seeds of TestCutOffInstances")
)

// TestCutOffInstances guards against tasks that run twice at once although no caller submits its job again: single instances are cut off from all others and the
// store while they reach backend servers and callers, one instance leads several shards, and its shards change their leaders again and again.
func TestCutOffInstances(t *testing.T) {
	for seed := *cutOffFirst; seed < *cutOffFirst+*cutOffSeeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runCutOffs(t, seed) })
	}
}

// runCutOffs runs random jobs in a system whose instances are cut off at random.
func runCutOffs(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 21))
	domains, servers := 1+rnd.IntN(2), 14
	if domains == 1 {
		servers = 23 // Three shards.
	}
	inTestSystem(t, domains, 2, servers, func(sys *system) {
		var all []*sentJob
		victim := sys.randomInstance(rnd)
		for step := range 50 {
			for range rnd.IntN(4) {
				job := jobSpec{
					id: jobID(len(all) + 1), tasks: 1 + rnd.IntN(8), path: []string{"/thumb/", "/deck/"}[rnd.IntN(2)],
					payload: payload{Millis: 300 + rnd.IntN(2500)}, callerTimeout: 12 * time.Second,
				}
				all = append(all, sys.sendAsync(sys.ctx, sys.randomInstance(rnd), job))
			}
			if step%4 == 3 && step < 42 {
				if rnd.IntN(3) == 0 {
					victim = sys.randomInstance(rnd)
				}
				sys.cutOff(rnd, sys.instances[victim], servers)
			}
			time.Sleep(time.Duration(50+rnd.IntN(300)) * time.Millisecond)
		}
		for _, snt := range all {
			<-snt.done
		}
		time.Sleep(6 * time.Second) // The longest cut has ended.
	})
}

// cutOff cuts an instance off from the others and the store for 0.2 to 5 s, one time in four in one direction with each of them; some servers, pauses and lost
// answers come beside it.
func (sys *system) cutOff(rnd *rand.Rand, prc *process, servers int) {
	dur := time.Duration(200+rnd.IntN(2500)) * time.Millisecond
	if rnd.IntN(4) == 0 {
		dur *= 2
	}
	others := []string{storeHost}
	for _, name := range sys.instanceNames() {
		if oth := sys.instances[name]; oth != prc {
			others = append(others, oth.host)
		}
	}
	for _, oth := range others {
		how := rnd.IntN(8)
		if how != 0 {
			sys.cutWayFor(prc.host, oth, dur)
		}
		if how != 1 {
			sys.cutWayFor(oth, prc.host, dur)
		}
	}
	for dom := range sys.domains {
		for num := range servers {
			sys.disturbServer(rnd, prc, fmt.Sprintf("server-%d-%d", dom+1, num+1), dur)
		}
	}
	for range rnd.IntN(3) {
		oth := sys.instances[sys.randomInstance(rnd)]
		at, paused := time.Duration(rnd.Int64N(int64(dur))), time.Duration(30+rnd.IntN(900))*time.Millisecond
		sys.later(at, func() {
			if oth.stopClock() {
				sys.pauseProcess(oth, paused)
			}
		})
	}
}

// disturbServer has one server in four out of the reach of one instance or of all, or lose answers, at a time within dur.
func (sys *system) disturbServer(rnd *rand.Rand, prc *process, id string, dur time.Duration) {
	at, lasts := time.Duration(rnd.Int64N(int64(dur))), time.Duration(100+rnd.IntN(1500))*time.Millisecond
	switch rnd.IntN(16) {
	case 0, 1:
		oneWay := rnd.IntN(2) == 0
		sys.later(at, func() {
			sys.cutWayFor(id, prc.host, lasts)
			if !oneWay {
				sys.cutWayFor(prc.host, id, lasts)
			}
		})
	case 2:
		for _, name := range sys.instanceNames() {
			host, after := sys.instances[name].host, time.Duration(rnd.IntN(700))*time.Millisecond
			sys.later(at+after, func() {
				sys.cutWayFor(id, host, lasts)
				sys.cutWayFor(host, id, lasts)
			})
		}
	case 3:
		srv, num, late := sys.servers[id], 1+rnd.IntN(4), time.Duration(rnd.IntN(3000))*time.Millisecond
		starts := rnd.IntN(2) == 0
		sys.later(at, func() {
			if starts {
				srv.LoseAnswers(num, late)
			} else {
				srv.LoseStops(num)
			}
		})
	}
}

// later calls do after a time.
func (sys *system) later(after time.Duration, do func()) {
	sys.grp.Go(func() error {
		time.Sleep(after)
		do()
		return nil
	})
}

// cutWayFor holds up all that one host sends to another, for a time.
func (sys *system) cutWayFor(from, to string, dur time.Duration) {
	sys.net.CutWay(from, to)
	sys.later(dur, func() { sys.net.MendWay(from, to) })
}
