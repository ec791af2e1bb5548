package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chestnutstack/platform/standin"
)

// start is a task that a backend server has begun.
type start struct {
	job, task, server string
	run               int64
	at                time.Time
}

// backend is a stand-in for a backend server that tells the system what starts on it.
type backend struct {
	sys *system
	id  string
	srv *standin.Server
}

func (sys *system) addServer(id, zone string) error {
	srv := standin.NewServer(id, serverProcessor, serverMemory, sys.ldg, workOf)
	srv.HideIncarnation()
	address, err := sys.serve(&backend{sys: sys, id: id, srv: srv})
	if err != nil {
		return err
	}
	sys.sto.List(srv, service, address, zone, false)
	return nil
}

// ServeHTTP implements http.Handler.
func (bck *backend) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/api/run-start" {
		bck.srv.ServeHTTP(wrt, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	var ord struct {
		Task  string
		RunID int64 `json:"RunId"`
	}
	if err := json.Unmarshal(body, &ord); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	seen := &statusWriter{ResponseWriter: wrt}
	bck.srv.ServeHTTP(seen, req)
	if seen.status == http.StatusOK {
		bck.sys.noteStart(start{task: ord.Task, run: ord.RunID, server: bck.id, at: time.Now()})
	}
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (wrt *statusWriter) WriteHeader(status int) {
	wrt.status = status
	wrt.ResponseWriter.WriteHeader(status)
}

// noteStart records a start; one that is ordered again is the same.
func (sys *system) noteStart(srt start) {
	srt.job, _, _ = strings.Cut(srt.task, ".")
	sys.mu.Lock()
	defer sys.mu.Unlock()
	for _, oth := range sys.starts {
		if oth.task == srt.task && oth.run == srt.run && oth.server == srt.server {
			return
		}
	}
	sys.starts = append(sys.starts, srt)
	sys.rec.note("%s starts task %s, run %d", srt.server, srt.task, srt.run)
}

// payloadOf says what a task does, workOf reads it.
func payloadOf(takes time.Duration) string { return fmt.Sprintf("takes %d", takes.Milliseconds()) }

func workOf(payload string) standin.Work {
	var millis int64
	if _, err := fmt.Sscanf(payload, "takes %d", &millis); err != nil {
		return standin.Work{Fails: true, Processor: taskProcessor, Memory: taskMemory}
	}
	return standin.Work{Takes: time.Duration(millis) * time.Millisecond, Processor: taskProcessor, Memory: taskMemory}
}
