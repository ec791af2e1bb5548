package mesh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
)

// longInterval is a long time between heartbeats, in units of the shortest: 4 s.
const longInterval = 40

// useLongIntervals sets the long interval on both sides and waits until it is in use.
func useLongIntervals(one, two *node) {
	one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: longInterval}})
	two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: longInterval}})
	time.Sleep(10 * time.Second)
}

// A peer that is called every four seconds is partitioned; without the check for failing calls its loss would be detected only after
// four of its long intervals.
func TestInfrequentlyCalledPeerIsDetectedLost(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		useLongIntervals(one, two)
		ntw.Separate("one", "two")
		time.Sleep(longInterval*100*time.Millisecond*3/2 + time.Second)
		for _, nod := range []*node{one, two} {
			_, lost, _ := nod.seen()
			chk.Equal(lost, 1)
		}
	})
}

// After a partition, peers with a long heartbeat interval must not wait for the rest of it before they connect again.
func TestInfrequentlyCalledPeerReconnectsSoon(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		useLongIntervals(one, two)
		ntw.Separate("one", "two")
		time.Sleep(20 * time.Second)
		ntw.Heal()
		time.Sleep(2 * time.Second)
		for _, nod := range []*node{one, two} {
			_, _, hears := nod.seen()
			chk.True(hears)
		}
	})
}

// Single calls of a peer with a long heartbeat interval fail, as short partitions come and go; that must not end the session.
func TestSingleFailedCallsEndNoSession(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		useLongIntervals(one, two)
		for range 20 {
			ntw.Separate("one", "two")
			time.Sleep(300 * time.Millisecond)
			ntw.Heal()
			time.Sleep(3 * time.Second)
		}
		_, lost, hears := one.seen()
		chk.Equal(lost, 0)
		chk.True(hears)
	})
}

// Another instance reports the loss of a peer with a long heartbeat interval: it is called at once, and lost if it doesn't
// answer.
func TestSuspectedPeerIsCalledAtOnce(t *testing.T) {
	cases := map[string]struct {
		partitioned bool
		lost        int
	}{
		"it is alive":   {lost: 0},
		"it is cut off": {partitioned: true, lost: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inPair(t, func(ntw *pipe.Network, one, two *node) {
				chk := is.New(t)
				useLongIntervals(one, two)
				if cse.partitioned {
					ntw.Separate("one", "two")
				}
				time.Sleep(150 * time.Millisecond)
				one.msh.Suspect(mesh.ID("two", 1))
				one.msh.Suspect(mesh.ID("two", 7))      // Another incarnation.
				one.msh.Suspect("nobody that is known") // An ID that no instance has.
				time.Sleep(300 * time.Millisecond)
				_, lost, _ := one.seen()
				chk.Equal(lost, cse.lost)
				time.Sleep(20 * time.Second)
				_, lost, _ = one.seen()
				chk.Equal(lost, cse.lost)
			})
		})
	}
}
