package soak

import (
	"maps"
	"slices"
	"testing"

	"chestnutstack/platform/standin"
)

// largestJobTasks is how many tasks a job has at most.
const largestJobTasks = 2600

// Each instance gets a job, as the leader of the backend servers sends no orders to itself. A client whose job has ended sends it again.
var longNameCases = map[string]crowdCase{
	"rack":                 {connections: 2, everywhere: true, taken: 2 * crowdReturns * largestJobTasks},
	"label":                {connections: 2, everywhere: true, taken: 2 * crowdReturns * largestJobTasks},
	"racks-of-steps":       {connections: 2, everywhere: true, taken: 2 * crowdReturns * largestJobTasks},
	"rack-of-a-later-step": {connections: 2, everywhere: true, taken: 2 * crowdReturns * largestJobTasks},
	"rack-like-a-payload":  {connections: 8, instances: 6, everywhere: true, memoryMB: usualMemoryMB, taken: 8 * crowdReturns * largestJobTasks},
}

// usualMemoryMB is the memory of the smallest machine of the users' deployments.
const usualMemoryMB = 284

// longNameSeeds keeps the systems of these crowds apart from those of TestCrowds.
const longNameSeeds = 100

// TestLongNames guards against names in a job that end instances for their memory, as each of its tasks is ordered with a copy of them.
func TestLongNames(t *testing.T) {
	program := buildDaemon(t)
	clients := standin.LongNames()
	for num, name := range slices.Sorted(maps.Keys(clients)) {
		t.Run(name, func(t *testing.T) {
			playCrowd(t, program, uint64(longNameSeeds+num), longNameCases[name], clients[name])
		})
	}
}
