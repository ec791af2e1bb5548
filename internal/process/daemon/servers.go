package daemon

import (
	"maps"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// missingServer is a server whose entry went away.
type missingServer struct {
	ent   shard.ServerEntry
	since time.Time
}

const (
	// entriesReturn is how long after the store's return the entries of servers that live are back (2 s, the platform's
	// pages), and a read of the list.
	entriesReturn = 2500 * time.Millisecond
	// missingFor is how long a server without an entry may still be led by somebody: longer than the longest outage seen
	// on the platform's days (11.5 s).
	missingFor = 30 * time.Second
)

// listed has what one read or digest of the list has changed.
type listed struct{ came, went []string }

// logListed tells what has changed since the last time: one line, whose names are bounded.
func (dmn *Daemon) logListed(from string) {
	lst := dmn.listChanges
	dmn.listChanges = listed{}
	if len(lst.came)+len(lst.went) == 0 {
		return
	}
	dmn.log.Info().Str("from", from).Int("listed", len(lst.came)).Int("gone", len(lst.went)).
		Strs("listed-servers", lst.came[:min(len(lst.came), mostNames)]).
		Strs("gone-servers", lst.went[:min(len(lst.went), mostNames)]).Msg("backend servers changed")
}

// mostNames bounds the names in a line of the log.
const mostNames = 20

// anyListShort reports whether a leader waits for a read that began after its take-over.
func (dmn *Daemon) anyListShort() bool {
	for _, ldr := range dmn.leaders {
		if !ldr.Whole() {
			return true
		}
	}
	return false
}

// dropUnlisted removes what a full list does not have.
func (dmn *Daemon) dropUnlisted(now time.Time, recs []platform.Record) {
	listed := make(map[shard.ServerID]bool, len(recs))
	for _, rec := range recs {
		listed[shard.ServerID(rec.Key)] = rec.Value != nil
	}
	for id := range dmn.entries {
		if !listed[id] {
			dmn.dropServer(now, id)
		}
	}
}

// dropServer removes an entry. A server that was not leaving may be fine.
func (dmn *Daemon) dropServer(now time.Time, id shard.ServerID) {
	old, known := dmn.entries[id]
	if !known {
		return
	}
	delete(dmn.entries, id)
	if !old.Leaving {
		old.Leaving = true // It gets no new task.
		dmn.missing[id] = missingServer{ent: old, since: now}
		maps.DeleteFunc(dmn.missing, func(_ shard.ServerID, mis missingServer) bool {
			return now.Sub(mis.since) > missingFor
		})
	}
	dmn.listChanges.went = append(dmn.listChanges.went, string(id))
}

// takeServer takes in one record and reports whether it changes anything.
func (dmn *Daemon) takeServer(now time.Time, rec platform.Record) bool {
	id := shard.ServerID(rec.Key)
	old, known := dmn.entries[id]
	if rec.Value == nil {
		dmn.dropServer(now, id)
		return known
	}
	ent, err := platform.DecodeServer(rec)
	if err != nil {
		// Another writer's; the server that it names, if there is one, gets no new task until its entry can be read again.
		dmn.log.Error().Err(err).Msg("entry of the list is unreadable")
		dmn.dropServer(now, id)
		return known
	}
	dmn.entries[id] = ent
	delete(dmn.missing, id)
	if known && old.Leaving == ent.Leaving && old.Address == ent.Address {
		return false
	}
	dmn.listChanges.came = append(dmn.listChanges.came, rec.Key)
	return true
}

// listedTo returns up to which offset of the list all servers that may live are known, and have their entries; 0 if that can't be told.
func (dmn *Daemon) listedTo(now time.Time) int64 {
	if !dmn.census.Complete(now) {
		return 0
	}
	for _, mis := range dmn.missing {
		if now.Sub(mis.since) <= missingFor {
			return 0
		}
	}
	return max(0, dmn.follower.NextOffset())
}

// hearListed takes in up to which offset of the list another instance knows all servers that may live.
func (dmn *Daemon) hearListed(now time.Time, from shard.InstanceID, to int64) {
	if !dmn.census.HandlePeerComplete(now, to) {
		return
	}
	dmn.log.Info().Str("from", string(from)).Int64("offset", to).Msg("the list of backend servers is whole")
	if dmn.anyListShort() {
		dmn.wantServers() // Its leaders took their shards over after the last read, or without knowing.
	}
}

// listing returns what is known of the servers of a shard. After the first read the list may be short for a while: entries
// that lapsed are not in it, and the store may just have come back. What goes from the list later is kept as missing.
func (dmn *Daemon) listing(now time.Time, shd succession.Shard) shard.Listing {
	lst := shard.Listing{Listed: dmn.divided[shd], All: dmn.entries}
	if dmn.census.Complete(now) {
		lst.ReadAt = dmn.listReadAt
	}
	for _, mis := range dmn.missing {
		if now.Sub(mis.since) <= missingFor && dmn.divisions.ShardOf(mis.ent) == shd {
			lst.Missing = append(lst.Missing, mis.ent)
		}
	}
	return lst
}
