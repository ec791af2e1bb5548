package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as its client sends it.
type step struct {
	count, perServer int
	cpu, mem         int64
	took             time.Duration
	dependsOn        []int
	label, rack      string
}

// job is a job of a client, and what was seen of it.
type job struct {
	id, spec string
	q        queue
	steps    []step
	patience time.Duration
	// tries and refused count the attempts to hand it in, and those of them that were answered with 429 or 503.
	tries, refused int
	// askedAt is when its cancelling was first asked for, cancelledAt when that was acknowledged; zero if they weren't.
	askedAt, cancelledAt time.Time
	starts               int
	done                 map[string]int
}

// queue is a route and its service.
type queue struct{ name, host, prefix, service string }

// judge knows all jobs and runs, and notes broken rules.
type judge struct {
	mu     sync.Mutex
	began  time.Time
	jobs   map[string]*job
	runs   map[string][]*srvRun
	broken []string
	record *os.File
	// cancelTime and drainTime are the bounds of the platform's pages.
	cancelTime, drainTime time.Duration
	// calm is from when on all machines are in touch.
	calm time.Time
}

func newJudge(record string) (*judge, error) {
	fil, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &judge{
		began: time.Now(), jobs: map[string]*job{}, runs: map[string][]*srvRun{}, record: fil, cancelTime: 3 * time.Second, drainTime: 2 * time.Second,
	}, nil
}

// note writes a line to the record; the lock is held.
func (jdg *judge) note(format string, args ...any) {
	_, _ = fmt.Fprintf(jdg.record, "%7.3f %s\n", time.Since(jdg.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note without the lock.
func (jdg *judge) say(format string, args ...any) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jdg.note(format, args...)
}

// breaks notes a broken rule; the lock is held.
func (jdg *judge) breaks(rule, format string, args ...any) {
	txt := rule + ": " + fmt.Sprintf(format, args...)
	jdg.broken = append(jdg.broken, txt)
	jdg.note("BROKEN %s", txt)
}

// add makes a job known before it is sent.
func (jdg *judge) add(jb *job) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jb.done = map[string]int{}
	jdg.jobs[jb.id] = jb
}

// split returns the parts of a task's name.
func split(task string) (id string, num, idx int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || parts[1] != "0" {
		return "", 0, 0, false
	}
	num, err := strconv.Atoi(parts[2])
	idx, ierr := strconv.Atoi(parts[3])
	return parts[0], num, idx, err == nil && ierr == nil
}

// start judges a start on a server, whose lock is held.
func (jdg *judge) start(srv *server, rn *srvRun, spec string) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	now := time.Now()
	jdg.note("start %s run %d on %s", rn.task, rn.number, srv.id)
	defer func() { jdg.runs[rn.task] = append(jdg.runs[rn.task], rn) }()
	id, num, idx, ok := split(rn.task)
	jb := jdg.jobs[id]
	if !ok || jb == nil || num >= len(jb.steps) || idx >= jb.steps[num].count || jb.spec != spec {
		jdg.breaks("UNASKED", "%s starts on %s, which no client has sent so", rn.task, srv.id)
		return
	}
	jb.starts++
	stp := jb.steps[num]
	rn.cpu, rn.mem, rn.step = stp.cpu, stp.mem, num
	if jb.cancelledAt.IsZero() && !jb.askedAt.IsZero() && now.Sub(jb.askedAt) > ackTime+jdg.cancelTime {
		jdg.breaks("UNASKED", "%s starts on %s %d ms after its cancelling was first asked for, which nobody has acknowledged", rn.task, srv.id, now.Sub(jb.askedAt).Milliseconds())
	}
	if !jb.cancelledAt.IsZero() && now.Sub(jb.cancelledAt) > jdg.cancelTime && now.After(jdg.calm) {
		jdg.breaks("UNASKED", "%s starts on %s %d ms after its cancelling was acknowledged", rn.task, srv.id, now.Sub(jb.cancelledAt).Milliseconds())
	}
	for _, oth := range jdg.runs[rn.task] {
		if oth != rn && oth.alive(now) {
			jdg.breaks("TWICE", "%s runs on %s as run %d and starts on %s as run %d", rn.task, oth.srv.id, oth.number, srv.id, rn.number)
		}
	}
	for _, dep := range stp.dependsOn {
		for oth := range jb.steps[dep].count {
			if name := fmt.Sprintf("%s.0.%d.%d", id, dep, oth); jb.done[name] == 0 {
				jdg.breaks("ORDER", "%s starts before %s is done", rn.task, name)
			}
		}
	}
	jdg.checkPlace(srv, rn, jb, stp, now)
}

// checkPlace judges whether a server may run a task.
func (jdg *judge) checkPlace(srv *server, rn *srvRun, jb *job, stp step, now time.Time) {
	if srv.service != jb.q.service {
		jdg.breaks("ROUTE", "%s of service %s starts on %s of service %s", rn.task, jb.q.service, srv.id, srv.service)
	}
	if stp.label != "" && !srv.has(stp.label) {
		jdg.breaks("ROUTE", "%s needs label %s and starts on %s", rn.task, stp.label, srv.id)
	}
	cpu, mem, siblings := stp.cpu, stp.mem, 1
	for _, oth := range srv.running {
		if oth == rn {
			continue
		}
		cpu, mem = cpu+oth.cpu, mem+oth.mem
		if oid, onum, _, _ := split(oth.task); oid == jb.id && onum == rn.step {
			siblings++
		}
	}
	if cpu > srv.cpu || mem > srv.mem {
		jdg.breaks("LIMIT", "%s brings %s to %d of %d thousandths of a core, %d of %d MB", rn.task, srv.id, cpu, srv.cpu, mem, srv.mem)
	}
	if stp.perServer > 0 && siblings > stp.perServer {
		jdg.breaks("ROUTE", "%s is number %d of its step on %s, of %d", rn.task, siblings, srv.id, stp.perServer)
	}
	if !srv.drainingAt.IsZero() && now.Sub(srv.drainingAt) > jdg.drainTime {
		jdg.breaks("DRAIN", "%s starts on %s, which drains for %d ms", rn.task, srv.id, now.Sub(srv.drainingAt).Milliseconds())
	}
}

// end takes note of the end of a run.
func (jdg *judge) end(rn *srvRun, how string) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	rn.over = true
	jdg.note("end %s run %d on %s: %s", rn.task, rn.number, rn.srv.id, how)
	id, _, _, _ := split(rn.task)
	if jb := jdg.jobs[id]; jb != nil && how == "done" {
		jb.done[rn.task]++
	}
}

// answered judges the answer to an attempt to hand a job in.
func (jdg *judge) answered(jb *job, status int, body string) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jdg.note("answer to POST %s: %d %s", jb.id, status, body)
	if status == 429 || status == 503 {
		jb.refused++
	}
	if status != 200 || !strings.Contains(body, "succeeded") {
		return
	}
	for num, stp := range jb.steps {
		for idx := range stp.count {
			if name := fmt.Sprintf("%s.0.%d.%d", jb.id, num, idx); jb.done[name] == 0 {
				jdg.breaks("MIXED", "%s is shown as succeeded and %s is not done", jb.id, name)
			}
		}
	}
}

// asksToCancel takes note that the client of a job is about to cancel it, while nothing is wrong with any machine, link or store.
func (jdg *judge) asksToCancel(jb *job) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jb.askedAt = time.Now()
}

// calmAt says that some machine isn't in touch before a time.
func (jdg *judge) calmAt(at time.Time) {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	jdg.calm = at
}

// finish judges what can be told only at the end, and returns the broken rules.
func (jdg *judge) finish() []string {
	jdg.mu.Lock()
	defer jdg.mu.Unlock()
	for _, jb := range jdg.jobs {
		if jb.tries > 0 && jb.refused == jb.tries && jb.starts > 0 {
			jdg.breaks("REFUSED", "%s was refused each of %d times, and has started", jb.id, jb.tries)
		}
	}
	jdg.note("%d rules broken", len(jdg.broken))
	_ = jdg.record.Close()
	return jdg.broken
}
