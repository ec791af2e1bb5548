package platform

import (
	"context"
	"time"

	"chestnutstack/internal/version/catalogue"
)

// Hint tells of the offset that a peer has reached. If this instance does not reach it by itself
// soon, because its connection to the log has gone silent or is cut, it asks its peers.
func (flw *Follower) Hint(offset uint64) {
	flw.mu.Lock()
	flw.ahead = max(flw.ahead, offset)
	behind := flw.ahead > flw.state.Offset()
	flw.mu.Unlock()
	if !behind {
		return
	}
	select {
	case flw.hint <- struct{}{}:
	default:
	}
}

func (flw *Follower) followHints(ctx context.Context) error {
	for {
		select {
		case <-flw.hint:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleep(ctx, hintGrace); err != nil {
			return err
		}
		flw.mu.RLock()
		behind := flw.ahead > flw.state.Offset()
		flw.mu.RUnlock()
		if behind {
			flw.askPeers(ctx)
		}
	}
}

// askPeers takes in what peers know: their newest records or, where those are not enough, their
// state.
func (flw *Follower) askPeers(ctx context.Context) {
	if flw.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for {
		off := flw.Offset()
		raws, complete, err := flw.cfg.Peers.Since(ctx, off)
		if err != nil {
			return
		}
		if !complete {
			flw.takeSnapshot(ctx)
			return
		}
		if err := flw.apply(raws); err != nil {
			return
		}
		if flw.Offset() == off {
			// Peers that have nothing either are no source: with them alone, a new instance would
			// serve an empty catalogue in an outage.
			if off > 0 {
				flw.setServing()
			}
			return
		}
	}
}

func (flw *Follower) takeSnapshot(ctx context.Context) {
	dat, err := flw.cfg.Peers.Snapshot(ctx)
	if err != nil {
		return
	}
	sta, err := catalogue.DecodeSnapshot(dat)
	if err != nil {
		return
	}
	if flw.install(sta) {
		flw.setServing()
	}
}

// setServing makes the follower ready without a claim to be current.
func (flw *Follower) setServing() {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.ready = true
}

// Since returns records after an offset, for a peer that is behind; false if it needs a snapshot.
func (flw *Follower) Since(offset uint64) ([]Record, bool) {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.history.since(offset, sinceLimit)
}

// Snapshot returns the encoded state, for a peer.
func (flw *Follower) Snapshot() ([]byte, error) { return flw.clone().EncodeSnapshot() }

// clone copies the state, since encoding a large one under the lock would hold up every request.
func (flw *Follower) clone() *catalogue.State {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return flw.state.Clone()
}

// SnapshotDue reports whether the instance of a rank, from 0, has to write a snapshot now.
func (flw *Follower) SnapshotDue(rul catalogue.SnapshotRule, rank int) bool {
	flw.mu.RLock()
	defer flw.mu.RUnlock()
	return rul.Due(time.Now(), flw.state.Offset(), flw.known, rank)
}
