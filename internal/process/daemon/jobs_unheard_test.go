package daemon

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against the answer that no instance has a job, whose owner runs it out of reach for longer than unheardMemory.
func TestJobOfAnOwnerThatIsLongCutOff(t *testing.T) {
	inTestSystem(t, 2, 2, 4, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 40000}, callerTimeout: 60 * time.Second})
		time.Sleep(500 * time.Millisecond)
		sys.cut("domain-1")
		time.Sleep(unheardMemory + 5*time.Second)
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, body := sys.jobCall("entry-2-1", method, jobID(1))
			if running := sys.ldg.JobRunning(jobID(1)); running > 0 && status == http.StatusGone {
				t.Errorf("%s of a job with %d running tasks got %d: %s", method, running, status, body)
			}
		}
		chk.True(sys.ldg.JobRunning(jobID(1)) > 0)
	})
}

// Guards against a resumed instance that answers for others which have taken it for lost, before it has heard them again.
func TestResumedInstanceKnowsOfNoJob(t *testing.T) {
	inTestSystem(t, 1, 3, 4, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		others := slices.DeleteFunc(sys.instanceNames(), func(nam string) bool { return nam == led })
		sys.sendAsync(sys.ctx, led, jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 15000}, callerTimeout: 30 * time.Second})
		time.Sleep(500 * time.Millisecond)
		prc := sys.instances[others[0]]
		queries := errgroup.Group{}
		for range 5 {
			prc.stopClock()
			for num := range 100 {
				queries.Go(func() error {
					time.Sleep(time.Second - 50*time.Millisecond + time.Duration(num)*time.Millisecond)
					status, body := sys.jobCall(others[0], http.MethodGet, jobID(1))
					if running := sys.ldg.JobRunning(jobID(1)); running > 0 && status == http.StatusGone {
						t.Errorf("query %d for a job with %d running tasks got %d: %s", num, running, status, body)
					}
					return nil
				})
			}
			sys.pauseProcess(prc, time.Second)
			time.Sleep(time.Second)
		}
		chk.NoErr(queries.Wait())
		chk.True(sys.ldg.JobRunning(jobID(1)) > 0)
	})
}

// Guards against a job that is shown as queued while its tasks run, as its leader is another instance.
func TestStateOfAJobThatAnotherInstanceRuns(t *testing.T) {
	inTestSystem(t, 1, 2, 4, func(sys *system) {
		chk := is.NewRelaxed(t)
		led := sys.leader("domain-1")
		owner := slices.DeleteFunc(sys.instanceNames(), func(nam string) bool { return nam == led })[0]
		sys.sendAsync(sys.ctx, owner, jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 8000}, callerTimeout: 20 * time.Second})
		time.Sleep(2500 * time.Millisecond)
		chk.Equal(sys.ldg.JobRunning(jobID(1)), 4)
		_, body := sys.jobCall(owner, http.MethodGet, jobID(1))
		chk.Equal(body, `{"State":"running"}`)
	})
}
