package entry

import (
	"context"
	"sync"
	"time"

	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/request/verdict"
)

const (
	// runInterval is how often the process notes that it runs; after longPause without that it counts as paused.
	runInterval = 100 * time.Millisecond
	longPause   = 500 * time.Millisecond
	// socketReadTime is how long the sockets are read after a pause before a submission is taken.
	socketReadTime = 50 * time.Millisecond

	reasonCallerGone = "caller-gone"
)

// moment is a reading of both clocks: the steady one, since the process began, stands while the machine is suspended.
type moment struct {
	steady time.Duration
	wall   time.Time
}

// pauses tells whether the process got no processor for a while, or its machine was suspended, and has not read yet what came meanwhile.
type pauses struct {
	mu sync.Mutex
	// ran is when the process last noted that it runs, nil before it first did. The sockets are read until socketsReadAt, by the steady clock.
	ran           *moment
	socketsReadAt time.Duration
}

// note notes that the process runs at now, and returns how long its sockets are still to be read. A step of the time of day costs a short wait.
func (pau *pauses) note(now moment) time.Duration {
	pau.mu.Lock()
	defer pau.mu.Unlock()
	if pau.ran != nil && max(now.steady-pau.ran.steady, now.wall.Sub(pau.ran.wall)) > longPause {
		pau.socketsReadAt = now.steady + socketReadTime
	}
	pau.ran = &now
	return max(0, pau.socketsReadAt-now.steady)
}

// noteRunning notes that the process runs, and returns how long its sockets are still to be read after a pause.
func (ins *Instance) noteRunning() time.Duration {
	now := ins.now()
	return ins.pauses.note(moment{steady: now.Sub(ins.began), wall: now.Round(0)})
}

// runPauses notes that the process runs until ctx ends.
func (ins *Instance) runPauses(ctx context.Context) error {
	for ctx.Err() == nil {
		ins.noteRunning()
		sleep(ctx, runInterval)
	}
	return nil
}

// checkCaller refuses a submission whose caller has left and may have sent it to another instance. After a pause it first waits until the sockets are
// read: on HTTP/2 the reset of a stream waits behind its request, where no look at the socket finds it.
func (ins *Instance) checkCaller(ctx context.Context, resubmission bool) *verdict.Error {
	if wait := ins.noteRunning(); wait > 0 {
		sleep(ctx, wait)
	}
	if ctx.Err() == nil && !tcp.CallerHasLeft(ctx) {
		return nil
	}
	vdt := verdict.NotRun
	if resubmission {
		vdt = verdict.MayHaveRun // The submission that it repeats may have run.
	}
	ins.log.Info().Dur("connection-age", tcp.ConnectionAge(ctx)).Msg("caller has left before its job was submitted")
	return verdict.New(vdt, reasonCallerGone)
}
