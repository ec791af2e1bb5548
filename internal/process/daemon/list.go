package daemon

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// listPause is the pause between two reads of the list: a server that is leaving may get tasks for 2 s.
const listPause = 400 * time.Millisecond

// followServers reads the list of backend servers, whenever no other instance is known to read it, until ctx ends. It reads by the
// clock, as every server's heartbeat is a record and a waiting read would return for each of them.
func (dmn *Daemon) followServers(ctx context.Context) error {
	sto := storeState{topic: platform.ServersTopic}
	asked := false
	for ctx.Err() == nil {
		if dmn.serversDue() || asked {
			err := dmn.readServers(ctx)
			if ctx.Err() != nil {
				return nil
			}
			dmn.noteStore(&sto, err)
			switch {
			case errors.Is(err, platform.ErrCompacted):
				continue
			case err != nil:
				pause(ctx, storePause)
				continue
			}
			dmn.publishDigests(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listPause):
			asked = false
		case <-dmn.serversWanted:
			asked = true
		}
	}
	return nil
}

// readersBefore returns how many instances are to read the list rather than this one.
func (dmn *Daemon) readersBefore() int {
	if dmn.council == nil {
		return math.MaxInt32
	}
	return dmn.council.DutyRank(readersDuty)
}

// readersDuty ranks the instances for reading the list.
const readersDuty = "servers"

func (dmn *Daemon) serversDue() bool {
	now := dmn.enter()
	defer dmn.exit(now)
	return dmn.follower.ReadDue(now, dmn.readersBefore())
}

// readServers reads the list from where its knowledge ends, or all of it.
func (dmn *Daemon) readServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dmn.mu.Lock()
	from := dmn.follower.NextOffset()
	dmn.mu.Unlock()
	dmn.cnt.storeReads.Add(1)
	dmn.cnt.listReads.Add(1)
	began := dmn.now()
	if from < 0 {
		recs, next, err := dmn.prm.Store.Newest(ctx, platform.ServersTopic)
		if err == nil {
			dmn.takeAllServers(began, recs, next)
		}
		return err
	}
	recs, next, err := dmn.prm.Store.Read(ctx, platform.ServersTopic, from, 0)
	if err == nil {
		dmn.takeServers(began, recs, from, next)
	}
	if errors.Is(err, platform.ErrCompacted) {
		dmn.mu.Lock()
		dmn.follower.Reset()
		dmn.mu.Unlock()
	}
	return err
}

// takeAllServers takes in a full read of the list.
func (dmn *Daemon) takeAllServers(began time.Time, recs []platform.Record, next int64) {
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.listReadAt = began
	dmn.census.HandleFullRead(now, next)
	dmn.follower.HandleFullRead(next)
	dmn.dropUnlisted(now, recs)
	for _, rec := range recs {
		dmn.takeServer(now, rec)
	}
	dmn.listChanges = listed{}
	dmn.log.Info().Int("servers", len(dmn.entries)).Int64("offset", next).Msg("backend servers read")
	dmn.redivide(now)
}

// takeServers takes in the records of the list from one offset to another.
func (dmn *Daemon) takeServers(began time.Time, recs []platform.Record, from, next int64) {
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.listReadAt = began
	dmn.census.HandleRead(now)
	known := dmn.follower.HandleRead(from, next)
	changed := false
	for num, rec := range recs {
		if num < known || !dmn.takeServer(now, rec) {
			continue
		}
		changed = true
		dmn.follower.HandleChange(serverlist.Change{Offset: from + int64(num), Key: rec.Key, Value: rec.Value})
	}
	dmn.logListed(fromStore)
	if changed || dmn.anyListShort() {
		dmn.redivide(now)
	}
}

// serverDigests waits for what another instance has read of the list.
func (dmn *Daemon) serverDigests() topicReader {
	return topicReader{topic: platform.ServerDigestsTopic, wait: time.Second, take: dmn.takeDigests}
}

// takeDigests takes in records of the digests of the list.
func (dmn *Daemon) takeDigests(bat batch) {
	for _, rec := range bat.recs {
		dig, err := platform.DecodeDigest(rec.Value)
		if err != nil {
			dmn.cnt.badDigests.Add(1)
			dmn.log.Error().Err(err).Msg("digest of the list of servers is refused")
			continue
		}
		dmn.takeDigest(dig)
	}
}

func (dmn *Daemon) takeDigest(dig *serverlist.Digest) {
	now := dmn.enter()
	defer dmn.exit(now)
	known := dmn.follower.NextOffset()
	if known < 0 {
		return // The list is about to be read in full.
	}
	chgs, follows := dmn.follower.HandleDigest(now, dig)
	if !follows {
		dmn.log.Info().Str("by", dig.Reader).Int64("from", dig.From).Int64("known", known).Msg("digest of the list of servers is missing")
		dmn.wantServers()
		return
	}
	changed := false
	for _, chg := range chgs {
		changed = dmn.takeServer(now, platform.Record{Key: chg.Key, Value: chg.Value}) || changed
	}
	dmn.logListed(dig.Reader)
	if changed {
		dmn.redivide(now)
	}
}

// publishDigests writes what was read for the other instances, if it is this one's turn.
func (dmn *Daemon) publishDigests(ctx context.Context) {
	now := dmn.enter()
	digs := dmn.follower.PendingDigests(now, dmn.readersBefore())
	dmn.exit(now)
	for idx := range digs {
		if err := dmn.publishDigest(ctx, &digs[idx]); err != nil {
			dmn.log.Warn().Err(err).Msg("digest of the list of servers is not written; trying again with the next read")
			return
		}
		dmn.mu.Lock()
		dmn.follower.HandlePublished(now, &digs[idx])
		dmn.mu.Unlock()
	}
}

func (dmn *Daemon) publishDigest(ctx context.Context, dig *serverlist.Digest) error {
	data, err := platform.EncodeDigest(dig)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dmn.cnt.digests.Add(1)
	_, err = dmn.prm.Store.Append(ctx, platform.ServerDigestsTopic, platform.Record{Key: platform.ServerDigestsKey, Value: data})
	return err
}

// wantServers has the list read at once.
func (dmn *Daemon) wantServers() {
	select {
	case dmn.serversWanted <- struct{}{}:
	default:
	}
}
