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
	"sync"
	"time"
)

// job is a job of a client: a chain of steps of one task each, whose answer comes when it has ended.
type job struct {
	id, prefix string
	steps      int
	takes      time.Duration
	patience   time.Duration
}

func (jb *job) spec() string { return fmt.Sprintf("job %s takes %d", jb.id, jb.takes.Milliseconds()) }

func (jb *job) body() []byte {
	stps := []map[string]any{}
	for num := range jb.steps {
		stp := map[string]any{"Count": 1, "Cpu": 500, "MemMb": 64, "EstRuntimeMs": jb.takes.Milliseconds()}
		if num > 0 {
			stp["DependsOn"] = []int{num - 1}
		}
		stps = append(stps, stp)
	}
	data, _ := json.Marshal(map[string]any{"Spec": jb.spec(), "Steps": stps, "BestEffort": true}) // Strings and numbers.
	return data
}

// call sends one request on a channel of its own. The status is 0 if no answer comes.
func (dep *deployment) call(ctx context.Context, dmn *daemon, method string, jb *job, body []byte) (status int, text string) {
	url := fmt.Sprintf("http://%s:%d%s%s", dmn.ip, frontPort, jb.prefix, jb.id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
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
		return 0, ""
	}
	defer func() { _ = rep.Body.Close() }() // It was read to its end, or the answer counts as lost.
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return 0, ""
	}
	text = strings.TrimSpace(string(data))
	dep.rec.note("client %s %s%s at %s: %d %s", method, jb.prefix, jb.id, dmn.name, rep.StatusCode, text)
	return rep.StatusCode, text
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
