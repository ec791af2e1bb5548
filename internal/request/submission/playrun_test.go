package submission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

var (
	measurePlays = flag.Bool("measure-plays", false, "play with and without each optional decision")
	fullPlays    = flag.Bool("full-plays", false, "measure whole deployments")
)

// TestPlay guards LIMIT, TWICE and REFUSED with all optional decisions, and the play itself: one in which most urgent jobs are late would compare
// nothing.
func TestPlay(t *testing.T) {
	for name, tst := range map[string]struct {
		dep  *playDeployment
		load playLoad
		// least is the least share in time of the most urgent jobs: at least three standard errors of some 110 jobs below what the play gives.
		least float64
	}{
		"first, burst":  {firstDeployment, burstLoad, 0.5},
		"first, outage": {firstDeployment, outageLoad, 0.1},
		"second, usual": {secondDeployment, usualLoad, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			rep := play(playParams{Features: shard.AllFeatures(), Deployment: tst.dep, Load: tst.load, Seed: 1, Duration: 4 * time.Second})
			t.Log(rep)
			chk := is.New(t)
			chk.Equal(len(rep.violations), 0)
			chk.True(rep.priorities[0].share(inTime) >= tst.least)
		})
	}
}

// TestMeasurePlays prints what each optional decision changes, as sums over some seeds.
func TestMeasurePlays(t *testing.T) {
	if !*measurePlays {
		t.Skip("takes minutes; see -measure-plays")
	}
	for _, load := range []playLoad{usualLoad, burstLoad, outageLoad} {
		for num, dep := range []*playDeployment{firstDeployment, secondDeployment} {
			t.Run(fmt.Sprintf("deployment %d, load %d", num+1, load), func(t *testing.T) {
				for _, fts := range []shard.Features{
					{}, {ServerSpeeds: true}, {Headroom: true}, {Preemption: true}, {Headroom: true, Preemption: true}, {Reservations: true}, shard.AllFeatures(),
				} {
					sum := playSeeds(playParams{Features: fts, Deployment: dep, Load: load, Duration: 8 * time.Second, FullSize: *fullPlays})
					t.Logf("%+v\n%s", fts, sum.summary())
				}
			})
		}
	}
}

// playSeeds returns the sums of the reports of plays with seedsPlayed seeds.
func playSeeds(prm playParams) *playReport {
	sum := play(prm)
	for prm.Seed = 1; prm.Seed < seedsPlayed; prm.Seed++ {
		sum.add(play(prm))
	}
	return sum
}

const seedsPlayed = 3
