package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that run again though they are done: more runs end at once on a server than one answer lists, and the others count as gone.
func TestMoreEndsThanOneAnswerLists(t *testing.T) {
	for name, tasks := range map[string]int{"as many as an answer lists": 500, "one more": 501, "more than two answers list": 1300} {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				job := jobSpec{id: jobID(1), tasks: tasks, payload: payload{Millis: 400, Needs: 20}}
				chk.Equal(sys.send(sys.ctx, "entry-1-1", job), http.StatusOK)
				time.Sleep(2 * time.Second)
				chk.Equal(sys.ldg.JobDone(job.id), tasks)
				chk.Equal(sys.ldg.JobStarts(job.id), tasks)
			})
		})
	}
}
