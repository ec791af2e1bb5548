package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// record notes what was sent, answered and run.
type record struct {
	group   *errgroup.Group
	startAt time.Time
	over    atomic.Bool

	mu   sync.Mutex
	file *os.File
	runs []*noted
}

// noted is a run as its runner has seen it; endAt is zero while it runs.
type noted struct {
	run            *run
	runner, how    string
	beginAt, endAt time.Time
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{group: &errgroup.Group{}, startAt: time.Now(), file: fil}, nil
}

// isOver reports whether the play has ended.
func (rec *record) isOver() bool { return rec.over.Load() }

// notef writes a line that begins with the seconds since the play began.
func (rec *record) notef(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(format, args...)
}

// write is notef with the lock held.
func (rec *record) write(format string, args ...any) {
	fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as the record's lines have it.
func (rec *record) seconds(at time.Time) float64 { return at.Sub(rec.startAt).Seconds() }

// began notes the start of a run.
func (rec *record) began(runner string, rn *run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs = append(rec.runs, &noted{run: rn, runner: runner, beginAt: rn.began})
	rec.write("%s starts task %s, run %d", runner, rn.task, rn.number)
}

// ended notes the end of a run.
func (rec *record) ended(runner string, rn *run, how string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, not := range rec.runs {
		if not.run == rn {
			not.endAt, not.how = time.Now(), how
		}
	}
	rec.write("%s ends task %s, run %d: %s", runner, rn.task, rn.number, how)
}

// allRuns returns a copy of the runs noted so far.
func (rec *record) allRuns() []noted {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	all := make([]noted, 0, len(rec.runs))
	for _, not := range rec.runs {
		all = append(all, *not)
	}
	return all
}
