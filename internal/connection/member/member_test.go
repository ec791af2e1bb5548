package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/dispatch"
)

// A platform in an outage answers with an empty list, or with a part of it. A pool that believes it
// has no backend servers refuses every submission although all of them run.
func TestShrunkenListIsNotBelieved(t *testing.T) {
	tests := map[string]struct {
		keep    func(Instance) bool
		servers int
		entries int
	}{
		"empty":                 {func(Instance) bool { return false }, 50, 6},
		"servers only":          {func(ins Instance) bool { return ins.Kind == KindServer }, 50, 6},
		"one domain missing":    {func(ins Instance) bool { return ins.FailureDomain != "d1" }, 50, 6},
		"one server missing":    {func(ins Instance) bool { return ins.ID != "s7" }, 49, 6},
		"six servers missing":   {func(ins Instance) bool { return ins.ID < "s44" || ins.ID > "s49" }, 50, 6},
		"one entry missing":     {func(ins Instance) bool { return ins.ID != "e4" }, 50, 5},
		"two entries missing":   {func(ins Instance) bool { return ins.ID != "e4" && ins.ID != "e5" }, 50, 6},
		"nothing missing":       {func(Instance) bool { return true }, 50, 6},
		"own instance missing":  {func(ins Instance) bool { return ins.ID != "e0" }, 50, 6},
		"one of each missing":   {func(ins Instance) bool { return ins.ID != "e4" && ins.ID != "s7" }, 49, 5},
		"a third of one domain": {func(ins Instance) bool { return ins.FailureDomain != "d1" || ins.ID > "s3" }, 50, 6},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pol := newPool(6, 50, 3, 1)
			trk := pol.trackers["e0"]
			var list []Instance
			for _, ins := range pol.instances() {
				if tst.keep(ins) {
					list = append(list, ins)
				}
			}
			trk.ListRead(pol.now, list)
			viw := trk.View(pol.now)
			is.Equal(len(viw.Servers()), tst.servers)
			is.Equal(len(viw.Entries()), tst.entries)
		})
	}
}

// A list in an outage that loses a few more instances at every read stays under any bound on a
// single read. Read by read, the pool would run empty.
func TestSlowlyShrinkingListIsBounded(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	trk := pol.trackers["e0"]
	for range 20 {
		for id := range pol.list {
			if id[0] == 's' {
				delete(pol.list, id)
				break
			}
		}
		pol.now = pol.now.Add(time.Second)
		trk.ListRead(pol.now, pol.instances())
	}
	is.True(len(trk.View(pol.now).Servers()) >= 45) // A tenth of 50 within a minute.
}

// A backend server says in a report that it is leaving; the platform's list says so half a minute
// later. Every entry instance that still sends it work meanwhile gets refusals, so its word must
// reach all of them, and the lagging list must not take it back.
func TestServersWordBeatsTheList(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	pol.trackers["e0"].ServerLeaving(pol.now, "s7", "1")
	pol.run(4 * time.Second)
	pol.readLists()
	for idx := range 6 {
		is.True(server(pol.view(idx), "s7").Leaving)
	}
	// It restarts: its new incarnation takes work again.
	ins := pol.list["s7"]
	ins.Incarnation = "2"
	pol.list["s7"] = ins
	pol.readLists()
	for idx := range 6 {
		is.True(!server(pol.view(idx), "s7").Leaving)
	}
	// A list that lags shows the old incarnation once more.
	ins.Incarnation, ins.Leaving = "1", true
	pol.trackers["e0"].ListRead(pol.now, []Instance{ins})
	is.Equal(server(pol.view(0), "s7").Incarnation, "2")
	is.True(!server(pol.view(0), "s7").Leaving)
}

func server(viw *View, id dispatch.ServerID) Server {
	for _, srv := range viw.Servers() {
		if srv.ID == id {
			return srv
		}
	}
	return Server{}
}

// An entry instance dies; the list goes on showing it. Its backend servers stand idle until another
// entry instance of the domain has their homes.
func TestRefusedConnectionMovesHomes(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	delete(pol.trackers, "e1")
	pol.run(5 * time.Second)
	for _, idx := range []int{0, 2, 3, 4, 5} {
		viw := pol.view(idx)
		is.Equal(ids(viw.Entries()), []dispatch.PeerID{"e0", "e2", "e3", "e4", "e5"})
		is.Equal(ids(viw.Gone()), []dispatch.PeerID{"e1"})
		is.Equal(viw.Homes(), pol.view(0).Homes())
		for _, hom := range viw.Homes() {
			is.True(hom.Peer != "e1")
		}
	}
	// A new incarnation at the same address comes back although nobody's list was read again.
	pol.startEntry(1)
	pol.trackers["e1"].ListRead(pol.now, pol.instances())
	pol.run(10 * time.Second)
	for idx := range 6 {
		is.Equal(len(pol.view(idx).Entries()), 6)
		is.Equal(len(pol.view(idx).Gone()), 0)
	}
}

// A domain is cut off from the others while the platform lists everyone. Each side must go on with
// its own backend servers, nobody may take over the others' units of limits, and after the cut all
// must agree again without any new list.
func TestPartition(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	before := pol.view(0).Homes()
	pol.partition("d0", true)
	pol.run(30 * time.Second)
	for idx := range 6 {
		viw := pol.view(idx)
		is.Equal(len(viw.UnitPeers()), 6)
		is.Equal(len(viw.Gone()), 0)
		if idx%3 == 0 {
			is.Equal(ids(viw.Entries()), []dispatch.PeerID{"e0", "e3"})
		} else {
			is.Equal(ids(viw.Entries()), []dispatch.PeerID{"e1", "e2", "e4", "e5"})
		}
	}
	pol.partition("d0", false)
	pol.run(40 * time.Second) // The longest back-off is 30 s.
	for idx := range 6 {
		is.Equal(len(pol.view(idx).Entries()), 6)
		is.Equal(pol.view(idx).Homes(), before)
	}
}

// Two entry instances can't reach each other, everyone else reaches both. Neither may be taken for
// failed: the one that is suspected contradicts by way of the others.
func TestPairCutOffIsNotFailed(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	pol.setCut("e0", "e1", true)
	failed := 0
	for range 120 {
		pol.run(time.Second)
		for idx := range 6 {
			failed += 6 - len(pol.view(idx).Entries())
		}
	}
	is.Equal(failed, 0)
}

func TestDomainWithoutEntriesIsServedByTheNearest(t *testing.T) {
	tests := map[string]struct {
		near map[string][]string
		want map[dispatch.PeerID]bool
	}{
		"named": {
			map[string][]string{"d0": {"d2", "d1"}},
			map[dispatch.PeerID]bool{"e2": true, "e5": true},
		},
		"named one is lost too": {
			map[string][]string{"d0": {"d9", "d1"}},
			map[dispatch.PeerID]bool{"e1": true, "e4": true},
		},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pol := newPool(6, 50, 3, 1)
			for _, trk := range pol.trackers {
				trk.cfg.Near = tst.near
			}
			delete(pol.trackers, "e0")
			delete(pol.trackers, "e3")
			pol.run(10 * time.Second)
			viw := pol.view(1)
			is.Equal(len(viw.Homes()), 50)
			for _, hom := range viw.Homes() {
				if server(viw, hom.Server).FailureDomain == "d0" {
					is.True(tst.want[hom.Peer])
				}
			}
		})
	}
}

func TestLeavingEntryGivesUpHomesAndDuties(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	pol.trackers["e1"].Leave(pol.now)
	pol.run(4 * time.Second)
	for idx := range 6 {
		viw := pol.view(idx)
		is.Equal(len(viw.Entries()), 6)
		is.Equal(len(viw.UnitPeers()), 5)
		for _, hom := range viw.Homes() {
			is.True(hom.Peer != "e1")
		}
	}
	is.Equal(pol.view(1).Rank("snapshot"), -1)
	pol.trackers["e1"].Left(pol.now)
	pol.run(4 * time.Second)
	is.Equal(ids(pol.view(0).Gone()), []dispatch.PeerID{"e1"})
}

func TestRanksAreAPermutation(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	for _, duty := range []string{"snapshot", "claims-d0"} {
		seen := map[int]bool{}
		for idx := range 6 {
			seen[pol.view(idx).Rank(duty)] = true
		}
		is.Equal(len(seen), 6)
		is.True(seen[0] && seen[5])
	}
	is.True(pol.view(0).RankInDomain("snapshot")+pol.view(3).RankInDomain("snapshot") == 1)
}

func TestHomesMoveOnlyWithTheirEntry(t *testing.T) {
	is := is.New(t)
	pol := newPool(12, 300, 3, 1)
	pol.run(5 * time.Second)
	before := pol.view(0).Homes()
	delete(pol.trackers, "e3")
	pol.run(8 * time.Second)
	after := pol.view(0).Homes()
	is.Equal(len(after), len(before))
	for idx := range before {
		if before[idx].Peer != "e3" {
			is.Equal(after[idx], before[idx])
		}
	}
}

func TestNotReadyBeforeTheFirstEvidence(t *testing.T) {
	is := is.New(t)
	pol := newPool(2, 0, 1, 1)
	trk := New(DefaultConfig(), Instance{ID: "e9"}, pol.rnd)
	is.True(!trk.View(start).Ready())
	trk.ListFailed(start)
	trk.ListRead(start, nil)
	is.True(!trk.View(start).Ready())
	is.Equal(trk.ListFailures(), uint64(1))
	trk.ListRead(start, pol.instances())
	is.True(!trk.View(start).Ready()) // The list lags: it may lack others, too.
	listed := append(pol.instances(), Instance{ID: "e9", Kind: KindEntry})
	trk.ListRead(start, listed)
	is.True(trk.View(start).Ready())
	trk = New(DefaultConfig(), Instance{ID: "e9"}, pol.rnd)
	trk.Heard(start, Heartbeat{From: "e0", Incarnation: "1"})
	is.True(trk.View(start).Ready())
}

// The platform's list drops an entry instance that runs on. Its peers take over its units of
// limits; it must learn that, or both would start tasks on them.
func TestDroppedEntryLearnsOfIt(t *testing.T) {
	is := is.New(t)
	pol := newPool(6, 50, 3, 1)
	pol.run(5 * time.Second)
	one := pol.list["e4"]
	delete(pol.list, "e4")
	pol.readLists()
	is.Equal(ids(pol.view(0).Gone()), []dispatch.PeerID{"e4"})
	disowned := false
	trk := pol.trackers["e4"]
	for range 5 {
		pol.now = pol.now.Add(time.Second)
		trk.Wake(pol.now)
		for _, snd := range trk.Actions(pol.now).Sends {
			trk.Heard(pol.now, pol.trackers[string(snd.Peer)].Answer(pol.now, snd.Heartbeat))
		}
		disowned = disowned || trk.Actions(pol.now).Disowned
	}
	is.True(disowned)
	is.True(!trk.Actions(pol.now).Disowned) // It is said once.
	pol.list["e4"] = one
	pol.run(10 * time.Second)
	is.Equal(len(pol.view(0).Entries()), 6)
}
