package platform

import (
	"context"
	"time"

	"chestnutstack/internal/version/catalogue"
)

// snapshotTimeout bounds one attempt to write a snapshot.
const snapshotTimeout = time.Minute

// SnapshotterConfig is what a Snapshotter works with.
type SnapshotterConfig struct {
	Editor   *Editor
	Follower *Follower
	Rule     catalogue.SnapshotRule
	// Rank returns this instance's place among the live ones, from 0; it may differ between views.
	Rank func() int
	// Instance signs the snapshot's records.
	Instance string
	// Every is how often the turn is looked for.
	Every time.Duration
	// Observe, if set, is told how each attempt ended.
	Observe func(error)
}

// Snapshotter writes the catalogue's snapshots when it is this instance's turn.
type Snapshotter struct{ cfg SnapshotterConfig }

// NewSnapshotter returns a snapshotter that works while Run does.
func NewSnapshotter(cfg SnapshotterConfig) *Snapshotter { return &Snapshotter{cfg: cfg} }

// Run writes snapshots until the context ends. A failed attempt is made again at the next look,
// by this instance or by the one whose turn has come meanwhile.
func (snp *Snapshotter) Run(ctx context.Context) error {
	for {
		if err := sleep(ctx, snp.cfg.Every); err != nil {
			return err
		}
		if !snp.due() {
			continue
		}
		err := snp.write(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if snp.cfg.Observe != nil {
			snp.cfg.Observe(err)
		}
	}
}

// due leaves the snapshot to others while this instance is not current: an old state would cost a
// snapshot's bytes and save nobody a record.
func (snp *Snapshotter) due() bool {
	rdy, reason := snp.cfg.Follower.Ready()
	return rdy && reason == "" && snp.cfg.Follower.SnapshotDue(snp.cfg.Rule, snp.cfg.Rank())
}

func (snp *Snapshotter) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return snp.cfg.Editor.WriteSnapshot(ctx, snp.cfg.Instance)
}
