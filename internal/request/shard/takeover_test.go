package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOrderAtANewLeader(t *testing.T) {
	// A task lay with the former leader. The new one adopts its run where it finds it; while a server has not been
	// listed the task may run there, and starts elsewhere only after a lease without renewal.
	fresh := func(t *testing.T, lst Listing) *desk {
		dsk := &desk{t: t, now: time.Unix(1000, 0)}
		dsk.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, dsk.now)
		if lst.Listed == nil {
			lst.Listed = []ServerEntry{listed("s1", 32000), listed("s2", 32000)}
			lst.ReadAt = dsk.now.Add(time.Millisecond)
		}
		dsk.did(dsk.ldr.SetServers(dsk.now, lst))
		return dsk
	}
	running := RenewResult{Running: []Progress{{Run: RunID{Task: "j.0", Number: 5}, Percent: 10}}}
	followedFrom := func(dsk *desk, at ServerID) {
		ord := dsk.order(0, "j.0")
		ord.Reassigned, ord.LastServer = true, at
		dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
	}
	followed := func(dsk *desk) { followedFrom(dsk, "") }
	cases := map[string]struct {
		// list is what the leader knows at first: both servers if it is empty.
		list         Listing
		story        func(dsk *desk)
		begun, stops int
		// returned orders run nowhere and go back for their payload.
		returned int
	}{
		"listed, then asked for": {
			story: func(dsk *desk) { dsk.look("s1", running); dsk.look("s2", RenewResult{}); followed(dsk) },
			begun: 1,
		},
		"asked for, then listed": {
			story: func(dsk *desk) { followed(dsk); dsk.look("s1", running); dsk.look("s2", RenewResult{}) },
			begun: 1,
		},
		"never asked for": {
			story: func(dsk *desk) { dsk.look("s1", running); dsk.look("s2", RenewResult{}) },
			stops: 1,
		},
		"nowhere": {
			story:    func(dsk *desk) { followed(dsk); dsk.look("s1", RenewResult{}); dsk.look("s2", RenewResult{}) },
			returned: 1,
		},
		"one server is silent, before the lease has passed": {
			story: func(dsk *desk) { dsk.look("s1", RenewResult{}); followed(dsk) },
		},
		"one server is silent, after it": {
			story:    func(dsk *desk) { dsk.look("s1", RenewResult{}); followed(dsk); dsk.pass(DefaultConfig().OrphanExpiry) },
			returned: 1,
		},
		"its last server is listed, another one silent": {
			// A former leader that reaches the silent one may have started the task there since.
			story: func(dsk *desk) { dsk.look("s1", RenewResult{}); followedFrom(dsk, "s1") },
		},
		"its last server is listed, another one silent, after the lease": {
			story:    func(dsk *desk) { dsk.look("s1", RenewResult{}); followedFrom(dsk, "s1"); dsk.pass(DefaultConfig().OrphanExpiry) },
			returned: 1,
		},
		"its last server is not known here": {
			// The entry of that server has lapsed, and the instance has never seen it.
			story: func(dsk *desk) { dsk.look("s1", RenewResult{}); dsk.look("s2", RenewResult{}); followedFrom(dsk, "s3") },
		},
		"the list was read before the take-over": {
			// The former leader may have taken in a server that was added since, or whose entry is gone.
			list:  Listing{Listed: []ServerEntry{listed("s1", 32000)}, ReadAt: time.Unix(1000, 0)},
			story: func(dsk *desk) { dsk.look("s1", RenewResult{}); followed(dsk) },
		},
		"the list was read again after it": {
			list: Listing{Listed: []ServerEntry{listed("s1", 32000)}, ReadAt: time.Unix(1000, 0)},
			story: func(dsk *desk) {
				dsk.look("s1", RenewResult{})
				followed(dsk)
				dsk.did(dsk.ldr.SetServers(dsk.now, Listing{
					Listed: []ServerEntry{listed("s1", 32000)}, ReadAt: dsk.now.Add(time.Millisecond),
				}))
			},
			returned: 1,
		},
		"its server has no entry any more": {
			story: func(dsk *desk) {
				dsk.did(dsk.ldr.SetServers(dsk.now, Listing{
					Listed: []ServerEntry{listed("s1", 32000)}, Missing: []ServerEntry{listed("s3", 32000)},
				}))
				dsk.look("s1", RenewResult{})
				followed(dsk)
				dsk.look("s3", running)
			},
			begun: 1,
		},
		"it ended meanwhile": {
			story: func(dsk *desk) {
				dsk.look("s1", RenewResult{Ended: []End{{Seq: 3, Run: RunID{Task: "j.0", Number: 5}}}})
				dsk.look("s2", RenewResult{})
				followed(dsk)
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := fresh(t, cse.list)
			cse.story(dsk)
			dsk.pass(DefaultConfig().TakeoverWait)
			chk.Equal(dsk.reports(Started), cse.begun)
			chk.Equal(dsk.reports(NotRun), cse.returned)
			chk.Equal(len(dsk.starts()), 0)
			chk.Equal(dsk.stops(), cse.stops)
			if name == "it ended meanwhile" {
				chk.Equal(dsk.reports(Done), 1)
			}
		})
	}
}

// TestLeaderWithoutServersProvesNothing guards against a task that runs twice: a leader that has forgotten servers said that it runs
// nowhere, while a former leader ran it at one of them.
func TestLeaderWithoutServersProvesNothing(t *testing.T) {
	s1, s2 := listed("s1", 32000), listed("s2", 32000)
	cases := map[string]struct {
		// list is what the leader knows at the take-over, left what it knows afterwards; answer has the servers that obey it.
		list, left, all []ServerEntry
		answer          []ServerID
	}{
		"it never had one":                       {},
		"its only one has lapsed and is silent":  {list: []ServerEntry{s1}},
		"all have lapsed and are silent":         {list: []ServerEntry{s1, s2}},
		"one of two has lapsed and is silent":    {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, answer: []ServerID{"s2"}},
		"one of two belongs to another shard":    {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, all: []ServerEntry{s1, s2}, answer: []ServerID{"s1", "s2"}},
		"one of two has obeyed it and is silent": {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, answer: []ServerID{"s1", "s2"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := &desk{t: t, now: time.Unix(1000, 0)}
			dsk.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, dsk.now)
			listing := func(ents, all []ServerEntry) Listing {
				lst := Listing{Listed: ents, All: map[ServerID]ServerEntry{}, ReadAt: dsk.now.Add(time.Millisecond)}
				for _, ent := range all {
					lst.All[ent.ID] = ent
				}
				return lst
			}
			dsk.did(dsk.ldr.SetServers(dsk.now, listing(cse.list, cse.all)))
			for _, id := range cse.answer {
				dsk.look(id, RenewResult{})
			}
			if slices.Contains(cse.answer, "s1") {
				dsk.lookFrom("s1", dsk.now, RenewResult{}, Unknown)
				dsk.lookFrom("s1", dsk.now, RenewResult{}, Unknown)
				dsk.lookFrom("s1", dsk.now, RenewResult{}, Unknown)
			}
			dsk.did(dsk.ldr.SetServers(dsk.now, listing(cse.left, cse.all)))
			dsk.pass(2 * time.Second)
			ord := dsk.order(0, "j.0")
			ord.Reassigned = true
			dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
			if slices.Contains(cse.answer, "s2") {
				dsk.look("s2", RenewResult{})
			}
			chk.Equal(dsk.reports(NotRun), 0)
			dsk.pass(DefaultConfig().OrphanExpiry)
			chk.Equal(dsk.reports(NotRun), 1) // The chain of leases has passed.
		})
	}
}

func TestFormerLeaderIsAskedForAnOrder(t *testing.T) {
	// A leader stands still for two seconds. Another instance takes its shard over and starts tasks there. The first one
	// wakes and still says that it leads; an owner follows it with the order of a running task. It went by what its servers had
	// listed before ("report" "not-run" 0 ms after the order that "followed"), and the task started elsewhere: ten tasks ran
	// twice until the next leader's stop, 3 ms later.
	cases := map[string]struct {
		at             ServerID
		verdict        CallResult
		look           RenewResult
		returned, lost int
	}{
		"its servers obey another one":                 {verdict: Fenced, lost: 1},
		"the task's server obeys another one":          {at: "s1", verdict: Fenced, lost: 1},
		"its servers obey it, the task runs nowhere":   {returned: 1},
		"its server obeys it, the task runs nowhere":   {at: "s1", returned: 1},
		"the task's server has not answered":           {at: "s1", verdict: Unknown},
		"the task runs after all, for a former leader": {look: RenewResult{Running: []Progress{{Run: RunID{Task: "j.0", Number: 5}}}}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := newDesk(t, listed("s1", 32000))
			dsk.did(dsk.ldr.SetServers(dsk.now, Listing{
				Listed: []ServerEntry{listed("s1", 32000)}, ReadAt: dsk.now.Add(time.Millisecond),
			}))
			dsk.pass(100 * time.Millisecond)
			ord := dsk.order(0, "j.0")
			ord.Reassigned, ord.LastServer = true, cse.at
			dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
			chk.Equal(dsk.reports(NotRun), 0) // Nothing is known yet.
			dsk.lookFrom("s1", dsk.now, cse.look, cse.verdict)
			if dsk.ldr.LostServers() > 0 {
				dsk.did(dsk.ldr.Resign())
			}
			chk.Equal(dsk.reports(NotRun), cse.returned)
			chk.Equal(dsk.reports(Lost), cse.lost)
		})
	}
}

func TestStartWithoutAnswerMayHaveRun(t *testing.T) {
	// A server carries starts out and its answers are lost. The runs are stopped, and the order waits again. Its owner calls it back,
	// as the job can't be done in time any more, and told the caller 503, "not run", though two tasks had begun
	// ("start" "unknown", "stop" "accepted", "report" "not-run", "refused"). The report says now that it may have run.
	cases := map[string]struct {
		story func(dsk *desk)
		want  bool
	}{
		"never started": {story: func(*desk) {}},
		"start refused": {story: func(dsk *desk) { dsk.started("j.0", Refused) }},
		"start without an answer, stopped": {
			story: func(dsk *desk) {
				var run RunID
				for range 1 + startRepeats {
					run = dsk.started("j.0", Unknown)
				}
				dsk.did(dsk.ldr.HandleStopResult(dsk.now, "s1", run, Accepted))
				dsk.pass(10 * time.Millisecond)
				dsk.ldr.HandlePause(dsk.now.Add(time.Second)) // It waits, and does not start again.
				dsk.look("s1", RenewResult{})
			},
			want: true,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			dsk := newDesk(t, listed("s1", 32000))
			ord := dsk.order(0, "j.0")
			if name == "never started" {
				ord.Processor = 64000
			}
			dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
			cse.story(dsk)
			dsk.acts = nil
			dsk.did(dsk.ldr.Resign())
			chk.Equal(dsk.reports(NotRun), 1)
			said := dsk.count(func(act Action) bool {
				tel, ok := act.(SendReport)
				return ok && tel.Report.MayHaveRun
			})
			chk.Equal(said > 0, cse.want)
		})
	}
}
