package daemon

import (
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// tellSpeedsInterval is how often leaders tell the instances of their failure domain the speeds of their servers: a new leader learns them within two
// seconds itself, and those told need some 250 bytes for nine servers.
const tellSpeedsInterval = 2 * time.Second

// tellSpeeds sends the speeds of the servers that are led here to the instances that may lead them next, if they are due, and updates the metrics.
func (dmn *Daemon) tellSpeeds(now time.Time) {
	if now.Sub(dmn.speedsToldAt) < tellSpeedsInterval {
		return
	}
	dmn.speedsToldAt = now
	uneven, least, most := int64(0), int64(0), int64(0)
	for _, ldr := range dmn.leaders {
		dmn.cnt.waitsForSpeed.Add(int64(ldr.TakeSpeedWaits()))
		told, any := ldr.Speeds()
		if !any {
			continue
		}
		uneven++
		for _, spd := range told.Speeds {
			if least == 0 || spd.Factor < least {
				least = spd.Factor
			}
			most = max(most, spd.Factor)
		}
		for id, ins := range dmn.elector.Peers() {
			if ins.Domain == dmn.prm.Settings.FailureDomain {
				dmn.mesh.Send(id, mesh.ServerSpeeds{Told: told})
			}
		}
	}
	dmn.cnt.unevenShards.Store(uneven)
	dmn.cnt.leastFactor.Store(least)
	dmn.cnt.mostFactor.Store(most)
	dmn.cnt.correctedRoutes.Store(int64(dmn.coordinator.CorrectedRoutes()))
}

// handleServerSpeeds keeps the speeds that the leader of a shard has told.
func (dmn *Daemon) handleServerSpeeds(now time.Time, from shard.InstanceID, told shard.ToldSpeeds) {
	if !dmn.speedBook.Add(now, told) {
		dmn.cnt.speedsRefused.Add(1)
		dmn.log.Warn().Str("from", string(from)).Str("shard", string(told.Shard)).Int64("token", told.Token).Int("speeds", len(told.Speeds)).
			Msg("speeds of servers are not used")
	}
}

// useSpeeds makes the new leader of a shard begin with the speeds that were told.
func (dmn *Daemon) useSpeeds(now time.Time, name shard.Name, ldr *shard.Leader) {
	if num := ldr.UseSpeeds(now, &dmn.speedBook); num > 0 {
		dmn.log.Info().Str("shard", string(name)).Int("servers", num).Msg("speeds that were told are used")
	}
}

// logCorrectionChange logs that the estimates of a route are corrected from now on, or no longer.
func (dmn *Daemon) logCorrectionChange(act *submission.CorrectionChange) {
	lin := dmn.log.Info().Str("feature", string(shard.ServerSpeeds)).Str("route", act.Route).Float64("factor", act.Factor).
		Float64("deviation", act.Deviation).Int("runs", act.Runs)
	if act.Active {
		lin.Msg("estimates are corrected")
		return
	}
	lin.Msg("estimates are no longer corrected")
}
