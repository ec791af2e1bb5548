package daemon

import (
	"bytes"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// wholeLists is what passes the whole list of servers on between instances.
type wholeLists struct {
	// records are the newest records of the servers in the list.
	records map[string][]byte
	// wants is set while this instance's first read, or that of a missing part, is put off: another one may send it the list, as also if it is behind.
	wants bool
	// encoded is the list as it was last sent, at encodedAt; encoding is set while it is encoded, for the instances in listReceivers.
	encoded       []byte
	encodedAt     time.Time
	encoding      bool
	listReceivers []shard.InstanceID
	// listSentAt is when the list was last sent to each instance.
	listSentAt map[shard.InstanceID]time.Time
}

func newWholeLists() wholeLists {
	return wholeLists{records: map[string][]byte{}, listSentAt: map[shard.InstanceID]time.Time{}}
}

const (
	// encodedListAge is how old an encoded list may be that is sent. The receiver needs the changes since then from digests.
	encodedListAge = 300 * time.Millisecond
	// maxListTurns is how many instances may send the list to one that wants it: its neighbours and, later, a few others.
	maxListTurns = 4
)

// keepRecord keeps the record of a server in the list, which may be a part of a whole read; nil removes it.
func (dmn *Daemon) keepRecord(key string, value []byte) {
	if value == nil {
		delete(dmn.records, key)
		return
	}
	dmn.records[key] = bytes.Clone(value)
}

// sendWholeList sends the list to an instance that knows it before an offset only, or not at all, and waits for its turn to read it. Its neighbours send
// it at once, others in turns.
func (dmn *Daemon) sendWholeList(now time.Time, to shard.InstanceID, offset int64) {
	turn := dmn.elector.NotifyRank(to)
	if !dmn.follower.Exact() || dmn.gap || dmn.follower.KnownTo() <= offset || turn > maxListTurns || now.Sub(dmn.listSentAt[to]) < changesSendPause ||
		now.Sub(dmn.firstHeardAt[to]) < time.Duration(max(0, turn-1))*changesSendStagger {
		return
	}
	dmn.listSentAt[to] = now
	if dmn.encoded != nil && now.Sub(dmn.encodedAt) <= encodedListAge {
		dmn.passList(to)
		return
	}
	dmn.listReceivers = append(dmn.listReceivers, to)
	if dmn.encoding {
		return
	}
	dmn.encoding = true
	lst := &platform.WholeList{By: dmn.prm.Settings.Instance, To: dmn.follower.KnownTo()}
	for key, val := range dmn.records {
		lst.Records = append(lst.Records, platform.Record{Key: key, Value: val})
	}
	// In the background, as it takes some milliseconds.
	dmn.group.Go(func() error {
		data, err := platform.EncodeList(lst)
		now := dmn.beginEvent()
		defer dmn.endEvent(now)
		dmn.encoding, dmn.encoded, dmn.encodedAt = false, data, now
		rcvs := dmn.listReceivers
		dmn.listReceivers = nil
		if err != nil {
			dmn.log.Error().Err(err).Msg("list of servers can't be sent")
			return nil
		}
		for _, id := range rcvs {
			dmn.passList(id)
		}
		return nil
	})
}

// passList sends the encoded list to an instance.
func (dmn *Daemon) passList(to shard.InstanceID) {
	dmn.cnt.listsSent.Add(1)
	dmn.log.Info().Str("peer", string(to)).Int("bytes", len(dmn.encoded)).Msg("list of servers sent")
	dmn.mesh.Send(to, mesh.ServerList{Data: dmn.encoded})
}

// handleServerList takes in the whole list that another instance has sent, if that one knows more of it. It proves nothing to a leader that needs a read
// of its own.
func (dmn *Daemon) handleServerList(from shard.InstanceID, data []byte) {
	lst, err := platform.DecodeList(data)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if err != nil {
		dmn.cnt.badDigests.Add(1)
		dmn.log.Error().Err(err).Str("from", string(from)).Msg("list of servers is refused")
		return
	}
	if dmn.follower.Known() && !dmn.gap && !dmn.behind || dmn.mayBeFormer(now, lst.To) || lst.To <= dmn.follower.KnownTo() {
		dmn.log.Info().Str("from", string(from)).Int64("offset", lst.To).Int64("known", dmn.follower.KnownTo()).Msg("list of servers is not used")
		return
	}
	dmn.limit.HandlePeerList(now, len(lst.Records), lst.To)
	dmn.replaceList(now, &platform.Snapshot{Records: lst.Records, Next: lst.To, End: lst.To})
	dmn.knownAt, dmn.changesFromPeer = now, true
	dmn.log.Info().Str("from", string(from)).Int("servers", len(dmn.entries)).Int64("offset", lst.To).Msg("list of servers received")
	dmn.updateShards(now)
}
