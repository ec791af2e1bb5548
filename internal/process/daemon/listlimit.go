package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// listLimit limits this instance's reads of the list of servers to what the store can read for all.
type listLimit struct {
	limit *serverlist.ReadLimit
	// limited is set while the limit acts; deferred is set while a read is put off; gap is set while a part of the list is missing, last noted at
	// gapNotedAt, behind while much of it is.
	limited, deferred, gap, behind bool
	// digestsFrom has where the newest digest of each reader began. formerTo is the offset before which the list was known when it was last found to
	// have been rewound; until formerUntil, other instances may not have noticed that.
	digestsFrom map[string]int64
	formerTo    int64
	formerUntil time.Time
	// listEnd is the highest offset of the list that another instance knows.
	listEnd    int64
	gapNotedAt time.Time
	// knowing are the other instances that know the list.
	knowing map[shard.InstanceID]bool
	// listedInstances are the names in the list of instances.
	listedInstances map[string]bool
	// A value in listGapNoted has followServerList read what is missing, not at once if reads are limited.
	listGapNoted chan struct{}
}

func newListLimit(set *platform.Settings, pcs *storePaces, now time.Time) listLimit {
	limit := serverlist.NewReadLimit(serverlist.ReadLimitConfig{StoreBytes: set.StoreReadBytes, DigestTimeout: pcs.list.DigestTimeout}, now)
	limit.SetPosition(hashPosition(set.Instance)) // Until the instance is registered.
	return listLimit{
		limit:   limit,
		knowing: map[shard.InstanceID]bool{}, digestsFrom: map[string]int64{}, listedInstances: map[string]bool{}, listGapNoted: make(chan struct{}, 1),
	}
}

// hashPosition returns a number from 0 up to but without 1 that differs by text.
func hashPosition(text string) float64 {
	const bits = 53 // All that a float64 keeps.
	return float64(xxhash.Sum64String(text)>>(64-bits)) / (1 << bits)
}

// handleListState takes note of what another instance's heartbeat says of the list.
func (dmn *Daemon) handleListState(from shard.InstanceID, bet *mesh.Heartbeat) {
	if bet.ListOffset > 0 {
		dmn.knowing[from] = true
		dmn.listEnd = max(dmn.listEnd, bet.ListOffset)
	}
	siz := serverlist.ListSize{Full: bet.ListBytes, PerSecond: bet.ListRate}
	if prb := siz.Problem(); prb != "" {
		dmn.log.Error().Str("peer", string(from)).Int64("bytes", siz.Full).Int64("bytes-a-second", siz.PerSecond).Str("problem", prb).
			Msg("size of the list of servers is not used")
		return
	}
	dmn.limit.HandleReport(siz)
}

// noteInstances passes the number of listed instances to the limit.
func (dmn *Daemon) noteInstances(now time.Time, prs []mesh.Peer) {
	for _, per := range prs {
		dmn.listedInstances[per.Name] = true
	}
	dmn.limit.HandleInstances(now, len(dmn.listedInstances))
}

// instancesPause returns the pause between two reads of the list of instances: none, unless there are hundreds. When all of these start, each of them would
// read for each of the others.
func (dmn *Daemon) instancesPause() time.Duration {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	num := len(dmn.listedInstances)
	if dmn.prm.Settings.StoreReadBytes <= 0 || num <= manyInstances {
		return 0
	}
	return time.Duration(num) * pausePerInstance
}

// With pausePerInstance all instances together make a thousand reads a second of the list of instances, half of what the store allows for all topics. Up to
// manyInstances they read as often as it changes.
const (
	pausePerInstance = time.Millisecond
	manyInstances    = 100
)

// listReadState returns what the limit is to decide on.
func (dmn *Daemon) listReadState() serverlist.ReadState {
	sta := serverlist.ReadState{Known: dmn.follower.Known(), KnownAt: dmn.knownAt, Knowing: len(dmn.knowing), Gap: dmn.gap, ProgressAt: dmn.follower.ProgressAt()}
	sta.Lacking = max(0, dmn.listEnd-dmn.follower.KnownTo())
	if dmn.elector != nil {
		sta.Rank, sta.Heard = dmn.readerRank(), len(dmn.elector.Peers())
	}
	return sta
}

// listRead is a read of the list that is due.
type listRead struct {
	// wait is how long it is put off.
	wait time.Duration
	// full is set if the whole list is to be read, as that is less than what is missing.
	full bool
}

// nextListRead returns the read of the list that is due now; ok is false if none is. asked is since when a leader has waited for a read, or zero, and
// failures is how many reads have failed one after the other.
func (dmn *Daemon) nextListRead(asked time.Time, failures int) (red listRead, ok bool) {
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if dmn.follower.Known() {
		dmn.limit.HandleServers(len(dmn.entries))
	}
	sta := dmn.listReadState()
	sta.Asked, sta.Failures = asked, failures
	dmn.behind = dmn.limit.Behind(now, sta) && now.After(dmn.formerUntil)
	dmn.noteListLimit(now, &sta)
	if !dmn.gap && asked.IsZero() && !dmn.follower.ReadDue(now, dmn.readerRank()) {
		dmn.deferred, dmn.wants = false, false
		return listRead{}, false
	}
	red.wait = dmn.limit.Wait(now, sta)
	dmn.wants = red.wait > 0 && (!sta.Known || dmn.gap)
	if red.wait > 0 {
		dmn.noteDeferredRead(now, &sta, red.wait)
		return red, true
	}
	dmn.deferred = false
	red.full = dmn.limit.HandleRead(now, sta)
	return red, true
}

// noteDeferredRead logs and counts a read that is put off, once.
func (dmn *Daemon) noteDeferredRead(now time.Time, sta *serverlist.ReadState, wait time.Duration) {
	if dmn.deferred || !sta.Known && len(dmn.listedInstances) == 0 {
		return
	}
	dmn.deferred = true
	dmn.cnt.listReadsDeferred.Add(1)
	lin := dmn.log.Info().Int("rank", sta.Rank).Int("heard", sta.Heard).Int("knowing", sta.Knowing).Dur("wait", wait).Bool("first", !sta.Known)
	if sta.Known {
		lin = lin.Dur("list-age", now.Sub(sta.KnownAt))
	}
	lin.Msg("read of the list of servers is put off")
}

// noteListLimit logs when the limit begins and ceases to act, and on which figures.
func (dmn *Daemon) noteListLimit(now time.Time, sta *serverlist.ReadState) {
	lms := dmn.limit.Limits(now, sta.Heard)
	dmn.cnt.listBytes.Store(lms.ListBytes)
	if lms.Active == dmn.limited {
		return
	}
	dmn.limited = lms.Active
	lin := dmn.log.Info().Int("instances", lms.Instances).Int64("list-bytes-a-second", lms.ListBytes).Int64("share-bytes-a-second", lms.ShareBytes).
		Int("readers", lms.Readers).Int("rank", sta.Rank)
	if lms.Active {
		lin.Msg("reads of the list of servers are limited")
		return
	}
	lin.Msg("reads of the list of servers are no longer limited")
}

// digestPause returns how long to wait after a digest of a size before the next one is written.
func (dmn *Daemon) digestPause(bytes int) time.Duration {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	if dmn.elector == nil {
		return 0
	}
	return dmn.limit.DigestPause(dmn.now(), len(dmn.elector.Peers()), bytes)
}

// pendingDigests returns the digests that this instance is to write now; small ones where reads are limited.
func (dmn *Daemon) pendingDigests(now time.Time) []serverlist.Digest {
	heard := 0
	if dmn.elector != nil {
		heard = len(dmn.elector.Peers())
	}
	if limit, paced := dmn.limit.DigestChanges(now, heard); paced {
		return dmn.follower.PendingPacedDigests(now, dmn.readerRank(), limit)
	}
	return dmn.follower.PendingDigests(now, dmn.readerRank())
}

// followDigests follows the digests of the list once that is known: they say nothing before, and hundreds of instances that start read them.
func (dmn *Daemon) followDigests(ctx context.Context) error {
	for dmn.prm.Settings.StoreReadBytes > 0 && !dmn.listKnown() {
		if !sleepContext(ctx, listKnownPoll) {
			return nil
		}
	}
	return dmn.followTopic(ctx, dmn.serverDigests())
}

// listKnownPoll is the pause between two looks whether the list is known; a digest comes each 0.4 s at most.
const listKnownPoll = 20 * time.Millisecond

// listKnown reports whether the list was read.
func (dmn *Daemon) listKnown() bool {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	return dmn.follower.Known()
}

// handleRewind notices by a digest that the list's offsets have begun anew, as its reader's digests go back, and reports whether they have. Otherwise an
// instance whose reads are put off would take digests for known ones until they end beyond what it knew before. A digest that was written without an answer
// is written again from the same offset on, perhaps to a lower one.
func (dmn *Daemon) handleRewind(now time.Time, dig *serverlist.Digest) bool {
	last, wrote := dmn.digestsFrom[dig.Reader]
	dmn.digestsFrom[dig.Reader] = dig.From
	if !dmn.limited || !wrote || dig.Reader == dmn.prm.Settings.Instance || dig.To > last || dig.To >= dmn.follower.KnownTo() {
		return false
	}
	dmn.log.Warn().Str("by", dig.Reader).Int64("to", dig.To).Int64("before", last).Int64("known", dmn.follower.KnownTo()).
		Msg("the list of servers was rewound; reading it anew")
	dmn.noteFormer(now)
	dmn.follower.Forget(now)
	dmn.limit.HandleRewind(now)
	clear(dmn.knowing)
	dmn.gap = false
	return true
}

// noteFormer takes note that the list was rewound, so that what is known is from before.
func (dmn *Daemon) noteFormer(now time.Time) {
	dmn.formerTo, dmn.formerUntil = dmn.follower.KnownTo(), now.Add(formerTime)
	dmn.listEnd, dmn.behind = 0, false
}

// formerTime is how long after a rewind others may not have noticed it: longer than the turns of all instances take.
const formerTime = 30 * time.Second

// mayBeFormer reports whether a list that ends at an offset may be from before the list was rewound: another instance may not have noticed it. It knew
// about as much as this one, up to one record of each server.
func (dmn *Daemon) mayBeFormer(now time.Time, to int64) bool {
	return now.Before(dmn.formerUntil) && to+int64(len(dmn.entries)) >= dmn.formerTo
}

// noteListGap has followServerList read what is missing of the list. It doesn't block.
func (dmn *Daemon) noteListGap(now time.Time) {
	dmn.gap, dmn.gapNotedAt = true, now
	select {
	case dmn.listGapNoted <- struct{}{}:
	default:
	}
}

// recordSize returns the size of records in the store's answer.
func recordSize(recs []platform.Record) (bytes int64) {
	const head = 5 // The lengths of the record and of its key.
	for _, rec := range recs {
		bytes += int64(head + len(rec.Key) + len(rec.Value))
	}
	return bytes
}
