package headroom

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageTime is the time over which the usage follows. Slower, servers stay set aside for urgent work that has ended, and are idle.
	usageTime = 200 * time.Millisecond
	// asideShare is the share of the room used by urgent runs that is set aside. The rest finds room on the other servers: with all of it, the
	// servers that are set aside are idle whenever less urgent work arrives than usual.
	asideShare = 0.65
	// maxAsideShare is the largest share of all room that is set aside.
	maxAsideShare = 0.5
)

// Usage is the running mean of the room that runs of each priority use, in thousandths of a core. The zero value is ready to use.
type Usage struct {
	at    time.Time
	means []float64
}

// Observe adds what the runs of each priority use now.
func (usg *Usage) Observe(now time.Time, used []int64) {
	weight := 1 - math.Exp(-now.Sub(usg.at).Seconds()/usageTime.Seconds())
	if usg.at.IsZero() {
		usg.means = make([]float64, len(used))
	}
	usg.at = now
	for pri, num := range used {
		usg.means[pri] += weight * (float64(num) - usg.means[pri])
	}
}

// Means returns the means by priority; they are nil before the first Observe.
func (usg *Usage) Means() []float64 { return usg.means }

// SetAside divides servers, by the processor of each, among priorities. It returns for each server the number of priorities that may use it, the
// most urgent ones: all of them if the server is not set aside.
//
// Runs of urgent tasks are short. On servers that have no others, room comes free often and is seldom idle, while keeping room free on all servers
// costs as much as it helps. Larger servers are set aside first, as large tasks fit together there.
func SetAside(rooms []int64, usage []float64) []int {
	all := 0.0
	order := make([]int, len(rooms))
	for idx, room := range rooms {
		order[idx] = idx
		all += float64(room)
	}
	slices.SortStableFunc(order, func(one, two int) int { return cmp.Compare(rooms[two], rooms[one]) })
	aside := make([]int, len(rooms))
	taken := 0.0
	for _, idx := range order {
		aside[idx] = len(usage)
		taken += float64(rooms[idx])
		urgent := 0.0
		for pri := range len(usage) - 1 {
			urgent += usage[pri]
			if taken <= min(asideShare*urgent, maxAsideShare*all) {
				aside[idx] = pri + 1
				break
			}
		}
	}
	return aside
}
