package daemon

import (
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/domainlist"
	"chestnutstack/platform"
)

// takeClosings takes in which failure domains operators have closed to new work or opened again.
func (dmn *Daemon) takeClosings(bat batch) {
	var recs []domainlist.Record
	unreadable := 0
	for num, rec := range bat.recs {
		cls, is, err := platform.DecodeClosing(rec, bat.from+int64(num))
		switch {
		case err != nil:
			unreadable++
			dmn.log.Error().Err(err).Msg("closing of a failure domain is unreadable; what is known of it stays")
		case is:
			recs = append(recs, cls)
		}
	}
	now := dmn.enter()
	defer dmn.exit(now)
	dmn.cnt.badClosings.Add(int64(unreadable))
	var changed bool
	if bat.from < 0 {
		changed = dmn.domains.ApplySnapshot(recs, bat.next)
	} else {
		changed = dmn.domains.ApplyRecords(recs, bat.next)
	}
	dmn.countRefusedClosings()
	if changed {
		dmn.applyClosings(now, fromStore)
	}
	if changed && dmn.council != nil {
		dmn.nudgeNear() // The store may turn the others away.
	}
}

// mergeClosings takes over what another instance knows of closed failure domains.
func (dmn *Daemon) mergeClosings(now time.Time, from shard.InstanceID, viw domainlist.View) {
	changed := dmn.domains.Merge(viw)
	dmn.countRefusedClosings()
	if changed {
		dmn.applyClosings(now, string(from))
	}
}

// countRefusedClosings tells of closings that were not believed since the last time.
func (dmn *Daemon) countRefusedClosings() {
	if num := dmn.domains.RefusedClosings() - dmn.refusedClosings; num > 0 {
		dmn.refusedClosings += num
		dmn.cnt.badClosings.Add(num)
		dmn.log.Error().Int64("closings", num).Msg("closings of unknown failure domains are refused")
	}
}

// applyClosings tells all that decides here which failure domains are closed.
func (dmn *Daemon) applyClosings(now time.Time, from string) {
	viw := dmn.domains.View()
	dmn.cnt.closedDomains.Store(int64(len(viw.Closed)))
	dmn.log.Info().Strs("closed", viw.Closed).Int64("offset", viw.End).Str("from", from).Msg("closed failure domains changed")
	for shd := range dmn.divided {
		if ldr := dmn.leaders[shd.Name]; ldr != nil {
			dmn.shardDo(shd.Name, ldr.SetClosed(now, dmn.domains.Closed(shd.Domain)))
		}
	}
	if dmn.desk != nil {
		dmn.deskDo(dmn.desk.SetClosed(now, viw.Closed))
	}
}
