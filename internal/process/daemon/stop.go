package daemon

import "time"

// drain is the planned stop: readiness checks fail, other instances take over the shards, and outstanding answers are awaited until
// shortly before the kill. Where many instances stop side by side, few are left to take shards over, so that those that stop lead on for
// half of their time; by then the first ones are back.
//
// Connections stay open until their requests are answered, with Connection: close; closed earlier, they would break requests in flight.
func (dmn *Daemon) drain() {
	dmn.stopping.Store(true)
	dmn.log.Info().Msg("stopping")
	dmn.mu.Lock()
	if dmn.elector != nil {
		dmn.elector.SetStopping()
		dmn.nudgeDomain()
	}
	dmn.mu.Unlock()
	began := time.Now()
	timeout := dmn.stopTimeout()
	var handingOverSince time.Time
	for time.Since(began) < timeout-stopReserve {
		time.Sleep(tickInterval)
		dmn.mu.Lock()
		open := len(dmn.callers)
		if handingOverSince.IsZero() && (time.Since(began) >= timeout/2 || open == 0 && time.Since(began) >= balancerDelay-handOverTime) {
			handingOverSince = time.Now()
			dmn.handOver()
		}
		dmn.mu.Unlock()
		if open == 0 && time.Since(began) > balancerDelay && !handingOverSince.IsZero() && time.Since(handingOverSince) >= handOverTime {
			break
		}
	}
	dmn.answerRemainingCallers()
	dmn.log.Info().Dur("after", time.Since(began)).Msg("handed over")
}

// handOver has other instances take over all shards that are led here.
func (dmn *Daemon) handOver() {
	dmn.leaving.Store(true)
	if dmn.elector != nil {
		dmn.elector.SetLeaving()
		dmn.nudgeDomain()
	}
	dmn.log.Info().Int("shards", len(dmn.leaders)).Msg("handing over")
}

// answerRemainingCallers ends the jobs of all callers who still wait; the answers go out before the connections are closed.
func (dmn *Daemon) answerRemainingCallers() {
	now := dmn.beginEvent()
	open := len(dmn.callers)
	if dmn.coordinator != nil {
		dmn.runCoordinatorActions(dmn.coordinator.Shutdown())
	}
	dmn.endEvent(now)
	if open > 0 {
		dmn.log.Warn().Int("jobs", open).Msg("giving up jobs that did not end in time")
	}
}

const (
	// balancerDelay is how long the balancer may send new connections after the first failed readiness check: it checks each second and
	// acts on the second failure.
	balancerDelay = 2500 * time.Millisecond
	// handOverTime is how long other instances get to take shards over before this one ends; they take a tenth of a second.
	handOverTime = 500 * time.Millisecond
	// stopReserve is the part of the stop timeout that is left for the last answers to reach their callers before the kill.
	stopReserve = 400 * time.Millisecond
	// lastAnswersTimeout is how long requests that are being answered get at the end, with a margin for a slow machine.
	lastAnswersTimeout = 200 * time.Millisecond
)
