package mesh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
)

const seldom = 40

func talkSeldom(one, two *node) {
	one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: seldom}})
	two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: seldom}})
	time.Sleep(10 * time.Second)
}

// A peer that is called every four seconds goes dark, and is missed after four of its long beats only.
func TestInfrequentlyCalledPeerIsDetectedLost(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		talkSeldom(one, two)
		ntw.Separate("one", "two")
		time.Sleep(seldom*100*time.Millisecond*3/2 + time.Second)
		for _, nod := range []*node{one, two} {
			_, lost, _ := nod.seen()
			chk.Equal(lost, 1)
		}
	})
}

// A cut has ended, and peers that call each other seldom go on without each other for as long again.
func TestInfrequentlyCalledPeerReconnectsSoon(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		talkSeldom(one, two)
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

// One call in ten fails, and is not taken for the peer's end.
func TestSingleFailedCallsEndNoSession(t *testing.T) {
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		talkSeldom(one, two)
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

// Another instance has missed a peer that is called seldom here: whether it is there shows at once.
func TestSuspectedPeerIsCalledAtOnce(t *testing.T) {
	cases := map[string]struct {
		dark bool
		lost int
	}{
		"it is there": {lost: 0},
		"it is dark":  {dark: true, lost: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inPair(t, func(ntw *pipe.Network, one, two *node) {
				chk := is.New(t)
				talkSeldom(one, two)
				if cse.dark {
					ntw.Separate("one", "two")
				}
				time.Sleep(150 * time.Millisecond)
				one.msh.Suspect(mesh.ID("two", 1))
				one.msh.Suspect(mesh.ID("two", 7))      // Another life.
				one.msh.Suspect("nobody that is known") // Nonsense of a peer.
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
