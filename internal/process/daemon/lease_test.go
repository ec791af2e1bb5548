package daemon

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform/standin"
)

// Guards against a task that runs twice at once: a server starts again under its ID, and before its leader knows, a start with a lease for the
// former clock reaches it. The lease is cut to the longest one, which outlasts those that the leader waits for once the server is cut off.
func TestRunInAnUnseenIncarnation(t *testing.T) {
	loseStarts := func(num int) func(srv *standin.Server) {
		return func(srv *standin.Server) { srv.LoseAnswers(num, 0) }
	}
	loseStops := func(srv *standin.Server) { srv.LoseStops(math.MaxInt) }
	cases := map[string]struct {
		lose func(srv *standin.Server)
		// cutAfter is the time from the start until the server is cut off.
		cutAfter time.Duration
	}{
		"no answer to the start":                       {lose: loseStarts(1), cutAfter: time.Millisecond},
		"no answer to the start and a late cut":        {lose: loseStarts(1), cutAfter: 30 * time.Millisecond},
		"no answer to the start and its repetition":    {lose: loseStarts(2), cutAfter: 70 * time.Millisecond},
		"no answer to the stop":                        {lose: loseStops, cutAfter: time.Millisecond},
		"no answer to the stop and its repetition":     {lose: loseStops, cutAfter: 70 * time.Millisecond},
		"no answer to the stop and lease not extended": {lose: loseStops, cutAfter: 150 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				time.Sleep(maxUnlisted)
				// The owner's failure domain is full when the job comes, and free when it comes back.
				sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 500}})
				time.Sleep(20 * time.Millisecond)
				srv := sys.servers["server-1-1"]
				srv.Restart()
				cse.lose(srv)
				snt := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 1500}})
				time.Sleep(cse.cutAfter)
				chk.Equal(sys.ldg.Starts(jobID(2)+".0.0.0"), 1)
				sys.net.Separate(sys.instances["entry-1-1"].host, "server-1-1")
				sys.net.Separate(sys.instances["entry-2-1"].host, "server-1-1")
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
				chk.Equal(sys.ldg.Starts(jobID(2)+".0.0.0"), 2)
			})
		})
	}
}

// Guards against the same when the leader does not notice that an answer is of a new incarnation: it last read the clock of the former one soon after
// that had started, so that the clock in the answer is ahead of the reading, though behind what it should show by now. What the answer to one start says of
// the clock must not make the next one look as if the known incarnation had carried it out.
func TestRunInASecondUnseenIncarnation(t *testing.T) {
	const ahead = 20 * time.Millisecond
	for _, listed := range []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint("first restart listed after ", listed), func(t *testing.T) {
			inTestSystem(t, 2, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				time.Sleep(maxUnlisted)
				srv := sys.servers["server-1-1"]
				srv.Restart()
				began := time.Now()
				time.Sleep(listed)
				sys.listServer("server-1-1", "domain-1", "ready")
				for !strings.Contains(sys.logText(), "the server answers as a new incarnation") {
					time.Sleep(time.Millisecond)
				}
				read := time.Since(began)
				sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: int((read + ahead).Milliseconds()) + 500}})
				time.Sleep(20 * time.Millisecond)
				srv.Restart()
				time.Sleep(read + ahead)
				sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(3), tasks: 1, payload: payload{Millis: 1500}})
				time.Sleep(10 * time.Millisecond)
				snt := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 1500}})
				time.Sleep(time.Millisecond)
				chk.Equal(sys.ldg.Starts(jobID(2)+".0.0.0"), 1)
				sys.net.Separate(sys.instances["entry-1-1"].host, "server-1-1")
				sys.net.Separate(sys.instances["entry-2-1"].host, "server-1-1")
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
			})
		})
	}
}

// Guards against the same when the leader is gone before its leases are over: another instance takes the shard over, and does not reach the server.
func TestRunInAnUnseenIncarnationOutlivesItsLeader(t *testing.T) {
	cases := map[string]func(sys *system, leader string){
		"killed":        func(sys *system, leader string) { sys.kill(leader) },
		"without power": func(sys *system, leader string) { sys.powerOff(leader) },
		"told to stop":  func(sys *system, leader string) { sys.instances[leader].stop() },
		"suspended":     func(sys *system, leader string) { sys.instances[leader].addSuspension(5 * time.Second) },
	}
	for name, lose := range cases {
		for _, after := range []time.Duration{5 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %v", name, after), func(t *testing.T) {
				inTestSystem(t, 2, 2, 1, func(sys *system) {
					chk := is.NewRelaxed(t)
					time.Sleep(maxUnlisted)
					led, own := sys.leader("domain-1"), sys.leader("domain-2")
					sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 500}})
					time.Sleep(20 * time.Millisecond)
					srv := sys.servers["server-1-1"]
					srv.Restart()
					srv.LoseAnswers(1, 0)
					snt := sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 1500}})
					time.Sleep(time.Millisecond)
					chk.Equal(sys.ldg.Starts(jobID(2)+".0.0.0"), 1)
					for _, prc := range sys.instances {
						sys.net.Separate(prc.host, "server-1-1")
					}
					time.Sleep(after)
					lose(sys, led)
					<-snt.done
					chk.Equal(snt.status, http.StatusOK)
				})
			})
		}
	}
}

// Guards against a task that runs twice at once: a second leader stops a run that no order has come for, gets no answer, and extends its lease all the
// same. The first leader, which hears nothing of the second, is cut off from the server and counts its own leases there as over.
func TestOrphanIsNotKeptAlive(t *testing.T) {
	for after := 50 * time.Millisecond; after <= 450*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(fmt.Sprint("taken over after ", after), func(t *testing.T) {
			job := jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 2500}}
			inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
				chk := is.NewRelaxed(t)
				two.servers[two.busy[0]].LoseStops(math.MaxInt)
				two.cutBothWays(two.busy[0], two.first.host)
				time.Sleep(after)
				two.cutBothWays(two.second.host, two.first.host)
				two.cutBothWays(two.second.host, two.owner.host)
				two.cutBothWays(two.second.host, two.idle[0])
				two.takeOver()
				time.Sleep(1500*time.Millisecond - after)
				two.servers[two.busy[0]].LoseStops(0)
				two.mendBothWays(two.busy[0], two.first.host)
				two.mendBothWays(two.second.host, two.first.host)
				two.mendBothWays(two.second.host, two.owner.host)
				two.mendBothWays(two.second.host, two.idle[0])
				<-two.sent.done
				chk.Equal(two.sent.status, http.StatusOK)
			})
		})
	}
}

// Guards against a job that waits for as long as its server is out of reach: its start gets no answer, the leases are over and the order comes back to
// the same leader, which must not tie it to that start again while another server is free.
func TestUnansweredStartDoesNotHoldItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A task goes to the small server first, which leaves less free.
		sys := &system{serverSizes: []int64{serverProcessor, taskProcessor + 1000}}
		runTestSystemWith(t, sys, 1, 2, 2, func(sys *system) {
			chk := is.NewRelaxed(t)
			time.Sleep(maxUnlisted)
			for _, prc := range sys.instances {
				sys.net.Separate(prc.host, "server-1-2")
			}
			snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 1, payload: payload{Millis: 300}})
			<-snt.done
			chk.Equal(snt.status, http.StatusOK)
			t.Logf("answered after %v", snt.took)
			chk.True(snt.took < 2*time.Second) // The longest lease, twice the run time and a margin.
		})
		time.Sleep(20 * time.Second) // As in inTestSystem.
	})
}
