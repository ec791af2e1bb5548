package soak

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against seeds that are played otherwise than when they broke a promise: what a flag adds to a plan leaves the rest of it as it is.
func TestAddedTroublesLeaveThePlan(t *testing.T) {
	cases := map[string]struct {
		add   func(shp *Shape)
		kinds []kind
	}{
		"closings":        {func(shp *Shape) { shp.Closings = 3 }, []kind{closeDomain}},
		"server restarts": {func(shp *Shape) { shp.ServerRestarts = 3 }, []kind{serverRestart}},
		"unseen restarts": {func(shp *Shape) { shp.UnseenRestarts = 3 }, []kind{serverRestartUnseen}},
		"room changes":    {func(shp *Shape) { shp.RoomChanges = 3 }, []kind{roomShrinks, roomShrinksUnseen}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			for seed := range uint64(20) {
				plain, more := DefaultShape(), DefaultShape()
				cse.add(&more)
				plan := makePlan(seed, more)
				chk.Equal(len(plan), plain.Troubles+3)
				kept := slices.DeleteFunc(plan, func(trb trouble) bool { return slices.Contains(cse.kinds, trb.kind) })
				chk.Equal(kept, makePlan(seed, plain))
			}
		})
	}
}
