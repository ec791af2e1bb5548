package shard

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// desk drives a Leader by hand and notes what it does.
type desk struct {
	t    *testing.T
	ldr  *Leader
	now  time.Time
	acts []Action
}

const (
	owner = InstanceID("owner/1")
	size  = 14000
)

func listed(id string, processor int64) ServerEntry {
	return ServerEntry{ID: ServerID(id), Service: "render", Processor: processor, Memory: 1000}
}

// newDesk returns the leader of servers that have all obeyed it and run nothing, with its take-over complete.
func newDesk(t *testing.T, ents ...ServerEntry) *desk {
	dsk := &desk{t: t, now: time.Unix(1000, 0)}
	dsk.ldr = NewLeader(DefaultConfig(), NewUplink(0), "a.0", 9, dsk.now)
	dsk.did(dsk.ldr.SetServers(dsk.now, Listing{Listed: ents}))
	for _, ent := range ents {
		dsk.look(ent.ID, RenewResult{Clock: time.Minute})
	}
	dsk.pass(DefaultConfig().TakeoverWait)
	dsk.acts = nil
	return dsk
}

func (dsk *desk) did(acts []Action) { dsk.acts = append(dsk.acts, acts...) }

// pass lets time pass.
func (dsk *desk) pass(dur time.Duration) {
	for end := dsk.now.Add(dur); dsk.now.Before(end); {
		dsk.now = dsk.now.Add(10 * time.Millisecond)
		dsk.did(dsk.ldr.Tick(dsk.now))
	}
}

func (dsk *desk) look(id ServerID, look RenewResult) { dsk.lookFrom(id, dsk.now, look, Accepted) }

// lookFrom answers the newest look at a server, which was sent at a time.
func (dsk *desk) lookFrom(id ServerID, sent time.Time, look RenewResult, vdt CallResult) {
	dsk.did(dsk.ldr.HandleRenewResult(dsk.now, sent, dsk.newest(id), look, vdt))
}

func (dsk *desk) newest(id ServerID) Renew {
	srv := dsk.ldr.servers[id]
	return Renew{Server: srv.ent, Number: srv.looks}
}

// place orders tasks that need the same and returns where each was started, "" for those that wait.
func (dsk *desk) place(priority int, tasks ...string) map[string]ServerID {
	for _, tsk := range tasks {
		dsk.did(dsk.ldr.HandleOrder(dsk.now, dsk.order(priority, tsk)))
	}
	return dsk.starts()
}

func (dsk *desk) order(priority int, task string) Order {
	return Order{
		Task: task, Owner: owner, Service: "render", Processor: size, Memory: 10, Priority: priority,
		Arrived: dsk.now, Due: dsk.now.Add(time.Second), UsefulUntil: dsk.now.Add(3 * time.Second),
		ExpectedRunTime: 100 * time.Millisecond, Step: strings.Split(task, ".")[0],
	}
}

func (dsk *desk) starts() map[string]ServerID {
	got := map[string]ServerID{}
	for _, act := range dsk.acts {
		if str, ok := act.(StartRun); ok {
			got[str.Run.Task] = str.Server.ID
		}
	}
	return got
}

func (dsk *desk) started(task string, vdt CallResult) RunID {
	for _, act := range slices.Backward(dsk.acts) {
		if str, ok := act.(StartRun); ok && str.Run.Task == task {
			dsk.ldr.link.HandleStartResult(str.Payload, time.Millisecond, vdt)
			dsk.did(dsk.ldr.HandleStartResult(dsk.now, str.Server.ID, str.Run, vdt, time.Minute))
			return str.Run
		}
	}
	dsk.t.Fatalf("task %s was not started", task)
	return RunID{}
}

// others lists what runs at a server besides one run.
func (dsk *desk) others(srv *server, but RunID) []Progress {
	var prgs []Progress
	for rid := range srv.runs {
		if rid != but {
			prgs = append(prgs, Progress{Run: rid})
		}
	}
	return prgs
}

func (dsk *desk) count(match func(act Action) bool) int {
	num := 0
	for _, act := range dsk.acts {
		if match(act) {
			num++
		}
	}
	return num
}

func (dsk *desk) reports(out Outcome) int {
	return dsk.count(func(act Action) bool {
		tel, ok := act.(SendReport)
		return ok && tel.Report.Outcome == out
	})
}

func (dsk *desk) stops() int {
	return dsk.count(func(act Action) bool {
		_, ok := act.(StopRun)
		return ok
	})
}

func (dsk *desk) looks() int {
	return dsk.count(func(act Action) bool {
		_, ok := act.(Renew)
		return ok
	})
}
