package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that ran twice and whose logs don't tell why its first run was counted as over.
func TestEvidenceOfEndedRuns(t *testing.T) {
	cases := map[string]struct {
		// story plays what becomes of the run of a task on server s, and evd is what the leader must say of it.
		story func(har *harness, run RunID)
		evd   Evidence
	}{
		"the server lists that its lease expired": {
			story: func(har *harness, run RunID) {
				har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour, Ended: []End{{Seq: 1, Run: run, Kind: EndedLapsed}}})
			},
			evd: ListedAsLapsed,
		},
		"the server lists it neither as running nor as ended": {
			story: func(har *harness, _ RunID) { har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour}) },
			evd:   NotListed,
		},
		"the server is out of reach": {
			story: func(har *harness, _ RunID) { har.loseServer("s") },
			evd:   LeaseOver,
		},
		"the server has started again": {
			story: func(har *harness, _ RunID) { har.answer("s", secondIncarnation, RenewResult{}) },
			evd:   FormerIncarnation,
		},
		"another server has the address": {
			story: func(har *harness, _ RunID) { har.answerRenewalSentAt("s", har.now, RenewResult{}, Replaced) },
			evd:   ServerReplaced,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s")
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			har.advance(20 * time.Millisecond)
			cse.story(har, run)
			notes := actionsOf[NoteRunOver](har)
			chk.Equal(len(notes), 1)
			chk.Equal(notes[0].Run, run)
			chk.Equal(notes[0].Evidence, cse.evd)
			chk.True(notes[0].Accepted >= 20*time.Millisecond)
			chk.True(notes[0].Lease.Until >= time.Minute+DefaultConfig().Lease)
		})
	}
}

// Guards against a lease that something else than this leader has extended, and of which no line tells.
func TestRunThatOutlivesItsLease(t *testing.T) {
	cases := map[string]struct {
		// late is how far the server's clock is beyond the latest end of a lease that the leader has sent.
		late  time.Duration
		notes int
	}{
		"the lease has not ended":    {late: -time.Millisecond},
		"the run is being killed":    {late: killTime},
		"the run goes on after that": {late: killTime + time.Millisecond, notes: 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s")
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			for range 2 { // It is told once.
				har.advance(20 * time.Millisecond)
				ans := RenewResult{Clock: har.ldr.servers["s"].leaseEnd + cse.late, Running: []Progress{{Run: run}}}
				har.answer("s", firstIncarnation, ans)
			}
			chk.Equal(har.count(func(act Action) bool {
				_, ok := act.(NoteOutlivedLease)
				return ok
			}), cse.notes)
		})
	}
}

// loseServer leaves all calls to a server without an answer until its leases have expired by any clock.
func (har *harness) loseServer(id ServerID) {
	for end := har.now.Add(2 * time.Second); har.now.Before(end); {
		har.advance(100 * time.Millisecond)
		if srv := har.ldr.servers[id]; srv != nil && srv.renewing {
			har.answerRenewalSentAt(id, har.now, RenewResult{}, Unknown)
		}
	}
}
