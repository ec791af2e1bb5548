package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chestnutstack/platform/standin"
)

// jobSpec describes a job of one step whose tasks are alike.
type jobSpec struct {
	id string
	// path is the path prefix of the route; "/thumb/" if empty.
	path  string
	tasks int
	// callerTimeout is how long the caller waits for an answer; 5 s if 0.
	callerTimeout time.Duration
	// expected is the caller's estimate of a task's run time; the actual one if 0.
	expected time.Duration
	payload
}

// send submits a job to an instance and returns the status, 0 if there was no answer.
func (sys *system) send(ctx context.Context, to string, job jobSpec) int {
	status, _ := sys.call(ctx, to, job)
	return status
}

// call is send that also returns the body of the answer, or the error's text.
func (sys *system) call(ctx context.Context, to string, job jobSpec) (int, string) {
	return sys.callHost(ctx, sys.instances[to].host, job)
}

// callHost is call for the machine of an instance's incarnation.
func (sys *system) callHost(ctx context.Context, host string, job jobSpec) (int, string) {
	rep := sys.reply(ctx, host, job)
	return rep.Status, rep.Body
}

// reply is callHost that returns the whole answer.
func (sys *system) reply(ctx context.Context, host string, job jobSpec) standin.Reply {
	if job.path == "" {
		job.path = "/thumb/"
	}
	if job.callerTimeout == 0 {
		job.callerTimeout = 5 * time.Second
	}
	if job.expected == 0 {
		job.expected = time.Duration(job.Millis) * time.Millisecond
	}
	text, _ := json.Marshal(job.payload) // Can't fail: the fields are strings, numbers and booleans.
	ctx, cancel := context.WithTimeout(ctx, job.callerTimeout)
	defer cancel()
	rep, err := sys.client().Submit(ctx, host+":1", &standin.Job{
		ID: job.id, Queue: job.path, Tasks: job.tasks, Processor: job.processor(), Memory: 64,
		Expected: job.expected, Payload: string(text), Patience: job.callerTimeout,
	})
	if err != nil {
		return standin.Reply{Body: err.Error()}
	}
	return rep
}

// client returns a caller that opens a new connection for each call.
func (sys *system) client() *standin.Client {
	return standin.NewClient(&http.Client{
		Transport: &http.Transport{DialContext: sys.net.Dialer(clientHost), DisableKeepAlives: true},
	})
}

// queryRoute asks an instance about a route and returns the status, 0 if there was no answer.
func (sys *system) queryRoute(at, path string) int {
	rep, err := sys.client().Queue(sys.ctx, sys.instances[at].host+":1", path)
	if err != nil {
		return 0
	}
	return rep.Status
}

// sentJob is a call that submits a job; the other fields are set once done is closed.
type sentJob struct {
	status int
	took   time.Duration
	body   string
	done   chan struct{}
}

// sendAsync submits a job to an instance in the background.
func (sys *system) sendAsync(ctx context.Context, to string, job jobSpec) *sentJob {
	snt := &sentJob{done: make(chan struct{})}
	// The address is looked up before the call starts: a later incarnation of the instance has another one.
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

// jobID returns the id of the job with a number, 16 hexadecimal digits as real ids have.
func jobID(num int) string { return fmt.Sprintf("%016x", num) }
