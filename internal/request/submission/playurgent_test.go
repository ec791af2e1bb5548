package submission_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutstack/internal/request/shard"
)

// TestUrgentPlays prints what headroom and preemption give and cost, alone and together, on whole deployments. It compares and checks nothing but the
// rules.
func TestUrgentPlays(t *testing.T) {
	if !*measurePlays {
		t.Skip("a measurement of minutes: -measure-plays")
	}
	deployments := map[string]*playDeployment{"first": firstDeployment, "second": secondDeployment}
	loads := map[string]playLoad{"usual": usualLoad, "burst": burstLoad, "outage": outageLoad}
	features := map[string]shard.Features{
		"neither": {}, "headroom": {Headroom: true}, "preemption": {Preemption: true}, "both": {Headroom: true, Preemption: true},
	}
	for depName, dep := range deployments {
		for loadName, lod := range loads {
			for name, fts := range features {
				t.Run(fmt.Sprintf("%s/%s/%s", name, depName, loadName), func(t *testing.T) { reportUrgent(t, dep, lod, fts) })
			}
		}
	}
}

// reportUrgent logs the shares in time, late and refused by priority, and the worth and what it cost, as means over some seeds.
func reportUrgent(t *testing.T, dep *playDeployment, lod playLoad, fts shard.Features) {
	const seeds = 3
	var worth, discarded, use, stops float64
	var in, lat, ref [shard.Priorities]float64
	for sed := range seeds {
		rep := play(playParams{Features: fts, Deployment: dep, Load: lod, Seed: uint64(sed + 1), Duration: 8 * time.Second, FullSize: true})
		worth, discarded, use = worth+rep.worth()/seeds, discarded+rep.discarded/seeds, use+quantile(rep.use, 0.5)/seeds
		stops += float64(rep.stops) / seeds
		for pri := range in {
			in[pri] += rep.priorities[pri].share(inTime) / seeds
			lat[pri] += rep.priorities[pri].share(late) / seeds
			ref[pri] += rep.priorities[pri].share(refused) / seeds
		}
		if len(rep.violations) > 0 {
			t.Error(rep.violations)
		}
	}
	t.Logf("in time %.3f late %.3f refused %.3f; worth %.3f, discarded core-seconds %.0f, use of the room %.3f, stops %.0f", in, lat, ref, worth, discarded, use, stops)
}
