package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// body returns the body of the request that hands a job in.
func (jb *job) body() []byte {
	steps := []map[string]any{}
	for _, stp := range jb.steps {
		row := map[string]any{"Count": stp.count, "Cpu": stp.cpu, "MemMb": stp.mem, "EstRuntimeMs": stp.took.Milliseconds()}
		if len(stp.dependsOn) > 0 {
			row["DependsOn"] = stp.dependsOn
		}
		if stp.label != "" {
			row["RequiredLabel"] = stp.label
		}
		if stp.rack != "" {
			row["DataRack"] = stp.rack
		}
		if stp.perServer > 0 {
			row["MaxPerServer"] = stp.perServer
		}
		steps = append(steps, row)
	}
	data, _ := json.Marshal(map[string]any{"Spec": jb.spec, "BestEffort": true, "Steps": steps})
	return data
}

// call sends one request on a connection of its own and returns the answer; status 0 means that there was none.
func call(ctx context.Context, method, front string, que queue, id string, body []byte, patience time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+que.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host, req.GetBody = que.host, nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chestnutstack-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rep, err := cli.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rep.Body.Close() }()
	data, err := io.ReadAll(rep.Body)
	if err != nil {
		return 0, "", err
	}
	return rep.StatusCode, string(bytes.TrimSpace(data)), nil
}

// handIn sends a job once to a daemon and waits for the answer; status 0 means that there was none.
func (wld *world) handIn(ctx context.Context, dmn *daemon, jb *job) int {
	wld.jdg.mu.Lock()
	jb.tries++
	wld.jdg.note("POST %s to %s", jb.id, dmn.name)
	wld.jdg.mu.Unlock()
	status, body, err := call(ctx, http.MethodPost, dmn.front(), jb.q, jb.id, jb.body(), jb.patience)
	if err != nil {
		wld.jdg.say("no answer to POST %s: %v", jb.id, err)
		return 0
	}
	wld.jdg.answered(jb, status, body)
	return status
}

// cancelJob asks a daemon to cancel a job and returns the status, 0 if there was none.
func (wld *world) cancelJob(ctx context.Context, dmn *daemon, jb *job) int {
	wld.jdg.say("DELETE %s to %s", jb.id, dmn.name)
	status, body, err := call(ctx, http.MethodDelete, dmn.front(), jb.q, jb.id, nil, 4*time.Second)
	wld.jdg.mu.Lock()
	defer wld.jdg.mu.Unlock()
	if err != nil {
		wld.jdg.note("no answer to DELETE %s by %s: %v", jb.id, dmn.name, err)
		return 0
	}
	wld.jdg.note("answer to DELETE %s by %s: %d %s", jb.id, dmn.name, status, body)
	if (status == http.StatusOK || status == http.StatusGone) && jb.cancelledAt.IsZero() {
		jb.cancelledAt = time.Now()
	}
	return status
}
