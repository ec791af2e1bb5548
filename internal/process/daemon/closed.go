package daemon

import (
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/domainlist"
	"chestnutstack/platform"
)

// handleClosings applies the records by which operators close failure domains to new work or open them again.
func (dmn *Daemon) handleClosings(bat batch) {
	var recs []domainlist.Record
	unreadable := 0
	for num, rec := range bat.recs {
		cls, is, err := platform.DecodeClosing(rec, bat.from+int64(num))
		switch {
		case err != nil:
			unreadable++
			dmn.log.Error().Err(err).Msg("closing of a failure domain is unreadable; keeping the known state of the domain")
		case is:
			recs = append(recs, cls)
		}
	}
	now := dmn.beginEvent()
	defer dmn.endEvent(now)
	dmn.cnt.badClosings.Add(int64(unreadable))
	var changed bool
	if bat.from < 0 {
		changed = dmn.closedDomains.ApplySnapshot(recs, bat.next)
	} else {
		changed = dmn.closedDomains.ApplyRecords(recs, bat.next)
	}
	dmn.countRefusedClosings()
	if changed {
		dmn.applyClosings(now, fromStore)
	}
	if changed && dmn.elector != nil {
		dmn.nudgeDomain() // The store may be out of reach for the others.
	}
}

// mergeClosings merges the closed failure domains that another instance knows.
func (dmn *Daemon) mergeClosings(now time.Time, from shard.InstanceID, viw domainlist.View) {
	changed := dmn.closedDomains.Merge(viw)
	dmn.countRefusedClosings()
	if changed {
		dmn.applyClosings(now, string(from))
	}
}

// countRefusedClosings counts and logs the closings that were rejected since its last call.
func (dmn *Daemon) countRefusedClosings() {
	if num := dmn.closedDomains.RefusedClosings() - dmn.refusedClosings; num > 0 {
		dmn.refusedClosings += num
		dmn.cnt.badClosings.Add(num)
		dmn.log.Error().Int64("closings", num).Msg("closings of unknown failure domains are refused")
	}
}

// applyClosings passes the closed failure domains to the leaders and the coordinator.
func (dmn *Daemon) applyClosings(now time.Time, from string) {
	viw := dmn.closedDomains.View()
	dmn.cnt.closedDomains.Store(int64(len(viw.Closed)))
	dmn.log.Info().Strs("closed", viw.Closed).Int64("offset", viw.End).Str("from", from).Msg("closed failure domains changed")
	for shd := range dmn.serversByShard {
		if ldr := dmn.leaders[shd.Name]; ldr != nil {
			dmn.runLeaderActions(shd.Name, ldr.SetClosed(now, dmn.closedDomains.Closed(shd.Domain)))
		}
	}
	if dmn.coordinator != nil {
		dmn.runCoordinatorActions(dmn.coordinator.HandleClosedDomains(now, viw.Closed))
	}
}
