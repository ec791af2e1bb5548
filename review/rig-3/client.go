package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is a job of a client: a chain of steps of the same tasks each, whose answer comes when it has ended.
type job struct {
	id, prefix string
	steps      int
	// tasks is how many each step has, 0 for one, cpu what each takes in thousandths of a core, 0 for 500; label is one that runners must have.
	tasks int
	cpu   int64
	// perServer is how many of a step may run on one runner, 0 for any number.
	perServer int
	label     string
	takes     time.Duration
	// estimate is what the client says of takes, 0 for that.
	estimate time.Duration
	patience time.Duration
}

// spec returns the payload: what the runners and the record need to know.
func (jb *job) spec() string {
	txt := fmt.Sprintf("job %s cpu %d takes %d", jb.id, cmp.Or(jb.cpu, 500), jb.takes.Milliseconds())
	if jb.label != "" {
		txt += " on " + jb.label
	}
	return txt
}

func (jb *job) body() []byte {
	stps := []map[string]any{}
	for num := range jb.steps {
		stp := map[string]any{"Count": cmp.Or(jb.tasks, 1), "Cpu": cmp.Or(jb.cpu, 500), "MemMb": 64, "EstRuntimeMs": cmp.Or(jb.estimate, jb.takes).Milliseconds()}
		if jb.perServer > 0 {
			stp["MaxPerServer"] = jb.perServer
		}
		if jb.label != "" {
			stp["RequiredLabel"] = jb.label
		}
		if num > 0 {
			stp["DependsOn"] = []int{num - 1}
		}
		stps = append(stps, stp)
	}
	data, _ := json.Marshal(map[string]any{"Spec": jb.spec(), "Steps": stps, "BestEffort": true}) // Strings and numbers.
	return data
}

// call sends one request on a channel of its own. The status is 0 if no answer comes.
func (dep *deployment) call(ctx context.Context, dmn *daemon, method string, jb *job, body []byte) (status int) {
	url := fmt.Sprintf("http://%s:%d%s%s", dmn.ip, frontPort, jb.prefix, jb.id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host, req.GetBody = host, nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Chestnutstack-Deadline-Ms", strconv.FormatInt(jb.patience.Milliseconds(), 10))
	}
	dep.rec.note("client %s %s%s at %s", method, jb.prefix, jb.id, dmn.name)
	rep, err := dep.client.Do(req)
	if err != nil {
		dep.rec.note("client %s %s%s at %s: no answer (%v)", method, jb.prefix, jb.id, dmn.name, shorten(err))
		return 0
	}
	defer func() { _ = rep.Body.Close() }() // It was read to its end, or the answer counts as lost.
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return 0
	}
	dep.rec.note("client %s %s%s at %s: %d %s", method, jb.prefix, jb.id, dmn.name, rep.StatusCode, strings.TrimSpace(string(data)))
	return rep.StatusCode
}

// shorten returns the last part of an error of the network.
func shorten(err error) string {
	txt := err.Error()
	return txt[strings.LastIndex(txt, ": ")+1:]
}

// submit sends a job in the background.
func (dep *deployment) submit(ctx context.Context, wgr *sync.WaitGroup, dmn *daemon, jb *job) {
	wgr.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, jb.patience)
		defer cancel()
		dep.call(ctx, dmn, http.MethodPost, jb, jb.body())
	})
}

// acknowledged reports whether a status acknowledges the cancelling of a job.
func acknowledged(status int) bool { return status/100 == 2 || status == http.StatusGone }
