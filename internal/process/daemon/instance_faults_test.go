package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform/standin"
)

func TestJobsAreAnsweredWithoutFaults(t *testing.T) {
	// Guards against jobs that are answered late, or not at all, while nothing fails, at whichever instance they are submitted.
	inTestSystem(t, 3, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		for num, name := range []string{"entry-1-1", "entry-1-2", "entry-2-1", "entry-3-2"} {
			began := time.Now()
			status := sys.send(sys.ctx, name, jobSpec{id: jobID(num), tasks: 8, payload: payload{Millis: 60}})
			chk.Equal(status, http.StatusOK)
			chk.True(time.Since(began) < 80*time.Millisecond) // Nothing waits: 18 tasks fit at once.
		}
		chk.Equal(sys.ldg.Running(), 0)
	})
}

func TestWideJobUsesAllDomains(t *testing.T) {
	// Guards against tasks that wait in their job's own failure domain while others have free capacity: of 16 tasks, 4 fit in the two servers
	// of the own domain.
	inTestSystem(t, 4, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		began := time.Now()
		status := sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 16, payload: payload{Millis: 500}})
		chk.Equal(status, http.StatusOK)
		chk.True(time.Since(began) < 550*time.Millisecond) // Less than two rounds of 500 ms: all tasks run at once.
	})
}

func TestWaitingTasksMoveToFreeCapacity(t *testing.T) {
	// Guards against tasks that stay queued in a failure domain that is busy for long after capacity has become free in another one.
	// They are recalled and start there.
	inTestSystem(t, 2, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		long := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 3000}})
		time.Sleep(100 * time.Millisecond)
		short := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 400}})
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		// Both domains are full: one for 0.2 s more, where these tasks end up, the other for almost 3 s.
		last := sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(3), tasks: 2, payload: payload{Millis: 100}})
		chk.Equal(last, http.StatusOK)
		chk.True(time.Since(began) < 800*time.Millisecond)
		<-long.done
		<-short.done
		chk.Equal(long.status, http.StatusOK)
		chk.Equal(short.status, http.StatusOK)
	})
}

func TestLeaderLosesPower(t *testing.T) {
	// Guards against a job that gets no answer, or whose tasks run twice at once, when the leader of its shard loses power. The owner takes the
	// shard over and finds the tasks still running, or ended because their leases have expired.
	inTestSystem(t, 2, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
		snt := sys.sendAsync(sys.ctx, oth, jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 900}})
		time.Sleep(300 * time.Millisecond)
		sys.powerOff(led)
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	})
}

func TestLeaderStopsAsPlanned(t *testing.T) {
	// Guards against runs that are stopped, or answers that don't reach their callers, when the leader of a shard stops as planned (SIGTERM)
	// while tasks of its own callers and of another instance's run.
	inTestSystem(t, 2, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
		own := sys.sendAsync(sys.ctx, led, jobSpec{id: jobID(1), tasks: 3, payload: payload{Millis: 900}})
		far := sys.sendAsync(sys.ctx, oth, jobSpec{id: jobID(2), tasks: 3, payload: payload{Millis: 900}})
		time.Sleep(300 * time.Millisecond)
		sys.instances[led].stop()
		time.Sleep(100 * time.Millisecond)
		late := sys.sendAsync(sys.ctx, led, jobSpec{id: jobID(3), tasks: 1, payload: payload{Millis: 100}})
		<-own.done
		<-far.done
		<-late.done
		chk.Equal(own.status, http.StatusOK)
		chk.Equal(far.status, http.StatusOK)
		chk.Equal(late.status, http.StatusOK) // The balancer sends requests to a stopping instance for a while.
		for _, tsk := range []string{"0", "1", "2"} {
			chk.Equal(sys.ldg.Starts(jobID(1)+".0.0."+tsk), 1)
			chk.Equal(sys.ldg.Starts(jobID(2)+".0.0."+tsk), 1)
		}
		<-sys.instances[led].done
	})
}

func TestOwnerLosesPower(t *testing.T) {
	// Guards against tasks that run twice at once when a job's owner loses power and the caller sends the job again to another instance 1.3 s
	// later. Nothing marks it as sent again, so that all runs of the first attempt must have been stopped by then.
	inTestSystem(t, 2, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		own := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
		job := jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 2500}}
		sys.sendAsync(sys.ctx, own, job)
		time.Sleep(300 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 4)
		sys.powerOff(own)
		time.Sleep(1250 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 0)
		time.Sleep(50 * time.Millisecond)
		chk.Equal(sys.send(sys.ctx, led, job), http.StatusOK)
	})
}

func TestLeaderAndOwnerLosePower(t *testing.T) {
	// Guards against tasks that run twice at once when a job's owner, which also leads its shard, loses power and the caller sends the job again.
	// The new leader gets no orders for these runs and must stop them before it renews any lease.
	inTestSystem(t, 2, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
		job := jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 2500}}
		sys.sendAsync(sys.ctx, led, job)
		time.Sleep(300 * time.Millisecond)
		sys.powerOff(led)
		time.Sleep(1250 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 0)
		chk.Equal(sys.send(sys.ctx, oth, job), http.StatusOK)
	})
}

func TestCallerLeaves(t *testing.T) {
	// Guards against runs that go on after their caller has closed the connection: it may send the job to another instance at once.
	inTestSystem(t, 2, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		ctx, leave := context.WithCancel(sys.ctx)
		snt := sys.sendAsync(ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 2500}})
		time.Sleep(200 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 6)
		leave()
		<-snt.done
		time.Sleep(50*time.Millisecond + standin.StopTime)
		chk.Equal(sys.ldg.Running(), 0)
	})
}

func TestDomainIsCutOff(t *testing.T) {
	// Guards against callers that aren't served while a failure domain is cut off from the others and the store, and against runs that are stopped
	// at the end of the cut because the shard gets another leader.
	inTestSystem(t, 3, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-2")
		sys.cut("domain-2")
		time.Sleep(time.Second)
		in := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 900}})
		out := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 6, payload: payload{Millis: 900}})
		<-in.done
		<-out.done
		chk.Equal(in.status, http.StatusOK)
		chk.Equal(out.status, http.StatusOK)
		during := sys.sendAsync(sys.ctx, "entry-2-2", jobSpec{id: jobID(3), tasks: 6, payload: payload{Millis: 900}})
		time.Sleep(300 * time.Millisecond)
		sys.net.Heal()
		<-during.done
		chk.Equal(during.status, http.StatusOK)
		chk.Equal(sys.ldg.Starts(jobID(3)+".0.0.0"), 1)
		time.Sleep(2 * time.Second)
		chk.Equal(sys.leader("domain-2"), led)
	})
}

func TestCutDuringWork(t *testing.T) {
	// Guards against tasks that run twice at once, or are never answered, when the domain where they run is cut off from their owner's. Both sides
	// must wait until the leases have expired by any clock before the tasks start elsewhere.
	inTestSystem(t, 2, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 900}})
		time.Sleep(200 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 8) // Four of them in domain-2.
		sys.cut("domain-2")
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
		sys.net.Heal()
	})
}

func TestStartIsCarriedOutLate(t *testing.T) {
	// Guards against tasks that run twice at once when a server doesn't answer a start and carries it out up to seconds later. The leader must not take
	// the start for failed: it sends stops until the server confirms, and starts the task elsewhere only then.
	for name, late := range map[string]time.Duration{"within the timeout": 100 * time.Millisecond, "seconds": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 2, 3, func(sys *system) {
				chk := is.NewRelaxed(t)
				for _, srv := range sys.servers {
					srv.LoseAnswers(1, late) // The next start.
				}
				for num := range 6 {
					chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(num), tasks: 4, payload: payload{Millis: 300}}),
						http.StatusOK)
				}
				time.Sleep(4 * time.Second)
				chk.Equal(sys.ldg.Running(), 0)
			})
		})
	}
}

func TestLostRunsEndBeforeTasksRestart(t *testing.T) {
	// Guards against a task that is started again before its lost run is over: owner and leader are cut off from each other, and the stop of the
	// run gets no answer, so that its lease has to expire.
	chk := is.NewRelaxed(t)
	cfg := shard.DefaultConfig()
	// Missed heartbeats are checked for each half interval, so that a loss is noticed up to half an interval late. When the sum left that out,
	// the owner started the task 30 ms before the lease had expired.
	noticed := missedHeartbeats*heartbeatInterval + heartbeatInterval/2 + mesh.SocketReadTime
	// A renewal just before StopTimeout ends extends the lease once more, so the whole Expiry is added.
	over := noticed + cfg.StopTimeout + cfg.Expiry()
	chk.True(over < orphanExpiry)   // After it the owner starts the task elsewhere.
	chk.True(over < minResendAfter) // After it the caller sends the job again.
	// An owner sends an order to the shard's new leader once it has lost the former one, at the earliest after the missed heartbeats; the new
	// leader then waits at least shard.Config.OrphanExpiry before it starts the task.
	chk.True(over < missedHeartbeats*heartbeatInterval+cfg.OrphanExpiry)
}

func TestNewInstanceWithIncompleteListTakesOver(t *testing.T) {
	// Guards against tasks that run twice at once after a takeover by a new instance that never saw the record of a live server: the record
	// expired before it started. Tasks there must not start elsewhere before the lease from the former leader has expired.
	inTestSystem(t, 2, 1, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		job := jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 2500}, callerTimeout: 8 * time.Second}
		snt := sys.sendAsync(sys.ctx, "entry-2-1", job)
		time.Sleep(300 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 8)
		sys.sto.Unlist(sys.servers["server-1-1"])
		time.Sleep(500 * time.Millisecond)
		sys.startInstance("entry-1-2", "domain-1")
		time.Sleep(400 * time.Millisecond)
		sys.instances["entry-1-1"].stop()
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	})
}

func TestLeaderStopsWhileAServerIsNotListed(t *testing.T) {
	// Guards against runs that are stopped at a takeover because the record of their live server has expired: the leader stops as planned, and the new
	// one, which saw the record before, has to take that server over with the others.
	inTestSystem(t, 2, 2, 3, func(sys *system) {
		chk := is.NewRelaxed(t)
		snt := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 2500}})
		time.Sleep(300 * time.Millisecond)
		chk.Equal(sys.ldg.Running(), 8)
		sys.sto.Unlist(sys.servers["server-1-1"])
		time.Sleep(500 * time.Millisecond)
		sys.instances[sys.leader("domain-1")].stop()
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
		for idx := range 8 {
			chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(1), idx)), 1)
		}
	})
}

func TestServerIsAddedWhileInstanceIsCutOffFromStore(t *testing.T) {
	// Guards against tasks that run twice at once after a takeover by an instance that was cut off from the store when a server was added.
	// Its list was complete once, and the leader is killed before it has reported that tasks run on the new server.
	inTestSystem(t, 2, 2, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
		time.Sleep(3 * time.Second)
		sys.net.Separate(sys.instances[oth].host, storeHost)
		time.Sleep(3 * time.Second)
		sys.startServer("server-1-0", "domain-1")
		time.Sleep(time.Second)
		job := jobSpec{id: jobID(1), tasks: 6, payload: payload{Millis: 2500}, callerTimeout: 8 * time.Second}
		snt := sys.sendAsync(sys.ctx, "entry-2-1", job)
		time.Sleep(10 * time.Millisecond) // The tasks have started, and no report says where.
		chk.Equal(sys.ldg.Running(), 6)
		sys.kill(led)
		// What runs on the new server must not start elsewhere before its lease has expired; the ledger notes it.
		<-snt.done
		chk.Equal(snt.status, http.StatusOK)
	})
}

func TestOwnerLosesPowerAndStopsAreLost(t *testing.T) {
	// Guards against tasks that run twice at once when a job's owner loses power, the stops of its runs get no answer, and starts of other tasks on the
	// same servers extend the leases: the caller sends the job again 1.3 s later, to another failure domain.
	cases := map[string]struct {
		// every is how often another job comes meanwhile; 0 for never.
		every time.Duration
	}{
		"no other job comes":      {},
		"other jobs start beside": {every: 100 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				led := sys.leader("domain-1")
				own := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
				job := jobSpec{id: jobID(1), tasks: 1, payload: payload{Millis: 2500}}
				sys.sendAsync(sys.ctx, own, job)
				time.Sleep(300 * time.Millisecond)
				chk.Equal(sys.ldg.Running(), 1)
				sys.loseStops(true)
				sys.powerOff(own)
				began := time.Now()
				if cse.every > 0 {
					for num := 2; time.Since(began) < 1250*time.Millisecond; num++ {
						sys.sendAsync(sys.ctx, led, jobSpec{id: jobID(num), tasks: 1, payload: payload{Millis: 20}})
						time.Sleep(cse.every)
					}
				}
				time.Sleep(1290*time.Millisecond - time.Since(began))
				chk.Equal(sys.ldg.Running(), 0)
				time.Sleep(10 * time.Millisecond)
				chk.Equal(sys.send(sys.ctx, "entry-2-1", job), http.StatusOK)
				sys.loseStops(false)
			})
		})
	}
}
