package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// useClock has a process read a clock of its own, and returns a function that has its next reading of the kernel's clocks look as if the process was paused for
// a time between two of them, and returns once that was read.
func (prc *process) useClock(pause time.Duration) (pauseReading func()) {
	var armed, paused atomic.Bool
	read := make(chan struct{})
	began := time.Now()
	kernel := func() (least, most time.Duration) {
		return suspension(func(id int32) time.Duration {
			val := time.Since(began)
			switch {
			case id == unix.CLOCK_BOOTTIME && armed.CompareAndSwap(true, false):
				paused.Store(true)
			case id == unix.CLOCK_MONOTONIC && paused.CompareAndSwap(true, false):
				close(read)
				return val + pause
			}
			return val
		})
	}
	clk := newClockFrom(func() (time.Time, time.Duration) {
		now := time.Now()
		return now, now.Sub(began)
	}, kernel)
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.clk = clk
	return func() {
		armed.Store(true)
		<-read
	}
}

// Guards against a task that runs twice: its leader's clock goes back as the process is paused between two readings of the kernel's clocks, and forward again
// a second later, so that the leader waits for the lease too short by the pause.
func TestLeaderIsPausedWhileItReadsItsClock(t *testing.T) {
	const pause = 200 * time.Millisecond
	for cut := 100 * time.Millisecond; cut < time.Second; cut += 100 * time.Millisecond {
		t.Run(fmt.Sprintf("the answers of its server are lost %v later", cut), func(t *testing.T) {
			inTestSystem(t, 1, 1, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				led := sys.instances["entry-1-1"]
				pauseReading := led.useClock(pause)
				time.Sleep(3 * time.Second)
				// Several connections to each server stay open: calls need no answer on them to be carried out.
				chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 300}}), http.StatusOK)
				pauseReading()
				time.Sleep(cut - 50*time.Millisecond)
				snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 1, payload: payload{Millis: 1500}})
				time.Sleep(50 * time.Millisecond)
				srv := sys.startedOn(jobID(1))
				sys.net.CutWay(srv, led.host) // It takes what it is told.
				time.Sleep(2 * time.Second)
				sys.net.MendWay(srv, led.host)
				<-snt.done
				chk.Equal(snt.status, http.StatusOK)
			})
		})
	}
}

// startedOn returns the server of the first start of a job's task that the log tells.
func (sys *system) startedOn(job string) string {
	for line := range strings.Lines(sys.logText()) {
		if !strings.Contains(line, `"message":"start"`) || !strings.Contains(line, job) {
			continue
		}
		for id := range sys.servers {
			if strings.Contains(line, fmt.Sprintf("%q", id)) {
				return id
			}
		}
	}
	sys.t.Fatalf("no start of job %s", job)
	return ""
}
