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

// pauses tells whether the process got no processor for a while and has not read yet what came meanwhile.
type pauses struct {
	mu sync.Mutex
	// ranAt is when the process last noted that it runs. The sockets are read until socketsReadAt.
	ranAt, socketsReadAt time.Time
}

// note notes that the process runs at now, and returns how long its sockets are still to be read.
func (pau *pauses) note(now time.Time) time.Duration {
	pau.mu.Lock()
	defer pau.mu.Unlock()
	if !pau.ranAt.IsZero() && now.Sub(pau.ranAt) > longPause {
		pau.socketsReadAt = now.Add(socketReadTime)
	}
	pau.ranAt = now
	return pau.socketsReadAt.Sub(now)
}

// runPauses notes that the process runs until ctx ends.
func (ins *Instance) runPauses(ctx context.Context) error {
	for ctx.Err() == nil {
		ins.pauses.note(ins.now())
		sleep(ctx, runInterval)
	}
	return nil
}

// checkCaller refuses a submission whose caller has left and may have sent it to another instance. After a pause it first waits until the sockets are
// read: on HTTP/2 the reset of a stream waits behind its request, where no look at the socket finds it.
func (ins *Instance) checkCaller(ctx context.Context, resubmission bool) *verdict.Error {
	if wait := ins.pauses.note(ins.now()); wait > 0 {
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
