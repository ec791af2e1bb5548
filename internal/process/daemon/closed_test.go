package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// closingDelay is how long it may take until each instance knows that a failure domain is closed.
const closingDelay = time.Second

// closeDomain closes a failure domain, as an operator does. After closingDelay the ledger notes each start there as a violation.
func (sys *system) closeDomain(domain string) {
	sys.sto.CloseDomain(domain)
	sys.ldg.Close(serversOf(domain), time.Now().Add(closingDelay))
}

// openDomain opens a closed failure domain again.
func (sys *system) openDomain(domain string) {
	sys.sto.OpenDomain(domain)
	sys.ldg.Open(serversOf(domain))
}

// serversOf returns the prefix of the names of a failure domain's servers.
func serversOf(domain string) string { return "server-" + strings.TrimPrefix(domain, "domain-") + "-" }

// sendLoad sends jobs at a regular interval for a while, to the running instances in turn, and returns the calls; the jobs are numbered from
// first on.
func (sys *system) sendLoad(first int, every, dur time.Duration) []*sentJob {
	var snts []*sentJob
	for num := first; dur > 0; dur -= every {
		prcs := sys.runningProcesses()
		snts = append(snts, sys.sendAsync(sys.ctx, prcs[num%len(prcs)].name, jobSpec{
			id: jobID(num), tasks: 2, payload: payload{Millis: 150}, callerTimeout: 3 * time.Second,
		}))
		num++
		time.Sleep(every)
	}
	return snts
}

// countStatuses waits for the calls to end and returns how many were answered with each status.
func countStatuses(snts []*sentJob) map[int]int {
	num := map[int]int{}
	for _, snt := range snts {
		<-snt.done
		num[snt.status]++
	}
	return num
}

// Guards against tasks that start in a closed failure domain, because an instance has not learned of the closing, has just taken a shard over,
// or has just started.
func TestClosedDomainGetsNoWork(t *testing.T) {
	cases := map[string]func(sys *system){
		"nothing happens":        func(*system) {},
		"its leader loses power": func(sys *system) { sys.powerOff(sys.leader("domain-2")) },
		"its leader stops":       func(sys *system) { sys.instances[sys.leader("domain-2")].stop() },
		"an instance starts":     func(sys *system) { sys.startInstance("entry-2-9", "domain-2") },
		"its instances all lose power and start again": func(sys *system) {
			for _, prc := range sys.runningProcesses() {
				if prc.domain == "domain-2" {
					sys.powerOff(prc.name)
				}
			}
			time.Sleep(500 * time.Millisecond)
			sys.startInstance("entry-2-1", "domain-2")
			sys.startInstance("entry-2-2", "domain-2")
		},
		"its leader is suspended": func(sys *system) {
			prc := sys.instances[sys.leader("domain-2")]
			sys.net.Separate(prc.host, storeHost)
			prc.addSuspension(2 * time.Second)
			time.Sleep(time.Second)
			sys.net.Heal()
		},
		"its instances are cut off from the store": func(sys *system) {
			for _, prc := range sys.runningProcesses() {
				if prc.domain == "domain-2" {
					sys.net.Separate(prc.host, storeHost)
				}
			}
		},
		"the store is down": func(sys *system) { sys.sto.SetDown(true) },
		"the history is compacted": func(sys *system) {
			sys.sto.Compact(string(platform.ConfigurationTopic))
			sys.publishRoutes("/thumb/", "/deck/")
		},
		"another writer writes invalid records": func(sys *system) {
			sys.sto.Put(string(platform.ConfigurationTopic), "evacuate/domain-2", "no")
			sys.sto.CloseDomain("")
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 3, 2, 3, func(sys *system) {
				chk := is.NewRelaxed(t)
				all := sys.sendLoad(0, 30*time.Millisecond, time.Second)
				sys.closeDomain("domain-2")
				all = append(all, sys.sendLoad(100, 30*time.Millisecond, 300*time.Millisecond)...)
				fault(sys)
				all = append(all, sys.sendLoad(200, 30*time.Millisecond, 4*time.Second)...)
				sys.sto.SetDown(false)
				sys.net.Heal()
				chk.True(countStatuses(all)[http.StatusOK] >= len(all)*9/10)
			})
		})
	}
}

// Guards against tasks that stay queued in a failure domain until their deadlines after it was closed.
func TestClosedDomainGivesWaitingWorkBack(t *testing.T) {
	inTestSystem(t, 2, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		long := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 800}})
		time.Sleep(50 * time.Millisecond)
		var snts []*sentJob
		for num := range 2 {
			snts = append(snts, sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(10 + num), tasks: 2, payload: payload{Millis: 400}}))
		}
		sys.closeDomain("domain-1")
		<-long.done
		chk.Equal(long.status, http.StatusOK) // Tasks that run there when it is closed finish.
		for _, snt := range snts {
			<-snt.done
			chk.Equal(snt.status, http.StatusOK)
			chk.True(snt.took < 1800*time.Millisecond) // Two rounds of 0.4 s after what runs.
		}
	})
}

// Guards against callers that wait until their deadlines while all failure domains are closed and no server may get a task.
func TestAllDomainsAreClosed(t *testing.T) {
	inTestSystem(t, 2, 2, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.closeDomain("domain-1")
		sys.closeDomain("domain-2")
		time.Sleep(200 * time.Millisecond)
		for num, name := range sys.instanceNames() {
			snt := sys.sendAsync(sys.ctx, name, jobSpec{id: jobID(num), tasks: 2, payload: payload{Millis: 100}})
			<-snt.done
			chk.Equal(snt.status, http.StatusServiceUnavailable)
			chk.True(snt.took < 20*time.Millisecond)
			chk.Equal(sys.ldg.JobStarts(jobID(num)), 0)
		}
		sys.openDomain("domain-2")
		time.Sleep(200 * time.Millisecond)
		for num, name := range sys.instanceNames() {
			chk.Equal(sys.send(sys.ctx, name, jobSpec{id: jobID(100 + num), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		}
	})
}

// Guards against callers that wait until their deadlines in a closed failure domain that is cut off: its instances reach no server that may be
// used.
func TestClosedDomainIsCutOff(t *testing.T) {
	inTestSystem(t, 3, 2, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.closeDomain("domain-1")
		time.Sleep(500 * time.Millisecond)
		sys.cut("domain-1")
		time.Sleep(3 * time.Second)
		snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}})
		<-snt.done
		chk.Equal(snt.status, http.StatusServiceUnavailable)
		chk.True(snt.took < 20*time.Millisecond)
		sys.net.Heal()
		time.Sleep(2 * time.Second)
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
	})
}

// Guards against a failure domain that gets no tasks after it was opened again, because its instances don't learn of the opening, or learn of
// it several times.
func TestDomainIsOpenedAgain(t *testing.T) {
	cases := map[string]func(sys *system){
		"by its record":                       func(sys *system) { sys.openDomain("domain-1") },
		"and closed and opened again at once": func(sys *system) { sys.openDomain("domain-1"); sys.closeDomain("domain-1"); sys.openDomain("domain-1") },
		"and the history is compacted": func(sys *system) {
			sys.openDomain("domain-1")
			sys.sto.Compact(string(platform.ConfigurationTopic))
		},
		"while the store is down": func(sys *system) {
			sys.sto.SetDown(true)
			sys.openDomain("domain-1")
			time.Sleep(2 * time.Second)
			sys.sto.SetDown(false)
		},
	}
	for name, open := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 1, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.closeDomain("domain-1")
				time.Sleep(1500 * time.Millisecond)
				open(sys)
				time.Sleep(1500 * time.Millisecond)
				// All eight tasks run at once only on the servers of both domains.
				began := time.Now()
				job := jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 300}}
				chk.Equal(sys.send(sys.ctx, "entry-2-1", job), http.StatusOK)
				chk.True(time.Since(began) < 500*time.Millisecond)
				chk.Equal(sys.ldg.JobStarts(jobID(1)), 8)
			})
		})
	}
}

// Guards against jobs that aren't served because thousands of records close failure domains that don't exist.
func TestManyClosingsOfUnknownDomains(t *testing.T) {
	inTestSystem(t, 2, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		for num := range 2000 {
			sys.sto.CloseDomain(fmt.Sprint("none-", num))
		}
		sys.closeDomain("domain-1")
		time.Sleep(time.Second)
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(sys.instances["entry-1-1"].dmn.cnt.badClosings.Load() > 0)
	})
}
