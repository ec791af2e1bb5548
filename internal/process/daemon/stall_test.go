package daemon

import (
	"fmt"
	"math/rand/v2"
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

// stallAny stands a process still for a while; one that stands still already goes on when the first of them ends.
func (wld *world) stallAny(rnd *rand.Rand) {
	name := wld.anyEntry(rnd)
	dur := time.Duration(50+rnd.IntN(2500)) * time.Millisecond
	wld.grp.Go(func() error {
		wld.stall(name, dur)
		return nil
	})
}
