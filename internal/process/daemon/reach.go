package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// reach is what is known of the way to the backend servers of another failure domain.
type reach struct {
	asking bool
	// askAt is when to ask next, since when the servers have answered each time.
	askAt, since time.Time
	failures     int
}

const (
	// reachTimeout bounds one asking, 30 times the way to another failure domain and back.
	reachTimeout = 150 * time.Millisecond
	// reachFor is how long the servers must have answered: when a cut ends, the instances of that domain
	// are heard again within a call that hangs, the pause after it, and another call.
	reachFor = 300 * time.Millisecond
	// reachPause is the first pause after an asking without an answer; it doubles up to maxReachPause.
	reachPause    = 200 * time.Millisecond
	maxReachPause = 1600 * time.Millisecond
	// lowestToken is below every leader's: a server refuses it, which shows that it is there, and goes on
	// obeying its leader.
	lowestToken = 1
)

// reachable reports whether the servers of a shard in another failure domain answer.
//
// An instance that hears none of that domain can't tell whether they are gone or cut off. If they are cut
// off they lead their servers well, and a take-over by a higher token at the end of the cut would
// break off what runs there. So it first asks in a way that changes nothing.
func (dmn *Daemon) reachable(now time.Time, shd succession.Shard) bool {
	rch := dmn.reaches[shd.Name]
	if rch == nil {
		rch = &reach{}
		dmn.reaches[shd.Name] = rch
	}
	if !rch.since.IsZero() && now.Sub(rch.since) >= reachFor {
		delete(dmn.reaches, shd.Name)
		return true
	}
	ents := dmn.divided[shd]
	if rch.asking || now.Before(rch.askAt) || len(ents) == 0 {
		return false
	}
	rch.asking = true
	// Another server is asked each time: the first may be the one that is down.
	dmn.asked++
	ent := ents[dmn.asked%len(ents)]
	dmn.group.Go(func() error { return dmn.askReach(shd.Name, ent) })
	return false
}

func (dmn *Daemon) askReach(name shard.Name, ent shard.ServerEntry) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, reachTimeout)
	defer cancel()
	_, vdt, err := dmn.prm.Servers.Hold(ctx, platform.Server{ID: ent.ID, Address: ent.Address}, lowestToken, 0, 0, 0)
	now := dmn.enter()
	defer dmn.exit(now)
	rch := dmn.reaches[name]
	if rch == nil {
		return nil
	}
	rch.asking = false
	if vdt == shard.Unknown {
		dmn.log.Info().Err(err).Str("shard", string(name)).Str("server", string(ent.ID)).
			Msg("shard of another failure domain has no leader and is out of reach")
		rch.since = time.Time{}
		rch.askAt = now.Add(min(reachPause<<min(rch.failures, maxReachDoublings), maxReachPause))
		rch.failures++
		return nil
	}
	rch.askAt = now.Add(reachFor / 2)
	if rch.since.IsZero() {
		rch.since = now
		// Its instances are called at once: if they lead it, they are heard before the shard is taken over.
		dmn.mesh.NudgeIf(func(shard.InstanceID) bool { return false })
	}
	return nil
}

const maxReachDoublings = 4
