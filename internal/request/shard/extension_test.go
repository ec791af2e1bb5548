package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// serverStandin answers the calls of a Leader to one server that extends leases when it is told to.
type serverStandin struct {
	har *harness
	id  ServerID
	// unanswered are the tasks whose starts get no answer; handled is how many of the leader's actions were answered.
	unanswered map[string]bool
	handled    int
	// extendedAt is when the last call was sent that extends leases.
	extendedAt time.Time
}

// answer answers the calls that were sent since the last one. Stops get no answer; a start without an answer is given up after one step.
func (stn *serverStandin) answer() {
	for len(stn.har.acts) > stn.handled {
		act := stn.har.acts[stn.handled]
		stn.handled++
		switch act := act.(type) {
		case StartRun:
			stn.extendedAt = stn.har.now
			res, clock := Accepted, time.Minute
			if stn.unanswered[act.Run.Task] {
				res, clock = Unknown, 0
				stn.har.advance(callTimeout)
			}
			stn.har.ldr.link.HandleStartResult(act.Payload, time.Millisecond, res)
			stn.har.record(stn.har.ldr.HandleStartResult(stn.har.now, stn.id, act.Run, res, clock))
		case StopRun:
			stn.har.record(stn.har.ldr.HandleStopResult(stn.har.now, act, Unknown))
		case Renew:
			if act.LeaseUntil > 0 {
				stn.extendedAt = stn.har.now
			}
		}
	}
}

// list has the server list its runs in answer to the newest renewal.
func (stn *serverStandin) list() {
	ans := RenewResult{Clock: time.Minute}
	for _, rn := range stn.har.ldr.servers[stn.id].runList {
		if !rn.acceptedAt.IsZero() {
			ans.Running = append(ans.Running, Progress{Run: rn.id, Percent: rn.percent + 1})
		}
	}
	stn.har.answerRenewal(stn.id, ans)
}

// callTimeout is how long a start waits for an answer.
const callTimeout = 40 * time.Millisecond

// Guards against a task that runs twice: its owner is lost, the stop of its run gets no answer, and its lease is extended by starts of other
// tasks on the server, while the caller submits the job again elsewhere.
func TestStartsExtendNoLeaseOfAnOverdueStop(t *testing.T) {
	const lost = InstanceID("lost/1")
	cases := map[string]struct {
		// orderedAfter is how long after the stop another owner orders a task.
		orderedAfter time.Duration
		unanswered   bool
	}{
		"no other task is ordered":                  {orderedAfter: time.Minute},
		"another task is started":                   {orderedAfter: 300 * time.Millisecond},
		"another task is started, without answer":   {orderedAfter: 300 * time.Millisecond, unanswered: true},
		"another start gets no answer, is repeated": {orderedAfter: 80 * time.Millisecond, unanswered: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 64000))
			stn := &serverStandin{har: har, id: "s"}
			ord := har.order(0, "j1.0")
			ord.Owner = lost
			har.record(har.ldr.HandleOrder(har.now, ord))
			stn.answer()
			stoppedAt := har.now
			har.record(har.ldr.HandleOwnerLost(har.now, lost))
			stn.unanswered = map[string]bool{"j2.0": cse.unanswered}
			ordered := false
			for har.now.Sub(stoppedAt) < time.Second {
				if !ordered && har.now.Sub(stoppedAt) >= cse.orderedAfter {
					ordered = true
					har.record(har.ldr.HandleOrder(har.now, har.order(0, "j2.0")))
				}
				stn.answer()
				stn.list()
				stn.answer()
				har.advance(10 * time.Millisecond)
			}
			extended := stn.extendedAt.Sub(stoppedAt)
			t.Log("the last extension is sent", extended, "after the stop")
			chk.True(extended <= har.ldr.cfg.StopTimeout)
		})
	}
}

// Guards against a task that runs twice: its owner goes dark, the leader is paused when it would miss the owner, and extends the lease as it
// goes on, so that the run is not over when the caller submits the job again.
func TestPausedLeaderExtendsNoLeaseForALostOwner(t *testing.T) {
	const (
		lost        = InstanceID("lost/1")
		resendAfter = 1300 * time.Millisecond
		// An owner is lost when it was not heard for missedAfter, or as soon as a process goes on that was paused meanwhile.
		missedAfter, missedAfterPause = 450 * time.Millisecond, 20 * time.Millisecond
	)
	cases := map[string]struct {
		// pause is how long the leader gets no event, from pausedAfter on, counted from when the owner was last heard.
		pausedAfter, pause time.Duration
	}{
		"it is not paused":                            {},
		"it is paused for 100 ms":                     {pausedAfter: 400 * time.Millisecond, pause: 100 * time.Millisecond},
		"it is paused for 300 ms":                     {pausedAfter: 400 * time.Millisecond, pause: 300 * time.Millisecond},
		"it is paused for 500 ms":                     {pausedAfter: 400 * time.Millisecond, pause: 500 * time.Millisecond},
		"it is paused for about the time of a lease":  {pausedAfter: 400 * time.Millisecond, pause: 600 * time.Millisecond},
		"it is paused for 600 ms from an earlier one": {pausedAfter: 200 * time.Millisecond, pause: 600 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 64000))
			stn := &serverStandin{har: har, id: "s"}
			heardAt := har.now
			har.ldr.HandleOwnerHeard(lost, heardAt)
			ord := har.order(0, "j1.0")
			ord.Owner = lost
			har.record(har.ldr.HandleOrder(har.now, ord))
			stn.answer()
			missedAt, paused := heardAt.Add(missedAfter), false
			for har.now.Sub(heardAt) < resendAfter {
				if cse.pause > 0 && !paused && har.now.Sub(heardAt) >= cse.pausedAfter {
					paused = true
					har.now = har.now.Add(cse.pause)
					har.ldr.HandlePause(har.now.Add(50 * time.Millisecond))
					if back := har.now.Add(missedAfterPause); back.After(missedAt) {
						missedAt = back
					}
				}
				if har.now.Equal(missedAt) {
					har.record(har.ldr.HandleOwnerLost(har.now, lost))
				}
				stn.answer()
				stn.list()
				stn.answer()
				har.advance(10 * time.Millisecond)
			}
			extended := stn.extendedAt.Sub(heardAt)
			t.Log("the last extension is sent", extended, "after the owner was last heard")
			chk.True(extended+har.ldr.cfg.Expiry() <= resendAfter)
		})
	}
}
