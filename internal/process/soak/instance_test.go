package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutstack/platform/standin"
)

func TestTimeToStopOfAPausedProcess(t *testing.T) {
	// A play stands a process still for three seconds and tells it to stop meanwhile. It takes the signal when it goes on, and ended
	// in time by its own clock; the soak said that it had not. What it stands still before the signal changes nothing.
	cases := map[string]struct {
		// stop, cont are when the process is paused and goes on, after it was told to stop; 0 for never.
		stop, cont time.Duration
		at, left   time.Duration
	}{
		"never":                     {at: 2 * time.Second, left: 4 * time.Second},
		"ended before the signal":   {stop: -3 * time.Second, cont: -time.Second, at: 2 * time.Second, left: 4 * time.Second},
		"around the signal":         {stop: -time.Second, cont: 2 * time.Second, at: 3 * time.Second, left: 5 * time.Second},
		"after it, still goes on":   {stop: time.Second, at: 4 * time.Second, left: 5 * time.Second},
		"after it, and over by now": {stop: time.Second, cont: 2 * time.Second, at: 4 * time.Second, left: 3 * time.Second},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			told := time.Unix(1000, 0)
			ins := &instance{mch: standin.Machine{StopTimeout: 6 * time.Second}}
			note := func(sig syscall.Signal, after time.Duration) {
				if after != 0 {
					ins.notePause(sig, told.Add(after))
				}
			}
			if cse.stop < 0 {
				note(syscall.SIGSTOP, cse.stop)
			}
			if cse.cont < 0 {
				note(syscall.SIGCONT, cse.cont)
			}
			ins.stoppedAt, ins.paused = told, 0
			if cse.stop > 0 {
				note(syscall.SIGSTOP, cse.stop)
			}
			if cse.cont > 0 {
				note(syscall.SIGCONT, cse.cont)
			}
			chk.Equal(ins.stopLeft(told, told.Add(cse.at)), cse.left)
		})
	}
}

// A process that gets no processor for its first moments was ended by the soak's own SIGHUP, before it could take one.
func TestHangUpWaitsForTheFirstLine(t *testing.T) {
	chk := is.New(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "slow-start")
	chk.NoErr(os.WriteFile(program, []byte("#!/bin/sh\nsleep 0.3\ntrap '' HUP\necho started\nsleep 0.2\n"), 0o700))
	ins := &instance{mch: standin.Machine{Name: "one"}, dir: dir, program: program, grp: &errgroup.Group{}}
	chk.NoErr(ins.start())
	chk.NoErr((&play{}).reload(ins))
	chk.NoErr(ins.grp.Wait())
	chk.Equal(ins.own, []string{"one, life 1, ended by itself: <nil>"})
}
