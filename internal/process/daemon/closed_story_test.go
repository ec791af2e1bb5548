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

// newsTime is how long the news that a failure domain is closed may take.
const newsTime = time.Second

// closeDomain closes a failure domain, as an operator does; a start there once the news is out breaks a promise.
func (wld *world) closeDomain(domain string) {
	wld.sto.CloseDomain(domain)
	wld.ldg.Close(serversOf(domain), time.Now().Add(newsTime))
}

func (wld *world) openDomain(domain string) {
	wld.sto.OpenDomain(domain)
	wld.ldg.Open(serversOf(domain))
}

// serversOf returns how the names of a failure domain's servers begin.
func serversOf(domain string) string { return "server-" + strings.TrimPrefix(domain, "domain-") + "-" }

// load sends a job to each instance in turn for a while, and returns the calls.
func (wld *world) load(first int, every, dur time.Duration) []*sent {
	var snts []*sent
	for num := first; dur > 0; dur -= every {
		prcs := wld.live()
		snts = append(snts, wld.sendAsync(wld.ctx, prcs[num%len(prcs)].name, jobSpec{
			id: jobID(num), tasks: 2, payload: payload{Millis: 150}, patience: 3 * time.Second,
		}))
		num++
		time.Sleep(every)
	}
	return snts
}

// count returns how many calls were answered with each status.
func count(snts []*sent) map[int]int {
	num := map[int]int{}
	for _, snt := range snts {
		<-snt.done
		num[snt.status]++
	}
	return num
}

// A closed failure domain gets tasks: from an instance that has not heard of it, that has just taken a shard over, or that has just started.
func TestClosedDomainGetsNoWork(t *testing.T) {
	cases := map[string]func(wld *world){
		"nothing happens":        func(*world) {},
		"its leader loses power": func(wld *world) { wld.powerOff(wld.leader("domain-2")) },
		"its leader stops":       func(wld *world) { wld.entries[wld.leader("domain-2")].stop() },
		"an instance starts":     func(wld *world) { wld.startEntry("entry-2-9", "domain-2") },
		"its instances all lose power and start again": func(wld *world) {
			for _, prc := range wld.live() {
				if prc.domain == "domain-2" {
					wld.powerOff(prc.name)
				}
			}
			time.Sleep(500 * time.Millisecond)
			wld.startEntry("entry-2-1", "domain-2")
			wld.startEntry("entry-2-2", "domain-2")
		},
		"its leader freezes and wakes": func(wld *world) {
			prc := wld.entries[wld.leader("domain-2")]
			wld.net.Separate(prc.host, storeHost)
			prc.freeze(2 * time.Second)
			time.Sleep(time.Second)
			wld.net.Heal()
		},
		"the store turns its instances away": func(wld *world) {
			for _, prc := range wld.live() {
				if prc.domain == "domain-2" {
					wld.net.Separate(prc.host, storeHost)
				}
			}
		},
		"the store is away": func(wld *world) { wld.sto.SetDown(true) },
		"the history is dropped": func(wld *world) {
			wld.sto.Compact(string(platform.ConfigurationTopic))
			wld.route("/thumb/", "/deck/")
		},
		"another writer writes nonsense": func(wld *world) {
			wld.sto.Put(string(platform.ConfigurationTopic), "evacuate/domain-2", "no")
			wld.sto.CloseDomain("")
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, 2, 3, func(wld *world) {
				chk := is.NewRelaxed(t)
				all := wld.load(0, 30*time.Millisecond, time.Second)
				wld.closeDomain("domain-2")
				all = append(all, wld.load(100, 30*time.Millisecond, 300*time.Millisecond)...)
				trouble(wld)
				all = append(all, wld.load(200, 30*time.Millisecond, 4*time.Second)...)
				wld.sto.SetDown(false)
				wld.net.Heal()
				chk.True(count(all)[http.StatusOK] >= len(all)*9/10)
			})
		})
	}
}

// What waits in the queues of a domain that is being closed stays there until its callers' deadlines.
func TestClosedDomainGivesWaitingWorkBack(t *testing.T) {
	inWorld(t, 2, 1, 1, func(wld *world) {
		chk := is.NewRelaxed(t)
		long := wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 800}})
		time.Sleep(50 * time.Millisecond)
		var snts []*sent
		for num := range 2 {
			snts = append(snts, wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(10 + num), tasks: 2, payload: payload{Millis: 400}}))
		}
		wld.closeDomain("domain-1")
		<-long.done
		chk.Equal(long.status, http.StatusOK) // What runs there finishes.
		for _, snt := range snts {
			<-snt.done
			chk.Equal(snt.status, http.StatusOK)
			chk.True(snt.took < 1800*time.Millisecond) // Two rounds of 0.4 s after what runs.
		}
	})
}

// With all failure domains closed, callers wait until their deadlines for servers that get nothing.
func TestAllDomainsAreClosed(t *testing.T) {
	inWorld(t, 2, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		wld.closeDomain("domain-1")
		wld.closeDomain("domain-2")
		time.Sleep(200 * time.Millisecond)
		for num, name := range wld.names() {
			snt := wld.sendAsync(wld.ctx, name, jobSpec{id: jobID(num), tasks: 2, payload: payload{Millis: 100}})
			<-snt.done
			chk.Equal(snt.status, http.StatusServiceUnavailable)
			chk.True(snt.took < 20*time.Millisecond)
			chk.Equal(wld.ldg.JobStarts(jobID(num)), 0)
		}
		wld.openDomain("domain-2")
		time.Sleep(200 * time.Millisecond)
		for num, name := range wld.names() {
			chk.Equal(wld.send(wld.ctx, name, jobSpec{id: jobID(100 + num), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		}
	})
}

// A closed domain that is cut off has instances and callers, and no server that may be used.
func TestClosedDomainIsCutOff(t *testing.T) {
	inWorld(t, 3, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		wld.closeDomain("domain-1")
		time.Sleep(500 * time.Millisecond)
		wld.cut("domain-1")
		time.Sleep(3 * time.Second)
		snt := wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}})
		<-snt.done
		chk.Equal(snt.status, http.StatusServiceUnavailable)
		chk.True(snt.took < 20*time.Millisecond)
		wld.net.Heal()
		time.Sleep(2 * time.Second)
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
	})
}

// A domain that was opened stays without work, with the news lost or read twice.
func TestDomainIsOpenedAgain(t *testing.T) {
	cases := map[string]func(wld *world){
		"by its record":                  func(wld *world) { wld.openDomain("domain-1") },
		"within the time that news take": func(wld *world) { wld.openDomain("domain-1"); wld.closeDomain("domain-1"); wld.openDomain("domain-1") },
		"and the history is dropped": func(wld *world) {
			wld.openDomain("domain-1")
			wld.sto.Compact(string(platform.ConfigurationTopic))
		},
		"while the store is away": func(wld *world) {
			wld.sto.SetDown(true)
			wld.openDomain("domain-1")
			time.Sleep(2 * time.Second)
			wld.sto.SetDown(false)
		},
	}
	for name, open := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, 1, 2, func(wld *world) {
				chk := is.NewRelaxed(t)
				wld.closeDomain("domain-1")
				time.Sleep(1500 * time.Millisecond)
				open(wld)
				time.Sleep(1500 * time.Millisecond)
				// All eight run at once only with the servers of both domains.
				began := time.Now()
				job := jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 300}}
				chk.Equal(wld.send(wld.ctx, "entry-2-1", job), http.StatusOK)
				chk.True(time.Since(began) < 500*time.Millisecond)
				chk.Equal(wld.ldg.JobStarts(jobID(1)), 8)
			})
		})
	}
}

// Thousands of records name failure domains that do not exist.
func TestManyClosingsOfUnknownDomains(t *testing.T) {
	inWorld(t, 2, 1, 1, func(wld *world) {
		chk := is.NewRelaxed(t)
		for num := range 2000 {
			wld.sto.CloseDomain(fmt.Sprint("none-", num))
		}
		wld.closeDomain("domain-1")
		time.Sleep(time.Second)
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(wld.entries["entry-1-1"].dmn.cnt.badClosings.Load() > 0)
	})
}
