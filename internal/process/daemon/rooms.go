package daemon

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// roomChange is a change of the processor or memory that a listed backend server tells to have.
type roomChange struct{ former, now shard.ServerEntry }

// logRoomChanges counts the changes of rooms that one read or digest of the list has brought, and logs up to maxLoggedNames of them.
func (dmn *Daemon) logRoomChanges(from string, chgs []roomChange) {
	dmn.cnt.roomChanges.Add(int64(len(chgs)))
	for _, chg := range chgs[:min(len(chgs), maxLoggedNames)] {
		dmn.log.Info().Str("server", string(chg.now.ID)).Str("from", from).Int64("list-offset", dmn.follower.KnownTo()).
			Int64("former-processor", chg.former.Processor).Int64("processor", chg.now.Processor).
			Int64("former-memory", chg.former.Memory).Int64("memory", chg.now.Memory).
			Int("others", len(chgs)-1).Msg("room of a backend server changed")
	}
}

// listState is what a decision that goes by the list of servers is based on.
type listState struct {
	// offset is that before which all records of the list are known, negative if none is.
	offset int64
	// age is the time since the list was last as it is known here.
	age time.Duration
}

// listState returns the present state of the list of servers.
func (dmn *Daemon) listState(now time.Time) listState {
	stt := listState{offset: dmn.follower.KnownTo()}
	if !dmn.knownAt.IsZero() {
		stt.age = now.Sub(dmn.knownAt)
	}
	return stt
}
