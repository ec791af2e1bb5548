package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// incarnationBits is the number of low bits of a token that identify its holder.
const incarnationBits = 20

// nextToken returns a fencing token that no other instance ever uses, higher than all that this one has heard of: the round, then the
// low bits of the incarnation.
func (dmn *Daemon) nextToken(now time.Time) int64 {
	return dmn.rounds.Take(dmn.company(now))<<incarnationBits | dmn.incarnation&(1<<incarnationBits-1)
}

// company returns what is known of the other instances when a round is chosen.
func (dmn *Daemon) company(now time.Time) succession.Company {
	lst := len(dmn.listedInstances)
	if dmn.listedInstances[dmn.prm.Settings.Instance] {
		lst--
	}
	return succession.Company{Heard: len(dmn.elector.Peers()), Listed: lst, Ready: dmn.elector.ReadyFor(now)}
}

// handleTokenRefused takes note that a server of a shard has refused the token of the shard's leader here, and logs it.
func (dmn *Daemon) handleTokenRefused(now time.Time, name shard.Name, token int64) {
	led, ago := dmn.elector.LastLeader(name)
	dmn.rounds.HandleRefused(name, dmn.company(now))
	lin := dmn.log.Warn().Str("shard", string(name)).Int64("token", token).Int64("round", token>>incarnationBits).
		Int64("next-round", dmn.rounds.Next(dmn.company(now))).Int64("mark", dmn.rounds.Mark()).Int("heard", len(dmn.elector.Peers()))
	if led != "" {
		lin = lin.Str("former", string(led)).Dur("former-ago", now.Sub(ago))
	}
	lin.Msg("token refused by a server")
}

// roundMark is the state of writing the mark of rounds. It has been due since a time, zero if it isn't; the next write comes at nextAt or later.
type roundMark struct {
	dueSince, nextAt time.Time
	writing          bool
}

const (
	// roundMarkDuty names the duty of writing the mark. The instances take turns, so that one of them writes it and the others read that.
	roundMarkDuty    = "round-mark"
	roundMarkStagger = 500 * time.Millisecond
	// roundMarkPause is the least time between two writes of an instance.
	roundMarkPause = 5 * time.Second
)

// keepRoundMark has the mark of rounds written to the store if it is due and this instance's turn.
func (dmn *Daemon) keepRoundMark(now time.Time) {
	due := dmn.rounds.DueMark()
	rmk := &dmn.roundMark
	if due == 0 || !dmn.instancesRead {
		rmk.dueSince = time.Time{}
		return
	}
	if rmk.dueSince.IsZero() {
		rmk.dueSince = now
	}
	turn := rmk.dueSince.Add(time.Duration(dmn.elector.DutyRank(roundMarkDuty)) * roundMarkStagger)
	if rmk.writing || now.Before(turn) || now.Before(rmk.nextAt) {
		return
	}
	rmk.writing = true
	dmn.group.Go(func() error {
		dmn.writeRoundMark(due)
		return nil
	})
}

// writeRoundMark writes a mark of rounds to the store.
func (dmn *Daemon) writeRoundMark(mark int64) {
	ctx, cancel := context.WithTimeout(dmn.ctx, storeTimeout)
	defer cancel()
	_, err := dmn.prm.Store.Append(ctx, platform.InstancesTopic, platform.Record{Key: platform.RoundsKey, Value: platform.EncodeRounds(mark)})
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.roundMark.writing, dmn.roundMark.nextAt = false, now.Add(roundMarkPause)
	if err != nil {
		dmn.log.Warn().Err(err).Int64("mark", mark).Msg("mark of rounds not written")
		return
	}
	dmn.rounds.HandleMark(mark)
	dmn.log.Info().Int64("mark", mark).Int64("round", dmn.rounds.Highest()).Msg("mark of rounds written")
}

// handleRoundMark takes in the mark of rounds that the store has.
func (dmn *Daemon) handleRoundMark(rec platform.Record) {
	mark, err := platform.DecodeRounds(rec)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	if err != nil {
		mark = -1
	}
	if !dmn.rounds.HandleMark(mark) {
		dmn.log.Error().Err(err).Int64("mark", mark).Msg("mark of rounds is unreadable")
	}
}
