package daemon

import (
	"cmp"
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// followServerList reads the list of backend servers until ctx ends, whenever no other instance is known to read it. It polls, as each
// server's heartbeat is a record and a waiting read would return for each of them.
func (dmn *Daemon) followServerList(ctx context.Context) error {
	state := storeState{topic: platform.ServersTopic}
	asked := time.Time{} // Since when a leader has waited for a read.
	for ctx.Err() == nil {
		pause := dmn.paces.list.ReadInterval
		red, due := dmn.nextListRead(asked, state.failures)
		switch {
		case due && red.wait > 0:
			pause = min(pause, red.wait)
		case due:
			err := dmn.readList(ctx, red.full)
			if ctx.Err() != nil {
				return nil
			}
			dmn.logStoreState(&state, err)
			switch {
			case errors.Is(err, platform.ErrCompacted):
				continue
			case err != nil:
				sleepContext(ctx, dmn.retryPause(state.topic, state.failures))
				continue
			}
			asked = time.Time{}
			if dmn.publishDigests(ctx) {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-dmn.listGapNoted:
		case <-dmn.listReadRequested:
			asked = cmp.Or(asked, dmn.now()) // Later requests don't put the read off again.
		}
	}
	return nil
}

// readerRank returns how many instances are to read the list rather than this one.
func (dmn *Daemon) readerRank() int {
	if dmn.elector == nil {
		return math.MaxInt32
	}
	return dmn.elector.DutyRank(readerDuty)
}

// readerDuty is the name by which the elector ranks the instances for reading the list.
const readerDuty = "servers"

// readServerList reads the list from the offset that is known here, or in full if none is. After compaction the next read is a full one.
func (dmn *Daemon) readServerList(ctx context.Context) error { return dmn.readList(ctx, false) }

// readList is readServerList, or a full read in any case if full is set.
func (dmn *Daemon) readList(ctx context.Context, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dmn.mu.Lock()
	from := dmn.follower.NextOffset()
	dmn.mu.Unlock()
	dmn.cnt.storeReads.Add(1)
	dmn.cnt.listReads.Add(1)
	began := dmn.now()
	if from < 0 || full {
		snp, err := dmn.prm.Store.Newest(ctx, platform.ServersTopic)
		if err == nil {
			dmn.applyFullListing(began, snp)
		}
		return err
	}
	for {
		chk, err := dmn.prm.Store.Read(ctx, platform.ServersTopic, from, 0)
		if errors.Is(err, platform.ErrCompacted) {
			dmn.mu.Lock()
			dmn.follower.HandleCompaction()
			dmn.mu.Unlock()
		}
		if err != nil {
			return err
		}
		dmn.applyListChanges(began, from, &chk)
		if chk.Complete() || chk.Next == from {
			return nil
		}
		from = chk.Next // The store returns at most 1 MB at once.
		dmn.cnt.storeReads.Add(1)
	}
}

// applyFullListing replaces the known list by a full read that began at a time; entries that the read doesn't have are removed.
func (dmn *Daemon) applyFullListing(began time.Time, snp platform.Snapshot) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.listReadAt = began
	dmn.limit.HandleFullRead(began, len(snp.Records), snp.Bytes, snp.Next)
	if snp.Next < dmn.follower.KnownTo() {
		dmn.noteFormer(now)
	}
	dmn.replaceList(now, &snp)
	dmn.knownAt, dmn.changesFromPeer = began, false
	dmn.log.Info().Int("servers", len(dmn.entries)).Int64("offset", snp.Next).Msg("backend servers read")
	dmn.updateShards(now)
}

// replaceList replaces the known list by a full read of this or another instance; entries that it doesn't have are removed.
func (dmn *Daemon) replaceList(now time.Time, snp *platform.Snapshot) {
	dmn.gap, dmn.behind = false, false
	dmn.coverage.HandleFullRead(now, snp.Next)
	known, before := dmn.follower.Known(), dmn.follower.KnownTo()
	continued := dmn.follower.HandleRereading(snp.Next, snp.End)
	var chgs []serverlist.Change
	note := func(chg serverlist.Change) {
		chgs = append(chgs, chg)
		if continued {
			dmn.follower.HandleRereadChange(chg)
		}
	}
	for _, id := range dmn.removeUnlisted(now, snp.Records) {
		note(serverlist.Change{Offset: -1, Key: string(id)})
	}
	for _, rec := range snp.Records {
		if dmn.applyServerRecord(now, rec) {
			note(changeOf(rec.Offset, rec))
		}
	}
	if known {
		dmn.recent.HandleReread(now, before, snp.End, chgs)
	} else {
		dmn.recent.HandleFullRead(snp.End)
	}
	dmn.logRoomChanges(fromStore, dmn.unloggedChanges.rooms)
	dmn.unloggedChanges = serverChanges{}
}

// changeOf returns a record at an offset as a change. Of one that is too large for a server it has only the begin, which is as unreadable as the whole:
// others need no more, and the store takes no digest with all of it.
func changeOf(offset int64, rec platform.Record) serverlist.Change {
	if len(rec.Value) > platform.MaxServerBytes {
		rec.Value = rec.Value[:1]
	}
	return serverlist.Change{Offset: offset, Key: rec.Key, Value: rec.Value}
}

// applyListChanges applies the records of the list from an offset on, of a read that began at a time, and keeps the changes for the next
// digest. Records that are known from a digest are skipped. The list counts as read at that time once the end that it had then is reached.
func (dmn *Daemon) applyListChanges(began time.Time, from int64, chk *platform.Chunk) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if chk.Complete() {
		dmn.listReadAt, dmn.knownAt = began, began
		dmn.coverage.HandleRead(now)
	}
	dmn.gap = dmn.gap && dmn.gapNotedAt.After(began) // The read may end before a part that was found missing since.
	dmn.limit.HandleRecords(len(chk.Records), recordSize(chk.Records))
	dmn.limit.HandleEnd(began, chk.End)
	known := dmn.follower.HandleRead(from, chk.Next)
	if dmn.coverage.HandleKnown(now, chk.Next) {
		dmn.noteListComplete(fromStore, chk.Next)
	}
	changed := false
	for num, rec := range chk.Records {
		if num < known || !dmn.applyServerRecord(now, rec) {
			continue
		}
		changed = true
		chg := changeOf(from+int64(num), rec)
		dmn.follower.HandleChange(chg)
		dmn.recent.Add(now, chg)
		dmn.changesFromPeer = false
	}
	dmn.logServerChanges(fromStore)
	if changed || dmn.anyListingIncomplete() {
		dmn.updateShards(now)
	}
}

// serverDigests is the subscription to digests: the changes of the list that another instance has read.
func (dmn *Daemon) serverDigests() topicSubscription {
	return topicSubscription{topic: platform.ServerDigestsTopic, wait: dmn.paces.digestWait, handle: dmn.handleDigests}
}

// handleDigests decodes digests and applies them; it logs and counts those that are invalid.
func (dmn *Daemon) handleDigests(bat batch) {
	for _, rec := range bat.recs {
		dig, err := platform.DecodeDigest(rec.Value)
		if err != nil {
			dmn.cnt.badDigests.Add(1)
			dmn.log.Error().Err(err).Msg("digest of the list of servers is refused")
			continue
		}
		dmn.handleDigest(dig)
	}
}

// handleDigest is applyDigest as an event of its own.
func (dmn *Daemon) handleDigest(dig *serverlist.Digest) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.applyDigest(now, dig)
}

// applyDigest applies a digest if it continues the known list. If one before it is missing, the list is read at once.
func (dmn *Daemon) applyDigest(now time.Time, dig *serverlist.Digest) {
	if !dmn.follower.Known() {
		return // The next read is a full one.
	}
	if dmn.handleRewind(now, dig) {
		return
	}
	known := dmn.follower.KnownTo()
	chgs, follows := dmn.follower.HandleDigest(now, dig)
	if !follows {
		dmn.log.Info().Str("by", dig.Reader).Int64("from", dig.From).Int64("known", known).Msg("digest of the list of servers is missing")
		dmn.noteListGap(now)
		return
	}
	dmn.gap = false
	if dig.To > known {
		dmn.changesFromPeer = dmn.changesFromPeer && len(chgs) == 0
		dmn.applyChanges(now, dig, known, chgs)
	}
}

// applyChanges applies the new changes of a digest that has moved the known end of the list from an offset.
func (dmn *Daemon) applyChanges(now time.Time, dig *serverlist.Digest, known int64, chgs []serverlist.Change) {
	dmn.knownAt = now
	if dig.Reread {
		dmn.recent.HandleReread(now, known, dig.To, chgs)
		dmn.coverage.HandleFullRead(now, dig.To)
	} else if dmn.coverage.HandleKnown(now, dig.To) {
		dmn.noteListComplete(dig.Reader, dig.To)
	}
	changed := false
	for _, chg := range chgs {
		changed = dmn.applyServerRecord(now, platform.Record{Key: chg.Key, Value: chg.Value}) || changed
		if !dig.Reread {
			dmn.recent.Add(now, chg)
		}
	}
	dmn.logServerChanges(dig.Reader)
	if changed {
		dmn.updateShards(now)
	}
}

// publishDigests writes the changes that this instance has read to the store for the others, if it is the reader. Where reads are limited, it
// writes no more than all instances can read, for as long as the next read of the list may wait, and returns whether it has more to write after that.
func (dmn *Daemon) publishDigests(ctx context.Context) (more bool) {
	now := dmn.beginEvent()
	digs := dmn.pendingDigests(now)
	dmn.endEvent(now)
	for idx := range digs {
		size, err := dmn.publishDigest(ctx, &digs[idx])
		if err != nil {
			dmn.log.Warn().Err(err).Msg("digest of the list of servers is not written; retrying after the next read")
			return false
		}
		dmn.mu.Lock()
		dmn.follower.HandlePublished(now, &digs[idx])
		dmn.mu.Unlock()
		if pause := dmn.digestPause(size); pause > 0 && idx+1 < len(digs) {
			if !sleepContext(ctx, pause) || dmn.now().Sub(now) > dmn.paces.list.ReadInterval {
				return true
			}
		}
	}
	return false
}

// publishDigest appends a digest to the store and returns its size in bytes.
func (dmn *Daemon) publishDigest(ctx context.Context, dig *serverlist.Digest) (int, error) {
	data, err := platform.EncodeDigest(dig)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dmn.cnt.digests.Add(1)
	_, err = dmn.prm.Store.Append(ctx, platform.ServerDigestsTopic, platform.Record{Key: platform.ServerDigestsKey, Value: data})
	return len(data), err
}

// requestListRead has followServerList read the list at once. It doesn't block.
func (dmn *Daemon) requestListRead() {
	select {
	case dmn.listReadRequested <- struct{}{}:
	default:
	}
}
