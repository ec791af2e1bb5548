package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// listReader returns the name of the instance that reads the list of servers for the others; empty if there is none.
func (sys *system) listReader() string {
	for name, prc := range sys.instances {
		prc.dmn.mu.Lock()
		first := prc.dmn.elector != nil && prc.dmn.readerRank() == 0
		prc.dmn.mu.Unlock()
		if first {
			return name
		}
	}
	return ""
}

// Guards against instances that don't learn within the platform's bound that a server is draining, because the instance that reads the list of servers
// for them is lost, or because the digests that it publishes are missing or invalid.
func TestReaderOfTheListIsLost(t *testing.T) {
	cases := map[string]func(sys *system, reader string){
		"nothing happens":                   func(*system, string) {},
		"it is killed":                      func(sys *system, reader string) { sys.kill(reader) },
		"it loses power":                    func(sys *system, reader string) { sys.powerOff(reader) },
		"it is cut off from the store":      func(sys *system, reader string) { sys.net.Separate(sys.instances[reader].host, storeHost) },
		"the list's history is compacted":   func(sys *system, _ string) { sys.sto.Compact(string(platform.ServersTopic)) },
		"the digests' history is compacted": func(sys *system, _ string) { sys.sto.Compact(string(platform.ServerDigestsTopic)) },
		"invalid digests are written":       func(sys *system, _ string) { sys.writeInvalidDigests() },
		"a digest beyond the list's end is written": func(sys *system, _ string) {
			sys.sto.Put(string(platform.ServerDigestsTopic), platform.ServerDigestsKey, map[string]any{"by": "x", "from": 0, "to": 1 << 19})
		},
	}
	for _, bound := range []time.Duration{usualBound, 5 * time.Second} {
		for name, fault := range cases {
			t.Run(fmt.Sprintf("%s, bound %v", name, bound), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runTestSystemWith(t, &system{bound: bound}, 2, 3, 3, func(sys *system) { sys.loseListReader(bound, fault) })
					time.Sleep(20 * time.Second) // As in inTestSystem.
				})
			})
		}
	}
}

// loseListReader checks that all instances that reach the store learn within a bound of a server that is draining, after a fault that concerns
// the reader of the list, and that afterwards one or two instances read it.
func (sys *system) loseListReader(bound time.Duration, fault func(sys *system, reader string)) {
	chk := is.NewRelaxed(sys.t)
	sys.sendHeartbeats(3 * time.Second)
	fault(sys, sys.listReader())
	sys.sendHeartbeats(100 * time.Millisecond)
	sys.listServer("server-1-1", "domain-1", "draining")
	sys.sendHeartbeatsExcept("server-1-1", bound)
	for _, prc := range sys.runningProcesses() {
		prc.dmn.mu.Lock()
		ent := prc.dmn.entries["server-1-1"]
		prc.dmn.mu.Unlock()
		chk.True(ent.Leaving || !sys.reachesStore(prc))
	}
	sys.net.Heal()
	sys.sendHeartbeatsExcept("server-1-1", 4*time.Second)
	before := sys.listReadCount()
	sys.sendHeartbeatsExcept("server-1-1", 4*time.Second)
	chk.True(sys.listReadCount()-before <= 2*10) // One or two instances read the list each 0.4 s at the most, for 4 s.
	job := jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 100}}
	chk.Equal(sys.send(sys.ctx, sys.runningProcesses()[0].name, job), http.StatusOK)
}

// writeInvalidDigests publishes digests that are unreadable or whose offsets are impossible.
func (sys *system) writeInvalidDigests() {
	for _, val := range []any{"x", map[string]any{"by": "", "from": 9, "to": 3}, map[string]any{"by": "x", "from": -4, "to": 1 << 60}} {
		sys.sto.Put(string(platform.ServerDigestsTopic), platform.ServerDigestsKey, val)
	}
}

// runningProcesses returns the instances, by name, that were neither stopped nor killed and have not lost power.
func (sys *system) runningProcesses() []*process {
	var prcs []*process
	for _, name := range sys.instanceNames() {
		if prc := sys.instances[name]; prc.running() {
			prcs = append(prcs, prc)
		}
	}
	return prcs
}

// reachesStore reports whether an instance can connect to the store.
func (sys *system) reachesStore(prc *process) bool {
	ctx, cancel := context.WithTimeout(sys.ctx, 100*time.Millisecond)
	defer cancel()
	con, err := sys.net.Dialer(prc.host)(ctx, "tcp", storeHost+":1")
	if err == nil {
		_ = con.Close() // Nothing was written.
	}
	return err == nil
}

// listReadCount returns how often the current processes have read the list of servers.
func (sys *system) listReadCount() int64 {
	var num int64
	for _, prc := range sys.instances {
		num += prc.dmn.cnt.listReads.Load()
	}
	return num
}

// Guards against instances that learn late that a leader has lost power: of the twelve instances of a failure domain only two watch it, and
// the others learn of the loss from them.
func TestLeaderOfALargeDomainLosesPower(t *testing.T) {
	inTestSystem(t, 2, 12, 24, func(sys *system) {
		chk := is.NewRelaxed(t)
		time.Sleep(time.Second)
		led := sys.leader("domain-1")
		chk.True(led != "")
		sys.powerOff(led)
		time.Sleep(900 * time.Millisecond)
		for _, prc := range sys.runningProcesses() {
			if prc.domain != "domain-1" {
				continue
			}
			prc.dmn.mu.Lock()
			chk.True(!prc.dmn.elector.HasLeaderlessShard("domain-1"))
			for id := range prc.dmn.elector.Peers() {
				chk.True(id != sys.instances[led].dmn.self)
			}
			prc.dmn.mu.Unlock()
		}
		began := time.Now()
		for num := range 12 {
			job := jobSpec{id: jobID(num), tasks: 6, payload: payload{Millis: 100}}
			chk.Equal(sys.send(sys.ctx, fmt.Sprintf("entry-2-%d", num+1), job), http.StatusOK)
		}
		chk.True(time.Since(began) < 12*200*time.Millisecond)
	})
}

// Guards against a configuration that doesn't reach instances that are cut off from the store within two seconds, though they are many or a
// whole failure domain, and though most instances of a large system exchange messages seldom.
func TestConfigurationReachesInstancesCutOffFromStore(t *testing.T) {
	cases := map[string]func(num int, prc *process) bool{
		"a third of all":         func(num int, _ *process) bool { return num%3 == 0 },
		"a whole failure domain": func(_ int, prc *process) bool { return prc.domain == "domain-2" },
	}
	for name, away := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 3, 12, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				time.Sleep(2 * time.Second)
				for num, prc := range sys.runningProcesses() {
					if away(num, prc) {
						sys.net.Separate(prc.host, storeHost)
					}
				}
				sys.publishRoutes("/thumb/", "/new/")
				time.Sleep(2 * time.Second)
				for at := range sys.instances {
					chk.Equal(sys.queryRoute(at, "/new/"), http.StatusOK)
				}
			})
		})
	}
}

// Guards against an instance that starts, gets a large configuration from each of the others while it reads it from the store, and loses
// them all as its link is full.
func TestStartingInstanceGetsTheConfigurationOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runTestSystemWith(t, &system{linkBytes: 3_000_000}, 2, 10, 2, func(sys *system) {
			chk := is.NewRelaxed(t)
			var prefixes []string
			for num := range 4000 {
				prefixes = append(prefixes, fmt.Sprintf("/route-%d/", num))
			}
			sys.publishRoutes(append(prefixes, "/thumb/")...)
			time.Sleep(5 * time.Second)
			sent := func() (num int64) {
				for _, prc := range sys.instances {
					num += prc.dmn.cnt.configsSent.Load()
				}
				return num
			}
			before, logged := sent(), len(sys.logText())
			sys.kill("entry-1-1")
			time.Sleep(time.Second)
			sys.net.Narrow(storeHost, 2_000_000)
			sys.startInstance("entry-1-1", domainName(0))
			time.Sleep(4 * time.Second)
			chk.Equal(sys.queryRoute("entry-1-1", "/thumb/"), http.StatusOK)
			chk.True(sent()-before <= 1)
			for _, lin := range strings.Split(sys.logText()[logged:], "\n") {
				chk.True(!strings.Contains(lin, `"instance":"entry-1-1"`) || !strings.Contains(lin, "instance lost"))
			}
		})
		time.Sleep(20 * time.Second)
	})
}

// Guards against leaders and other instances that go on with the former size, labels, service, failure domain or incarnation of a server:
// its entry has changed, and the change is taken for a heartbeat.
func TestChangedEntryIsAChange(t *testing.T) {
	const entry = `"Address":"10.0.0.1:80","State":"ready","Capacity":{"Cpu":%s,"MemMb":64},"Zone":%q,"Labels":[%q],"Service":%q,"SeqNo":%d,"born":%d}`
	record := func(cpu, domain, label, service string, number, born int) platform.Record {
		return platform.Record{Key: "s", Value: fmt.Appendf(nil, "{"+entry, cpu, domain, label, service, number, born)}
	}
	first := record("32000", "domain-1", "a", "render", 1, 1000)
	cases := map[string]struct {
		next   platform.Record
		change bool
	}{
		"a heartbeat":         {next: record("32000", "domain-1", "a", "render", 2, 1000)},
		"size":                {next: record("16000", "domain-1", "a", "render", 2, 1000), change: true},
		"failure domain":      {next: record("32000", "domain-2", "a", "render", 2, 1000), change: true},
		"label":               {next: record("32000", "domain-1", "b", "render", 2, 1000), change: true},
		"service":             {next: record("32000", "domain-1", "a", "other", 2, 1000), change: true},
		"incarnation":         {next: record("32000", "domain-1", "a", "render", 1, 2000), change: true},
		"former incarnation":  {next: record("16000", "domain-1", "a", "render", 1, 500)},
		"entry is unreadable": {next: platform.Record{Key: "s", Value: []byte("{")}, change: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				dmn := sys.instances["entry-1-1"].dmn
				dmn.mu.Lock()
				defer dmn.mu.Unlock()
				chk.True(dmn.applyServerRecord(dmn.now(), first))
				chk.Equal(dmn.applyServerRecord(dmn.now(), cse.next), cse.change)
			})
		})
	}
}

// Guards against calls to the store that each instance makes more often than the platform's bounds ask for: they add up over all instances.
func TestStoreCallsFollowTheBounds(t *testing.T) {
	sizes := []int{10, 20}
	if *measure {
		sizes = []int{30, 100, 300}
	}
	calls := func(instances int, bound time.Duration) float64 {
		var got float64
		synctest.Test(t, func(t *testing.T) {
			runTestSystemWith(t, &system{bound: bound}, 5, instances/5, 2*instances/5, func(sys *system) {
				const length = 8 * time.Second
				sys.sendHeartbeats(4 * time.Second)
				before := sys.storeCalls()
				sys.sendHeartbeats(length)
				got = float64(sys.storeCalls()-before) / float64(instances) / length.Seconds()
			})
			time.Sleep(20 * time.Second) // As in inTestSystem.
		})
		t.Logf("%d instances, bound %v: %.2f calls to the store an instance and second", instances, bound, got)
		return got
	}
	chk := is.NewRelaxed(t)
	first := calls(sizes[0], usualBound)
	for _, num := range sizes[1:] {
		chk.True(calls(num, usualBound) <= 1.1*first)
		chk.True(calls(num, 5*time.Second) <= 0.5*first)
	}
}

// storeCalls returns how many calls to the store the instances have made.
func (sys *system) storeCalls() int64 {
	num := int64(0)
	for _, prc := range sys.instances {
		num += prc.dmn.cnt.storeReads.Load() + prc.dmn.cnt.digests.Load()
	}
	return num
}

// Guards against all instances reading the whole list at once when its history is gone: the bytes grow with the instances times the servers, and
// the store's bandwidth is shared by all. One instance's digest brings the others what has changed.
func TestCompactedListIsReadByOne(t *testing.T) {
	sizes := []int{20}
	if *measure {
		sizes = []int{30, 100, 300}
	}
	for _, num := range sizes {
		t.Run(fmt.Sprint(num), func(t *testing.T) {
			inTestSystem(t, 5, num/5, 2*num/5, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.sendHeartbeats(6 * time.Second)
				before := strings.Count(sys.logText(), `"message":"backend servers read"`)
				sys.sto.Unlist(sys.servers["server-1-1"])
				sys.listServer("server-2-1", "domain-2", "draining")
				sys.sto.Compact(string(platform.ServersTopic))
				sys.sendHeartbeatsExcept("server-1-1", 3*time.Second)
				after := strings.Count(sys.logText(), `"message":"backend servers read"`)
				t.Logf("%d of %d instances have read the whole list", after-before, num)
				chk.True(after-before <= 2)
				for _, prc := range sys.runningProcesses() {
					prc.dmn.mu.Lock()
					_, listed := prc.dmn.entries["server-1-1"]
					chk.True(!listed)
					prc.dmn.mu.Unlock()
				}
			})
		})
	}
}
