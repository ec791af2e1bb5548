package shard

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// preemptHarness returns a harness in which the run of v.0, beside its sibling v.1, is being stopped for u.0, and the stopped run.
func preemptHarness(t *testing.T) (*harness, *run) {
	har := newHarness(t, serverEntry("s1", 2*size))
	har.ldr.cfg.Features = Features{Preemption: true}
	har.send(2, "v.0", time.Second)
	har.send(2, "v.1", time.Second)
	har.goOn(20 * time.Millisecond)
	har.acts = nil
	har.send(0, "u.0", 100*time.Millisecond)
	har.advance(20 * time.Millisecond)
	for _, rn := range har.ldr.serverList[0].runList {
		if rn.ord.Preempted {
			return har, rn
		}
	}
	t.Fatal("no run is being stopped")
	return nil, nil
}

// acceptStop has the server accept the stop of a run.
func (har *harness) acceptStop(rn *run) {
	har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s1", rn.id), Accepted))
}

// endStopped has the server list a stopped run as over.
func (har *harness) endStopped(rn *run) {
	har.advance(10 * time.Millisecond)
	srv := har.ldr.serverList[0]
	har.answerAll(srv, []End{{Seq: srv.handledSeq + 1, Run: rn.id, Kind: EndedStopped}})
}

// Guards against an urgent task that is late behind a run that could start again in time, against a start before the room is proven free, against
// a second stop of the same task and against a stop that counts as a failure.
func TestPreemption(t *testing.T) {
	chk := is.New(t)
	har, victim := preemptHarness(t)
	chk.Equal(har.stops(), 1)
	chk.Equal(har.featureChanges(Preemption, true), 1)
	chk.Equal(har.count(func(act Action) bool {
		snd, ok := act.(SendReport)
		return ok && snd.Report.Task == victim.id.Task && snd.Report.Preempted && snd.Report.WorkLost > 0
	}), 1)
	chk.Equal(len(har.starts()), 0)
	har.acceptStop(victim)
	chk.Equal(len(har.starts()), 0) // The stop was accepted, but the run may not be over.
	har.endStopped(victim)
	_, started := har.starts()["u.0"]
	chk.True(started)
	chk.Equal(har.reports(Failed)+har.reports(NotRun), 0)
	chk.True(har.ldr.orders[victim.id.Task].run == nil)
	har.goOn(20 * time.Millisecond)
	har.endRun("u.0")
	har.goOn(20 * time.Millisecond)
	chk.True(har.ldr.orders[victim.id.Task].run != nil)
	har.acts = nil
	har.send(0, "w.0", 100*time.Millisecond)
	har.advance(20 * time.Millisecond)
	chk.Equal(har.count(func(act Action) bool {
		stp, ok := act.(StopRun)
		return ok && stp.Run.Task == victim.id.Task
	}), 0) // It carries the mark.
}

// Guards against stops of runs whose callers would lose more than the urgent one gains.
func TestNoPreemption(t *testing.T) {
	cases := map[string]struct {
		sibling  bool
		priority int
		run      time.Duration
		wait     time.Duration
		features Features
	}{
		"the last open task of its job": {false, 2, time.Second, 20 * time.Millisecond, Features{Preemption: true}},
		"not less urgent":               {true, 0, time.Second, 20 * time.Millisecond, Features{Preemption: true}},
		"it has run for long":           {true, 2, time.Second, 400 * time.Millisecond, Features{Preemption: true}},
		"room comes free in time":       {true, 2, 80 * time.Millisecond, 20 * time.Millisecond, Features{Preemption: true}},
		"switched off":                  {true, 2, time.Second, 20 * time.Millisecond, Features{}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 2*size))
			har.ldr.cfg.Features = cas.features
			har.send(cas.priority, "v.0", cas.run)
			other := "other.0"
			if cas.sibling {
				other = "v.1"
			}
			har.send(cas.priority, other, cas.run)
			har.goOn(cas.wait)
			har.acts = nil
			har.send(0, "u.0", 100*time.Millisecond)
			har.advance(20 * time.Millisecond)
			chk.Equal(har.stops(), 0)
		})
	}
}

// Guards against estimates that are out of range: a task that is expected to run for centuries is neither in time nor about to end.
func TestAbsurdEstimate(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", 2*size))
	har.ldr.estimateBias = 1
	for _, estimate := range []time.Duration{-time.Hour, 0, math.MaxInt64} {
		took := har.ldr.expectedTime(nil, &order{Order: Order{Step: "j", ExpectedRunTime: estimate}})
		chk.True(took > 0 && took <= maxExpectedTime)
	}
}

// Guards against a task that runs twice, or is lost, as its leader is lost between the stop for an urgent task and the answer: the next leader has it
// run on if the stop wasn't carried out, and returns it to its owner if it was.
func TestLeaderIsLostDuringPreemption(t *testing.T) {
	for name, stopped := range map[string]bool{"the stop was carried out": true, "it was not": false} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			old, victim := preemptHarness(t)
			har := &harness{t: t, now: old.now}
			har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 10, har.now)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s1", 2*size)}, ReadAt: har.now, Shards: 1}))
			ord := old.ldr.orders[victim.id.Task].Order
			ord.Reassigned, ord.Payload, ord.MayRunFor = true, "", time.Second
			har.record(har.ldr.HandleOrder(har.now, ord))
			ans := RenewResult{Clock: time.Minute}
			if !stopped {
				ans.Running = []Progress{{Run: victim.id}}
			}
			har.answerRenewal("s1", ans)
			har.advance(10 * time.Millisecond)
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s1", 2*size)}, ReadAt: har.now, Shards: 1}))
			har.advance(10 * time.Millisecond)
			har.answerRenewal("s1", ans)
			har.advance(10 * time.Millisecond)
			chk.Equal(len(har.starts()), 0) // Its owner decides where it starts.
			chk.Equal(har.reports(NotRun), map[bool]int{true: 1, false: 0}[stopped])
			chk.Equal(har.reports(Started), map[bool]int{true: 0, false: 1}[stopped])
			chk.Equal(har.count(func(act Action) bool {
				snd, ok := act.(SendReport)
				return ok && snd.Report.Preempted
			}), 1) // The mark stays with the task.
		})
	}
}

// Guards against a mark that is lost, or a task that is reported as not running, as a shard is handed over while a run is being stopped.
func TestHandoverDuringPreemption(t *testing.T) {
	chk := is.New(t)
	har, victim := preemptHarness(t)
	har.acts = nil
	har.record(har.ldr.Resign())
	chk.Equal(har.count(func(act Action) bool {
		snd, ok := act.(SendReport)
		return ok && snd.Report.Task == victim.id.Task && snd.Report.Outcome == Lost && snd.Report.Preempted
	}), 1)
}

// Guards against room that is given away while the server has not answered the stop, and against a task that starts again then.
func TestServerDoesNotAnswerThePreemption(t *testing.T) {
	chk := is.New(t)
	har, victim := preemptHarness(t)
	for range 5 {
		har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s1", victim.id), Unknown))
		har.advance(20 * time.Millisecond)
	}
	chk.True(har.stops() > 1) // The stop is sent again.
	chk.Equal(len(har.starts()), 0)
	chk.Equal(har.ldr.servers["s1"].usedProcessor, int64(2*size))
	chk.True(victim.ord.run == victim)
}

// Guards against work for callers that have left: that of the stopped task, that of the urgent one, or the owner of both.
func TestCallerLeavesDuringPreemption(t *testing.T) {
	cases := map[string]struct {
		leave func(har *harness, task string) []Action
		want  []string
	}{
		"of the stopped task": {func(har *harness, task string) []Action { return har.ldr.Cancel(har.now, owner, task, false) }, []string{"u.0"}},
		"of the urgent task":  {func(har *harness, _ string) []Action { return har.ldr.Cancel(har.now, owner, "u.0", false) }, []string{"v"}},
		"their owner is lost": {func(har *harness, _ string) []Action { return har.ldr.HandleOwnerLost(har.now, owner) }, nil},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har, victim := preemptHarness(t)
			har.record(cas.leave(har, victim.id.Task))
			har.acceptStop(victim)
			har.endStopped(victim)
			har.advance(10 * time.Millisecond)
			var got []string
			for tsk := range har.starts() {
				if tsk == victim.id.Task {
					tsk = "v"
				}
				got = append(got, tsk)
			}
			chk.Equal(got, cas.want)
		})
	}
}

// Guards against a run that is stopped for a task which may not use its server.
func TestNoPreemptionOnServersSetAside(t *testing.T) {
	for openTo, want := range map[int]int{1: 0, 2: 1} {
		har := newHarness(t, serverEntry("s1", 2*size), serverEntry("s2", size))
		har.ldr.cfg.Features = Features{Preemption: true}
		har.send(0, "full.0", 2*time.Second)
		har.send(2, "v.0", time.Second)
		har.send(2, "v.1", time.Second)
		har.goOn(20 * time.Millisecond)
		har.ldr.servers["s1"].openTo = openTo
		har.acts = nil
		har.send(1, "u.0", 100*time.Millisecond)
		har.advance(20 * time.Millisecond)
		is.New(t).Equal(har.stops(), want)
	}
}

// Guards against room that is given away while a run is being stopped for a task, as its server seems to have room last, and against a stop of a
// server that did not answer for seconds, after which all urgent tasks seem late.
func TestTimeOfStops(t *testing.T) {
	chk := is.New(t)
	har, victim := preemptHarness(t)
	chk.True(har.ldr.remainingTime(har.now, victim) <= initialStopTime)
	before := har.ldr.preempting.stopTime
	victim.stopAcceptedAt = victim.stopAt.Add(3 * time.Second)
	har.ldr.noteStopped(victim.stopAcceptedAt, victim)
	chk.Equal(har.ldr.preempting.stopTime, before)
	victim.stopAcceptedAt = victim.stopAt.Add(20 * time.Millisecond)
	har.ldr.noteStopped(victim.stopAt.Add(140*time.Millisecond), victim)
	chk.Equal(har.ldr.preempting.stopTime, before+10*time.Millisecond)
}

// Guards against preemption that is announced as acting for as long as the shard is closed.
func TestPreemptionEndsInAClosedShard(t *testing.T) {
	har, _ := preemptHarness(t)
	har.record(har.ldr.SetClosed(har.now, true))
	har.advance(preemptionEnds + 100*time.Millisecond)
	is.New(t).Equal(har.featureChanges(Preemption, false), 1)
}
