package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// twoLeaders is a system in which a second instance takes a shard over while its leader lives. The owner of the tasks is in another failure
// domain, whose servers are full, so that the tasks run in the shard: on its large server, as the small one had a task when they started.
// Tasks that start anew in the shard go to the small server first, which leaves less free.
type twoLeaders struct {
	*system
	t *testing.T
	// first leads the shard, second takes it over; owner has sent the tasks.
	first, second, owner *process
	// busy are the servers of the shard that run the tasks, idle its other ones.
	busy, idle []string
	sent       *sentJob
}

const twoLeadersShard = shard.Name("domain-1.0")

// inTwoLeaders runs body in virtual time in a system in which the tasks of a job run. The owner's failure domain is full for a time.
func inTwoLeaders(t *testing.T, full time.Duration, job jobSpec, body func(two *twoLeaders)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sys := &system{serverSizes: []int64{serverProcessor, taskProcessor + 1000}}
		runTestSystemWith(t, sys, 2, 2, 2, func(sys *system) { body(startTwoLeaders(t, sys, full, job)) })
		time.Sleep(20 * time.Second) // As in inTestSystem.
	})
}

// startTwoLeaders fills the owner's failure domain for a time, has the owner submit a job, and returns when its tasks run.
func startTwoLeaders(t *testing.T, sys *system, full time.Duration, job jobSpec) *twoLeaders {
	t.Helper()
	time.Sleep(maxUnlisted) // Until then no list counts as complete, and no leader reports that a task runs nowhere.
	led := sys.leader("domain-1")
	oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
	own := sys.leader("domain-2") // It knows at once what is free in its own failure domain.
	two := &twoLeaders{system: sys, t: t, first: sys.instances[led], second: sys.instances[oth], owner: sys.instances[own]}
	sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: int(full.Milliseconds())}})
	time.Sleep(20 * time.Millisecond)
	sys.sendAsync(sys.ctx, own, jobSpec{id: jobID(3), tasks: 1, payload: payload{Millis: 100}})
	time.Sleep(20 * time.Millisecond)
	two.sent = sys.sendAsync(sys.ctx, own, job)
	time.Sleep(20 * time.Millisecond)
	for line := range strings.Lines(sys.logText()) {
		if !strings.Contains(line, `"message":"start"`) || !strings.Contains(line, job.id) {
			continue
		}
		for num := 1; num <= 2; num++ {
			if id := fmt.Sprint("server-1-", num); strings.Contains(line, id) && !slices.Contains(two.busy, id) {
				two.busy = append(two.busy, id)
			}
		}
	}
	for num := 1; num <= 2; num++ {
		if id := fmt.Sprint("server-1-", num); !slices.Contains(two.busy, id) {
			two.idle = append(two.idle, id)
		}
	}
	return two
}

// takeOver has the second instance take the shard over.
func (two *twoLeaders) takeOver() {
	dmn := two.second.dmn
	now := dmn.beginEvent()
	dmn.takeOver(now, twoLeadersShard)
	dmn.endEvent(now)
}

// cutBothWays holds up all that two hosts send to each other.
func (two *twoLeaders) cutBothWays(one, oth string) {
	two.net.CutWay(one, oth)
	two.net.CutWay(oth, one)
}

// mendBothWays ends what cutBothWays began.
func (two *twoLeaders) mendBothWays(one, oth string) {
	two.net.MendWay(one, oth)
	two.net.MendWay(oth, one)
}

// finishWithCapacity adds free capacity for all that waits in the owner's failure domain, ends all cuts a second later, and returns the status of
// the job.
func (two *twoLeaders) finishWithCapacity() int {
	for num := 3; num <= 8; num++ {
		two.startServer(fmt.Sprint("server-2-", num), "domain-2")
	}
	two.owner.dmn.requestListRead()
	time.Sleep(time.Second)
	two.mendBothWays(two.second.host, two.first.host)
	two.mendBothWays(two.second.host, storeHost)
	two.net.MendWay(two.owner.host, two.first.host)
	<-two.sent.done
	return two.sent.status
}

// TestStoppedRunStartsElsewhere guards against tasks that run twice at once: the second leader stops runs that no order has come for, and the
// first, which sees their ends, starts them on a server that the second has not reached. The second must not take an end that it sees for
// proof that the task runs nowhere when the owner's order comes at last.
func TestStoppedRunStartsElsewhere(t *testing.T) {
	// The first leader has a renewal in progress that was sent before the takeover, which waits until the runs end.
	for _, phase := range []time.Duration{0, 190 * time.Millisecond} {
		for late := 5 * time.Millisecond; late <= 25*time.Millisecond; late += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("taken over after %v, owner hears it %v after the stop", phase, late), func(t *testing.T) {
				job := jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 1500}}
				inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
					chk := is.NewRelaxed(t)
					chk.Equal(len(two.idle), 1)
					time.Sleep(phase)
					two.cutBothWays(two.second.host, two.first.host)
					two.cutBothWays(two.second.host, two.idle[0])
					two.net.CutWay(two.second.host, two.owner.host)
					two.net.CutWay(two.owner.host, two.first.host)
					two.takeOver()
					time.Sleep(shard.DefaultConfig().AdoptWait + late)
					two.net.MendWay(two.second.host, two.owner.host)
					time.Sleep(time.Second)
					two.mendBothWays(two.second.host, two.first.host)
					two.mendBothWays(two.second.host, two.idle[0])
					two.net.MendWay(two.owner.host, two.first.host)
					<-two.sent.done
					chk.Equal(two.sent.status, http.StatusOK)
				})
			})
		}
	}
}

// TestLeaseThatAnotherLeaderRenews guards against tasks that run twice at once: the first leader loses contact with a server, counts the leases
// there as expired and starts the tasks on another one, while the second leader has taken the server over and renews the leases.
func TestLeaseThatAnotherLeaderRenews(t *testing.T) {
	for after := 400 * time.Millisecond; after <= 800*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(fmt.Sprint("taken over after ", after), func(t *testing.T) {
			job := jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 1500}}
			inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
				chk := is.NewRelaxed(t)
				two.net.CutWay(two.busy[0], two.first.host)
				time.Sleep(after)
				two.cutBothWays(two.second.host, two.first.host)
				two.cutBothWays(two.second.host, two.idle[0])
				two.net.CutWay(two.owner.host, two.first.host)
				two.takeOver()
				time.Sleep(time.Second)
				two.net.MendWay(two.busy[0], two.first.host)
				two.mendBothWays(two.second.host, two.first.host)
				two.mendBothWays(two.second.host, two.idle[0])
				two.net.MendWay(two.owner.host, two.first.host)
				<-two.sent.done
				chk.Equal(two.sent.status, http.StatusOK)
			})
		})
	}
}

// TestServerIsAddedDuringATakeover guards against tasks that run twice at once: a server is added just after the second leader has read the list
// and lost contact with the store. The first leader, which has not heard of the second, starts waiting tasks there, and the second reports
// that they run nowhere.
func TestServerIsAddedDuringATakeover(t *testing.T) {
	for _, cse := range []struct {
		added, heard time.Duration
		// withdrawn is set if the owner reaches the first leader, which then stops what it has started.
		withdrawn bool
	}{
		{added: 10 * time.Millisecond},
		{added: 10 * time.Millisecond, heard: 40 * time.Millisecond},
		{added: 40 * time.Millisecond},
		{added: 40 * time.Millisecond, heard: 80 * time.Millisecond},
		{added: 80 * time.Millisecond, heard: 110 * time.Millisecond},
		{added: 10 * time.Millisecond, heard: 40 * time.Millisecond, withdrawn: true},
	} {
		t.Run(fmt.Sprintf("added after %v, owner hears the second leader after %v, withdrawn %t", cse.added, cse.heard, cse.withdrawn), func(t *testing.T) {
			// Three tasks run, the others wait.
			job := jobSpec{id: jobID(2), tasks: 12, payload: payload{Millis: 1500}}
			inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
				chk := is.NewRelaxed(t)
				time.Sleep(110 * time.Millisecond) // The small server is full, too.
				two.cutBothWays(two.second.host, two.first.host)
				if !cse.withdrawn {
					two.net.CutWay(two.owner.host, two.first.host)
				}
				if cse.heard > 0 {
					two.net.CutWay(two.second.host, two.owner.host)
				}
				two.takeOver()
				if cse.heard > 0 {
					two.grp.Go(func() error {
						time.Sleep(cse.heard)
						two.net.MendWay(two.second.host, two.owner.host)
						return nil
					})
				}
				// Virtual time stands still while the second leader reads the list, so it reads it once more.
				time.Sleep(time.Millisecond)
				two.second.dmn.requestListRead()
				time.Sleep(time.Millisecond)
				two.cutBothWays(two.second.host, storeHost)
				time.Sleep(cse.added)
				two.startServer("server-1-3", "domain-1")
				two.first.dmn.requestListRead()
				time.Sleep(max(cse.heard-cse.added, 5*time.Millisecond))
				chk.Equal(two.finishWithCapacity(), http.StatusOK)
			})
		})
	}
}

// TestServerIsAddedBeforeTheOthersFollow guards against tasks that run twice at once: a server is added after the second leader has read the
// list, and the others answer the first leader once more before the second reaches them. So the first starts waiting tasks on the added
// server, which the second must not leave out of its proof.
func TestServerIsAddedBeforeTheOthersFollow(t *testing.T) {
	for reached := 20 * time.Millisecond; reached <= 80*time.Millisecond; reached += 20 * time.Millisecond {
		t.Run(fmt.Sprint("reached after ", reached), func(t *testing.T) {
			job := jobSpec{id: jobID(2), tasks: 12, payload: payload{Millis: 1500}}
			inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
				chk := is.NewRelaxed(t)
				time.Sleep(110 * time.Millisecond) // The small server is full, too.
				servers := slices.Concat(two.busy, two.idle)
				two.cutBothWays(two.second.host, two.first.host)
				two.net.CutWay(two.owner.host, two.first.host)
				for _, id := range servers {
					two.cutBothWays(two.second.host, id)
				}
				two.takeOver()
				time.Sleep(time.Millisecond) // As above, virtual time stands still while the list is read.
				two.second.dmn.requestListRead()
				time.Sleep(time.Millisecond)
				two.cutBothWays(two.second.host, storeHost)
				two.startServer("server-1-3", "domain-1")
				two.first.dmn.requestListRead()
				time.Sleep(reached)
				for _, id := range servers {
					two.mendBothWays(two.second.host, id)
				}
				chk.Equal(two.finishWithCapacity(), http.StatusOK)
			})
		})
	}
}

// TestNewLeaderNeverSawAServer guards against tasks that run twice at once: the entry of a live server is gone when an instance starts, which
// then takes the shard over from a killed leader. The leader started tasks on that server just before and no report of that has reached
// the owner, so that the new leader must not report them as not run because all servers of its own list say so.
func TestNewLeaderNeverSawAServer(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 2700 * time.Millisecond} {
		t.Run(fmt.Sprintf("it started %v before", age), func(t *testing.T) {
			inTestSystem(t, 2, 1, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				time.Sleep(maxUnlisted) // The lists are complete.
				sys.sto.Unlist(sys.servers["server-1-1"])
				time.Sleep(500 * time.Millisecond)
				sys.startInstance("entry-1-2", "domain-1")
				time.Sleep(age)
				sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 300}})
				time.Sleep(20 * time.Millisecond)
				snt := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 900}})
				time.Sleep(10 * time.Millisecond)
				chk.Equal(sys.ldg.Running(), 8)
				sys.kill("entry-1-1")
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
			})
		})
	}
}
