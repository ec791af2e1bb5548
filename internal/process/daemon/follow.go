package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/version/config"
	"chestnutstack/platform"
)

const (
	// storeTimeout is the timeout of a call to the store, besides the time for which a read waits for records: a slow store answers
	// in 0.4 s.
	storeTimeout = 1500 * time.Millisecond
)

// fromStore is the value of the log key "from" for data that was read from the store.
const fromStore = "store"

// topicSubscription is a topic that is followed, and what happens to its records.
type topicSubscription struct {
	topic platform.Topic
	// wait is how long a read waits for new records.
	wait time.Duration
	// handle processes the records of each read.
	handle func(bat batch)
	// pause returns how long to wait after a read before the next one; nil for not at all.
	pause func() time.Duration
}

// batch has the records that a read of a topic returned.
type batch struct {
	recs []platform.Record
	// from is the offset of the first record, or negative if the batch has the newest record of each key; next is the offset of the
	// next read.
	from, next int64
}

// configurations is the subscription to configurations and closings of failure domains.
func (dmn *Daemon) configurations() topicSubscription {
	return topicSubscription{
		topic: platform.ConfigurationTopic, wait: dmn.paces.configurationWait,
		handle: func(bat batch) {
			// Before the configuration, so that an instance with its first one knows in which failure domains to start nothing.
			dmn.handleClosings(bat)
			for _, rec := range bat.recs {
				if rec.Key == platform.ConfigurationKey && rec.Value != nil {
					dmn.applyConfiguration(rec.Value, fromStore)
				}
			}
		},
	}
}

// instances is the subscription to the list of instances.
func (dmn *Daemon) instances() topicSubscription {
	return topicSubscription{topic: platform.InstancesTopic, wait: 10 * time.Second, handle: dmn.handleInstances, pause: dmn.instancesPause}
}

// followTopic reads a topic until ctx ends: first the newest record of each key, then the records after them. It starts over if the
// store has compacted the records that it would read next.
func (dmn *Daemon) followTopic(ctx context.Context, rdr topicSubscription) error {
	next := int64(-1)
	sto := storeState{topic: rdr.topic}
	for ctx.Err() == nil {
		var err error
		next, err = dmn.readTopic(ctx, rdr, next)
		if ctx.Err() != nil {
			return nil
		}
		dmn.logStoreState(&sto, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			next = -1
		case err != nil:
			sleepContext(ctx, dmn.retryPause(rdr.topic, sto.failures))
		case rdr.pause != nil:
			sleepContext(ctx, rdr.pause())
		}
	}
	return nil
}

// storeState has the outcome of the last read of a topic: lost is set while reads fail.
type storeState struct {
	topic platform.Topic
	lost  bool
	// failures is how many reads have failed one after the other.
	failures int
}

// logStoreState logs when the store stops answering and when it answers again, and counts the reads that failed.
func (dmn *Daemon) logStoreState(sto *storeState, err error) {
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		sto.failures = 0
	} else {
		sto.failures++
	}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		dmn.log.Info().Str("topic", string(sto.topic)).Msg("records were compacted; reading the newest")
	case err != nil && !sto.lost:
		sto.lost = true
		dmn.log.Warn().Err(err).Str("topic", string(sto.topic)).Msg("store lost")
	case err == nil && sto.lost:
		sto.lost = false
		dmn.log.Info().Str("topic", string(sto.topic)).Msg("store regained")
	}
}

// readTopic reads a topic from an offset on, or the newest record of each key if from is negative, and returns the next offset to read.
func (dmn *Daemon) readTopic(ctx context.Context, rdr topicSubscription, from int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+rdr.wait)
	defer cancel()
	dmn.cnt.storeReads.Add(1)
	if from < 0 {
		snp, err := dmn.prm.Store.Newest(ctx, rdr.topic)
		if err != nil {
			return from, err
		}
		rdr.handle(batch{recs: snp.Records, from: from, next: snp.Next})
		return snp.Next, nil
	}
	chk, err := dmn.prm.Store.Read(ctx, rdr.topic, from, rdr.wait)
	if err != nil {
		return from, err
	}
	rdr.handle(batch{recs: chk.Records, from: from, next: chk.Next})
	return chk.Next, nil
}

// applyConfiguration decodes a configuration and puts it in force if it is newer than the present one.
func (dmn *Daemon) applyConfiguration(data []byte, from string) {
	cfg, err := platform.DecodeConfiguration(data)
	if err != nil {
		dmn.log.Error().Err(err).Str("from", from).Msg("configuration is unreadable; the one in force stays")
		return
	}
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if old := dmn.cfg.Load(); old != nil && old.Version() >= cfg.Version() {
		return
	}
	dmn.cfgData.Store(&data)
	dmn.cfgAt, dmn.cfgFromPeer = now, from != fromStore
	dmn.callerServer.SetBounds(cfg.Limits())
	if dmn.cfg.Swap(cfg) == nil {
		close(dmn.configured)
	}
	dmn.log.Info().Int64("version", cfg.Version()).Str("from", from).Msg("configuration in force")
	if dmn.addServices(cfg) {
		dmn.updateShards(now)
	}
}

// addServices adds the services of a configuration to the known ones and reports whether any is new.
func (dmn *Daemon) addServices(cfg *config.Configuration) bool {
	fresh := false
	for _, name := range cfg.Services() {
		fresh = fresh || !dmn.services[name]
		dmn.services[name] = true
	}
	return fresh
}

// handleInstances passes the addresses in records of the list of instances to the mesh.
func (dmn *Daemon) handleInstances(bat batch) {
	var prs []mesh.Peer
	for _, rec := range bat.recs {
		if rec.Key == platform.RoundsKey {
			dmn.handleRoundMark(rec)
			continue
		}
		if rec.Value == nil {
			continue
		}
		adr, err := platform.DecodeInstance(rec)
		if err != nil {
			dmn.log.Error().Err(err).Msg("record of an instance is unreadable")
			continue
		}
		prs = append(prs, mesh.Peer{Name: rec.Key, Address: adr})
	}
	dmn.mesh.SetPeers(prs)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.instancesRead = true
	dmn.noteInstances(now, prs)
}
