package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReassignedOrderAtANewLeader(t *testing.T) {
	// A task was with the former leader. The new leader adopts its run where it finds it. While a server has listed nothing the task may
	// run there, and must not start elsewhere until a lease without renewal has expired.
	fresh := func(t *testing.T, lst Listing) *harness {
		har := &harness{t: t, now: time.Unix(1000, 0)}
		har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
		if lst.Listed == nil {
			lst.Listed = []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000)}
			lst.ReadAt = har.now.Add(time.Millisecond)
		}
		lst.Shards = 1
		har.record(har.ldr.SetServers(har.now, lst))
		return har
	}
	running := RenewResult{Running: []Progress{{Run: RunID{Task: "j.0", Number: 5}, Percent: 10}}}
	reassignedFrom := func(har *harness, at ServerID) {
		ord := har.order(0, "j.0")
		ord.Reassigned, ord.LastServer = true, at
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	reassigned := func(har *harness) { reassignedFrom(har, "") }
	cases := map[string]struct {
		// list is the listing at the takeover; both servers if it is empty.
		list           Listing
		story          func(har *harness)
		started, stops int
		// returned counts orders that run nowhere and go back to their owner for their payload.
		returned int
	}{
		"listed, then ordered": {
			story: func(har *harness) {
				har.answerRenewal("s1", running)
				har.answerRenewal("s2", RenewResult{})
				reassigned(har)
			},
			started: 1,
		},
		"ordered, then listed": {
			story: func(har *harness) {
				reassigned(har)
				har.answerRenewal("s1", running)
				har.answerRenewal("s2", RenewResult{})
			},
			started: 1,
		},
		"never ordered": {
			story: func(har *harness) { har.answerRenewal("s1", running); har.answerRenewal("s2", RenewResult{}) },
			stops: 1,
		},
		"runs nowhere": {
			story: func(har *harness) {
				reassigned(har)
				har.answerRenewal("s1", RenewResult{})
				har.answerRenewal("s2", RenewResult{})
			},
			returned: 1,
		},
		"one server does not answer, before the lease has expired": {
			story: func(har *harness) { har.answerRenewal("s1", RenewResult{}); reassigned(har) },
		},
		"one server does not answer, after the lease has expired": {
			story: func(har *harness) {
				har.answerRenewal("s1", RenewResult{})
				reassigned(har)
				har.advance(DefaultConfig().OrphanExpiry)
			},
			returned: 1,
		},
		"its last server answers, another one does not": {
			// A former leader that reaches the server without an answer may have started the task there since.
			story: func(har *harness) { har.answerRenewal("s1", RenewResult{}); reassignedFrom(har, "s1") },
		},
		"its last server answers, another one does not, after the lease has expired": {
			story: func(har *harness) {
				har.answerRenewal("s1", RenewResult{})
				reassignedFrom(har, "s1")
				har.advance(DefaultConfig().OrphanExpiry)
			},
			returned: 1,
		},
		"a server is listed after the others have answered, during the takeover": {
			story: func(har *harness) {
				reassigned(har)
				har.answerRenewal("s1", RenewResult{Running: []Progress{{Run: RunID{Task: "k.0", Number: 5}}}})
				har.answerRenewal("s2", RenewResult{})
				har.record(har.ldr.SetServers(har.now, Listing{
					Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000), serverEntry("s3", 32000)}, Shards: 1,
				}))
				har.advance(DefaultConfig().AdoptWait)
			},
			stops: 1,
		},
		"a server is listed after the others have answered again, during the takeover": {
			story: func(har *harness) {
				other := RenewResult{Running: []Progress{{Run: RunID{Task: "k.0", Number: 5}}}}
				har.answerRenewal("s1", other)
				har.answerRenewal("s2", RenewResult{})
				har.now = har.now.Add(10 * time.Millisecond)
				reassigned(har)
				har.answerRenewal("s1", other)
				har.answerRenewal("s2", RenewResult{})
				har.record(har.ldr.SetServers(har.now, Listing{
					Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000), serverEntry("s3", 32000)}, Shards: 1,
				}))
				har.advance(DefaultConfig().AdoptWait)
			},
			stops: 1,
		},
		"its last server is not known here": {
			// The entry of that server has expired, and the instance has never seen it.
			story: func(har *harness) {
				har.answerRenewal("s1", RenewResult{})
				har.answerRenewal("s2", RenewResult{})
				reassignedFrom(har, "s3")
			},
		},
		"the list was read before the takeover": {
			// The former leader may have taken over a server that was added since, or whose entry is gone.
			list:  Listing{Listed: []ServerEntry{serverEntry("s1", 32000)}, ReadAt: time.Unix(1000, 0), Shards: 1},
			story: func(har *harness) { har.answerRenewal("s1", RenewResult{}); reassigned(har) },
		},
		"the list was read again after the takeover": {
			list: Listing{Listed: []ServerEntry{serverEntry("s1", 32000)}, ReadAt: time.Unix(1000, 0), Shards: 1},
			story: func(har *harness) {
				har.answerRenewal("s1", RenewResult{})
				reassigned(har)
				har.record(har.ldr.SetServers(har.now, Listing{
					Listed: []ServerEntry{serverEntry("s1", 32000)}, ReadAt: har.now.Add(time.Millisecond), Shards: 1,
				}))
			},
			returned: 1,
		},
		"its server has no entry any more": {
			story: func(har *harness) {
				har.record(har.ldr.SetServers(har.now, Listing{
					Listed: []ServerEntry{serverEntry("s1", 32000)}, Missing: []ServerEntry{serverEntry("s3", 32000)}, Shards: 1,
				}))
				har.answerRenewal("s1", RenewResult{})
				reassigned(har)
				har.answerRenewal("s3", running)
			},
			started: 1,
		},
		"its run has ended": {
			story: func(har *harness) {
				har.answerRenewal("s1", RenewResult{Ended: []End{{Seq: 3, Run: RunID{Task: "j.0", Number: 5}}}})
				har.answerRenewal("s2", RenewResult{})
				reassigned(har)
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := fresh(t, cse.list)
			cse.story(har)
			har.advance(DefaultConfig().AdoptWait)
			chk.Equal(har.reports(Started), cse.started)
			chk.Equal(har.reports(NotRun), cse.returned)
			chk.Equal(len(har.starts()), 0)
			chk.Equal(har.stops(), cse.stops)
			if name == "its run has ended" {
				chk.Equal(har.reports(Done), 1)
			}
		})
	}
}

// Guards against a task that runs twice because a leader that has dropped servers reports that the task runs nowhere, while a former leader
// runs it on one of them.
func TestDroppedServersDelayReturnUntilOrphanExpiry(t *testing.T) {
	s1, s2 := serverEntry("s1", 32000), serverEntry("s2", 32000)
	cases := map[string]struct {
		// list is the listing at the takeover and left the one afterwards; answer lists the servers that confirm the leader.
		list, left, all []ServerEntry
		answer          []ServerID
		// fenced is set if s1 accepts the token of another leader afterwards.
		fenced bool
	}{
		"it never had one": {},
		"the only one has expired and does not answer":      {list: []ServerEntry{s1}},
		"all have expired and do not answer":                {list: []ServerEntry{s1, s2}},
		"one of two has expired and does not answer":        {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, answer: []ServerID{"s2"}},
		"one of two belongs to another shard":               {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, all: []ServerEntry{s1, s2}, answer: []ServerID{"s1", "s2"}},
		"one of two has confirmed it and no longer answers": {list: []ServerEntry{s1, s2}, left: []ServerEntry{s2}, answer: []ServerID{"s1", "s2"}},
		"one of two has accepted another leader's token": {
			list: []ServerEntry{s1, s2}, left: []ServerEntry{s1, s2}, answer: []ServerID{"s1", "s2"}, fenced: true,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			listing := func(ents, all []ServerEntry) Listing {
				lst := Listing{Listed: ents, All: map[ServerID]ServerEntry{}, ReadAt: har.now.Add(time.Millisecond), Shards: 1}
				for _, ent := range all {
					lst.All[ent.ID] = ent
				}
				return lst
			}
			har.record(har.ldr.SetServers(har.now, listing(cse.list, cse.all)))
			for _, id := range cse.answer {
				har.answerRenewal(id, RenewResult{})
			}
			if slices.Contains(cse.answer, "s1") {
				har.answerRenewalSentAt("s1", har.now, RenewResult{}, Unknown)
				har.answerRenewalSentAt("s1", har.now, RenewResult{}, Unknown)
				har.answerRenewalSentAt("s1", har.now, RenewResult{}, Unknown)
			}
			har.record(har.ldr.SetServers(har.now, listing(cse.left, cse.all)))
			if cse.fenced {
				har.answerRenewalSentAt("s1", har.now, RenewResult{}, Fenced)
			}
			har.advance(2 * time.Second)
			ord := har.order(0, "j.0")
			ord.Reassigned = true
			har.record(har.ldr.HandleOrder(har.now, ord))
			if slices.Contains(cse.answer, "s2") {
				har.answerRenewal("s2", RenewResult{})
			}
			chk.Equal(har.reports(NotRun), 0)
			har.advance(DefaultConfig().OrphanExpiry)
			chk.Equal(har.reports(NotRun), 1) // OrphanExpiry has passed since the order came.
		})
	}
}

func TestReassignedOrderAtAFormerLeader(t *testing.T) {
	// A leader is paused for two seconds, and another instance takes over its shard and starts tasks. The first goes on as leader and gets
	// the reassigned order of a running task. If it trusted what its servers listed before the pause, it would return the order as not run,
	// and the task would run twice.
	cases := map[string]struct {
		at             ServerID
		result         CallResult
		renewal        RenewResult
		returned, lost int
	}{
		"its servers confirm another leader":                   {result: Fenced, lost: 1},
		"the task's server confirms another leader":            {at: "s1", result: Fenced, lost: 1},
		"its servers confirm it, the task runs nowhere":        {returned: 1},
		"the task's server confirms it, the task runs nowhere": {at: "s1", returned: 1},
		"the task's server has not answered":                   {at: "s1", result: Unknown},
		"the task runs after all, for a former leader":         {renewal: RenewResult{Running: []Progress{{Run: RunID{Task: "j.0", Number: 5}}}}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 32000))
			har.record(har.ldr.SetServers(har.now, Listing{
				Listed: []ServerEntry{serverEntry("s1", 32000)}, ReadAt: har.now.Add(time.Millisecond), Shards: 1,
			}))
			har.advance(100 * time.Millisecond)
			ord := har.order(0, "j.0")
			ord.Reassigned, ord.LastServer = true, cse.at
			har.record(har.ldr.HandleOrder(har.now, ord))
			chk.Equal(har.reports(NotRun), 0) // Nothing is known yet.
			har.answerRenewalSentAt("s1", har.now, cse.renewal, cse.result)
			if har.ldr.LostServers() > 0 {
				har.record(har.ldr.Resign())
			}
			chk.Equal(har.reports(NotRun), cse.returned)
			chk.Equal(har.reports(Lost), cse.lost)
		})
	}
}

func TestStartWithoutAnswerMayHaveRun(t *testing.T) {
	// A server carries out starts but its answers are lost; the runs are stopped and the order waits again. If its owner then recalls it,
	// and the report doesn't say that it may have run, the caller is told 503 "not run" though tasks had begun.
	cases := map[string]struct {
		story func(har *harness)
		want  bool
	}{
		"never started": {story: func(*harness) {}},
		"start refused": {story: func(har *harness) { har.answerStart("j.0", Refused) }},
		"start without an answer, stopped": {
			story: func(har *harness) {
				var run RunID
				for range 1 + startRepeats {
					run = har.answerStart("j.0", Unknown)
				}
				har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s1", run), Accepted))
				har.advance(10 * time.Millisecond)
				har.ldr.HandlePause(har.now.Add(time.Second)) // It waits, and does not start again.
				har.answerRenewal("s1", RenewResult{})
			},
			want: true,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 32000))
			ord := har.order(0, "j.0")
			if name == "never started" {
				ord.Processor = 64000
			}
			har.record(har.ldr.HandleOrder(har.now, ord))
			cse.story(har)
			har.acts = nil
			har.record(har.ldr.Resign())
			chk.Equal(har.reports(NotRun), 1)
			said := har.count(func(act Action) bool {
				snd, ok := act.(SendReport)
				return ok && snd.Report.MayHaveRun
			})
			chk.Equal(said > 0, cse.want)
		})
	}
}
