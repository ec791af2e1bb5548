package shard

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var measurePacking = flag.Bool("measure-packing", false, "measure which share of the room tasks of half a server can use")

// TestPacking prints which share of the room of saturated servers is used, by the number of servers among which a task is placed, by the number of
// waiting tasks and by which of them goes first, for the design note. Every third server is 1.5 times as large; tasks need half a small server on average,
// with spread 0.2, and run for one unit of time on average.
func TestPacking(t *testing.T) {
	if !*measurePacking {
		t.Skip("a measurement")
	}
	for _, servers := range []int{9, 36, 350} {
		for _, waiting := range []int{1, 4, 16} {
			first := packedShare(servers, waiting, false)
			largest := packedShare(servers, waiting, true)
			t.Logf("%3d servers, %2d waiting for each nine: the first that fits %.3f, the largest that fits %.3f", servers, waiting, first, largest)
		}
	}
}

// packedShare returns the mean share of the room in use over 60 ends for each server.
func packedShare(servers, waiting int, largest bool) float64 {
	rnd := rand.New(rand.NewPCG(1, 2))
	waiting *= servers / 9
	free, room := make([]float64, servers), 0.0
	for idx := range free {
		free[idx] = 1
		if idx%3 == 2 {
			free[idx] = 1.5
		}
		room += free[idx]
	}
	type run struct {
		size float64
		srv  int
	}
	var runs []run
	var queue []float64
	used, sum, num := 0.0, 0.0, 0
	for step := range 80 * servers {
		for len(queue) < waiting {
			queue = append(queue, min(1, 0.5*math.Exp(0.2*rnd.NormFloat64()-0.02)))
		}
		for {
			task, srv := packOne(queue, free, largest)
			if task < 0 {
				break
			}
			size := queue[task]
			queue = slices.Delete(queue, task, task+1)
			queue = append(queue, min(1, 0.5*math.Exp(0.2*rnd.NormFloat64()-0.02)))
			free[srv] -= size
			used += size
			runs = append(runs, run{size, srv})
		}
		if step > 20*servers {
			sum += used / room
			num++
		}
		end := rnd.IntN(len(runs))
		free[runs[end].srv] += runs[end].size
		used -= runs[end].size
		runs = slices.Delete(runs, end, end+1)
	}
	return sum / float64(num)
}

// packOne returns the waiting task that starts next and its server, the one with the least room that has enough; -1 if none fits.
func packOne(queue, free []float64, largest bool) (task, srv int) {
	task, srv = -1, -1
	for idx, size := range queue {
		if task >= 0 && (!largest || size <= queue[task]) {
			continue
		}
		for num := range free {
			if free[num] >= size && (task != idx || free[num] < free[srv]) {
				task, srv = idx, num
			}
		}
	}
	return task, srv
}
