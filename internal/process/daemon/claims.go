package daemon

import (
	"sync/atomic"

	"chestnutstack/internal/request/submission"
)

// claimCounters are the metrics of orders for room that leaders of other instances advertise.
type claimCounters struct {
	made, started, returned, declined atomic.Int64
	// contention is a gauge, in thousandths: how many owners are believed to compete for that room.
	contention atomic.Int64
}

// store sets the metrics to what a Coordinator has counted.
func (cnt *claimCounters) store(crd *submission.Coordinator) {
	sts := crd.ClaimStats()
	cnt.made.Store(sts.Made)
	cnt.started.Store(sts.Started)
	cnt.returned.Store(sts.Returned)
	cnt.declined.Store(sts.Declined)
	cnt.contention.Store(int64(crd.Contention() * thousandths))
}

// thousandths is the number of units of a gauge of a ratio in 1.
const thousandths = 1000

// write passes the metrics to line.
func (cnt *claimCounters) write(line func(string, int64)) {
	line("room-claims", cnt.made.Load())
	line("room-claims-started", cnt.started.Load())
	line("room-claims-returned", cnt.returned.Load())
	line("room-claims-declined", cnt.declined.Load())
	line("room-contention-thousandths", cnt.contention.Load())
}
