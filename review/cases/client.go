package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"chestnutstack/platform/standin"
)

const (
	taskProcessor = 2000
	taskMemory    = 64
)

// job is a best-effort job whose steps follow each other, with one task each.
type job struct {
	id    string
	steps int
	takes time.Duration
	// patience is how long the client waits for the answer.
	patience time.Duration
	// cancelledAt is when a daemon acknowledged the cancelling, by is that daemon.
	cancelledAt time.Time
	by          string
}

// answer is what a client has got; its status is 0 if that is nothing.
type answer struct {
	status int
	body   string
	err    error
}

func (sys *system) newJob(id string, steps int, takes, patience time.Duration) *job {
	jb := &job{id: id, steps: steps, takes: takes, patience: patience}
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.jobs[id] = jb
	return jb
}

func (jb *job) body() []byte {
	steps := make([]map[string]any, 0, jb.steps)
	for num := range jb.steps {
		stp := map[string]any{"Count": 1, "Cpu": taskProcessor, "MemMb": taskMemory, "EstRuntimeMs": jb.takes.Milliseconds()}
		if num > 0 {
			stp["DependsOn"] = []int{num - 1}
		}
		steps = append(steps, stp)
	}
	data, _ := json.Marshal(map[string]any{"Spec": payloadOf(jb.takes), "BestEffort": true, "Steps": steps}) // Strings and numbers.
	return data
}

// submit hands a job in at a daemon and waits for the answer.
func (sys *system) submit(dmn *daemon, jb *job) answer {
	sys.rec.note("client sends job %s of %d steps of %v to %s", jb.id, jb.steps, jb.takes, dmn.name)
	ans := call(http.MethodPost, dmn, jb.id, jb.body(), jb.patience)
	sys.rec.note("client gets %s for job %s from %s", ans, jb.id, dmn.name)
	return ans
}

// cancel asks a daemon to cancel a job.
func (sys *system) cancel(dmn *daemon, jb *job) answer {
	ans := call(http.MethodDelete, dmn, jb.id, nil, patienceOfCancel)
	sys.rec.note("client cancels job %s at %s and gets %s", jb.id, dmn.name, ans)
	if ans.status/100 == 2 || ans.status == http.StatusGone {
		sys.mu.Lock()
		defer sys.mu.Unlock()
		jb.cancelledAt, jb.by = time.Now(), dmn.name
	}
	return ans
}

const patienceOfCancel = 2 * time.Second

// call sends a request on a channel of its own.
func call(method string, dmn *daemon, id string, body []byte, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(dmn.ip, strconv.Itoa(frontPort))+queue+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = standin.Host
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chestnutstack-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rep, err := cli.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rep.Body.Close() }() // It was read to its end, or the error says so.
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: rep.StatusCode, body: string(data)}
}

// refused reports whether no channel was opened, as no process listens.
func (ans answer) refused() bool { return errors.Is(ans.err, syscall.ECONNREFUSED) }

// String returns the answer as the record has it.
func (ans answer) String() string {
	switch {
	case ans.refused():
		return "no channel"
	case ans.err != nil:
		return "no answer"
	}
	return fmt.Sprintf("%d %s", ans.status, ans.body)
}
