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
	// storeTimeout bounds a call to the store besides what it waits: a slow store takes 0.4 s an answer.
	storeTimeout = 1500 * time.Millisecond
	// storePause is the pause after a failed call: all instances together may make 600 writes and 2,000
	// reads a second.
	storePause = 200 * time.Millisecond
)

// fromStore names the store in logs as the source of what was learnt.
const fromStore = "store"

// topicReader says how a topic is followed.
type topicReader struct {
	topic platform.Topic
	// wait is how long a read waits for news.
	wait time.Duration
	// take gets records.
	take func(bat batch)
}

// batch has the records that a read of a topic returned.
type batch struct {
	recs []platform.Record
	// from is the offset of the first record, negative if these are the newest of all keys; next is where to go on reading.
	from, next int64
}

// configurations waits for news: an operator's change is to be in force within two seconds. A channel
// that has gone silent is found after the wait.
func (dmn *Daemon) configurations() topicReader {
	return topicReader{
		topic: platform.ConfigurationTopic, wait: time.Second,
		take: func(bat batch) {
			// First of all, so that an instance that gets its first configuration knows where not to start anything.
			dmn.takeClosings(bat)
			for _, rec := range bat.recs {
				if rec.Key == platform.ConfigurationKey && rec.Value != nil {
					dmn.takeConfiguration(rec.Value, fromStore)
				}
			}
		},
	}
}

func (dmn *Daemon) instances() topicReader {
	return topicReader{topic: platform.InstancesTopic, wait: 10 * time.Second, take: dmn.takeInstances}
}

// follow reads a topic until ctx ends: all newest records first, then what comes after them.
func (dmn *Daemon) follow(ctx context.Context, rdr topicReader) error {
	next := int64(-1)
	sto := storeState{topic: rdr.topic}
	for ctx.Err() == nil {
		var err error
		next, err = dmn.readOnce(ctx, rdr, next)
		if ctx.Err() != nil {
			return nil
		}
		dmn.noteStore(&sto, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			next = -1
		case err != nil:
			pause(ctx, storePause)
		}
	}
	return nil
}

// storeState is whether the store answers reads of a topic.
type storeState struct {
	topic platform.Topic
	lost  bool
}

// noteStore tells when the store stops answering and when it answers again.
func (dmn *Daemon) noteStore(sto *storeState, err error) {
	switch {
	case errors.Is(err, platform.ErrCompacted):
		dmn.log.Info().Str("topic", string(sto.topic)).Msg("records are gone; reading the newest")
	case err != nil && !sto.lost:
		sto.lost = true
		dmn.log.Warn().Err(err).Str("topic", string(sto.topic)).Msg("store lost")
	case err == nil && sto.lost:
		sto.lost = false
		dmn.log.Info().Str("topic", string(sto.topic)).Msg("store regained")
	}
}

// readOnce reads from an offset on, all newest records from -1, and returns where to go on.
func (dmn *Daemon) readOnce(ctx context.Context, rdr topicReader, from int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+rdr.wait)
	defer cancel()
	dmn.cnt.storeReads.Add(1)
	if from < 0 {
		recs, next, err := dmn.prm.Store.Newest(ctx, rdr.topic)
		if err != nil {
			return from, err
		}
		rdr.take(batch{recs: recs, from: from, next: next})
		return next, nil
	}
	recs, next, err := dmn.prm.Store.Read(ctx, rdr.topic, from, rdr.wait)
	if err != nil {
		return from, err
	}
	rdr.take(batch{recs: recs, from: from, next: next})
	return next, nil
}

// takeConfiguration puts a configuration in force if it is newer than the one that is.
func (dmn *Daemon) takeConfiguration(data []byte, from string) {
	cfg, err := platform.DecodeConfiguration(data)
	if err != nil {
		dmn.log.Error().Err(err).Str("from", from).Msg("configuration is unreadable; the one in force stays")
		return
	}
	now := dmn.enter()
	defer dmn.exit(now)
	if old := dmn.cfg.Load(); old != nil && old.Version() >= cfg.Version() {
		return
	}
	dmn.cfgData.Store(&data)
	dmn.cfgAt, dmn.cfgFromPeer = now, from != fromStore
	if dmn.cfg.Swap(cfg) == nil {
		close(dmn.configured)
	}
	dmn.log.Info().Int64("version", cfg.Version()).Str("from", from).Msg("configuration in force")
	if dmn.nameServices(cfg) {
		dmn.redivide(now)
	}
}

// nameServices notes the services of a configuration and reports whether any is new.
func (dmn *Daemon) nameServices(cfg *config.Configuration) bool {
	fresh := false
	for _, name := range cfg.Services() {
		fresh = fresh || !dmn.services[name]
		dmn.services[name] = true
	}
	return fresh
}

// takeInstances takes in records of the list of entry instances.
func (dmn *Daemon) takeInstances(bat batch) {
	var prs []mesh.Peer
	for _, rec := range bat.recs {
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
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.listed = true
}
