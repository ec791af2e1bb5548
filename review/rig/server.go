package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stopTime   = 50 * time.Millisecond
	longestMs  = 1000
	listedEnds = 500
)

// server is one life of a backend server that guards nothing.
type server struct {
	id, service, zone, address string
	labels                     []string
	cpu, mem                   int64
	jdg                        *judge
	work                       func(spec string) (took time.Duration, fails bool)
	drainingAt                 time.Time

	mu       sync.Mutex
	began    time.Time
	gone     bool
	token    int64
	lease    atomic.Int64
	running  map[string]*srvRun
	highest  map[string]int64
	finished [][5]any
	count    int64
	changed  chan struct{}
	seq      int64
	// lateShare has orders that get no answer and are carried out late.
	lateShare func() time.Duration
}

// srvRun is a run of a task. The judge asks for over and until with its own lock.
type srvRun struct {
	task     string
	number   int64
	srv      *server
	cpu, mem int64
	step     int
	over     bool
	stopping bool
	tmr      *time.Timer
	startAt  time.Time
	took     time.Duration
}

// alive reports whether a run counts; the judge's lock is held.
func (rn *srvRun) alive(now time.Time) bool {
	return !rn.over && !now.After(rn.srv.leaseEnd().Add(stopTime))
}

func newServer(id, service, zone string, labels []string, cpu, mem int64, jdg *judge) *server {
	return &server{
		id: id, service: service, zone: zone, labels: labels, cpu: cpu, mem: mem, jdg: jdg, began: time.Now(),
		running: map[string]*srvRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (srv *server) has(label string) bool { return slices.Contains(srv.labels, label) }

func (srv *server) clock() int64 { return time.Since(srv.began).Milliseconds() * 98 / 100 }

// leaseEnd returns when the lease ends; it is asked without the server's lock, and is exact while nobody renews.
func (srv *server) leaseEnd() time.Time {
	return srv.began.Add(time.Duration(srv.lease.Load()) * time.Millisecond * 100 / 98)
}

type order struct {
	Task       string
	RunID      int64 `json:"RunId"`
	Spec       string
	UntilMs    int64
	FenceToken int64
	LastSeen   int64
	WaitMs     int64
}

type answer struct {
	ClockMs  int64
	Reason   string   `json:",omitempty"`
	Running  [][5]any `json:",omitempty"`
	Finished [][5]any `json:",omitempty"`
}

// ServeHTTP implements http.Handler.
func (srv *server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Chestnutstack-Expect-Instance"); want != "" && want != srv.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	srv.mu.Lock()
	late := srv.lateShare
	gone := srv.gone
	srv.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	if late != nil && req.URL.Path != "/api/hold" {
		if dur := late(); dur > 0 {
			time.AfterFunc(dur, func() {
				srv.mu.Lock()
				defer srv.mu.Unlock()
				srv.carryOut(req, &ord)
			})
			<-req.Context().Done()
			return
		}
	}
	srv.mu.Lock()
	status, ans := srv.carryOut(req, &ord)
	gone = srv.gone
	srv.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(ans)
}

func (srv *server) refuse(reason string) (int, answer) {
	return http.StatusConflict, answer{ClockMs: srv.clock(), Reason: reason}
}

func (srv *server) carryOut(req *http.Request, ord *order) (int, answer) {
	if srv.gone {
		return http.StatusServiceUnavailable, answer{}
	}
	srv.expire()
	if ord.FenceToken < srv.token {
		return srv.refuse("fence")
	}
	srv.token = ord.FenceToken
	switch req.URL.Path {
	case "/api/run-start":
		old := srv.running[ord.Task]
		switch {
		case old != nil && old.number == ord.RunID:
			srv.renew(ord.UntilMs)
		case ord.RunID <= srv.highest[ord.Task]:
			srv.renew(ord.UntilMs)
			return srv.refuse("old")
		case ord.UntilMs <= srv.clock():
			return srv.refuse("late")
		default:
			srv.start(ord)
		}
	case "/api/run-stop":
		srv.highest[ord.Task] = max(srv.highest[ord.Task], ord.RunID)
		if rn := srv.running[ord.Task]; rn != nil && rn.number <= ord.RunID && !rn.stopping {
			rn.stopping = true
			rn.tmr.Stop()
			time.AfterFunc(stopTime, func() { srv.end(rn, "stopped") })
		}
	case "/api/hold":
		srv.hold(req, ord)
		return http.StatusOK, srv.list()
	}
	return http.StatusOK, answer{ClockMs: srv.clock()}
}

func (srv *server) start(ord *order) {
	srv.renew(ord.UntilMs)
	took, fails := srv.work(ord.Spec)
	rn := &srvRun{task: ord.Task, number: ord.RunID, srv: srv, startAt: time.Now()}
	if id, num, _, ok := split(ord.Task); ok {
		srv.jdg.mu.Lock()
		if jb := srv.jdg.jobs[id]; jb != nil && num < len(jb.steps) {
			took = jb.steps[num].took
		}
		srv.jdg.mu.Unlock()
	}
	rn.took = took
	srv.highest[ord.Task] = ord.RunID
	srv.jdg.start(srv, rn, ord.Spec)
	srv.running[ord.Task] = rn
	how := "done"
	if fails {
		how = "failed"
	}
	rn.tmr = time.AfterFunc(took, func() { srv.end(rn, how) })
}

func (srv *server) end(rn *srvRun, how string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.endLocked(rn, how)
}

func (srv *server) endLocked(rn *srvRun, how string) {
	if srv.running[rn.task] != rn {
		return
	}
	rn.tmr.Stop()
	delete(srv.running, rn.task)
	srv.count++
	srv.finished = append(srv.finished, [5]any{srv.count, rn.task, rn.number, how, ""})
	srv.jdg.end(rn, how)
	close(srv.changed)
	srv.changed = make(chan struct{})
}

// expire ends what runs if the lease is over; the lock is held.
func (srv *server) expire() {
	if srv.clock() < srv.lease.Load() {
		return
	}
	for _, rn := range srv.running {
		if !rn.stopping {
			srv.endLocked(rn, "lapsed")
		}
	}
}

// renew extends the lease of all that runs; the lock is held.
func (srv *server) renew(until int64) {
	until = min(until, srv.clock()+longestMs)
	if until <= srv.lease.Load() {
		return
	}
	srv.lease.Store(until)
	left := time.Duration(until-srv.clock()+1) * time.Millisecond * 100 / 98
	time.AfterFunc(left, func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.expire()
	})
}

func (srv *server) hold(req *http.Request, ord *order) {
	srv.renew(ord.UntilMs)
	srv.finished = slices.DeleteFunc(srv.finished, func(row [5]any) bool { return row[0].(int64) <= ord.LastSeen })
	if ord.WaitMs == 0 || len(srv.finished) > 0 {
		return
	}
	chn := srv.changed
	srv.mu.Unlock()
	select {
	case <-chn:
	case <-time.After(time.Duration(ord.WaitMs) * time.Millisecond):
	case <-req.Context().Done():
	}
	srv.mu.Lock()
	srv.expire()
}

func (srv *server) list() answer {
	ans := answer{ClockMs: srv.clock()}
	for _, rn := range srv.running {
		percent := min(100, int64(time.Since(rn.startAt)*100/max(rn.took, 1)))
		ans.Running = append(ans.Running, [5]any{rn.task, rn.number, "", percent, rn.cpu})
	}
	ans.Finished = append(ans.Finished, srv.finished[:min(len(srv.finished), listedEnds)]...)
	return ans
}

// crash ends the life of the server.
func (srv *server) crash() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.gone = true
	for _, rn := range srv.running {
		rn.tmr.Stop()
		srv.jdg.end(rn, "crashed")
	}
	clear(srv.running)
	close(srv.changed)
	srv.changed = make(chan struct{})
}

// entry returns the record of the server.
func (srv *server) entry() map[string]any {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.seq++
	state := "ready"
	if !srv.drainingAt.IsZero() {
		state = "draining"
	}
	return map[string]any{
		"Service": srv.service, "Address": srv.address, "Zone": srv.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": srv.cpu, "MemMb": srv.mem, "Gpu": 0}, "Labels": srv.labels, "ClockMs": srv.clock(), "SeqNo": srv.seq,
	}
}
