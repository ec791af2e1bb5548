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
func (wld *world) send(ctx context.Context, to string, job jobSpec) int {
	status, _ := wld.call(ctx, to, job)
	return status
}

func (wld *world) call(ctx context.Context, to string, job jobSpec) (int, string) {
	return wld.callHost(ctx, wld.entries[to].host, job)
}

func (wld *world) callHost(ctx context.Context, host string, job jobSpec) (int, string) {
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
	rep, err := wld.client().Submit(ctx, host+":1", &standin.Job{
		ID: job.id, Queue: job.path, Tasks: job.tasks, Processor: job.processor(), Memory: 64,
		Expected: job.expected, Payload: string(text), Patience: job.patience,
	})
	if err != nil {
		return 0, err.Error()
	}
	return rep.Status, rep.Body
}

func (wld *world) client() *standin.Client {
	return standin.NewClient(&http.Client{
		Transport: &http.Transport{DialContext: wld.net.Dialer(clientHost), DisableKeepAlives: true},
	})
}

// queue asks an instance for a queue and returns the status, 0 if there was no answer.
func (wld *world) queue(at, path string) int {
	rep, err := wld.client().Queue(wld.ctx, wld.entries[at].host+":1", path)
	if err != nil {
		return 0
	}
	return rep.Status
}

// sent is a submission in progress.
type sent struct {
	status int
	took   time.Duration
	body   string
	done   chan struct{}
}

func (wld *world) sendAsync(ctx context.Context, to string, job jobSpec) *sent {
	snt := &sent{done: make(chan struct{})}
	// The caller's address is fixed now: the instance of that name may be another one when it sends.
	host := wld.entries[to].host
	wld.grp.Go(func() error {
		defer close(snt.done)
		began := time.Now()
		snt.status, snt.body = wld.callHost(ctx, host, job)
		snt.took = time.Since(began)
		return nil
	})
	return snt
}

func jobID(num int) string { return fmt.Sprintf("%016x", num) }
