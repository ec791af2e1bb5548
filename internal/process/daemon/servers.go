package daemon

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// missingServer is a backend server whose entry went away at a time, though it wasn't marked as leaving, or not for long.
type missingServer struct {
	ent   shard.ServerEntry
	since time.Time
	// unreadable is set if there is an entry that can't be read.
	unreadable bool
}

const (
	// recoveryTime is the time after which, once the store is back, the entries of live servers are back too (2 s, the platform's
	// documentation), without the read that follows.
	recoveryTime = 2100 * time.Millisecond
	// maxUnlisted is how long a server without an entry may still be led by some instance: longer than the longest known outage on the
	// platform, 11.5 s.
	maxUnlisted = 30 * time.Second
)

// serverChanges has the names of the servers whose entries one read or digest of the list has added or changed, and removed, and the changes
// of rooms.
type serverChanges struct {
	updated, removed []string
	rooms            []roomChange
}

// logServerChanges logs the changes of the list since its last call in one line, with at most maxLoggedNames names each, and those of rooms.
func (dmn *Daemon) logServerChanges(from string) {
	lst := dmn.unloggedChanges
	dmn.unloggedChanges = serverChanges{}
	dmn.logRoomChanges(from, lst.rooms)
	if len(lst.updated)+len(lst.removed) == 0 {
		return
	}
	dmn.log.Info().Str("from", from).Int("listed", len(lst.updated)).Int("gone", len(lst.removed)).
		Strs("listed-servers", lst.updated[:min(len(lst.updated), maxLoggedNames)]).
		Strs("gone-servers", lst.removed[:min(len(lst.removed), maxLoggedNames)]).Msg("backend servers changed")
}

// maxLoggedNames limits the names in a log line.
const maxLoggedNames = 20

// anyListingIncomplete reports whether a leader still waits for a read of the list that began after its takeover.
func (dmn *Daemon) anyListingIncomplete() bool {
	for _, ldr := range dmn.leaders {
		if !ldr.ListingComplete() {
			return true
		}
	}
	return false
}

// removeUnlisted removes the entries that a full read of the list doesn't have, and returns their servers.
func (dmn *Daemon) removeUnlisted(now time.Time, recs []platform.Record) []shard.ServerID {
	listed := make(map[shard.ServerID]bool, len(recs))
	for _, rec := range recs {
		listed[shard.ServerID(rec.Key)] = rec.Value != nil
	}
	var gone []shard.ServerID
	for id := range dmn.entries {
		if !listed[id] {
			dmn.removeServer(now, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// removeServer removes an entry. A server may still work and is kept as missing if it wasn't marked as leaving, or so lately that a leader may have
// started tasks there that it has not reported yet, as it has not read the mark.
func (dmn *Daemon) removeServer(now time.Time, id shard.ServerID) {
	old, known := dmn.entries[id]
	if !known {
		return
	}
	delete(dmn.entries, id)
	dmn.keepRecord(string(id), nil)
	since := dmn.leavingSince[id]
	delete(dmn.leavingSince, id)
	if !old.Leaving || now.Sub(since) < maxServersAge {
		old.Leaving = true // It gets no new task.
		dmn.missing[id] = missingServer{ent: old, since: now}
		maps.DeleteFunc(dmn.missing, func(_ shard.ServerID, mis missingServer) bool {
			return now.Sub(mis.since) > maxUnlisted
		})
	}
	dmn.unloggedChanges.removed = append(dmn.unloggedChanges.removed, string(id))
}

// applyServerRecord applies one record of the list and reports whether it changes anything.
func (dmn *Daemon) applyServerRecord(now time.Time, rec platform.Record) bool {
	id := shard.ServerID(rec.Key)
	old, known := dmn.entries[id]
	if rec.Value == nil {
		dmn.removeServer(now, id)
		return known
	}
	ent, err := platform.DecodeServer(rec)
	if err != nil {
		// Another program may have written it. If a server has that key, it gets no new task until its entry is readable again.
		dmn.log.Error().Err(err).Msg("entry of the list of backend servers is unreadable")
		dmn.removeServer(now, id)
		return dmn.noteUnreadable(id) || known
	}
	if known && ent.Incarnation < old.Incarnation {
		dmn.log.Error().Str("server", rec.Key).Int64("known-incarnation", int64(old.Incarnation)).Int64("incarnation", int64(ent.Incarnation)).
			Msg("entry of a former incarnation of a backend server is not used")
		return false
	}
	dmn.entries[id] = ent
	delete(dmn.missing, id)
	dmn.noteLeaving(now, ent)
	if known && ent.Equal(&old) {
		return false
	}
	dmn.keepRecord(rec.Key, rec.Value)
	if known && (ent.Processor != old.Processor || ent.Memory != old.Memory) {
		dmn.unloggedChanges.rooms = append(dmn.unloggedChanges.rooms, roomChange{former: old, now: ent})
	}
	dmn.unloggedChanges.updated = append(dmn.unloggedChanges.updated, rec.Key)
	return true
}

// noteLeaving takes note of since when an entry is marked as leaving.
func (dmn *Daemon) noteLeaving(now time.Time, ent shard.ServerEntry) {
	if _, known := dmn.leavingSince[ent.ID]; !ent.Leaving {
		delete(dmn.leavingSince, ent.ID)
	} else if !known {
		dmn.leavingSince[ent.ID] = now
	}
}

// noteUnreadable takes note that a missing server has an entry that can't be read, and reports whether that is news.
func (dmn *Daemon) noteUnreadable(id shard.ServerID) bool {
	mis, missing := dmn.missing[id]
	if !missing || mis.unreadable {
		return false
	}
	mis.unreadable = true
	dmn.missing[id] = mis
	return true
}

// completeListOffset returns the offset of the list up to which all servers that may live are known and have entries; 0 if unknown.
func (dmn *Daemon) completeListOffset(now time.Time) int64 {
	if !dmn.coverage.Complete(now) {
		return 0
	}
	for _, mis := range dmn.missing {
		if now.Sub(mis.since) <= maxUnlisted {
			return 0
		}
	}
	return max(0, dmn.follower.NextOffset())
}

// handleCompleteOffset applies the offset up to which another instance knows all servers that may live.
func (dmn *Daemon) handleCompleteOffset(now time.Time, from shard.InstanceID, to int64) {
	if dmn.coverage.HandlePeerComplete(now, to) {
		dmn.noteListComplete(string(from), to)
	}
}

// noteListComplete takes note that the own list has become complete by what another instance knows before an offset. If a leader waits for a complete
// list, the list is read at once.
func (dmn *Daemon) noteListComplete(from string, to int64) {
	dmn.log.Info().Str("from", from).Int64("offset", to).Msg("the list of backend servers is whole")
	if dmn.anyListingIncomplete() {
		dmn.requestListRead() // Its leaders took over after the last read, or while the list was incomplete.
	}
}

// listsUnknownService reports whether a failure domain has servers of a service that no configuration has named since the start. They are not
// called here, but a former leader that knows the service from before may run tasks there.
func (dmn *Daemon) listsUnknownService(domain string) bool {
	for _, ent := range dmn.entries {
		if ent.FailureDomain == domain && !dmn.services[ent.Service] {
			return true
		}
	}
	return false
}

// shardListing returns the known servers of a shard for its leader. ReadAt is set only if the list is complete: after the first read it
// may lack entries that expired, for instance as the store has just come back. Entries that go away later are kept as missing.
func (dmn *Daemon) shardListing(now time.Time, shd succession.Shard) shard.Listing {
	lst := shard.Listing{
		Listed: dmn.serversByShard[shd], All: dmn.entries, Shards: dmn.divisions.ConfirmedCount(shd.Domain),
		Belongs: func(ent shard.ServerEntry) bool { return dmn.divisions.ShardOf(ent) == shd },
	}
	if dmn.coverage.Complete(now) && !dmn.listsUnknownService(shd.Domain) {
		lst.ReadAt = dmn.listReadAt
	}
	for _, mis := range dmn.missing {
		if now.Sub(mis.since) <= maxUnlisted && dmn.divisions.ShardOf(mis.ent) == shd {
			lst.Missing = append(lst.Missing, mis.ent)
			if mis.unreadable {
				lst.Unreadable = append(lst.Unreadable, mis.ent.ID)
			}
		}
	}
	return lst
}

// serverKinds returns the kinds of the servers of each shard, with those that were listed a while ago and may live.
func (dmn *Daemon) serverKinds(now time.Time) map[shard.Name][]shard.ServerKind {
	missing := map[shard.Name][]shard.ServerEntry{}
	for _, mis := range dmn.missing {
		if now.Sub(mis.since) <= maxUnlisted {
			name := dmn.divisions.ShardOf(mis.ent).Name
			missing[name] = append(missing[name], mis.ent)
		}
	}
	kinds := make(map[shard.Name][]shard.ServerKind, len(dmn.serversByShard))
	for shd, ents := range dmn.serversByShard {
		kinds[shd.Name] = shard.Kinds(slices.Concat(ents, missing[shd.Name]))
	}
	return kinds
}

// maxServersAge is how old the known list may be with which jobs are refused for want of a server that suits them: as long as a change of it may take
// to reach all instances. A server that came later may suit them.
const maxServersAge = 2 * time.Second

// knowsAllServers reports whether the list is recent, has all servers that may live, and can be read.
func (dmn *Daemon) knowsAllServers(now time.Time) bool {
	if dmn.knownAt.IsZero() || now.Sub(dmn.knownAt) > maxServersAge || !dmn.coverage.Complete(now) {
		return false
	}
	for _, mis := range dmn.missing {
		if mis.unreadable {
			return false
		}
	}
	return true
}
