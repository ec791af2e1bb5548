package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. Its times are seconds since the case began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: fil, out: bufio.NewWriter(fil), began: time.Now()}, nil
}

func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.out.Flush() // A full disk shows in the file.
	_ = rec.file.Close()
}
