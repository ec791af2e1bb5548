package submission_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against owners that all send tasks for the same free capacity, so that most of the orders come back, and against jobs that are answered later
// because owners count on less capacity.
func TestSharedCapacityPlay(t *testing.T) {
	const (
		// maxReturned is the share of orders that may come back because capacity was taken. maxOrdersPerStart bounds the orders for each start
		// except after an outage, when many orders are for tasks of jobs that are refused.
		maxReturned, maxOrdersPerStart = 0.1, 1.2
	)
	// The worths of two small plays that differ in the order of events alone differ by up to 0.03.
	const seeds = 2
	tolerance := 0.04
	if *measureSharing {
		tolerance = 0.02
	}
	for name, tst := range map[string]struct {
		load playLoad
		dep  *playDeployment
	}{
		"first, usual":   {usualLoad, firstDeployment},
		"first, burst":   {burstLoad, firstDeployment},
		"first, outage":  {outageLoad, firstDeployment},
		"second, usual":  {usualLoad, secondDeployment},
		"second, burst":  {burstLoad, secondDeployment},
		"second, outage": {outageLoad, secondDeployment},
	} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var worths [2]float64
			var orders, starts, returned int
			for seed := range seeds {
				for idx, fts := range []shard.Features{{}, {Reservations: true}} {
					rep := play(playParams{Features: fts, Deployment: tst.dep, Load: tst.load, Seed: uint64(1 + seed), Duration: 6 * time.Second, FullSize: *measureSharing})
					t.Logf("seed %d, %+v\n%v", 1+seed, fts, rep)
					chk.Equal(rep.violations, nil)
					worths[idx] += rep.worth() / float64(seeds)
					if fts.Reservations {
						orders, starts, returned = orders+rep.orders, starts+rep.starts, returned+rep.reasons[shard.NoProcessor.String()]
					}
				}
			}
			t.Logf("worth %.4f without, %.4f with; %.3f orders a start, %.3f returned for lack of processor", worths[0], worths[1],
				float64(orders)/float64(starts), float64(returned)/float64(orders))
			chk.True(worths[1] >= worths[0]-tolerance)
			chk.True(tst.load == outageLoad || float64(orders) < maxOrdersPerStart*float64(starts))
			chk.True(float64(returned) < maxReturned*float64(orders))
		})
	}
}

var measureSharing = flag.Bool("measure-sharing", false, "play whole deployments with and without shares of free capacity")
