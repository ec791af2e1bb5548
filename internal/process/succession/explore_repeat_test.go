package succession

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestExploreRepeats guards against decisions that depend on the order in which a map is walked: a seed would be another play each time.
func TestExploreRepeats(t *testing.T) {
	searches := map[string]func(seed uint64) *simRun{
		"orders":                   func(seed uint64) *simRun { return simulate(seed, false) },
		"restarted servers":        func(seed uint64) *simRun { return simulate(seed, true) },
		"second leaders":           simulateSecondLeaders,
		"preemption":               simulatePreemption,
		"unseen restarts":          simulateUnseenRestarts,
		"unclaimed runs":           simulateUnclaimedRuns,
		"restarts between leaders": simulateRestartsBetweenLeaders,
		"two owners":               simulateTwoOwners,
		"cut-off instances":        simulateCutOffs,
	}
	for name, search := range searches {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			for seed := range uint64(20) {
				first, again := search(seed).trace, search(seed).trace
				chk.True(slices.Equal(first, again))
			}
		})
	}
}
