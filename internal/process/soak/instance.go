package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/platform/standin"
)

// instance is a machine of the system and the process on it.
type instance struct {
	mch          standin.Machine
	dir, program string
	grp          *errgroup.Group
	// hld knows when the machine stood still.
	hld *holdUp
	// linkHost is where the links from here listen.
	linkHost string

	// restarts lets one trouble at a time end and start the process.
	restarts sync.Mutex

	mu   sync.Mutex
	life int
	cmd  *exec.Cmd
	// over is closed once the process of this life has ended; meant is set before the soak ends it.
	over  chan struct{}
	meant bool
	// stoppedAt is when the process was last told to stop, for what may be held against it.
	stoppedAt time.Time
	// pausedAt is since when the soak has the process stand still; paused is for how long it did since it was told to stop.
	pausedAt time.Time
	paused   time.Duration
	// own are processes that ended by themselves.
	own []string
}

func (ins *instance) settingsPath() string { return filepath.Join(ins.dir, ins.mch.Name+".conf") }

// writeSettings puts the settings where the process finds them.
func (ins *instance) writeSettings() error {
	return errors.Wrap(os.WriteFile(ins.settingsPath(), ins.mch.Settings(), 0o600), "settings")
}

// start starts the next life of the process; its logs go to a file of its own.
func (ins *instance) start() error {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	ins.life++
	out, err := os.Create(ins.logPath())
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	cmd := exec.Command(ins.program, "--settings", ins.settingsPath(), "--log-level", "debug") //nolint:forbidigo // the soak's subject is processes
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // Nothing was written.
		return errors.Wrap(err, "start instance")
	}
	over := make(chan struct{})
	ins.cmd, ins.over, ins.meant, ins.stoppedAt = cmd, over, false, time.Time{}
	ins.pausedAt, ins.paused = time.Time{}, 0
	life := ins.life
	ins.grp.Go(func() error {
		err := cmd.Wait()
		_ = out.Close() // The process has written all that it will.
		ins.mu.Lock()
		defer ins.mu.Unlock()
		if !ins.meant {
			ins.own = append(ins.own, fmt.Sprintf("%s, life %d, ended by itself: %v", ins.mch.Name, life, err))
		}
		close(over)
		return nil
	})
	return nil
}

// signal sends a signal to the process that this soak started, if it still runs.
func (ins *instance) signal(sig syscall.Signal) {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	if ins.ended() {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		ins.meant = true
	}
	ins.notePause(sig, time.Now())
	if sig == syscall.SIGTERM {
		ins.stoppedAt, ins.paused = time.Now(), 0
	}
	_ = ins.cmd.Process.Signal(sig) // It may have ended a moment ago.
}

// notePause follows for how long the process stands still; the lock is held.
func (ins *instance) notePause(sig syscall.Signal, now time.Time) {
	switch {
	case sig == syscall.SIGSTOP && ins.pausedAt.IsZero():
		ins.pausedAt = now
	case sig == syscall.SIGCONT && !ins.pausedAt.IsZero():
		ins.paused += now.Sub(laterOf(ins.pausedAt, ins.stoppedAt))
		ins.pausedAt = time.Time{}
	}
}

func laterOf(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// stopLeft returns how much of its time to stop the process has left. While the soak has it stand still, or the machine does, that
// does not pass: one that was paused for 2.6 s, with its SIGTERM waiting, ended 6 s after it had gone on.
func (ins *instance) stopLeft(began, now time.Time) time.Duration {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	paused := ins.paused
	if !ins.pausedAt.IsZero() {
		paused += now.Sub(laterOf(ins.pausedAt, began))
	}
	if ins.hld != nil {
		paused += ins.hld.within(began, now)
	}
	return ins.mch.StopTimeout + paused - now.Sub(began)
}

// awaitFirstLine waits until the process has written something, or has ended. The kernel ends a process by a SIGHUP that comes
// before its first instructions, and no program can help that; one that has written a line takes the signal.
func (ins *instance) awaitFirstLine() {
	ins.mu.Lock()
	log, over := ins.logPath(), ins.over
	ins.mu.Unlock()
	for {
		if inf, err := os.Stat(log); err == nil && inf.Size() > 0 {
			return
		}
		select {
		case <-over:
			return
		case <-time.After(lineChecks):
		}
	}
}

// lineChecks is the pause between two looks at a log that is empty.
const lineChecks = 10 * time.Millisecond

// logPath is where the process of this life writes its log; the lock is held.
func (ins *instance) logPath() string {
	return filepath.Join(ins.dir, fmt.Sprintf("%s.%d.log", ins.mch.Name, ins.life))
}

// ended reports whether no process runs; the lock is held.
func (ins *instance) ended() bool {
	if ins.cmd == nil {
		return true
	}
	select {
	case <-ins.over:
		return true
	default:
		return false
	}
}

// await waits until the process has ended, and kills it after its time to stop.
func (ins *instance) await() (inTime bool) {
	ins.mu.Lock()
	over := ins.over
	ins.mu.Unlock()
	began := time.Now()
	for left := ins.stopLeft(began, began); left > 0; left = ins.stopLeft(began, time.Now()) {
		select {
		case <-over:
			return true
		case <-time.After(left):
		}
	}
	ins.signal(syscall.SIGCONT)
	ins.signal(syscall.SIGKILL)
	<-over
	return false
}

// inRotation reports whether the balancer sends new connections here: it asks each second whether the instance is ready
// and believes the second answer.
func (ins *instance) inRotation() bool {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	return ins.stoppedAt.IsZero() || time.Since(ins.stoppedAt) < balancerNotice
}

const balancerNotice = 2 * time.Second

// lifetime returns the number of the process's life, and whether it was told to stop.
func (ins *instance) lifetime() (life int, stopped bool) {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	return ins.life, !ins.stoppedAt.IsZero()
}
