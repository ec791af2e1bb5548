package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// stopTime is what a stop or the end of a lease takes; the pages allow 50 ms (StopMs).
const stopTime = 20 * time.Millisecond

// longestLease is HoldMaxMs.
const longestLease = time.Second

// runner is a stand-in for a runner, by PROTOCOL.md, "Running tasks".
type runner struct {
	id, zone, address string
	rec               *record
	work              func(spec string) time.Duration
	srv               *http.Server
	began             time.Time

	mu       sync.Mutex
	fence    int64
	until    int64
	running  map[string]*run
	highest  map[string]int64
	finished [][5]any
	count    int64
	changed  chan struct{}
}

// run is a started task.
type run struct {
	task     string
	number   int64
	began    time.Time
	takes    time.Duration
	stopping bool
	timer    *time.Timer
}

// call is the body of a call to a runner.
type call struct {
	Task                 string
	RunID                int64 `json:"RunId"`
	Spec                 string
	UntilMs              int64
	FenceToken, LastSeen int64
	WaitMs               int64
}

// answer is the body of a runner's answer.
type answer struct {
	ClockMs  int64
	Reason   string   `json:",omitempty"`
	Running  [][5]any `json:",omitempty"`
	Finished [][5]any `json:",omitempty"`
}

// newRunner starts a runner whose tasks take what work says of their Spec.
func newRunner(id, zone string, rec *record, work func(spec string) time.Duration) (*runner, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rnr := &runner{
		id: id, zone: zone, address: lis.Addr().String(), rec: rec, work: work, began: time.Now(), running: map[string]*run{},
		highest: map[string]int64{}, changed: make(chan struct{}),
	}
	rnr.srv = &http.Server{Handler: rnr, ReadHeaderTimeout: time.Minute}
	rec.group.Go(func() error {
		_ = rnr.srv.Serve(lis) // It ends with the play.
		return nil
	})
	rec.group.Go(func() error {
		rnr.expire()
		return nil
	})
	return rnr, nil
}

// clock is the runner's steady clock in milliseconds.
func (rnr *runner) clock() int64 { return time.Since(rnr.began).Milliseconds() }

// expire kills what runs once the lease has ended.
func (rnr *runner) expire() {
	for !rnr.rec.isOver() {
		time.Sleep(5 * time.Millisecond)
		rnr.mu.Lock()
		if rnr.clock() >= rnr.until {
			for _, rn := range rnr.running {
				rnr.kill(rn, "lapsed")
			}
		}
		rnr.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (rnr *runner) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var cll call
	if err := json.NewDecoder(req.Body).Decode(&cll); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Chestnutstack-Expect-Instance"); want != "" && want != rnr.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	status, ans := http.StatusOK, answer{}
	switch {
	case cll.FenceToken < rnr.fence:
		status, ans.Reason = http.StatusConflict, "fence"
	case req.URL.Path == "/api/run-start":
		rnr.fence = cll.FenceToken
		if ans.Reason = rnr.start(&cll); ans.Reason != "" {
			status = http.StatusConflict
		}
	case req.URL.Path == "/api/run-stop":
		rnr.fence = cll.FenceToken
		rnr.stop(&cll)
	case req.URL.Path == "/api/hold":
		rnr.fence = cll.FenceToken
		rnr.hold(req, &cll)
		rnr.list(&ans)
	default:
		status = http.StatusNotFound
	}
	ans.ClockMs = rnr.clock()
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(ans) // The caller may have gone.
}

// extend extends the lease; the lock is held.
func (rnr *runner) extend(until int64) {
	rnr.until = max(rnr.until, min(until, rnr.clock()+longestLease.Milliseconds()))
}

// start starts a run, or returns why not; the lock is held.
func (rnr *runner) start(cll *call) string {
	old := rnr.running[cll.Task]
	switch {
	case old != nil && old.number == cll.RunID:
		rnr.extend(cll.UntilMs)
		return ""
	case cll.RunID <= rnr.highest[cll.Task]:
		rnr.extend(cll.UntilMs)
		return "old"
	case cll.UntilMs <= rnr.clock():
		return "late"
	}
	rnr.extend(cll.UntilMs)
	rn := &run{task: cll.Task, number: cll.RunID, began: time.Now(), takes: rnr.work(cll.Spec)}
	rnr.highest[cll.Task] = cll.RunID
	rnr.running[cll.Task] = rn
	rnr.rec.began(rnr.id, rn)
	rn.timer = time.AfterFunc(rn.takes, func() {
		rnr.mu.Lock()
		defer rnr.mu.Unlock()
		rnr.end(rn, "done")
	})
	return ""
}

// stop ends a run and bars those up to its number; the lock is held.
func (rnr *runner) stop(cll *call) {
	rnr.highest[cll.Task] = max(rnr.highest[cll.Task], cll.RunID)
	if rn := rnr.running[cll.Task]; rn != nil && rn.number <= cll.RunID {
		rnr.kill(rn, "stopped")
	}
}

// kill ends a run after the time that this takes; the lock is held.
func (rnr *runner) kill(rn *run, how string) {
	if rn.stopping {
		return
	}
	rn.stopping = true
	rn.timer.Stop()
	time.AfterFunc(stopTime, func() {
		rnr.mu.Lock()
		defer rnr.mu.Unlock()
		rnr.end(rn, how)
	})
}

// end notes the end of a run; the lock is held.
func (rnr *runner) end(rn *run, how string) {
	if rnr.running[rn.task] != rn {
		return
	}
	delete(rnr.running, rn.task)
	rnr.count++
	rnr.finished = append(rnr.finished, [5]any{rnr.count, rn.task, rn.number, how, ""})
	rnr.rec.ended(rnr.id, rn, how)
	close(rnr.changed)
	rnr.changed = make(chan struct{})
}

// hold extends the lease, forgets ends and waits for one; the lock is held but for the wait.
func (rnr *runner) hold(req *http.Request, cll *call) {
	if cll.UntilMs > 0 {
		rnr.extend(cll.UntilMs)
	}
	rnr.finished = slices.DeleteFunc(rnr.finished, func(row [5]any) bool { return row[0].(int64) <= cll.LastSeen })
	if cll.WaitMs <= 0 || len(rnr.finished) > 0 {
		return
	}
	chn := rnr.changed
	rnr.mu.Unlock()
	select {
	case <-chn:
	case <-time.After(time.Duration(cll.WaitMs) * time.Millisecond):
	case <-req.Context().Done():
	}
	rnr.mu.Lock()
}

// list adds what runs and the oldest 500 ends; the lock is held.
func (rnr *runner) list(ans *answer) {
	for _, rn := range rnr.running {
		percent := min(100, int64(time.Since(rn.began)*100/rn.takes))
		ans.Running = append(ans.Running, [5]any{rn.task, rn.number, "", percent, 1000})
	}
	ans.Finished = rnr.finished[:min(len(rnr.finished), 500)]
}
