package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chestnutstack/platform/standin"
)

// jobSpec is a submission of one step.
type jobSpec struct {
	id       string
	path     string
	tasks    int
	patience time.Duration
	// expected is the caller's guess of the run time; what the payload says if it is 0.
	expected time.Duration
	payload
}

// send submits a job to an instance and returns the status, 0 if there was no answer.
func (sys *testSystem) send(ctx context.Context, to string, job jobSpec) int {
	status, _ := sys.call(ctx, to, job)
	return status
}

func (sys *testSystem) call(ctx context.Context, to string, job jobSpec) (int, string) {
	return sys.callHost(ctx, sys.instances[to].host, job)
}

func (sys *testSystem) callHost(ctx context.Context, host string, job jobSpec) (int, string) {
	if job.path == "" {
		job.path = "/thumb/"
	}
	if job.patience == 0 {
		job.patience = 5 * time.Second
	}
	if job.expected == 0 {
		job.expected = time.Duration(job.Millis) * time.Millisecond
	}
	text, _ := json.Marshal(job.payload) // Plain fields always encode.
	ctx, cancel := context.WithTimeout(ctx, job.patience)
	defer cancel()
	rep, err := sys.client().Submit(ctx, host+":1", &standin.Job{
		ID: job.id, Queue: job.path, Tasks: job.tasks, Processor: job.processor(), Memory: 64,
		Expected: job.expected, Payload: string(text), Patience: job.patience,
	})
	if err != nil {
		return 0, err.Error()
	}
	return rep.Status, rep.Body
}

func (sys *testSystem) client() *standin.Client {
	return standin.NewClient(&http.Client{
		Transport: &http.Transport{DialContext: sys.net.Dialer(clientHost), DisableKeepAlives: true},
	})
}

// queryQueue asks an instance for a queryQueue and returns the status, 0 if there was no answer.
func (sys *testSystem) queryQueue(at, path string) int {
	rep, err := sys.client().Queue(sys.ctx, sys.instances[at].host+":1", path)
	if err != nil {
		return 0
	}
	return rep.Status
}

// sentJob is a submission in progress.
type sentJob struct {
	status int
	took   time.Duration
	body   string
	done   chan struct{}
}

func (sys *testSystem) sendAsync(ctx context.Context, to string, job jobSpec) *sentJob {
	snt := &sentJob{done: make(chan struct{})}
	// The caller's address is fixed now: the instance of that name may be another one when it sends.
	host := sys.instances[to].host
	sys.grp.Go(func() error {
		defer close(snt.done)
		began := time.Now()
		snt.status, snt.body = sys.callHost(ctx, host, job)
		snt.took = time.Since(began)
		return nil
	})
	return snt
}

func jobID(num int) string { return fmt.Sprintf("%016x", num) }
