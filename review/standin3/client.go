package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutstack/platform/standin"
)

const (
	queue      = "/lohu930/"
	taskMemory = 64
	// A large task needs the most processor that one of the site does.
	smallTask = 4000
	largeTask = 20000
)

// job is a job of steps, which follow each other, of so many tasks each; of one if that is 0.
type job struct {
	id       string
	steps    int
	tasks    int
	takes    time.Duration
	deadline time.Duration
}

// answer is what a client got: a status, or the error of its connection.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (ans answer) String() string {
	if ans.err != nil {
		return "no answer: " + ans.err.Error()
	}
	return fmt.Sprintf("%d %s", ans.status, strings.TrimSpace(ans.body))
}

// client sends each request on a connection of its own, as the platform forwards new channels.
type client struct {
	rec  *record
	http *http.Client
	// processor is what each task needs, in thousandths of a core.
	processor int64
}

func newClient(sys *system) *client {
	return &client{rec: sys.rec, processor: sys.processor, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// submit hands a job in at a daemon and waits for its end.
func (cli *client) submit(ctx context.Context, to *daemon, job job) {
	stps := make([]map[string]any, job.steps)
	for num := range stps {
		stps[num] = map[string]any{"Count": max(1, job.tasks), "Cpu": cli.processor, "MemMb": taskMemory, "EstRuntimeMs": job.takes.Milliseconds()}
		if num > 0 {
			stps[num]["DependsOn"] = []int{num - 1}
		}
	}
	body, _ := json.Marshal(map[string]any{"Spec": makePayload(job.id, job.takes), "BestEffort": true, "Steps": stps}) // Strings and numbers.
	cli.rec.note("POST of job %s to %s", job.id, to.name)
	ans := cli.call(ctx, http.MethodPost, to, queue+job.id, body, job.deadline)
	cli.rec.note("POST of job %s at %s is answered %v", job.id, to.name, ans)
}

// call sends a request once.
func (cli *client) call(ctx context.Context, method string, to *daemon, path string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.GetBody = nil // The transport would send the request twice by itself.
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chestnutstack-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	rep, err := cli.http.Do(req)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer func() { _ = rep.Body.Close() }() // It was read to its end, or the error says so.
	data, err := io.ReadAll(rep.Body)
	return answer{status: rep.StatusCode, body: string(data), err: err, at: time.Now()}
}

// cancel sends a DELETE until it is answered 2xx or 410, and returns that answer.
func (cli *client) cancel(ctx context.Context, to *daemon, id string, pause time.Duration) (answer, bool) {
	for tries := 1; ctx.Err() == nil; tries++ {
		ans := cli.call(ctx, http.MethodDelete, to, queue+id, nil, cancelDeadline)
		if ans.err == nil {
			cli.rec.note("DELETE of job %s at %s, try %d, is answered %v", id, to.name, tries, ans)
		}
		if ans.err == nil && (ans.status/100 == 2 || ans.status == http.StatusGone) {
			return ans, true
		}
		sleep(ctx, pause)
	}
	return answer{}, false
}

// cancelDeadline is how long a client waits for the answer to a DELETE.
const cancelDeadline = 2 * time.Second
