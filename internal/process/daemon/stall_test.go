package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// TestStalledProcesses stands processes still for up to 2.5 s, as ones that get no processor: they see no time pass, hear nobody, and
// then everything at once, also what its senders have given up on. Whatever they do then, no task runs twice at once.
//
// In seeds 53 and 206 a leader went on with a token that servers obeyed no more, owners asked it for tasks that its successor ran, and
// it gave them back as not run ("report" "not-run" at the time of the order that "followed").
func TestStalledProcesses(t *testing.T) {
	for _, seed := range []uint64{0, 1, 53, 206} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runProcessPauses(t, seed) })
	}
}

func runProcessPauses(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 7))
	inTestSystem(t, 2+rnd.IntN(2), 1+rnd.IntN(3), 2+rnd.IntN(3), func(sys *testSystem) {
		var all []*sentJob
		for step := range 40 {
			for range 1 + rnd.IntN(4) {
				job := jobSpec{
					id: jobID(len(all) + 1), tasks: 1 + rnd.IntN(8), path: []string{"/thumb/", "/deck/"}[rnd.IntN(2)],
					payload: payload{Millis: 50 + rnd.IntN(1500)}, patience: 4 * time.Second,
				}
				all = append(all, sys.sendAsync(sys.ctx, sys.randomInstance(rnd), job))
			}
			if step%4 == 3 && step < 36 {
				sys.pauseRandomProcess(rnd)
				if rnd.IntN(3) == 0 {
					sys.pauseRandomProcess(rnd)
				}
			}
			time.Sleep(time.Duration(50+rnd.IntN(200)) * time.Millisecond)
		}
		for _, snt := range all {
			<-snt.done
		}
		time.Sleep(3 * time.Second)
	})
}

// pauseRandomProcess stands a process still for a while, if it does not stand still already.
func (sys *testSystem) pauseRandomProcess(rnd *rand.Rand) {
	name := sys.randomInstance(rnd)
	dur := time.Duration(50+rnd.IntN(2500)) * time.Millisecond
	prc := sys.instances[name]
	if prc.ended || !prc.stopClock() {
		return
	}
	sys.grp.Go(func() error {
		sys.pauseProcess(prc, dur)
		return nil
	})
}

// TestStalledAmongTroubles adds the other troubles and callers that send their jobs again, to another instance, 1.3 s after they got no
// answer.
//
// In seed 211 a leader that had stood still for 2 s saw room before it saw that the owners of its queue were gone, and started what they
// had started elsewhere by then ("start", 50 ms before "instance lost" and the "stop"). In seed 126 a leader started a task anew, at a
// server that still obeyed it, 4 ms after it had heard of its successor and had sent that one the task's order; the successor
// knew the server where the task had run last, and gave it back as not run.
func TestStalledAmongTroubles(t *testing.T) {
	for _, seed := range []uint64{0, 1, 126, 211} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runPausesAndFaults(t, seed) })
	}
}

func runPausesAndFaults(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 9))
	inTestSystem(t, 2+rnd.IntN(2), 1+rnd.IntN(3), 2+rnd.IntN(3), func(sys *testSystem) {
		// turn is held by whoever reads or changes the instances.
		turn := make(chan struct{}, 1)
		inTurn := func(do func()) {
			turn <- struct{}{}
			defer func() { <-turn }()
			do()
		}
		var all []chan struct{}
		for step := range 50 {
			inTurn(func() {
				for range 1 + rnd.IntN(3) {
					job := jobSpec{
						id: jobID(len(all) + 1), tasks: 1 + rnd.IntN(8), path: []string{"/thumb/", "/deck/"}[rnd.IntN(2)],
						payload: payload{Millis: 50 + rnd.IntN(1500)}, patience: 4 * time.Second,
					}
					all = append(all, sys.sendUntilAnswered(rnd, inTurn, job))
				}
				switch {
				case step%4 != 3 || step > 42:
				case rnd.IntN(2) == 0:
					sys.pauseRandomProcess(rnd)
				default:
					sys.injectRandomFault(rnd)
				}
			})
			time.Sleep(time.Duration(50+rnd.IntN(200)) * time.Millisecond)
		}
		sys.sto.SetDown(false)
		sys.heal()
		inTurn(sys.restartEnded)
		for _, done := range all {
			<-done
		}
		time.Sleep(3 * time.Second)
	})
}

// sendUntilAnswered sends a job, and after each try without an answer again to another instance. Some callers break their first
// connection early.
func (sys *testSystem) sendUntilAnswered(rnd *rand.Rand, inTurn func(func()), job jobSpec) chan struct{} {
	const tries = 4
	var names [tries]string
	for idx := range names {
		names[idx] = sys.randomInstance(rnd)
	}
	first := job
	if rnd.IntN(6) == 0 {
		first.patience = time.Duration(1+rnd.IntN(600)) * time.Millisecond
	}
	host, done := sys.instances[names[0]].host, make(chan struct{})
	sys.grp.Go(func() error {
		defer close(done)
		status, _ := sys.callHost(sys.ctx, host, first)
		for _, name := range names[1:] {
			if status == http.StatusOK || status == http.StatusServiceUnavailable || sys.ctx.Err() != nil {
				break
			}
			time.Sleep(1300 * time.Millisecond)
			inTurn(func() { host = sys.instances[name].host })
			status, _ = sys.callHost(sys.ctx, host, job)
		}
		return nil
	})
	return done
}
