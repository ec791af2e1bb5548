package daemon

import (
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// listNews is what has changed in the list of backend servers lately.
type listNews struct {
	// knownAt is when the list was last as it is known here, by a read, by a digest or by another instance.
	knownAt time.Time
	// unloggedChanges are changes that are not logged yet.
	unloggedChanges serverChanges
	// recent are the changes for instances that lack them.
	recent *serverlist.RecentChanges
	// changesFromPeer is set if another instance sent the newest change.
	changesFromPeer bool
	// changesSentAt is when changes were last sent to each instance that is heard.
	changesSentAt map[shard.InstanceID]time.Time
}

func newListNews() listNews {
	return listNews{recent: serverlist.NewRecentChanges(), changesSentAt: map[shard.InstanceID]time.Time{}}
}

const (
	// changesSendDelay is the time in which an instance learns of a change from a working store; changesSendStagger is the time between the turns of
	// two senders, so that two of them may fail within the 2 s that a change of the list may take.
	changesSendDelay   = 500 * time.Millisecond
	changesSendStagger = 400 * time.Millisecond
	// changesSendPause is the minimum time between two sends to an instance, so that it can report what it knows then.
	changesSendPause = time.Second
)

// sendServerChanges sends the changes of the list of servers to an instance that knows the list before an offset only, as the store may be out of its
// reach. Leaders there would go on with rooms that have shrunk, and with servers that are leaving. As with configurations, the instance first gets
// the time to learn of them by itself, and senders take turns.
func (dmn *Daemon) sendServerChanges(now time.Time, to shard.InstanceID, offset int64) {
	end := dmn.follower.KnownTo()
	if offset <= 0 || offset >= end {
		return // It has never read the list, so that changes of it say nothing; or it lacks none.
	}
	since, lacking := dmn.recent.LackingSince(offset, end)
	if !lacking {
		return
	}
	after := changesSendDelay
	if dmn.changesFromPeer {
		after = 0 // The store is out of this instance's reach, so probably out of the other's, too.
	}
	if first := dmn.firstHeardAt[to]; first.After(since) {
		since = first
	}
	turn := time.Duration(dmn.elector.NotifyRank(to))
	if now.Sub(since) < after+turn*changesSendStagger || now.Sub(dmn.changesSentAt[to]) < changesSendPause {
		return
	}
	dig := dmn.recent.Since(dmn.prm.Settings.Instance, offset, end)
	data, err := platform.EncodeDigest(&dig)
	if err != nil {
		dmn.log.Error().Err(err).Msg("changes of the list of servers can't be sent")
		return
	}
	dmn.changesSentAt[to] = now
	dmn.cnt.changesSent.Add(1)
	dmn.log.Info().Str("peer", string(to)).Int64("from", dig.From).Int64("to", dig.To).Int("changes", len(dig.Changes)).Int("bytes", len(data)).
		Dur("lacking", now.Sub(since)).Msg("changes of the list of servers sent")
	dmn.mesh.Send(to, mesh.ServerChanges{Data: data})
}

// handleServerChanges applies changes of the list of servers that another instance has sent.
func (dmn *Daemon) handleServerChanges(now time.Time, from shard.InstanceID, data []byte) {
	dig, err := platform.DecodeDigest(data)
	if err != nil {
		dmn.cnt.badDigests.Add(1)
		dmn.log.Error().Err(err).Str("from", string(from)).Msg("changes of the list of servers are refused")
		return
	}
	known := dmn.follower.KnownTo()
	chgs, follow := dmn.follower.HandlePeerChanges(dig)
	if !follow || dig.To <= known {
		dmn.log.Info().Str("from", string(from)).Int64("from-offset", dig.From).Int64("to", dig.To).Int64("known", known).
			Msg("changes of the list of servers are not used: they are known or don't continue what is")
		return
	}
	for _, chg := range chgs {
		dmn.follower.HandleChange(chg) // Ignored after a full read, of which no digest is written here.
	}
	dmn.changesFromPeer = true
	dmn.applyChanges(now, dig, known, chgs)
}
