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
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playStalls(t, seed) })
	}
}

func playStalls(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 7))
	inWorld(t, 2+rnd.IntN(2), 1+rnd.IntN(3), 2+rnd.IntN(3), func(wld *world) {
		var all []*sent
		for step := range 40 {
			for range 1 + rnd.IntN(4) {
				job := jobSpec{
					id: jobID(len(all) + 1), tasks: 1 + rnd.IntN(8), path: []string{"/thumb/", "/deck/"}[rnd.IntN(2)],
					payload: payload{Millis: 50 + rnd.IntN(1500)}, patience: 4 * time.Second,
				}
				all = append(all, wld.sendAsync(wld.ctx, wld.anyEntry(rnd), job))
			}
			if step%4 == 3 && step < 36 {
				wld.stallAny(rnd)
				if rnd.IntN(3) == 0 {
					wld.stallAny(rnd)
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

// stallAny stands a process still for a while, if it does not stand still already.
func (wld *world) stallAny(rnd *rand.Rand) {
	name := wld.anyEntry(rnd)
	dur := time.Duration(50+rnd.IntN(2500)) * time.Millisecond
	prc := wld.entries[name]
	if prc.ended || !prc.stand() {
		return
	}
	wld.grp.Go(func() error {
		wld.stall(prc, dur)
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
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playStallsAndTroubles(t, seed) })
	}
}

func playStallsAndTroubles(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 9))
	inWorld(t, 2+rnd.IntN(2), 1+rnd.IntN(3), 2+rnd.IntN(3), func(wld *world) {
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
					all = append(all, wld.sendUntilAnswered(rnd, inTurn, job))
				}
				switch {
				case step%4 != 3 || step > 42:
				case rnd.IntN(2) == 0:
					wld.stallAny(rnd)
				default:
					wld.trouble(rnd)
				}
			})
			time.Sleep(time.Duration(50+rnd.IntN(200)) * time.Millisecond)
		}
		wld.sto.SetDown(false)
		wld.heal()
		inTurn(wld.revive)
		for _, done := range all {
			<-done
		}
		time.Sleep(3 * time.Second)
	})
}

// sendUntilAnswered sends a job, and after each try without an answer again to another instance. Some callers break their first
// connection early.
func (wld *world) sendUntilAnswered(rnd *rand.Rand, inTurn func(func()), job jobSpec) chan struct{} {
	const tries = 4
	var names [tries]string
	for idx := range names {
		names[idx] = wld.anyEntry(rnd)
	}
	first := job
	if rnd.IntN(6) == 0 {
		first.patience = time.Duration(1+rnd.IntN(600)) * time.Millisecond
	}
	host, done := wld.entries[names[0]].host, make(chan struct{})
	wld.grp.Go(func() error {
		defer close(done)
		status, _ := wld.callHost(wld.ctx, host, first)
		for _, name := range names[1:] {
			if status == http.StatusOK || status == http.StatusServiceUnavailable || wld.ctx.Err() != nil {
				break
			}
			time.Sleep(1300 * time.Millisecond)
			inTurn(func() { host = wld.entries[name].host })
			status, _ = wld.callHost(wld.ctx, host, job)
		}
		return nil
	})
	return done
}
