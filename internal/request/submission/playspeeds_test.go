package submission_test

import (
	"flag"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

var compareSpeeds = flag.Int("compare-speeds", 0, "compare plays with and without server speeds, with this many seeds")

// TestCompareServerSpeeds prints what server speeds change, for the design note.
func TestCompareServerSpeeds(t *testing.T) {
	if *compareSpeeds == 0 {
		t.Skip("a measurement")
	}
	deps := []*playDeployment{firstDeployment, secondDeployment}
	loads := []playLoad{usualLoad, burstLoad, outageLoad}
	for idx, name := range []string{"first", "second"} {
		for num, load := range []string{"usual", "burst", "outage"} {
			for _, used := range []bool{false, true} {
				var worth, use, returned, quarantines, bound, boundUse float64
				var shares [shard.Priorities]float64
				for seed := range *compareSpeeds {
					rep := play(playParams{
						Features: shard.Features{ServerSpeeds: used}, Deployment: deps[idx], Load: loads[num], Seed: uint64(seed + 1),
						Duration: 8 * time.Second,
					})
					worth += rep.worth()
					bound += rep.bound.worth()
					boundUse += quantile(rep.bound.use, 0.5)
					use += quantile(rep.use, 0.5)
					returned += float64(rep.returned) / float64(max(rep.orders, 1))
					quarantines += float64(rep.quarantines)
					for pri := range shares {
						shares[pri] += rep.priorities[pri].share(inTime)
					}
					if len(rep.violations) > 0 {
						t.Error(rep.violations)
					}
				}
				num := float64(*compareSpeeds)
				t.Logf("%-6s %-6s speeds %-5t worth %.3f (bound %.3f) in time %.3f %.3f %.3f use %.3f (bound %.3f) returned %.3f quarantines %.1f", name, load, used,
					worth/num, bound/num, shares[0]/num, shares[1]/num, shares[2]/num, use/num, boundUse/num, returned/num, quarantines/num)
			}
		}
	}
}
