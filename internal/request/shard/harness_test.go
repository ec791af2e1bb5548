package shard

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// harness calls a Leader's event methods and records the actions that they return.
type harness struct {
	t    *testing.T
	ldr  *Leader
	now  time.Time
	acts []Action
}

const (
	owner = InstanceID("owner/1")
	size  = 14000
)

func serverEntry(id string, processor int64) ServerEntry {
	return ServerEntry{ID: ServerID(id), Service: "render", Processor: processor, Memory: 1000}
}

// newHarness returns a Leader whose takeover is complete and whose servers have all confirmed it and run nothing.
func newHarness(t *testing.T, ents ...ServerEntry) *harness {
	har := &harness{t: t, now: time.Unix(1000, 0)}
	har.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, har.now)
	har.record(har.ldr.SetServers(har.now, Listing{Listed: ents, Shards: 1}))
	for _, ent := range ents {
		har.answerRenewal(ent.ID, RenewResult{Clock: time.Minute})
	}
	har.advance(DefaultConfig().AdoptWait)
	har.acts = nil
	return har
}

func (har *harness) record(acts []Action) { har.acts = append(har.acts, acts...) }

// advance moves the time forward in steps of 10 ms, with a Tick at each.
func (har *harness) advance(dur time.Duration) {
	for end := har.now.Add(dur); har.now.Before(end); {
		har.now = har.now.Add(10 * time.Millisecond)
		har.record(har.ldr.Tick(har.now))
	}
}

func (har *harness) answerRenewal(id ServerID, ans RenewResult) {
	har.answerRenewalSentAt(id, har.now, ans, Accepted)
}

// answerRenewalSentAt answers the newest renewal of a server as if it had been sent at sent.
func (har *harness) answerRenewalSentAt(id ServerID, sent time.Time, ans RenewResult, res CallResult) {
	har.record(har.ldr.HandleRenewResult(har.now, sent, har.newestRenewal(id), ans, res))
}

func (har *harness) newestRenewal(id ServerID) Renew {
	srv := har.ldr.servers[id]
	return Renew{Server: srv.ent, Number: srv.renewals}
}

// place sends orders for tasks of one size and returns the server on which each task was started; waiting tasks are not in it.
func (har *harness) place(priority int, tasks ...string) map[string]ServerID {
	for _, tsk := range tasks {
		har.record(har.ldr.HandleOrder(har.now, har.order(priority, tsk)))
	}
	return har.starts()
}

func (har *harness) order(priority int, task string) Order {
	return Order{
		Task: task, Owner: owner, Service: "render", Processor: size, Memory: 10, Priority: priority,
		Arrived: har.now, Due: har.now.Add(time.Second), UsefulUntil: har.now.Add(3 * time.Second),
		ExpectedRunTime: 100 * time.Millisecond, Step: strings.Split(task, ".")[0],
	}
}

func (har *harness) starts() map[string]ServerID {
	got := map[string]ServerID{}
	for _, act := range har.acts {
		if str, ok := act.(StartRun); ok {
			got[str.Run.Task] = str.Server.ID
		}
	}
	return got
}

func (har *harness) answerStart(task string, res CallResult) RunID {
	for _, act := range slices.Backward(har.acts) {
		if str, ok := act.(StartRun); ok && str.Run.Task == task {
			har.ldr.link.HandleStartResult(str.Payload, time.Millisecond, res)
			har.record(har.ldr.HandleStartResult(har.now, str.Server.ID, str.Run, res, time.Minute))
			return str.Run
		}
	}
	har.t.Fatalf("task %s was not started", task)
	return RunID{}
}

// otherRuns lists the runs of a server except one.
func (har *harness) otherRuns(srv *server, except RunID) []Progress {
	var prgs []Progress
	for rid := range srv.runs {
		if rid != except {
			prgs = append(prgs, Progress{Run: rid})
		}
	}
	return prgs
}

func (har *harness) count(match func(act Action) bool) int {
	num := 0
	for _, act := range har.acts {
		if match(act) {
			num++
		}
	}
	return num
}

func (har *harness) reports(out Outcome) int {
	return har.count(func(act Action) bool {
		snd, ok := act.(SendReport)
		return ok && snd.Report.Outcome == out
	})
}

func (har *harness) stops() int {
	return har.count(func(act Action) bool {
		_, ok := act.(StopRun)
		return ok
	})
}

func (har *harness) renewals() int {
	return har.count(func(act Action) bool {
		_, ok := act.(Renew)
		return ok
	})
}

// stopOf returns the stop of a run that is sent to the present incarnation of a server.
func (har *harness) stopOf(id ServerID, run RunID) StopRun {
	act := StopRun{Server: ServerEntry{ID: id}, Run: run}
	if srv := har.ldr.servers[id]; srv != nil {
		act.Server, act.Incarnation = srv.ent, srv.incarnation
	}
	return act
}

// actionsOf returns the recorded actions of a type.
func actionsOf[T Action](har *harness) []T {
	var found []T
	for _, act := range har.acts {
		if typ, ok := act.(T); ok {
			found = append(found, typ)
		}
	}
	return found
}
