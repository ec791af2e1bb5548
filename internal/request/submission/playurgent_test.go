package submission_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestUrgentPlays prints what headroom and preemption give and cost, alone and together, over some seeds.
func TestUrgentPlays(t *testing.T) {
	if !*measurePlays {
		t.Skip("a measurement: -measure-plays")
	}
	for _, dep := range []*playDeployment{firstDeployment, secondDeployment} {
		for _, lod := range []playLoad{usualLoad, burstLoad, outageLoad} {
			for _, fts := range []shard.Features{{}, {Headroom: true}, {Preemption: true}, {Headroom: true, Preemption: true}} {
				t.Log(urgentLine(dep, lod, fts))
			}
		}
	}
}

// urgentLine returns the shares in time and late by priority, the worth and what it cost, as means over some seeds.
func urgentLine(dep *playDeployment, lod playLoad, fts shard.Features) string {
	const seeds = 3
	var worth, discarded, use, stops float64
	var in, lat, ref [shard.Priorities]float64
	for sed := range seeds {
		rep := play(playParams{Features: fts, Deployment: dep, Load: lod, Seed: uint64(sed + 1), Duration: 8 * time.Second})
		worth, discarded, use = worth+rep.worth(), discarded+rep.discarded, use+quantile(rep.use, 0.5)
		stops += float64(rep.stops)
		for pri := range in {
			in[pri] += rep.priorities[pri].share(inTime) / seeds
			lat[pri] += rep.priorities[pri].share(late) / seeds
			ref[pri] += rep.priorities[pri].share(refused) / seeds
		}
		if len(rep.violations) > 0 {
			return rep.String()
		}
	}
	return fmt.Sprintf("%d domains load %d headroom %-5t preemption %-5t: in time %.3f late %.3f refused %.3f; worth %.3f discarded %.0f use %.3f stops %.0f",
		dep.domains, lod, fts.Headroom, fts.Preemption, in, lat, ref, worth/seeds, discarded/seeds, use/seeds, stops/seeds)
}
