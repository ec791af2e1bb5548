package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstack/internal/process/pipe"
)

// process is one incarnation of an instance: a daemon that can be stopped, killed, paused or suspended.
type process struct {
	name, host, domain string
	stop               context.CancelFunc
	done               chan struct{}
	dmn                *Daemon
	// ended is set by random faults that stop the process or cut its power; restartEnded starts such instances again.
	ended bool
	// poweredOff is set once the machine of the process has lost power.
	poweredOff bool
	// killed is set once the process was killed: its listeners may be closed before it is stopped.
	killed atomic.Bool
	mu     sync.Mutex
	// suspendedFor is the total time for which the machine was suspended; the process's clock counts it.
	suspendedFor time.Duration
	// pausedSince is when the process stopped getting processor time; zero while it runs.
	pausedSince time.Time
	// ahead is how far the machine's clock is ahead of the true time.
	ahead time.Duration
	// clk, if it is set, is the clock that the daemon reads.
	clk *clock
}

// now is the daemon's clock: it includes suspensions, and stands while the process is paused.
func (prc *process) now() time.Time {
	if clk := prc.ownClock(); clk != nil {
		return clk.now()
	}
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if !prc.pausedSince.IsZero() {
		return prc.pausedSince.Add(prc.suspendedFor + prc.ahead)
	}
	return time.Now().Add(prc.suspendedFor + prc.ahead)
}

// suspended returns the total time for which the machine was suspended, as the daemon asks for it.
func (prc *process) suspended() time.Duration {
	if clk := prc.ownClock(); clk != nil {
		return clk.suspended()
	}
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.suspendedFor
}

func (prc *process) ownClock() *clock {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.clk
}

// addSuspension moves the clock of a process ahead, as a suspension of its machine does.
func (prc *process) addSuspension(dur time.Duration) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.suspendedFor += dur
}

// pauseProcess keeps a process, whose clock stopClock has stopped, from receiving anything for a while. Then it sees the whole time pass at
// once and receives everything that was sent to it meanwhile, as after a time without processor.
func (sys *system) pauseProcess(prc *process, dur time.Duration) {
	sys.pauseProcessInOrder(prc, dur, pipe.WakeOrder{})
}

// pauseProcessInOrder is pauseProcess for a process that then reads its sockets in a given order.
func (sys *system) pauseProcessInOrder(prc *process, dur time.Duration, ord pipe.WakeOrder) {
	sys.net.Stall(prc.host)
	time.Sleep(dur)
	prc.resumeClock()
	sys.net.ResumeInOrder(prc.host, ord)
}

// stopClock stops the process's clock and reports whether it was running; if not, the process is paused already.
func (prc *process) stopClock() bool {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	went := prc.pausedSince.IsZero()
	if went {
		prc.pausedSince = time.Now()
	}
	return went
}

// resumeClock sets the clock to the present time again.
func (prc *process) resumeClock() {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.pausedSince = time.Time{}
}
