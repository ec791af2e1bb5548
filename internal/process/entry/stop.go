package entry

import (
	"context"
	"time"
)

const (
	idleCheckInterval = 10 * time.Millisecond
	expiryInterval    = 10 * time.Second
)

// leave says to the balancer and to the peers that no new work is to come, and still takes what
// arrives until the balancer has had time to notice.
func (ins *Instance) leave(ctx context.Context) {
	ins.log.Info().Msg("leaving")
	ins.stage.Store(leaving)
	ins.view.leave()
	sleep(ctx, ins.cfg.Notice)
	ins.stage.Store(refusing)
	ins.decide(ins.dsp.Drain)
}

// awaitIdle returns once every job has its answer, or when the stop takes longer than it may.
func (ins *Instance) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ins.cfg.DrainTimeout)
	defer cancel()
	for !ins.idle() && ctx.Err() == nil {
		sleep(ctx, idleCheckInterval)
	}
	if !ins.idle() {
		ins.log.Warn().Msg("jobs still in progress after the drain timeout")
	}
}

func (ins *Instance) idle() bool {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	return ins.dsp.Idle()
}

func (ins *Instance) runExpiry(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, expiryInterval)
		ins.table.expire(ins.now())
		ins.table.pack()
	}
	return nil
}

func sleep(ctx context.Context, dur time.Duration) {
	tim := time.NewTimer(dur)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}
