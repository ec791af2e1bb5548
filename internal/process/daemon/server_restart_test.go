package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// restartServer crashes a backend server and has it start again under its ID after a time for which it refuses connections, or answers
// nothing if dark is set. It then writes its record.
func (sys *system) restartServer(id, domain string, downFor time.Duration, dark bool) {
	srv := sys.servers[id]
	if dark {
		for _, prc := range sys.instances {
			sys.net.Separate(prc.host, id)
		}
	}
	sys.net.Drop(id)
	srv.Close()
	time.Sleep(downFor)
	srv.Restart()
	sys.serve(id+":1", srv)
	sys.net.Heal()
	sys.listServer(id, domain, "ready")
}

// Guards against tasks that run twice, are lost or wait for ends that were forgotten unread, when a backend server starts again under its ID:
// its numbers of ends and its clock begin anew, and the list never shows it gone.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	for _, dark := range []bool{false, true} {
		for _, down := range []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("down for %v, dark %t", down, dark), func(t *testing.T) {
				inTestSystem(t, 1, 2, 2, func(sys *system) {
					chk := is.NewRelaxed(t)
					for num := range 8 {
						chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(num), tasks: 4, payload: payload{Millis: 50}}), http.StatusOK)
					}
					snt := sys.sendAsync(sys.ctx, "entry-1-2", jobSpec{id: jobID(20), tasks: 4, payload: payload{Millis: 600}})
					time.Sleep(200 * time.Millisecond)
					sys.restartServer("server-1-1", "domain-1", down, dark)
					<-snt.done
					chk.Equal(snt.status, http.StatusOK)
					time.Sleep(2 * time.Second)
					for num := range 8 {
						began := time.Now()
						job := jobSpec{id: jobID(30 + num), tasks: 4, payload: payload{Millis: 100}}
						chk.Equal(sys.send(sys.ctx, "entry-1-1", job), http.StatusOK)
						chk.True(time.Since(began) < 150*time.Millisecond) // Both servers take tasks, and their ends are seen.
					}
					time.Sleep(2 * time.Second)
					chk.Equal(sys.ldg.Running(), 0)
				})
			})
		}
	}
}

// Guards against a job that waits for a start without an answer: the server crashes before it answers, starts again under its ID, and carries
// the start out late.
func TestStartWithoutAnswerOfAFormerIncarnation(t *testing.T) {
	for _, late := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			inTestSystem(t, 1, 2, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.servers["server-1-1"].LoseAnswers(2, late)
				snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 300}})
				time.Sleep(10 * time.Millisecond)
				sys.restartServer("server-1-1", "domain-1", 20*time.Millisecond, false)
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
				time.Sleep(4 * time.Second)
				chk.Equal(sys.ldg.Running(), 0)
				began := time.Now()
				chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 100}}), http.StatusOK)
				chk.True(time.Since(began) < 150*time.Millisecond)
			})
		})
	}
}

// Guards against tasks that run twice when servers start again while a second instance takes their shard over: the first leader, whose token is
// lower, must not be obeyed again.
func TestServersStartAgainBesideASecondLeader(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprint("started again after ", after), func(t *testing.T) {
			job := jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 1500}}
			inTwoLeaders(t, 900*time.Millisecond, job, func(two *twoLeaders) {
				chk := is.NewRelaxed(t)
				two.cutBothWays(two.second.host, two.first.host)
				two.net.CutWay(two.owner.host, two.first.host)
				two.takeOver()
				time.Sleep(after)
				two.restartServer(two.busy[0], "domain-1", 20*time.Millisecond, false)
				status := two.finishWithCapacity()
				chk.Equal(status, http.StatusOK)
			})
		})
	}
}

// Guards against servers of former versions, which don't tell their incarnations, being given no task.
func TestServersWithoutIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runTestSystemWith(t, &system{hidesIncarnations: true}, 1, 2, 2, func(sys *system) {
			chk := is.NewRelaxed(t)
			for num := range 4 {
				job := jobSpec{id: jobID(num), tasks: 4, payload: payload{Millis: 100}}
				chk.Equal(sys.send(sys.ctx, "entry-1-1", job), http.StatusOK)
			}
		})
		time.Sleep(20 * time.Second) // As in inTestSystem.
	})
}
