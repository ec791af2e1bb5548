package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record notes what was sent, answered and run, in a file and for the checks.
type record struct {
	mu     sync.Mutex
	began  time.Time
	fil    *os.File
	starts []start
	// overfull are the starts that brought a runner over its capacity, unlabelled those on a runner of another kind than their job requires.
	overfull, unlabelled []string
}

// start is the begin of a run.
type start struct {
	job, task string
	number    int64
	at        time.Time
}

func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), fil: fil}, nil
}

// note writes a line with the time since the begin.
func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.fil, "%8.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) started(rnr *runner, rn *run, spec string, used int64) {
	job, _, _ := strings.Cut(rn.task, ".")
	rec.mu.Lock()
	rec.starts = append(rec.starts, start{job: job, task: rn.task, number: rn.number, at: time.Now()})
	if used > rnr.capacity {
		rec.overfull = append(rec.overfull, fmt.Sprintf("task %s run %d starts at %.3f and brings %s to %d of its %d", rn.task, rn.number,
			time.Since(rec.began).Seconds(), rnr.id, used, rnr.capacity))
	}
	if kind := requiredKind(spec); kind != "" && kind != rnr.labels[0] {
		rec.unlabelled = append(rec.unlabelled, fmt.Sprintf("task %s run %d requires %s and starts at %.3f on %s, which is %s", rn.task, rn.number, kind,
			time.Since(rec.began).Seconds(), rnr.id, rnr.labels[0]))
	}
	rec.mu.Unlock()
	rec.note("run    %s run %d begins on %s, %d of %d used (%s)", rn.task, rn.number, rnr.id, used, rnr.capacity, spec)
}

// requiredKind returns the label that the tasks of a job with a payload require, or "".
func requiredKind(spec string) string {
	_, kind, _ := strings.Cut(spec, " on ")
	return kind
}

func (rec *record) ended(runner string, rn *run, how string) {
	rec.note("run    %s run %d ends on %s: %s", rn.task, rn.number, runner, how)
}

// startsOf returns the starts of a job's tasks from a time on.
func (rec *record) startsOf(job string, from time.Time) []start {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var sts []start
	for _, st := range rec.starts {
		if st.job == job && !st.at.Before(from) {
			sts = append(sts, st)
		}
	}
	return sts
}

// since returns a time as seconds since the begin.
func (rec *record) since(at time.Time) float64 { return at.Sub(rec.began).Seconds() }
