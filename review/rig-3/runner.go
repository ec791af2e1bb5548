package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// stopTime is the most that a stop takes, and the end of a run whose lease has expired (StopMs).
const stopTime = 50 * time.Millisecond

// maxHold is the longest lease that a runner grants (HoldMaxMs).
const maxHold = time.Second

// runner is a stand-in for a backend server that keeps to the platform's pages and guards no capacity.
type runner struct {
	id, zone, address string
	rec               *record

	mu sync.Mutex
	// began is the start of the present life, capacity its processor in thousandths of a core, labels its kind and rack.
	began    time.Time
	capacity int64
	labels   []string
	srv      *http.Server
	// over is closed when the life ends.
	over     chan struct{}
	fence    int64
	until    time.Time
	running  map[string]*run
	finished [][]any
	ends     int64
	// highest is the highest run of each task that was started, stopped or has ended here.
	highest map[string]int64
	changed chan struct{}
}

// run is one run of a task.
type run struct {
	task     string
	number   int64
	cpu      int64
	takes    time.Duration
	startAt  time.Time
	stopping bool
}

func newRunner(id, zone string, rec *record, labels ...string) *runner {
	rnr := &runner{id: id, zone: zone, rec: rec, labels: labels, capacity: 32000}
	rnr.beginLife()
	return rnr
}

// beginLife begins a life that runs nothing and knows nothing of a former one; the lock is held or nobody else has the runner.
func (rnr *runner) beginLife() {
	rnr.began, rnr.fence, rnr.until, rnr.ends, rnr.finished = time.Now(), 0, time.Time{}, 0, nil
	rnr.running, rnr.highest = map[string]*run{}, map[string]int64{}
	rnr.changed, rnr.over = make(chan struct{}), make(chan struct{})
}

// listen serves calls at the runner's address, or at a free one if it has none yet.
func (rnr *runner) listen() error {
	adr := rnr.address
	if adr == "" {
		adr = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", adr)
	if err != nil {
		return err
	}
	rnr.address = lis.Addr().String()
	rnr.srv = &http.Server{Handler: rnr, ReadHeaderTimeout: time.Minute}
	go func() { _ = rnr.srv.Serve(lis) }() // It ends with the life.
	return nil
}

// restart crashes the runner and starts it again under its ID after a while, as a machine of another kind.
func (rnr *runner) restart(down time.Duration, capacity int64, kind string) error {
	rnr.rec.note("runner %s crashes", rnr.id)
	rnr.mu.Lock()
	for _, rn := range rnr.running {
		rn.stopping = true
		rnr.rec.ended(rnr.id, rn, "lost with its runner")
	}
	close(rnr.over)
	rnr.mu.Unlock()
	_ = rnr.srv.Close() // All channels break.
	time.Sleep(down)
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	rnr.beginLife()
	rnr.capacity, rnr.labels = capacity, append([]string{kind}, rnr.labels[1:]...)
	rnr.rec.note("runner %s has started again: Cpu %d, kind %s, born %d", rnr.id, capacity, kind, rnr.began.UnixMilli())
	return rnr.listen()
}

// entry returns what the runner says of itself in the store.
func (rnr *runner) entry() map[string]any {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	return map[string]any{
		"Service": service, "Address": rnr.address, "Zone": rnr.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"ClockMs": rnr.clock(), "SeqNo": 1, "born": rnr.began.UnixMilli(),
		"Capacity": map[string]int64{"Cpu": rnr.capacity, "MemMb": 131072, "Gpu": 0}, "Labels": rnr.labels,
	}
}

// order is the body of any call of a runner.
type order struct {
	Task       string
	RunID      int64 `json:"RunId"`
	Spec       string
	UntilMs    int64
	FenceToken int64
	LastSeen   int64
	WaitMs     int64
}

// ServeHTTP implements http.Handler.
func (rnr *runner) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var ord order
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Chestnutstack-Expect-Instance"); want != "" && want != rnr.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, ans := rnr.carryOut(req, &ord)
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(ans) // The caller may have gone.
}

func (rnr *runner) carryOut(req *http.Request, ord *order) (int, map[string]any) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if ord.FenceToken < rnr.fence {
		return http.StatusConflict, rnr.answer("fence")
	}
	rnr.fence = ord.FenceToken
	switch req.URL.Path {
	case "/api/run-start":
		if rsn := rnr.start(ord); rsn != "" {
			return http.StatusConflict, rnr.answer(rsn)
		}
		return http.StatusOK, rnr.answer("")
	case "/api/run-stop":
		rnr.highest[ord.Task] = max(rnr.highest[ord.Task], ord.RunID)
		if rn := rnr.running[ord.Task]; rn != nil && rn.number <= ord.RunID {
			rnr.kill(rn, "stopped")
		}
		return http.StatusOK, rnr.answer("")
	case "/api/hold":
		return http.StatusOK, rnr.hold(req, ord)
	}
	return http.StatusNotFound, rnr.answer("")
}

func (rnr *runner) clock() int64 { return time.Since(rnr.began).Milliseconds() }

func (rnr *runner) answer(reason string) map[string]any {
	ans := map[string]any{"ClockMs": rnr.clock()}
	if reason != "" {
		ans["Reason"] = reason
	}
	return ans
}

// renew extends the lease of all that runs here; it never shortens.
func (rnr *runner) renew(until int64) {
	end := rnr.began.Add(time.Duration(until) * time.Millisecond)
	if most := time.Now().Add(maxHold); end.After(most) {
		end = most
	}
	if end.After(rnr.until) {
		rnr.until = end
		time.AfterFunc(time.Until(end), rnr.lapse)
	}
}

// lapse ends what runs once the lease has expired.
func (rnr *runner) lapse() {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if time.Now().Before(rnr.until) {
		return
	}
	for _, rn := range rnr.running {
		rnr.kill(rn, "lapsed")
	}
}

func (rnr *runner) start(ord *order) (reason string) {
	if rn := rnr.running[ord.Task]; rn != nil && rn.number == ord.RunID {
		rnr.renew(ord.UntilMs)
		return ""
	}
	if ord.RunID <= rnr.highest[ord.Task] {
		rnr.renew(ord.UntilMs)
		return "old"
	}
	if ord.UntilMs <= rnr.clock() {
		return "late"
	}
	rnr.renew(ord.UntilMs)
	rn := &run{task: ord.Task, number: ord.RunID, startAt: time.Now()}
	rn.cpu, rn.takes = workOf(ord.Spec)
	rnr.highest[ord.Task], rnr.running[ord.Task] = ord.RunID, rn
	used := int64(0)
	for _, oth := range rnr.running {
		used += oth.cpu
	}
	rnr.rec.started(rnr, rn, ord.Spec, used)
	time.AfterFunc(rn.takes, func() {
		rnr.mu.Lock()
		defer rnr.mu.Unlock()
		if !rn.stopping {
			rnr.end(rn, "done")
		}
	})
	return ""
}

// workOf returns the thousandths of a core that a task with a payload takes, and for how long.
func workOf(spec string) (cpu int64, takes time.Duration) {
	var id string
	var ms int64
	_, _ = fmt.Sscanf(spec, "job %s cpu %d takes %d", &id, &cpu, &ms) // The rig has written it.
	return cpu, time.Duration(ms) * time.Millisecond
}

func (rnr *runner) kill(rn *run, how string) {
	if rn.stopping {
		return
	}
	rn.stopping = true
	time.AfterFunc(stopTime, func() {
		rnr.mu.Lock()
		defer rnr.mu.Unlock()
		rnr.end(rn, how)
	})
}

func (rnr *runner) end(rn *run, how string) {
	if rnr.running[rn.task] != rn {
		return // Its end is known, or its life is over.
	}
	delete(rnr.running, rn.task)
	rnr.ends++
	rnr.finished = append(rnr.finished, []any{rnr.ends, rn.task, rn.number, how, ""})
	rnr.rec.ended(rnr.id, rn, how)
	close(rnr.changed)
	rnr.changed = make(chan struct{})
}

func (rnr *runner) hold(req *http.Request, ord *order) map[string]any {
	if ord.UntilMs > 0 {
		rnr.renew(ord.UntilMs)
	}
	kept := [][]any{}
	for _, row := range rnr.finished {
		if row[0].(int64) > ord.LastSeen {
			kept = append(kept, row)
		}
	}
	rnr.finished = kept
	if len(kept) == 0 && ord.WaitMs > 0 {
		chn, over := rnr.changed, rnr.over
		rnr.mu.Unlock()
		select {
		case <-chn:
		case <-over:
		case <-time.After(time.Duration(ord.WaitMs) * time.Millisecond):
		case <-req.Context().Done():
		}
		rnr.mu.Lock()
		if rnr.over != over {
			panic(http.ErrAbortHandler) // The life that was asked is over.
		}
	}
	ans := rnr.answer("")
	ans["born"] = rnr.began.UnixMilli()
	rows := [][]any{}
	for _, rn := range rnr.running {
		percent := min(100, int64(time.Since(rn.startAt)*100/max(rn.takes, time.Millisecond)))
		rows = append(rows, []any{rn.task, rn.number, "", percent, 500})
	}
	ans["Running"], ans["Finished"] = rows, rnr.finished[:min(len(rnr.finished), 500)]
	return ans
}
