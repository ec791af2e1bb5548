package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"chestnutstack/platform/standin"
)

// record is the file record.txt of a script: what was sent, answered and run, with the time since the script began.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: io.MultiWriter(fil, os.Stdout), began: time.Now()}, nil
}

func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.3f s  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// start is a run that a backend server has begun.
type start struct {
	task, server string
	at           time.Time
}

// ledger has all starts.
type ledger struct {
	rec *record
	mu  sync.Mutex
	// seen has the runs that were begun, by task and number.
	seen   map[string]bool
	starts []start
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, seen: map[string]bool{}} }

func (ldg *ledger) began(server, task string, number int64) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	key := fmt.Sprintf("%s %s %d", server, task, number)
	if ldg.seen[key] {
		return // The order was sent again.
	}
	ldg.seen[key] = true
	ldg.starts = append(ldg.starts, start{task: task, server: server, at: time.Now()})
	ldg.rec.note("%s has started task %s", server, task)
}

// of returns the starts of a job's tasks.
func (ldg *ledger) of(job string) []start {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	var sts []start
	for _, sta := range ldg.starts {
		if strings.HasPrefix(sta.task, job+".") {
			sts = append(sts, sta)
		}
	}
	return sts
}

// server is a backend server whose starts are recorded.
type server struct {
	name, zone, address string
	*standin.Server
	ldg *ledger

	mu sync.Mutex
	// token is the highest fencing token in a call that was carried out, since tokenAt.
	token   int64
	tokenAt time.Time
	// heldAt is when a leader last called to hear of ends.
	heldAt time.Time
	// down is set while the server is down.
	down bool
	// losing has orders that get no answer and are carried out later; nil if there are none.
	losing *losing
}

// losing has a number of orders to start one task left unanswered, at whatever server, and carried out late.
type losing struct {
	late time.Duration

	mu   sync.Mutex
	task string
	left int
	// at is the server that left them unanswered.
	at *server
}

// loses reports whether an order to start a task is left unanswered. The first task that is ordered is the one.
func (los *losing) loses(srv *server, task string) bool {
	los.mu.Lock()
	defer los.mu.Unlock()
	if los.task == "" {
		los.task, los.at = task, srv
	}
	if los.left == 0 || los.task != task || los.at != srv {
		return false
	}
	los.left--
	return true
}

// lost returns the server that left the orders unanswered, nil if there are orders left to come.
func (los *losing) lost() *server {
	los.mu.Lock()
	defer los.mu.Unlock()
	if los.left > 0 {
		return nil
	}
	return los.at
}

// obeyed notes the fencing token of a call that was carried out.
func (srv *server) obeyed(token int64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if token > srv.token {
		srv.token, srv.tokenAt = token, time.Now()
	}
}

// noteHold notes that a leader has called to hear of ends.
func (srv *server) noteHold() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.heldAt = time.Now()
}

// held returns when a leader last called to hear of ends.
func (srv *server) held() time.Time {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.heldAt
}

// leader returns the highest fencing token, and when it came.
func (srv *server) leader() (token int64, since time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.token, srv.tokenAt
}

// setDown has the server leave calls without an answer, or ends that.
func (srv *server) setDown(down bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.down = down
}

func (srv *server) isDown() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.down
}

// addServer starts a backend server and lists it.
func (sys *system) addServer(name, zone string) error {
	srv := &server{name: name, zone: zone, ldg: sys.ldg, Server: standin.NewServer(name, serverProcessor, serverMemory, sys.std, func(payload string) standin.Work {
		sys.rec.note("%s runs a task, %s", name, payload)
		return parseWork(payload, sys.processor)
	})}
	if !sys.bornTold {
		srv.HideIncarnation()
	}
	adr, err := sys.serve("127.0.0.1", srv)
	if err != nil {
		return err
	}
	srv.address = adr
	sys.servers = append(sys.servers, srv)
	sys.sto.List(srv.Server, service, adr, zone, false)
	return nil
}

// heldAnswer is an answer that is sent once it is whole.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (hld *heldAnswer) Header() http.Header { return hld.header }

// WriteHeader implements http.ResponseWriter.
func (hld *heldAnswer) WriteHeader(status int) { hld.status = status }

// Write implements http.ResponseWriter.
func (hld *heldAnswer) Write(data []byte) (int, error) { return hld.body.Write(data) }

// ServeHTTP implements http.Handler.
func (srv *server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if srv.isDown() {
		panic(http.ErrAbortHandler)
	}
	var ord struct {
		Task       string
		RunID      int64 `json:"RunId"`
		FenceToken int64
	}
	if json.Unmarshal(body, &ord) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if srv.losing != nil && req.URL.Path == "/api/run-start" && srv.losing.loses(srv, ord.Task) {
		srv.ldg.rec.note("%s leaves the order to start task %s unanswered", srv.name, ord.Task)
		late := req.Clone(context.WithoutCancel(req.Context()))
		time.AfterFunc(srv.losing.late, func() {
			late.Body = io.NopCloser(bytes.NewReader(body))
			srv.Server.ServeHTTP(&heldAnswer{header: http.Header{}}, late)
		})
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	swr := &heldAnswer{header: http.Header{}}
	srv.Server.ServeHTTP(swr, req)
	if swr.status == 0 {
		panic(http.ErrAbortHandler) // An order that is left unanswered gets no answer.
	}
	maps.Copy(wrt.Header(), swr.header)
	wrt.WriteHeader(swr.status)
	_, _ = wrt.Write(swr.body.Bytes()) // The caller may have gone.
	if swr.status != http.StatusOK {
		return
	}
	srv.obeyed(ord.FenceToken)
	switch req.URL.Path {
	case "/api/run-start":
		srv.ldg.began(srv.name, ord.Task, ord.RunID)
	case "/api/hold":
		srv.noteHold()
	}
}

// makePayload says how long a task takes, parseWork reads it.
func makePayload(id string, takes time.Duration) string {
	return fmt.Sprintf("takes %d ms, of job %s", takes.Milliseconds(), id)
}

func parseWork(payload string, processor int64) standin.Work {
	var millis int64
	_, _ = fmt.Sscanf(payload, "takes %d ms", &millis) // All payloads are like that.
	return standin.Work{Takes: time.Duration(millis) * time.Millisecond, Processor: processor, Memory: taskMemory}
}
