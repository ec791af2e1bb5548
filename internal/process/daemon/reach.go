package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// probeToken is lower than every leader's token: a server rejects it, which shows that it answers, and goes on obeying its leader.
const probeToken = 1

// reachable reports whether the servers of a shard in another failure domain have answered for long enough to take the shard over. If
// that isn't known, it starts a probe of one of them when the next one is due.
func (dmn *Daemon) reachable(now time.Time, shd succession.Shard) bool {
	rch := dmn.reachability[shd.Name]
	if rch == nil {
		rch = &succession.Reachability{}
		dmn.reachability[shd.Name] = rch
	}
	if rch.Confirmed(now) {
		delete(dmn.reachability, shd.Name)
		return true
	}
	if ents := dmn.serversByShard[shd]; len(ents) > 0 && rch.StartProbe(now) {
		// Each probe goes to another server, as a single one may be down.
		dmn.probes++
		ent := ents[dmn.probes%len(ents)]
		dmn.group.Go(func() error { return dmn.probeShard(shd.Name, ent) })
	}
	return false
}

// probeShard calls a backend server of a shard and records whether it answers.
func (dmn *Daemon) probeShard(name shard.Name, ent shard.ServerEntry) error {
	ctx, cancel := context.WithTimeout(dmn.ctx, succession.ProbeTimeout)
	defer cancel()
	asked := dmn.now()
	_, clr, err := dmn.prm.Servers.Hold(ctx, platform.Server{ID: ent.ID, Address: ent.Address}, probeToken, 0, 0, 0)
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	rch := dmn.reachability[name]
	if rch == nil {
		return nil
	}
	lin := dmn.log.Info().Str("shard", string(name)).Str("server", string(ent.ID))
	if clr == shard.Unknown {
		rch.HandleProbeFailure(now)
		lin.Err(err).Msg("shard of another failure domain has no leader and is out of reach")
		return nil
	}
	if rch.HandleProbeAnswer(now, asked) {
		lin.Stringer("verdict", clr).Msg("shard of another failure domain has no leader and is in reach")
		// Calls the domain's unheard instances at once: if one leads the shard, it is heard before the shard is taken over.
		// SendHeartbeatsIf always calls the instances that aren't heard; no other needs a call.
		dmn.mesh.SendHeartbeatsIf(func(shard.InstanceID) bool { return false })
	}
	return nil
}
