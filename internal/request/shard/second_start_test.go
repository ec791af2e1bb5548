package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// ended has a server list a run as ended, and no other run.
func (har *harness) ended(id ServerID, run RunID, knd EndKind) {
	har.advance(10 * time.Millisecond)
	har.answer(id, firstIncarnation, RenewResult{Clock: time.Hour, Ended: []End{{Seq: har.ldr.servers[id].handledSeq + 1, Run: run, Kind: knd}}})
}

// acceptStopOf has a server accept the stop of a run.
func (har *harness) acceptStopOf(id ServerID, run RunID) {
	har.advance(10 * time.Millisecond)
	har.record(har.ldr.HandleStopResult(har.now, har.stopOf(id, run), Accepted))
}

// orderOf sends an order of another owner for a task.
func (har *harness) orderOf(own InstanceID, task string) {
	ord := har.order(0, task)
	ord.Owner = own
	har.record(har.ldr.HandleOrder(har.now, ord))
}

// overNotes returns what the leader said of runs that are over.
func (har *harness) overNotes() []NoteRunOver {
	return actionsOf[NoteRunOver](har)
}

// Guards against a task that is started twice by its leader, and of which no line tells by which evidence its first run was counted as over.
func TestEvidenceBeforeASecondStart(t *testing.T) {
	const otherOwner = InstanceID("owner/2")
	cases := map[string]struct {
		// story plays what becomes of the run of a task on server s until the task starts again.
		story  func(har *harness, run RunID)
		evd    Evidence
		reason StopReason
		// acceptedStop is set if the evidence rests on a stop that the server has accepted.
		acceptedStop bool
		owner        InstanceID
	}{
		"another owner orders it, and its run is listed as stopped": {
			story: func(har *harness, run RunID) {
				har.orderOf(otherOwner, "j.0")
				har.acceptStopOf("s", run)
				har.ended("s", run, EndedStopped)
			},
			evd: ListedAsStopped, reason: OtherOrder, acceptedStop: true, owner: otherOwner,
		},
		"another owner orders it, and its run is not listed": {
			story: func(har *harness, run RunID) {
				har.orderOf(otherOwner, "j.0")
				har.acceptStopOf("s", run)
				har.advance(10 * time.Millisecond)
				har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour})
			},
			evd: NotListed, reason: OtherOrder, acceptedStop: true, owner: otherOwner,
		},
		"another owner orders it, and its run fails before the stop": {
			story: func(har *harness, run RunID) {
				har.orderOf(otherOwner, "j.0")
				har.ended("s", run, EndedFailed)
			},
			evd: ListedAsFailed, reason: OtherOrder, owner: otherOwner,
		},
		"its lease expires": {
			story: func(har *harness, run RunID) { har.ended("s", run, EndedLapsed) },
			evd:   ListedAsLapsed, owner: owner,
		},
		"its run is lost by its server": {
			story: func(har *harness, _ RunID) { har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour}) },
			evd:   NotListed, owner: owner,
		},
		"its run stands still": {
			story: func(har *harness, run RunID) {
				for end := har.now.Add(2 * DefaultConfig().StallTimeout); har.now.Before(end); {
					har.advance(50 * time.Millisecond)
					har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour, Running: []Progress{{Run: run}}})
				}
				har.acceptStopOf("s", run)
				har.ended("s", run, EndedStopped)
			},
			evd: ListedAsStopped, reason: NoProgress, acceptedStop: true, owner: owner,
		},
		"its server starts again": {
			story: func(har *harness, _ RunID) {
				har.answer("s", secondIncarnation, RenewResult{})
				har.list(secondIncarnation, "s", "t")
				har.advance(10 * time.Millisecond)
				har.answer("s", secondIncarnation, RenewResult{})
				har.answer("t", firstIncarnation, RenewResult{Clock: time.Hour})
			},
			evd: FormerIncarnation, owner: owner,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s", "t")
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			chk.Equal(har.startOf("j.0").Attempt, 1)
			if run := har.startOf("j.0"); run.Server.ID != "s" {
				t.Fatalf("started on %s", run.Server.ID)
			}
			har.advance(20 * time.Millisecond)
			cse.story(har, run)
			chk.Equal(har.startsOf("j.0"), 2)
			chk.Equal(har.startOf("j.0").Attempt, 2)
			chk.Equal(har.startOf("j.0").Repeat, 0)
			chk.Equal(har.startOf("j.0").Owner, cse.owner)
			notes := har.overNotes()
			chk.Equal(len(notes), 1)
			chk.Equal(notes[0].Run, run)
			chk.Equal(notes[0].Evidence, cse.evd)
			chk.Equal(notes[0].StopReason, cse.reason)
			chk.Equal(notes[0].StopAccepted > 0, cse.acceptedStop)
			chk.Equal(notes[0].StopSent > 0, cse.reason != "")
			for _, act := range har.acts {
				if stp, ok := act.(StopRun); ok {
					chk.Equal(stp.Reason, cse.reason)
				}
			}
		})
	}
}

// Guards against the same when a start got no answer: each repetition is told from a new run, and the stop says why it was sent.
func TestEvidenceAfterAnUnansweredStart(t *testing.T) {
	chk := is.New(t)
	har := newIncarnationHarness(t, "s")
	har.place(0, "j.0")
	run := har.answerStart("j.0", Unknown)
	for num := range startRepeats {
		chk.Equal(har.startOf("j.0").Attempt, 1)
		chk.Equal(har.startOf("j.0").Repeat, num+1)
		har.answerStart("j.0", Unknown)
	}
	har.acceptStopOf("s", run)
	har.advance(10 * time.Millisecond)
	har.answer("s", firstIncarnation, RenewResult{Clock: time.Hour})
	chk.Equal(har.startOf("j.0").Attempt, 2)
	notes := har.overNotes()
	chk.Equal(len(notes), 1)
	chk.Equal(notes[0].Evidence, NotListed)
	chk.Equal(notes[0].StopReason, StartUnanswered)
	chk.Equal(notes[0].Accepted, time.Duration(0))
	chk.True(notes[0].StopAccepted > 0)
}

// Guards against runs of cancelled orders whose ends no line tells: their tasks may start again for other owners.
func TestEndsOfCancelledRuns(t *testing.T) {
	cancel := func(har *harness) { har.record(har.ldr.Cancel(har.now, owner, "j.0", false)) }
	lose := func(har *harness) { har.record(har.ldr.HandleOwnerLost(har.now, owner)) }
	cases := map[string]struct {
		cancel func(har *harness)
		end    EndKind
		evd    Evidence
		reason StopReason
	}{
		"cancelled and stopped":          {cancel: cancel, end: EndedStopped, evd: ListedAsStopped, reason: StoppedByOwner},
		"cancelled and done before that": {cancel: cancel, end: EndedDone, evd: ListedAsDone, reason: StoppedByOwner},
		"its owner is lost":              {cancel: lose, end: EndedStopped, evd: ListedAsStopped, reason: OwnerWasLost},
		"its owner is lost, late":        {cancel: lose, end: EndedLapsed, evd: ListedAsLapsed, reason: OwnerWasLost},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newIncarnationHarness(t, "s")
			har.place(0, "j.0")
			run := har.answerStart("j.0", Accepted)
			cse.cancel(har)
			har.ended("s", run, cse.end)
			notes := har.overNotes()
			chk.Equal(len(notes), 1)
			chk.Equal(notes[0].Evidence, cse.evd)
			chk.Equal(notes[0].StopReason, cse.reason)
		})
	}
}

// Guards against runs whose ends are reported to their owners and are told twice.
func TestReportedEndsAreToldOnce(t *testing.T) {
	for _, knd := range []EndKind{EndedDone, EndedFailed} {
		chk := is.New(t)
		har := newIncarnationHarness(t, "s")
		har.place(0, "j.0")
		har.ended("s", har.answerStart("j.0", Accepted), knd)
		chk.Equal(har.reports(Done)+har.reports(Failed), 1)
		chk.Equal(len(har.overNotes()), 0)
	}
}

// Guards against two orders of one task that meet at a leader, and of which no line tells.
func TestRepeatedOrderIsTold(t *testing.T) {
	const otherOwner, age = InstanceID("owner/2"), 30 * time.Millisecond
	cases := map[string]struct {
		// waits is set if the first order is in the queue, as the server is full.
		waits bool
		story func(har *harness)
		want  *NoteRepeatedOrder
	}{
		"another owner's, of a task that runs": {
			story: func(har *harness) { har.orderOf(otherOwner, "j.0") },
			want:  &NoteRepeatedOrder{Owner: otherOwner, FormerOwner: owner, FormerAge: age, Server: "s", Stopped: true},
		},
		"another owner's, of a task that waits": {
			waits: true,
			story: func(har *harness) { har.orderOf(otherOwner, "j.0") },
			want:  &NoteRepeatedOrder{Owner: otherOwner, FormerOwner: owner, FormerAge: age},
		},
		"the same owner's": {
			story: func(har *harness) { har.orderOf(owner, "j.0") },
			want:  &NoteRepeatedOrder{Owner: owner, FormerOwner: owner, FormerAge: age, Server: "s"},
		},
		"the same owner's, after it has cancelled the first": {
			story: func(har *harness) {
				har.record(har.ldr.Cancel(har.now, owner, "j.0", false))
				har.orderOf(owner, "j.0")
			},
			want: &NoteRepeatedOrder{Owner: owner, FormerOwner: owner, FormerAge: age, Cancelled: true, Server: "s", Stopped: true},
		},
		"one that was with a former leader": {
			story: func(har *harness) {
				ord := har.order(0, "j.0")
				ord.Owner, ord.Reassigned = otherOwner, true
				har.record(har.ldr.HandleOrder(har.now, ord))
			},
			want: &NoteRepeatedOrder{Owner: otherOwner, FormerOwner: owner, FormerAge: age, Followed: true, Server: "s", Stopped: true},
		},
		"a recall": {
			story: func(har *harness) {
				har.record(har.ldr.HandleOrder(har.now, Order{Task: "j.0", Owner: owner, Recall: true}))
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", size))
			if cse.waits {
				har.place(0, "full.0")
			}
			har.place(0, "j.0")
			var run RunID
			if !cse.waits {
				run = har.answerStart("j.0", Accepted)
			}
			har.advance(age)
			cse.story(har)
			notes := actionsOf[NoteRepeatedOrder](har)
			if cse.want == nil {
				chk.Equal(len(notes), 0)
				return
			}
			cse.want.Task, cse.want.Run = "j.0", run
			chk.Equal(notes, []NoteRepeatedOrder{*cse.want})
		})
	}
}

// Guards against a run that goes on under a new leader, and of which no line tells.
func TestAdoptionIsTold(t *testing.T) {
	run := RunID{Task: "j.0", Number: 5}
	listed := RenewResult{Running: []Progress{{Run: run, Percent: 10}}}
	reassign := func(har *harness) {
		ord := har.order(0, "j.0")
		ord.Reassigned = true
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	const age = 10 * time.Millisecond
	cases := map[string]struct {
		story func(har *harness)
		want  []NoteAdoption
	}{
		"it runs": {
			story: func(har *harness) {
				har.answerRenewal("s", listed)
				har.advance(age)
				reassign(har)
			},
			want: []NoteAdoption{{Task: "j.0", Owner: owner, Server: "s", Run: run, Found: age}},
		},
		"it is listed after the order has come": {
			story: func(har *harness) { reassign(har); har.answerRenewal("s", listed) },
			want:  []NoteAdoption{{Task: "j.0", Owner: owner, Server: "s", Run: run}},
		},
		"it is done": {
			story: func(har *harness) {
				har.answerRenewal("s", RenewResult{Ended: []End{{Seq: 1, Run: run, Kind: EndedDone}}})
				reassign(har)
			},
			want: []NoteAdoption{{Task: "j.0", Owner: owner, Server: "s", Run: run, Ended: true}},
		},
		"it is being stopped": {
			story: func(har *harness) {
				har.answerRenewal("s", listed)
				har.advance(DefaultConfig().AdoptWait)
				reassign(har)
			},
			want: []NoteAdoption{{Task: "j.0", Owner: owner, Server: "s", Run: run, Found: DefaultConfig().AdoptWait, Stopped: true}},
		},
		"it runs nowhere": {story: func(har *harness) { har.answerRenewal("s", RenewResult{}); reassign(har) }},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
			cse.story(har)
			notes := actionsOf[NoteAdoption](har)
			is.New(t).Equal(notes, cse.want)
		})
	}
}

// Guards against a reassigned order that goes back, and of which no line tells whether its servers have answered or time has passed.
func TestEvidenceOfReturnedOrders(t *testing.T) {
	const mayRunFor = time.Second
	for name, answers := range map[string]bool{"all servers answer": true, "one does not": false} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := &harness{t: t, now: time.Unix(1000, 0)}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{
				Listed: []ServerEntry{serverEntry("s1", 32000), serverEntry("s2", 32000)}, ReadAt: har.now.Add(time.Millisecond), Shards: 1,
			}))
			ord := har.order(0, "j.0")
			ord.Reassigned, ord.MayRunFor = true, mayRunFor
			har.record(har.ldr.HandleOrder(har.now, ord))
			har.answerRenewal("s1", RenewResult{})
			if answers {
				har.answerRenewal("s2", RenewResult{})
			}
			har.advance(mayRunFor)
			notes := actionsOf[NoteReturn](har)
			chk.Equal(len(notes), 1)
			chk.Equal(notes[0].Proven, answers)
			chk.Equal(notes[0].Waited == mayRunFor, !answers)
			chk.Equal(notes[0].MayRunFor, mayRunFor)
		})
	}
}
