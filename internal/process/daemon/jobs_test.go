package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// jobCall asks an instance for a job of the queue /thumb/ by a method, and returns the status and the body.
func (sys *system) jobCall(at, method, id string) (int, string) {
	rep, err := sys.client().Job(sys.ctx, method, sys.instances[at].host+":1", "/thumb/", id)
	if err != nil {
		return 0, err.Error()
	}
	return rep.Status, rep.Body
}

// Guards against a cancelled job that runs on, starts further tasks, or leaves its caller waiting.
func TestCancelledJob(t *testing.T) {
	cases := map[string]struct {
		// tasks is the number of tasks of the job, of which six start at once.
		tasks int
		// at is the instance that is asked to cancel the job, which entry-1-1 has; before is what happens first.
		at     string
		before func(sys *system)
		status int
		// cancelled says that the job is to end.
		cancelled bool
	}{
		"at its owner":                     {tasks: 4, at: "entry-1-1", status: 200, cancelled: true},
		"at another instance":              {tasks: 4, at: "entry-1-2", status: 200, cancelled: true},
		"in another failure domain":        {tasks: 4, at: "entry-2-1", status: 200, cancelled: true},
		"a job with tasks that wait":       {tasks: 40, at: "entry-2-2", status: 200, cancelled: true},
		"the owner's domain is cut off":    {tasks: 4, at: "entry-2-1", before: func(sys *system) { sys.cut("domain-1"); time.Sleep(time.Second) }, status: 503},
		"the owner's domain has just gone": {tasks: 4, at: "entry-2-1", before: func(sys *system) { sys.cut("domain-1") }, status: 503},
		"the owner is killed":              {tasks: 4, at: "entry-1-2", before: func(sys *system) { sys.kill("entry-1-1"); time.Sleep(time.Second) }, status: 410},
		"another instance has lost power":  {tasks: 4, at: "entry-1-2", before: func(sys *system) { sys.powerOff("entry-2-2"); time.Sleep(time.Second) }, status: 200, cancelled: true},
		"the job was submitted again": {tasks: 4, at: "entry-2-2", before: func(sys *system) {
			sys.sendAsync(sys.ctx, "entry-1-1", cancelledJob(4))
			time.Sleep(100 * time.Millisecond) // A submission that comes after the cancel is another job.
		}, status: 200, cancelled: true},
		"the instance that is asked starts": {tasks: 4, at: "entry-1-2", before: func(sys *system) {
			sys.kill("entry-1-2")
			sys.startInstance("entry-1-2", "domain-1")
			time.Sleep(time.Second)
		}, status: 200, cancelled: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 4, func(sys *system) {
				chk := is.NewRelaxed(t)
				snt := sys.sendAsync(sys.ctx, "entry-1-1", cancelledJob(cas.tasks))
				time.Sleep(500 * time.Millisecond)
				chk.True(sys.ldg.JobRunning(jobID(1)) > 0)
				if cas.before != nil {
					cas.before(sys)
				}
				status, body := sys.jobCall(cas.at, http.MethodDelete, jobID(1))
				if status != cas.status {
					t.Errorf("the cancel got %d: %s", status, body)
				}
				if !cas.cancelled {
					<-snt.done
					return
				}
				time.Sleep(100 * time.Millisecond)
				select {
				case <-snt.done:
					chk.Equal(snt.status, http.StatusOK)
					chk.Equal(snt.body, `{"State":"failed"}`)
				default:
					t.Error("the caller waits 100 ms after its job was cancelled")
				}
				chk.Equal(sys.ldg.JobRunning(jobID(1)), 0)
				starts := sys.ldg.JobStarts(jobID(1))
				time.Sleep(5 * time.Second)
				chk.Equal(sys.ldg.JobStarts(jobID(1)), starts)
				status, _ = sys.jobCall(cas.at, http.MethodDelete, jobID(1))
				if cas.before == nil {
					chk.Equal(status, http.StatusGone) // Nobody has it any more.
				}
			})
		})
	}
}

// cancelledJob is a job that lasts for longer than a test of its cancel.
func cancelledJob(tasks int) jobSpec {
	return jobSpec{id: jobID(1), tasks: tasks, payload: payload{Millis: 4000}, callerTimeout: 8 * time.Second}
}

// Guards against a state that isn't the job's, and a job that is taken for another queue's.
func TestStateOfAJob(t *testing.T) {
	inTestSystem(t, 2, 2, 4, func(sys *system) {
		chk := is.NewRelaxed(t)
		state := func(at, method, id string) string {
			_, body := sys.jobCall(at, method, id)
			return body
		}
		const none = `{"Error":"no such job"}`
		chk.Equal(state("entry-1-1", http.MethodGet, jobID(1)), none)
		chk.Equal(state("entry-1-1", http.MethodDelete, jobID(1)), none)
		snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 1000}})
		oth := sys.sendAsync(sys.ctx, "entry-1-2", jobSpec{id: jobID(2), path: "/deck/", tasks: 2, payload: payload{Millis: 1000}})
		time.Sleep(300 * time.Millisecond)
		for _, at := range []string{"entry-1-1", "entry-1-2", "entry-2-1"} {
			chk.Equal(state(at, http.MethodGet, jobID(1)), `{"State":"running"}`)
			chk.Equal(state(at, http.MethodGet, jobID(2)), none) // It is another queue's.
			chk.Equal(state(at, http.MethodDelete, jobID(2)), none)
		}
		<-snt.done
		<-oth.done
		chk.Equal(oth.status, http.StatusOK)
		chk.Equal(state("entry-2-1", http.MethodGet, jobID(1)), none)
	})
}
