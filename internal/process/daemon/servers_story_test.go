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

func TestTaskStandsStill(t *testing.T) {
	// A server's tasks stand still while it answers well. The leader sees no progress, stops them and starts them
	// elsewhere while the caller still waits.
	inWorld(t, 1, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		began := time.Now()
		job := jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: 200, Stands: "server-1-1"}}
		chk.Equal(wld.send(wld.ctx, "entry-1-1", job), http.StatusOK)
		chk.True(time.Since(began) < 1500*time.Millisecond)
	})
}

func TestJobCannotBeDone(t *testing.T) {
	// A job whose tasks always fail is shown as failed after as many attempts as its route allows, and the servers
	// that it failed on go on serving others.
	inWorld(t, 1, 1, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		bad := jobSpec{id: jobID(1), tasks: 1, payload: payload{Millis: 50, Fails: true}}
		status, body := wld.call(wld.ctx, "entry-1-1", bad)
		chk.Equal(status, http.StatusOK)
		chk.True(strings.Contains(body, "failed"))
		chk.Equal(wld.ldg.Starts(jobID(1)+".0.0.0"), 3)
		began := time.Now()
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 50}}), http.StatusOK)
		chk.True(time.Since(began) < 100*time.Millisecond)
	})
}

func TestServerCrashes(t *testing.T) {
	// A server goes dark with tasks on it. Their leases lapse, and they start elsewhere.
	inWorld(t, 1, 2, 3, func(wld *world) {
		chk := is.NewRelaxed(t)
		snt := wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 900}})
		time.Sleep(200 * time.Millisecond)
		wld.net.Isolate("server-1-1")
		wld.servers["server-1-1"].Close()
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	})
}

func TestServerLeaves(t *testing.T) {
	// The list says that a server is leaving. Within half a second nothing new starts there, and what runs ends.
	inWorld(t, 1, 1, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		wld.list("server-1-1", "domain-1", "draining")
		time.Sleep(500 * time.Millisecond)
		wld.net.Isolate("server-1-1") // A start there would hang.
		began := time.Now()
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(time.Since(began) < 200*time.Millisecond)
	})
}

func TestFrozenLeaderWakes(t *testing.T) {
	// The machine of a leader is suspended for five seconds and wakes. Its own clock has counted that time: it
	// gives its shards up before it sends an order, and its callers' jobs are done in the end.
	inWorld(t, 2, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		led := wld.leader("domain-1")
		snt := wld.sendAsync(wld.ctx, led, jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: 800}})
		time.Sleep(200 * time.Millisecond)
		wld.entries[led].freeze(5 * time.Second)
		<-snt.done
		chk.True(strings.Contains(wld.logged(), "the machine was suspended"))
		time.Sleep(time.Second)
		again := wld.send(wld.ctx, led, jobSpec{id: jobID(2), tasks: 3, payload: payload{Millis: 100}})
		chk.Equal(again, http.StatusOK)
	})
}

func TestConfigurationInForce(t *testing.T) {
	// Operators add and drop routes. Each version is in force everywhere within two seconds, also at an instance that
	// the store has turned away, and when the store has dropped its history; it never reverts.
	cases := map[string]func(wld *world){
		"calm":            func(*world) {},
		"history dropped": func(wld *world) { wld.sto.Compact(string(platform.ConfigurationTopic)) },
		"one turned away": func(wld *world) { wld.net.Separate(wld.entries["entry-1-1"].host, storeHost) },
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, 2, 1, func(wld *world) {
				chk := is.NewRelaxed(t)
				trouble(wld)
				wld.route("/thumb/", "/new/")
				time.Sleep(2 * time.Second)
				for at := range wld.entries {
					chk.Equal(wld.queue(at, "/new/"), http.StatusOK)
					chk.Equal(wld.queue(at, "/deck/"), http.StatusNotFound)
					chk.Equal(wld.queue(at, "/never/"), http.StatusNotFound)
				}
				wld.net.Heal()
				time.Sleep(3 * time.Second)
				chk.Equal(wld.queue("entry-1-1", "/new/"), http.StatusOK)
			})
		})
	}
}

func TestStoreIsAway(t *testing.T) {
	// The store goes down. Jobs are served as before, a leader is replaced, and an instance that starts meanwhile
	// refuses truthfully until the store is back, also if the store then loses the answer to its first record.
	inWorld(t, 1, 3, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		wld.sto.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		led := wld.leader("domain-1")
		wld.powerOff(led)
		fresh := wld.startEntry("entry-1-4", "domain-1")
		time.Sleep(1500 * time.Millisecond)
		now := wld.leader("domain-1")
		chk.True(now != "" && now != led)
		chk.Equal(wld.send(wld.ctx, now, jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 100}}), http.StatusOK)
		chk.Equal(wld.send(wld.ctx, fresh.name, jobSpec{id: jobID(2), tasks: 1}), http.StatusServiceUnavailable)
		wld.sto.LoseAnswers(1)
		wld.sto.SetDown(false)
		time.Sleep(4 * time.Second)
		chk.Equal(wld.send(wld.ctx, fresh.name, jobSpec{id: jobID(2), tasks: 1, payload: payload{Millis: 50}}), http.StatusOK)
	})
}

func TestConnectionsFallSilent(t *testing.T) {
	// Open connections between instances, to servers and to the store go silent for good while new ones work. Fresh
	// connections find out within the timeouts; jobs are late at most.
	inWorld(t, 2, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		snt := wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 900}})
		time.Sleep(200 * time.Millisecond)
		for _, one := range wld.entries {
			wld.net.Forget(one.host, storeHost)
			for _, two := range wld.entries {
				wld.net.Forget(one.host, two.host)
			}
			for id := range wld.servers {
				wld.net.Forget(one.host, id)
			}
		}
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
		wld.route("/thumb/", "/late/")
		time.Sleep(4 * time.Second)
		chk.Equal(wld.queue("entry-2-2", "/late/"), http.StatusOK)
	})
}

func TestLastInstanceOfDomainGoes(t *testing.T) {
	// A failure domain has one instance, and it loses power. An instance of another domain leads its servers, until a
	// new instance of the domain has started and leads them again.
	inWorld(t, 2, 1, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		wld.powerOff("entry-2-1")
		time.Sleep(3 * time.Second)
		chk.Equal(wld.leader("domain-2"), "entry-1-1")
		began := time.Now()
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 500}}), http.StatusOK)
		chk.True(time.Since(began) < 600*time.Millisecond)
		wld.startEntry("entry-2-2", "domain-2")
		time.Sleep(3 * time.Second)
		chk.Equal(wld.leader("domain-2"), "entry-2-2")
		chk.Equal(wld.send(wld.ctx, "entry-2-2", jobSpec{id: jobID(2), tasks: 8, payload: payload{Millis: 100}}), http.StatusOK)
	})
}

func TestSameJobAtTwoInstances(t *testing.T) {
	// A caller that lost its connection unnoticed sends its job again to another instance while the first still
	// works on it. A leader that has the task of both stops the first run before it starts the second.
	inWorld(t, 1, 2, 4, func(wld *world) {
		chk := is.NewRelaxed(t)
		job := jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 600}}
		wld.sendAsync(wld.ctx, "entry-1-1", job)
		time.Sleep(100 * time.Millisecond)
		chk.Equal(wld.send(wld.ctx, "entry-1-2", job), http.StatusOK)
	})
}

func TestAllLosePower(t *testing.T) {
	// All instances lose their power and start again. Requests that reach them before the shards have leaders wait
	// for that instead of being refused. Nothing runs anywhere, so that nobody has to be waited for: tasks of 100 ms are
	// done 0.24 to 0.34 s after the processes are up. That was 0.40 s while each take-over waited for orders.
	inWorld(t, 2, 2, 2, func(wld *world) {
		chk := is.NewRelaxed(t)
		for _, name := range wld.names() {
			wld.powerOff(name)
		}
		time.Sleep(time.Second)
		var all []*sent
		for num, name := range wld.names() {
			wld.startEntry(name, wld.entries[name].domain)
			job := jobSpec{id: jobID(num), tasks: 2, payload: payload{Millis: 100}}
			all = append(all, wld.sendAsync(wld.ctx, name, job))
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
	inWorld(t, 1, 1, 12, func(wld *world) {
		chk := is.NewRelaxed(t)
		slow := func(times int) {
			for _, id := range []string{"server-1-1", "server-1-11"} {
				wld.servers[id].SetTrouble(standin.Trouble{Slower: times})
			}
		}
		first := 0
		// play sends 15 jobs a second of 60 or 300 ms and returns the share that was done in time.
		play := func(dur time.Duration) float64 {
			var done []*sent
			var limits []time.Duration
			for began := time.Now(); time.Since(began) < dur; time.Sleep(66 * time.Millisecond) {
				first++
				job := jobSpec{id: jobID(first), tasks: 8, payload: payload{Millis: 60}}
				if first%5 == 0 {
					job.tasks, job.Millis = 2, 300
				}
				done = append(done, wld.sendAsync(wld.ctx, "entry-1-1", job))
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
		chk.True(strings.Contains(wld.logged(), "server is slow"))
	})
}

func TestEntriesOfAnotherWriter(t *testing.T) {
	// Records of another writer stand in the list: bytes that can't be read, a state and a service that nobody knows. Nobody
	// is called for them, and the other servers go on serving; a server whose own record was spoilt serves again with the next.
	inWorld(t, 1, 2, 3, func(wld *world) {
		chk := is.NewRelaxed(t)
		topic := string(platform.ServersTopic)
		entry := func(address, service, state string) map[string]any {
			return map[string]any{
				"Service": service, "Address": address, "Zone": "domain-1", "State": state,
				"Capacity": map[string]any{"Cpu": 64000, "MemMb": 9999},
			}
		}
		wld.sto.Put(topic, "bytes", "not an entry")
		wld.sto.Put(topic, "state", entry("nowhere-1:1", service, "warming"))
		wld.sto.Put(topic, "service", entry("nowhere-2:1", "another", "ready"))
		wld.sto.Put(topic, "server-1-3", 7)
		time.Sleep(time.Second)
		began := time.Now()
		job := jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 100}}
		chk.Equal(wld.send(wld.ctx, "entry-1-1", job), http.StatusOK)
		chk.True(time.Since(began) < 150*time.Millisecond)
		chk.True(!strings.Contains(wld.logged(), "nowhere"))
		wld.list("server-1-3", "domain-1", "ready")
		time.Sleep(time.Second)
		began = time.Now()
		chk.Equal(wld.send(wld.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 6, payload: payload{Millis: 100}}), http.StatusOK)
		chk.True(time.Since(began) < 150*time.Millisecond)
	})
}
