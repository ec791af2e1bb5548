package member

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	propEntries = 6
	propDomains = 3
)

// disturb draws one event of an ordinary bad day.
func (pol *pool) disturb(t *rapid.T, down map[int]bool) {
	idx := rapid.IntRange(0, propEntries-1).Draw(t, "entry")
	id := entryID(idx)
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0: // An entry instance dies; the list goes on showing it.
		delete(pol.trackers, id)
		down[idx] = true
	case 1: // It is replaced, dead or not.
		pol.startEntry(idx)
		delete(down, idx)
		pol.trackers[id].ListRead(pol.now, pol.instances())
	case 2:
		pol.partition(pol.domain(idx), rapid.Bool().Draw(t, "cut"))
	case 3:
		other := rapid.IntRange(0, propEntries-1).Draw(t, "other")
		pol.setCut(id, entryID(other), rapid.Bool().Draw(t, "cut"))
	case 4: // Someone reads an empty list.
		if trk := pol.trackers[id]; trk != nil {
			trk.ListRead(pol.now, nil)
		}
	case 5: // Someone reads a list that lacks one entry instance.
		if trk := pol.trackers[id]; trk != nil {
			other := entryID(rapid.IntRange(0, propEntries-1).Draw(t, "lacking"))
			trk.ListRead(pol.now, slices.DeleteFunc(pol.instances(), func(ins Instance) bool { return ins.ID == other }))
		}
	case 6:
		if trk := pol.trackers[id]; trk != nil {
			trk.ServerRefused(pol.now, "s1")
		}
	case 7:
		pol.readLists()
	}
	pol.run(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
}

func (pol *pool) checkViews(t *rapid.T) {
	for id, trk := range pol.trackers {
		viw := trk.View(pol.now)
		live := make(map[string]bool)
		for _, per := range viw.Entries() {
			live[string(per.ID)] = true
		}
		if !live[id] {
			t.Fatalf("%s does not see itself", id)
		}
		if len(viw.Servers()) < 9 || len(viw.Homes()) != len(viw.Servers()) {
			t.Fatalf("%s has %d servers and %d homes", id, len(viw.Servers()), len(viw.Homes()))
		}
		for _, hom := range viw.Homes() {
			if !live[string(hom.Peer)] {
				t.Fatalf("%s homes %s at %s, which isn't live", id, hom.Server, hom.Peer)
			}
		}
	}
}

// Whatever came before, once the pool is quiet every entry instance has the same view, with all
// that run and none that don't, although no list was read since.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pol := newPool(propEntries, 10, propDomains, rapid.Uint64().Draw(t, "seed"))
		down := make(map[int]bool)
		pol.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			pol.disturb(t, down)
			pol.checkViews(t)
		}
		if len(pol.trackers) == 0 {
			return
		}
		pol.cut = make(map[[2]string]bool)
		pol.run(2 * time.Minute)
		var first *View
		for id, trk := range pol.trackers {
			viw := trk.View(pol.now)
			if len(viw.Entries()) != propEntries-len(down) {
				t.Fatalf("%s sees %v, down are %v", id, ids(viw.Entries()), down)
			}
			if first == nil {
				first = viw
			}
			if !slices.Equal(first.Homes(), viw.Homes()) {
				t.Fatalf("%s has other homes: %v, not %v", id, viw.Homes(), first.Homes())
			}
		}
	})
}

// Entry instances whose evidence differs and that have nothing left to pass on must find the
// difference by their digests.
func TestDigestFindsDifferences(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(30 * time.Second)
	trk := pol.trackers["e2"]
	trk.ServerLeaving(pol.now, "s4", "1")
	clear(trk.queue)
	pol.run(10 * time.Second)
	for idx := range 6 {
		is.True(server(pol.view(idx), "s4").Leaving)
		is.Equal(pol.trackers[entryID(idx)].digest, trk.digest)
	}
}
