package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
	"chestnutstack/platform/standin"
)

func TestTaskMakesNoProgress(t *testing.T) {
	// A server's tasks stand still while it answers well. The leader sees no progress, stops them and starts them
	// elsewhere while the caller still waits.
	inTestSystem(t, 1, 2, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		began := time.Now()
		job := jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: 200, Stalls: "server-1-1"}}
		chk.Equal(sys.send(sys.ctx, "entry-1-1", job), http.StatusOK)
		chk.True(time.Since(began) < 1500*time.Millisecond)
	})
}

func TestJobCannotBeDone(t *testing.T) {
	// A job whose tasks always fail is shown as failed after as many attempts as its route allows, and the servers
	// that it failed on go on serving others.
	inTestSystem(t, 1, 1, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		bad := jobSpec{id: jobID(1), tasks: 1, payload: payload{Millis: 50, Fails: true}}
		status, body := sys.call(sys.ctx, "entry-1-1", bad)
		chk.Equal(status, http.StatusOK)
		chk.True(strings.Contains(body, "failed"))
		chk.Equal(sys.ldg.Starts(jobID(1)+".0.0.0"), 3)
		began := time.Now()
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 50}}), http.StatusOK)
		chk.True(time.Since(began) < 100*time.Millisecond)
	})
}

func TestServerCrashes(t *testing.T) {
	// A server goes dark with tasks on it. Their leases lapse, and they start elsewhere.
	inTestSystem(t, 1, 2, 3, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 900}})
		time.Sleep(200 * time.Millisecond)
		sys.net.Isolate("server-1-1")
		sys.servers["server-1-1"].Close()
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	})
}

func TestServerLeaves(t *testing.T) {
	// The list says that a server is leaving. Within half a second nothing new starts there, and what runs ends.
	inTestSystem(t, 1, 1, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		sys.listServer("server-1-1", "domain-1", "draining")
		time.Sleep(500 * time.Millisecond)
		sys.net.Isolate("server-1-1") // A start there would hang.
		began := time.Now()
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(time.Since(began) < 200*time.Millisecond)
	})
}

func TestFrozenLeaderWakes(t *testing.T) {
	// The machine of a leader is suspended for five seconds and wakes. Its own clock has counted that time: it
	// gives its shards up before it sends an order, and its callers' jobs are done in the end.
	inTestSystem(t, 2, 2, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		snt := sys.sendAsync(sys.ctx, led, jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: 800}})
		time.Sleep(200 * time.Millisecond)
		sys.instances[led].addSuspension(5 * time.Second)
		<-snt.done
		chk.True(strings.Contains(sys.logText(), "the machine was suspended"))
		time.Sleep(time.Second)
		again := sys.send(sys.ctx, led, jobSpec{id: jobID(2), tasks: 3, payload: payload{Millis: 100}})
		chk.Equal(again, http.StatusOK)
	})
}

func TestConfigurationInForce(t *testing.T) {
	// Operators add and drop routes. Each version is in force everywhere within two seconds, also at an instance that
	// the store has turned away, and when the store has dropped its history; it never reverts.
	cases := map[string]func(sys *testSystem){
		"calm":            func(*testSystem) {},
		"history dropped": func(sys *testSystem) { sys.sto.Compact(string(platform.ConfigurationTopic)) },
		"one turned away": func(sys *testSystem) { sys.net.Separate(sys.instances["entry-1-1"].host, storeHost) },
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 2, 1, func(sys *testSystem) {
				chk := is.NewRelaxed(t)
				trouble(sys)
				sys.publishRoutes("/thumb/", "/new/")
				time.Sleep(2 * time.Second)
				for at := range sys.instances {
					chk.Equal(sys.queryQueue(at, "/new/"), http.StatusOK)
					chk.Equal(sys.queryQueue(at, "/deck/"), http.StatusNotFound)
					chk.Equal(sys.queryQueue(at, "/never/"), http.StatusNotFound)
				}
				sys.net.Heal()
				time.Sleep(3 * time.Second)
				chk.Equal(sys.queryQueue("entry-1-1", "/new/"), http.StatusOK)
			})
		})
	}
}

func TestStoreIsAway(t *testing.T) {
	// The store goes down. Jobs are served as before, a leader is replaced, and an instance that starts meanwhile
	// refuses truthfully until the store is back, also if the store then loses the answer to its first record.
	inTestSystem(t, 1, 3, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		sys.sto.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		led := sys.leader("domain-1")
		sys.powerOff(led)
		fresh := sys.startInstance("entry-1-4", "domain-1")
		time.Sleep(1500 * time.Millisecond)
		now := sys.leader("domain-1")
		chk.True(now != "" && now != led)
		chk.Equal(sys.send(sys.ctx, now, jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 100}}), http.StatusOK)
		chk.Equal(sys.send(sys.ctx, fresh.name, jobSpec{id: jobID(2), tasks: 1}), http.StatusServiceUnavailable)
		sys.sto.LoseAnswers(1)
		sys.sto.SetDown(false)
		time.Sleep(4 * time.Second)
		chk.Equal(sys.send(sys.ctx, fresh.name, jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 50}}), http.StatusOK)
	})
}

func TestConnectionsFallSilent(t *testing.T) {
	// Open connections between instances, to servers and to the store go silent for good while new ones work. Fresh
	// connections find out within the timeouts; jobs are late at most.
	inTestSystem(t, 2, 2, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 900}})
		time.Sleep(200 * time.Millisecond)
		for _, one := range sys.instances {
			sys.net.Forget(one.host, storeHost)
			for _, two := range sys.instances {
				sys.net.Forget(one.host, two.host)
			}
			for id := range sys.servers {
				sys.net.Forget(one.host, id)
			}
		}
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
		sys.publishRoutes("/thumb/", "/late/")
		time.Sleep(4 * time.Second)
		chk.Equal(sys.queryQueue("entry-2-2", "/late/"), http.StatusOK)
	})
}

func TestLastInstanceOfDomainGoes(t *testing.T) {
	// A failure domain has one instance, and it loses power. An instance of another domain leads its servers, until a
	// new instance of the domain has started and leads them again.
	inTestSystem(t, 2, 1, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		sys.powerOff("entry-2-1")
		time.Sleep(3 * time.Second)
		chk.Equal(sys.leader("domain-2"), "entry-1-1")
		began := time.Now()
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 500}}), http.StatusOK)
		chk.True(time.Since(began) < 600*time.Millisecond)
		sys.startInstance("entry-2-2", "domain-2")
		time.Sleep(3 * time.Second)
		chk.Equal(sys.leader("domain-2"), "entry-2-2")
		chk.Equal(sys.send(sys.ctx, "entry-2-2", jobSpec{id: jobID(2), tasks: 8, payload: payload{Millis: 100}}), http.StatusOK)
	})
}

func TestSameJobAtTwoInstances(t *testing.T) {
	// A caller that lost its connection unnoticed sends its job again to another instance while the first still
	// works on it. A leader that has the task of both stops the first run before it starts the second.
	inTestSystem(t, 1, 2, 4, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		job := jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 600}}
		sys.sendAsync(sys.ctx, "entry-1-1", job)
		time.Sleep(100 * time.Millisecond)
		chk.Equal(sys.send(sys.ctx, "entry-1-2", job), http.StatusOK)
	})
}

func TestAllLosePower(t *testing.T) {
	// All instances lose their power and start again. Requests that reach them before the shards have leaders wait
	// for that instead of being refused. Nothing runs anywhere, so that nobody has to be waited for: tasks of 100 ms are
	// done 0.24 to 0.34 s after the processes are up. That was 0.40 s while each take-over waited for orders.
	inTestSystem(t, 2, 2, 2, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		for _, name := range sys.instanceNames() {
			sys.powerOff(name)
		}
		time.Sleep(time.Second)
		var all []*sentJob
		for num, name := range sys.instanceNames() {
			sys.startInstance(name, sys.instances[name].domain)
			job := jobSpec{id: jobID(num), tasks: 2, payload: payload{Millis: 100}}
			all = append(all, sys.sendAsync(sys.ctx, name, job))
		}
		began := time.Now()
		for _, snt := range all {
			<-snt.done
			chk.Equal(snt.status, http.StatusOK)
		}
		t.Logf("all are done after %s", time.Since(began))
		chk.True(time.Since(began) < 380*time.Millisecond)
	})
}

func TestSlowServers(t *testing.T) {
	// A sixth of the servers takes six times as long for whatever it runs, and answers well. Most jobs of eight tasks have
	// one there and are late, until the servers are found out by the other tasks of the same jobs. When they are fast
	// again they serve again.
	inTestSystem(t, 1, 1, 12, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		slow := func(times int) {
			for _, id := range []string{"server-1-1", "server-1-11"} {
				sys.servers[id].SetTrouble(standin.Trouble{Slower: times})
			}
		}
		first := 0
		// play sends 15 jobs a second of 60 or 300 ms and returns the share that was done in time.
		play := func(dur time.Duration) float64 {
			var done []*sentJob
			var limits []time.Duration
			for began := time.Now(); time.Since(began) < dur; time.Sleep(66 * time.Millisecond) {
				first++
				job := jobSpec{id: jobID(first), tasks: 8, payload: payload{Millis: 60}}
				if first%5 == 0 {
					job.tasks, job.Millis = 2, 300
				}
				done = append(done, sys.sendAsync(sys.ctx, "entry-1-1", job))
				limits = append(limits, 2*time.Duration(job.Millis)*time.Millisecond+30*time.Millisecond)
			}
			inTime := 0
			for idx, snt := range done {
				<-snt.done
				if snt.status == http.StatusOK && snt.took <= limits[idx] {
					inTime++
				}
			}
			return float64(inTime) / float64(len(done))
		}
		chk.Equal(play(time.Second), 1.0)
		slow(6)
		before := play(time.Second)
		after := play(5 * time.Second)
		slow(1)
		play(5 * time.Second)
		again := play(2 * time.Second)
		t.Logf("in time: %.2f in the first second, %.2f later, %.2f when they are fast again", before, after, again)
		chk.True(after >= 0.93)
		chk.Equal(again, 1.0)
		chk.True(strings.Contains(sys.logText(), "server is slow"))
	})
}

func TestEntriesOfAnotherWriter(t *testing.T) {
	// Records of another writer stand in the list: bytes that can't be read, a state and a service that nobody knows. Nobody
	// is called for them, and the other servers go on serving; a server whose own record was spoilt serves again with the next.
	inTestSystem(t, 1, 2, 3, func(sys *testSystem) {
		chk := is.NewRelaxed(t)
		topic := string(platform.ServersTopic)
		entry := func(address, service, state string) map[string]any {
			return map[string]any{
				"Service": service, "Address": address, "Zone": "domain-1", "State": state,
				"Capacity": map[string]any{"Cpu": 64000, "MemMb": 9999},
			}
		}
		sys.sto.Put(topic, "bytes", "not an entry")
		sys.sto.Put(topic, "state", entry("nowhere-1:1", service, "warming"))
		sys.sto.Put(topic, "service", entry("nowhere-2:1", "another", "ready"))
		sys.sto.Put(topic, "server-1-3", 7)
		time.Sleep(time.Second)
		began := time.Now()
		job := jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 100}}
		chk.Equal(sys.send(sys.ctx, "entry-1-1", job), http.StatusOK)
		chk.True(time.Since(began) < 150*time.Millisecond)
		chk.True(!strings.Contains(sys.logText(), "nowhere"))
		sys.listServer("server-1-3", "domain-1", "ready")
		time.Sleep(time.Second)
		began = time.Now()
		chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 6, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(time.Since(began) < 150*time.Millisecond)
	})
}
