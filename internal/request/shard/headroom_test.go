package shard

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	learn "chestnutstack/internal/request/speed"
)

// send sends an order for a task of a priority that is expected to run for a time, and returns the order.
func (har *harness) send(priority int, task string, run time.Duration) Order {
	ord := har.order(priority, task)
	ord.ExpectedRunTime = run
	ord.Due = har.now.Add(run*16/10 + 60*time.Millisecond)
	ord.UsefulUntil = har.now.Add(3 * ord.Due.Sub(har.now))
	har.record(har.ldr.HandleOrder(har.now, ord))
	return ord
}

// goOn answers all starts and renewals for a time, with runs that make progress.
func (har *harness) goOn(dur time.Duration) {
	for end := har.now.Add(dur); har.now.Before(end); {
		har.advance(20 * time.Millisecond)
		for _, srv := range har.ldr.serverList {
			har.answerAll(srv, nil)
		}
	}
}

// answerAll answers the starts and the newest renewal of a server, with the ends of some runs.
func (har *harness) answerAll(srv *server, ends []End) {
	id := srv.ent.ID
	for _, rn := range srv.runList {
		if rn.state == starting {
			har.record(har.ldr.HandleStartResult(har.now, id, rn.id, Accepted, time.Minute))
		}
	}
	ans := RenewResult{Clock: time.Minute, Ended: ends}
	for _, rn := range srv.runList {
		if len(ends) == 0 || ends[0].Run != rn.id {
			ans.Running = append(ans.Running, Progress{Run: rn.id, Percent: int(min(100, har.now.Sub(rn.sentAt)/(10*time.Millisecond)))})
		}
	}
	har.answerRenewal(id, ans)
}

// endRun ends the run of a task as done.
func (har *harness) endRun(task string) {
	ord := har.ldr.orders[task]
	har.answerAll(ord.srv, []End{{Seq: ord.srv.handledSeq + 1, Run: ord.run.id, Kind: EndedDone}})
}

func (har *harness) featureChanges(fea Feature, active bool) int {
	return har.count(func(act Action) bool {
		chg, ok := act.(FeatureChange)
		return ok && chg.Feature == fea && chg.Active == active
	})
}

// busyHarness returns a harness of two servers that run four urgent tasks and four less urgent ones, while others wait.
func busyHarness(t *testing.T, fea Features) *harness {
	har := newHarness(t, serverEntry("s1", 2*size), serverEntry("s2", 2*size), serverEntry("s3", 2*size), serverEntry("s4", 2*size))
	har.ldr.cfg.Features = fea
	for num := range 4 {
		har.send(0, fmt.Sprintf("urgent%d.0", num), time.Second)
	}
	for num := range 12 {
		har.send(2, fmt.Sprintf("long%d.0", num), time.Second)
	}
	har.goOn(500 * time.Millisecond)
	har.acts = nil
	return har
}

// Guards against long runs on all servers while urgent tasks arrive, against loads that promise less urgent tasks the room that is kept, and against
// servers that stay set aside when nothing waits.
func TestServersAreSetAside(t *testing.T) {
	for name, fea := range map[string]Features{"on": {Headroom: true}, "off": {}} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := busyHarness(t, fea)
			chk.Equal(har.ldr.ProcessorSetAside() > 0, fea.Headroom)
			har.endRun("urgent0.0")
			chk.Equal(len(har.starts()) == 0, fea.Headroom) // Only without headroom does a less urgent task take its place.
			if !fea.Headroom {
				return
			}
			lod := har.ldr.Load(har.now)
			chk.Equal(lod.StartableFor(0, 0, size, 10), int64(1))
			chk.Equal(lod.StartableFor(2, 0, size, 10), int64(0))
			ord := har.order(2, "new.0")
			ord.ReturnIfBusy = true
			har.record(har.ldr.HandleOrder(har.now, ord))
			chk.Equal(har.count(func(act Action) bool {
				snd, ok := act.(SendReport)
				return ok && snd.Report.Outcome == NotRun && snd.Report.Reason == KeptForUrgent
			}), 1)
			har.acts = nil
			har.send(0, "now.0", time.Second)
			chk.Equal(len(har.starts()), 1) // An urgent task takes the room.
			for num := range 12 {
				har.record(har.ldr.Cancel(har.now, owner, fmt.Sprintf("long%d.0", num), false))
			}
			har.goOn(8 * time.Second)
			chk.Equal(har.ldr.ProcessorSetAside(), int64(0))
			chk.Equal(har.featureChanges(Headroom, false), 1)
		})
	}
}

// Guards against servers of one service that are set aside, or not, by what happens on those of another.
func TestServicesAreSetAsideByThemselves(t *testing.T) {
	for name, other := range map[string]string{"before it": "a", "after it": "z"} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := busyHarness(t, Features{Headroom: true})
			aside := har.ldr.ProcessorSetAside()
			ent := serverEntry("other", 2*size)
			ent.Service = other
			var ents []ServerEntry
			for _, srv := range har.ldr.serverList {
				ents = append(ents, srv.ent)
			}
			har.record(har.ldr.SetServers(har.now, Listing{Listed: append(ents, ent), Shards: 1}))
			har.goOn(100 * time.Millisecond)
			chk.True(aside > 0)
			chk.Equal(har.ldr.ProcessorSetAside(), aside)
			chk.True(!har.ldr.servers["other"].isAside(Priorities - 1))
		})
	}
}

// Guards against an urgent task that needs most of a server and never gets it, as smaller tasks behind it take each gap.
func TestWaitingUrgentTaskReservesItsServer(t *testing.T) {
	for name, fea := range map[string]Features{"on": {Headroom: true}, "off": {}} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s1", 2*size))
			har.ldr.cfg.Features = fea
			har.send(0, "a.0", 200*time.Millisecond)
			har.send(2, "b.0", time.Second)
			har.goOn(100 * time.Millisecond)
			large := har.order(0, "large.0")
			large.Processor = size + 1
			har.record(har.ldr.HandleOrder(har.now, large))
			har.send(2, "c.0", 2*time.Second)
			har.send(2, "d.0", 20*time.Millisecond)
			har.acts = nil
			har.endRun("a.0")
			_, long := har.starts()["c.0"]
			_, short := har.starts()["d.0"]
			chk.Equal(long, !fea.Headroom)
			chk.Equal(short, fea.Headroom) // It ends before the other run does.
			chk.Equal(har.ldr.ReservedServers() == 1, fea.Headroom)
		})
	}
}

// Guards against changes where all tasks have one priority.
func TestNoHeadroomWithOnePriority(t *testing.T) {
	for pri := range Priorities {
		chk := is.New(t)
		har := newHarness(t, serverEntry("s1", 2*size), serverEntry("s2", 2*size))
		har.ldr.cfg.Features = Features{Headroom: true}
		for num := range 12 {
			har.send(pri, fmt.Sprintf("j%d.0", num), time.Second)
		}
		har.goOn(500 * time.Millisecond)
		chk.Equal(har.ldr.ProcessorSetAside(), int64(0))
		chk.Equal(har.ldr.ReservedServers(), 0)
		chk.Equal(har.featureChanges(Headroom, true), 0)
	}
}

// Guards against servers of one service that are opened again as those of the next one are looked at.
func TestHeadroomOfSeveralServices(t *testing.T) {
	chk := is.New(t)
	har := busyHarness(t, Features{Headroom: true})
	aside := har.ldr.ProcessorSetAside()
	ents := []ServerEntry{serverEntry("s5", 2*size)}
	ents[0].Service = "zoom"
	for _, srv := range har.ldr.serverList {
		ents = append(ents, srv.ent)
	}
	har.record(har.ldr.SetServers(har.now, Listing{Listed: ents, Shards: 1}))
	har.goOn(100 * time.Millisecond)
	chk.True(aside > 0)
	chk.Equal(har.ldr.ProcessorSetAside(), aside)
}

// Guards against a task that never starts as the only servers that can run it are set aside, and against other tasks on those.
func TestTaskThatOnlyServersSetAsideCanRun(t *testing.T) {
	cases := map[string]struct {
		processor int64
		label     string
		want      bool
	}{
		"others could run it":         {size, "", false},
		"it is too large for others":  {2*size + 1, "", true},
		"it needs a label of it":      {size, "large", true},
		"no server can ever run this": {4 * size, "", true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			large := serverEntry("s1", 3*size)
			large.Labels = []string{"large"}
			har := newHarness(t, large, serverEntry("s2", 2*size))
			har.ldr.serverList[0].openTo = 1
			ord := &order{Order: har.order(2, "j.0")}
			ord.Processor, ord.Label = cas.processor, cas.label
			is.New(t).Equal(har.ldr.mayUse(har.ldr.serverList[0], ord), cas.want)
		})
	}
}

// Guards against idle servers that are reserved for a task which waits for a faster one, and against reservations that outlive their orders.
func TestServersWithRoomAreNotReserved(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", 2*size), serverEntry("s2", 2*size))
	har.ldr.cfg.Features = Features{Headroom: true}
	har.send(0, "a.0", time.Second)
	har.send(2, "b.0", 2*time.Second)
	har.goOn(100 * time.Millisecond)
	waiting := &order{Order: har.order(0, "u.0")}
	har.ldr.reserve(har.now, waiting)
	_, idle := har.ldr.reserved["s2"]
	chk.Equal(har.ldr.ReservedServers(), 1)
	chk.True(!idle) // Both runs are on the other server.
	har.advance(10 * time.Millisecond)
	chk.Equal(har.ldr.ReservedServers(), 0) // No order waits.
}

// Guards against a server that is reserved, or a run that is stopped, by run times of an average server where servers differ in speed.
func TestExpectedTimeOfASlowServer(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", size), serverEntry("s2", size))
	har.ldr.cfg.Features = AllFeatures()
	har.ldr.speeds.used = true
	slow := har.ldr.servers["s2"]
	slow.spd.level = learn.KnownLevel(math.Log(2))
	ord := &order{Order: Order{Step: "j", ExpectedRunTime: time.Second}}
	chk.Equal(har.ldr.expectedTime(nil, ord).Round(time.Millisecond), time.Second)
	chk.Equal(har.ldr.expectedTime(slow, ord).Round(time.Millisecond), 2*time.Second)
	rn := &run{ord: ord, sentAt: har.now}
	ord.srv = slow
	chk.Equal(har.ldr.remainingTime(har.now, rn).Round(time.Millisecond), 2*time.Second)
}
