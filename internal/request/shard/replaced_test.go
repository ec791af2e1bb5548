package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const secondOwner = InstanceID("second/2")

// replacedReports returns the reports that an order was replaced, in the order in which they were sent, without what they tell of its run.
func (har *harness) replacedReports() []SendReport {
	var snds []SendReport
	for _, act := range har.acts {
		if snd, ok := act.(SendReport); ok && snd.Report.Outcome == OrderReplaced {
			snd.Report.Server, snd.Report.MayHaveRun = "", false
			snds = append(snds, snd)
		}
	}
	return snds
}

// orderBy sends an order of an owner's submission for the task j.0.
func (har *harness) orderBy(own InstanceID, number int64, how Order) {
	ord := har.order(0, "j.0")
	ord.Owner, ord.SubmissionNumber = own, number
	ord.Recall, ord.Reassigned, ord.MayRunFor = how.Recall, how.Reassigned, how.MayRunFor
	har.record(har.ldr.HandleOrder(har.now, ord))
}

// replacement is the report to an owner that an order with a submission number was replaced.
func replacement(own InstanceID, number int64, by InstanceID) SendReport {
	return SendReport{Owner: own, Report: Report{Task: "j.0", Token: 9, Outcome: OrderReplaced, NewOwner: by, SubmissionNumber: number}}
}

// Guards against callers that wait until their deadline, as the owner of their job isn't told that another owner has ordered its tasks, and against
// owners that are told so of an order that they have withdrawn or still have.
func TestOwnersOfReplacedOrders(t *testing.T) {
	waits := func(har *harness) { har.place(0, "k.0") } // It fills the server.
	runs := func(*harness) {}
	firstIsReplaced := []SendReport{replacement(owner, 1, secondOwner)}
	cases := map[string]struct {
		before func(har *harness)
		events func(har *harness)
		told   []SendReport
		// owner has the order in the end, empty if none has.
		owner InstanceID
		stops int
	}{
		"waiting order": {
			before: waits, events: func(har *harness) { har.orderBy(secondOwner, 7, Order{}) }, told: firstIsReplaced, owner: secondOwner,
		},
		"start under way": {
			before: runs, events: func(har *harness) { har.orderBy(secondOwner, 7, Order{}) }, told: firstIsReplaced, owner: secondOwner, stops: 1,
		},
		"running order": {
			before: runs, owner: secondOwner, stops: 1, told: firstIsReplaced,
			events: func(har *harness) {
				har.answerStart("j.0", Accepted)
				har.orderBy(secondOwner, 7, Order{})
			},
		},
		"waiting order, by one that was with a former leader": {
			before: waits, events: func(har *harness) { har.orderBy(secondOwner, 7, Order{Reassigned: true}) }, told: firstIsReplaced, owner: secondOwner,
		},
		"the first owner's cancel crosses the report": {
			before: waits, told: firstIsReplaced, owner: secondOwner,
			events: func(har *harness) {
				har.orderBy(secondOwner, 7, Order{})
				har.record(har.ldr.Cancel(har.now, owner, "j.0", false))
			},
		},
		"the first owner's recall crosses the report": {
			before: waits, told: firstIsReplaced, owner: secondOwner,
			events: func(har *harness) {
				har.orderBy(secondOwner, 7, Order{})
				har.orderBy(owner, 1, Order{Recall: true})
			},
		},
		"the first owner has cancelled its running order": {
			before: runs, owner: secondOwner, stops: 1,
			events: func(har *harness) {
				har.record(har.ldr.Cancel(har.now, owner, "j.0", false))
				har.orderBy(secondOwner, 7, Order{})
			},
		},
		"the first owner has cancelled its waiting order": {
			before: waits, owner: secondOwner,
			events: func(har *harness) {
				har.record(har.ldr.Cancel(har.now, owner, "j.0", false))
				har.orderBy(secondOwner, 7, Order{})
			},
		},
		"the second owner cancels": {
			before: waits, told: firstIsReplaced,
			events: func(har *harness) {
				har.orderBy(secondOwner, 7, Order{})
				har.record(har.ldr.Cancel(har.now, secondOwner, "j.0", false))
			},
		},
		"the owners order in turn": {
			before: waits, told: []SendReport{firstIsReplaced[0], replacement(secondOwner, 7, owner), replacement(owner, 2, secondOwner)}, owner: secondOwner,
			events: func(har *harness) {
				har.orderBy(secondOwner, 7, Order{})
				har.orderBy(owner, 2, Order{})
				har.orderBy(secondOwner, 8, Order{})
			},
		},
		"the first owner's order is of a later submission": {
			before: waits, told: []SendReport{replacement(owner, 2, secondOwner)}, owner: secondOwner,
			events: func(har *harness) {
				har.orderBy(owner, 2, Order{})
				har.orderBy(secondOwner, 7, Order{})
			},
		},
		"a repetition by the same owner": {before: waits, events: func(har *harness) { har.orderBy(owner, 1, Order{}) }, owner: owner},
		"a recall by another owner": {
			before: waits, events: func(har *harness) { har.orderBy(secondOwner, 7, Order{Recall: true}) }, owner: owner,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", size))
			cse.before(har)
			har.orderBy(owner, 1, Order{})
			cse.events(har)
			chk.Equal(har.replacedReports(), cse.told)
			chk.Equal(har.stops(), cse.stops)
			var has InstanceID
			if ord := har.ldr.orders["j.0"]; ord != nil {
				has = ord.Owner
			}
			chk.Equal(has, cse.owner)
		})
	}
}

// Guards against an order that comes late, of a submission that its caller has repeated at another owner since, and that stops the run for which the
// caller waits.
func TestOrderOfAnEarlierSubmission(t *testing.T) {
	const resent = 1300 * time.Millisecond
	cases := map[string]struct {
		// first and second are the owners in the order in which their orders come; apart is how much later the first one's job came.
		first, second InstanceID
		apart         time.Duration
		how           Order
		// silent is how long the first owner was not heard.
		silent time.Duration
		has    InstanceID
	}{
		"comes last": {first: secondOwner, second: owner, apart: resent, has: secondOwner},
		"comes last, of the owner with the last ID": {first: owner, second: secondOwner, apart: resent, has: owner},
		"comes first":                     {first: owner, second: secondOwner, apart: -resent, has: secondOwner},
		"simultaneous":                    {first: secondOwner, second: owner, apart: sameArrival, has: owner},
		"the later one's owner is silent": {first: secondOwner, second: owner, apart: resent, silent: time.Second, has: owner},
		"was with a former leader":        {first: secondOwner, second: owner, apart: resent, how: Order{Reassigned: true, MayRunFor: resent}, has: owner},
	}
	for name, cse := range cases {
		for _, runs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, running %t", name, runs), func(t *testing.T) {
				chk := is.New(t)
				har := newHarness(t, serverEntry("s1", size))
				if !runs {
					har.place(0, "k.0") // It fills the server.
				}
				har.orderBy(cse.first, 1, Order{})
				if runs {
					har.answerStart("j.0", Accepted)
				}
				har.ldr.HandleOwnerHeard(cse.first, har.now.Add(-cse.silent))
				late := har.order(0, "j.0")
				late.Owner, late.SubmissionNumber, late.Arrived = cse.second, 2, late.Arrived.Add(-cse.apart)
				late.Reassigned, late.MayRunFor = cse.how.Reassigned, cse.how.MayRunFor
				har.record(har.ldr.HandleOrder(har.now, late))
				if cse.has == cse.first {
					chk.Equal(har.replacedReports(), []SendReport{replacement(cse.second, 2, cse.first)})
					chk.Equal(har.stops(), 0)
				} else {
					chk.Equal(har.replacedReports(), []SendReport{replacement(cse.first, 1, cse.second)})
					chk.Equal(har.stops() > 0, runs)
				}
				chk.Equal(har.ldr.orders["j.0"].Owner, cse.has)
			})
		}
	}
}

// Guards against a task that runs twice, or never, once its order was replaced: the second owner's run starts when the first owner's is over.
func TestRunOfAReplacingOrder(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", size))
	har.orderBy(owner, 1, Order{})
	run := har.answerStart("j.0", Accepted)
	har.acts = nil
	har.orderBy(secondOwner, 7, Order{})
	har.advance(10 * time.Millisecond)
	chk.Equal(len(har.starts()), 0)
	har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s1", run), Accepted))
	har.answerRenewal("s1", RenewResult{Clock: time.Hour, Ended: []End{{Seq: 1, Run: run, Kind: EndedStopped}}})
	second := har.answerStart("j.0", Accepted)
	chk.True(second.Number > run.Number)
	har.acts = nil
	har.answerRenewal("s1", RenewResult{Clock: time.Hour, Ended: []End{{Seq: 2, Run: second, Kind: EndedDone}}})
	done := har.count(func(act Action) bool {
		snd, ok := act.(SendReport)
		return ok && snd.Owner == secondOwner && snd.Report.Outcome == Done
	})
	chk.Equal(done, 1)
	chk.Equal(har.reports(Done), 1) // The first owner gets none.
}

// Guards against a task that runs twice as an order that another leader may still run is replaced by one that was with no leader before: the proof
// that it runs nowhere is still needed.
func TestReplacedOrderThatWasReassigned(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", size))
	const mayRunFor = 1300 * time.Millisecond
	har.orderBy(owner, 1, Order{Reassigned: true, MayRunFor: mayRunFor})
	har.advance(10 * time.Millisecond)
	har.orderBy(secondOwner, 7, Order{})
	chk.Equal(har.replacedReports(), []SendReport{replacement(owner, 1, secondOwner)})
	for elapsed := 10 * time.Millisecond; elapsed < mayRunFor; elapsed += 10 * time.Millisecond {
		chk.Equal(len(har.starts()), 0)
		har.advance(10 * time.Millisecond)
		har.answerRenewal("s1", RenewResult{Clock: time.Minute + elapsed})
	}
	har.advance(10 * time.Millisecond)
	chk.Equal(len(har.starts()), 1)
}
