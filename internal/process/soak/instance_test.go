package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

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
