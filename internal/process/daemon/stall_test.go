package daemon

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestStallSweep(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SEEDS"))
	f, _ := strconv.Atoi(os.Getenv("FIRST"))
	for seed := f; seed < f+n; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playStalls(t, uint64(seed)) })
	}
}

func playStalls(t *testing.T, seed uint64) {
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
				name := wld.anyEntry(rnd)
				dur := time.Duration(50+rnd.IntN(2500)) * time.Millisecond
				if wld.entries[name].now() == wld.entries[name].now() {
					wld.grp.Go(func() error { wld.stall(name, dur); return nil })
				}
				if rnd.IntN(3) == 0 {
					name := wld.anyEntry(rnd)
					dur := time.Duration(50+rnd.IntN(2500)) * time.Millisecond
					wld.grp.Go(func() error { wld.stall(name, dur); return nil })
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
