package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// lowestToken is below every leader's: a server refuses it, which shows that it is there, and goes on
// obeying its leader.
const lowestToken = 1

// reachable reports whether the servers of a shard in another failure domain answer; it asks one of them if that is not known.
func (dmn *Daemon) reachable(now time.Time, shd succession.Shard) bool {
	rch := dmn.reaches[shd.Name]
	if rch == nil {
		rch = &succession.Reach{}
		dmn.reaches[shd.Name] = rch
	}
	if rch.Holds(now) {
		delete(dmn.reaches, shd.Name)
		return true
	}
	if ents := dmn.divided[shd]; len(ents) > 0 && rch.Ask(now) {
		// Another server is asked each time: the first may be the one that is down.
		dmn.asked++
		ent := ents[dmn.asked%len(ents)]
		dmn.group.Go(func() error { return dmn.askReach(shd.Name, ent) })
	}
	return false
}

func (dmn *Daemon) askReach(name shard.Name, ent shard.ServerEntry) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, succession.ReachTimeout)
	defer cancel()
	asked := dmn.now()
	_, vdt, err := dmn.prm.Servers.Hold(ctx, platform.Server{ID: ent.ID, Address: ent.Address}, lowestToken, 0, 0, 0)
	now := dmn.enter()
	defer dmn.exit(now)
	rch := dmn.reaches[name]
	if rch == nil {
		return nil
	}
	lin := dmn.log.Info().Str("shard", string(name)).Str("server", string(ent.ID))
	if vdt == shard.Unknown {
		rch.Unanswered(now)
		lin.Err(err).Msg("shard of another failure domain has no leader and is out of reach")
		return nil
	}
	if rch.Answered(now, asked) {
		lin.Stringer("verdict", vdt).Msg("shard of another failure domain has no leader and is in reach")
		// Its instances are called at once: if they lead it, they are heard before the shard is taken over.
		dmn.mesh.SendHeartbeatsIf(func(shard.InstanceID) bool { return false })
	}
	return nil
}
