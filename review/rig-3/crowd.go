package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// largeTasks is the number of tasks of the largest jobs that the users name.
const largeTasks = 1300

// recoverTime is RecoverS of the settings: a daemon hangs if it answers nothing for longer.
const recoverTime = 12 * time.Second

// The requests of ordinary clients, one after the other at each daemon.
const (
	ordinaryWait  = 1500 * time.Millisecond
	ordinaryPause = 500 * time.Millisecond
)

// manyLarge has 300 large jobs come within 1.2 s, fifty at each daemon. Ordinary clients ask once all clients of large jobs have an answer or have left.
func manyLarge(ctx context.Context, dep *deployment) ([]string, error) {
	const jobs, span, wait = 300, 1200 * time.Millisecond, 10 * time.Second
	dep.timeout = wait
	dep.configure(route{name: "r-73hh2b9", prefix: firstQueue})
	time.Sleep(3 * time.Second)
	if dep.trouble {
		var wgr sync.WaitGroup
		for num := range jobs {
			jb := &job{
				id: fmt.Sprintf("5c0e7a21d94b%04x", num), prefix: firstQueue, steps: 1, tasks: largeTasks, cpu: 100, takes: 60 * time.Millisecond, patience: wait,
			}
			dep.submit(ctx, &wgr, dep.daemons[num%len(dep.daemons)], jb)
			time.Sleep(span / jobs)
		}
		wgr.Wait()
		dep.rec.note("all clients of large jobs have an answer or have left")
	}
	return dep.askAll(ctx, 2*recoverTime), nil
}

// boundedLarge has 24 large jobs come at once, four at each daemon, of which a hundred tasks may run on one runner. Ordinary clients ask while they run.
func boundedLarge(ctx context.Context, dep *deployment) ([]string, error) {
	const jobs = 24
	var wgr sync.WaitGroup
	if dep.trouble {
		for num := range jobs {
			jb := &job{
				id: fmt.Sprintf("5c0e7a21d94b%04x", num), prefix: firstQueue, steps: 1, tasks: largeTasks, cpu: 10, perServer: 100,
				takes: 7 * time.Second, patience: 30 * time.Second,
			}
			dep.submit(ctx, &wgr, dep.daemons[num%len(dep.daemons)], jb)
		}
	}
	time.Sleep(5 * time.Second)
	return dep.askAll(ctx, 3*recoverTime), nil
}

// askAll has ordinary clients ask all daemons for some time, and returns which of them hang.
func (dep *deployment) askAll(ctx context.Context, span time.Duration) []string {
	lines := make([]string, len(dep.daemons))
	var wgr sync.WaitGroup
	for num, dmn := range dep.daemons {
		wgr.Go(func() { lines[num] = dep.askOrdinary(ctx, num, dmn, span) })
	}
	wgr.Wait()
	var brk []string
	for _, line := range lines {
		if line != "" {
			brk = append(brk, line)
		}
	}
	return brk
}

// askOrdinary sends small jobs to a daemon, one after the other, and says so if it answers none for longer than recoverTime.
func (dep *deployment) askOrdinary(ctx context.Context, num int, dmn *daemon, span time.Duration) string {
	sent, answered := 0, 0
	began := time.Now()
	last, silent, silentFrom := began, time.Duration(0), began
	note := func() {
		if gap := time.Since(last); gap > silent {
			silent, silentFrom = gap, last
		}
	}
	for time.Since(began) < span {
		jb := &job{
			id: fmt.Sprintf("a0e7a21d%04x%04x", num, sent), prefix: firstQueue, steps: 1, tasks: 2, cpu: 1000, takes: 100 * time.Millisecond, patience: ordinaryWait,
		}
		waits, cancel := context.WithTimeout(ctx, ordinaryWait)
		status := dep.call(waits, dmn, http.MethodPost, jb, jb.body())
		cancel()
		sent++
		note()
		if status != 0 {
			answered++
			last = time.Now()
		}
		time.Sleep(ordinaryPause)
	}
	rdy := dep.ready(dmn)
	now, most := resident(dmn)
	dep.rec.note("daemon %s answers %d of %d requests, none for %.1f s from %.3f on; its readiness check is answered %d; its memory is %d MB, at most %d MB",
		dmn.name, answered, sent, silent.Seconds(), dep.rec.since(silentFrom), rdy, now, most)
	if silent <= recoverTime {
		return ""
	}
	return fmt.Sprintf("%s answers no request for %.1f s from %.3f on, and %d of %d in all; its readiness check is answered %d", dmn.name, silent.Seconds(),
		dep.rec.since(silentFrom), answered, sent, rdy)
}

// resident returns the resident memory of a daemon's process in MB, and its highest value.
func resident(dmn *daemon) (now, most int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", dmn.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(data) {
		var kb int
		if _, err := fmt.Sscanf(string(line), "VmRSS: %d", &kb); err == nil {
			now = kb >> 10
		}
		if _, err := fmt.Sscanf(string(line), "VmHWM: %d", &kb); err == nil {
			most = kb >> 10
		}
	}
	return now, most
}
