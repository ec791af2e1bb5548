package member

import (
	"time"
)

// removal is a number of instances that a list removed at a time.
type removal struct {
	at    time.Time
	count int
}

// ListRead takes in the platform's list as it was just read.
//
// Additions and leaving marks count at once. A removal counts if the instance was leaving, or if
// the removals of its kind within a RemovalWindow stay under the RemovalShare; else none of the
// read's removals of that kind count until direct evidence confirms them. An outage of the
// platform shows as a list that is empty or lacks many; without the rule it would empty the pool.
func (trk *Tracker) ListRead(now time.Time, list []Instance) {
	seen := make(map[string]bool, len(list))
	for idx := range list {
		ins := &list[idx]
		if ins.ID == trk.self.ins.ID && ins.Incarnation == trk.self.ins.Incarnation {
			trk.makeReady()
		}
		if ins.ID == "" || ins.ID == trk.self.ins.ID {
			continue
		}
		seen[ins.ID] = true
		trk.listed(now, ins)
	}
	trk.removals(now, KindEntry, seen)
	trk.removals(now, KindServer, seen)
}

// makeReady notes that the list shows this process or that a peer answered. Entry instances that
// start together may each see a list that lacks the others; the one that is listed last sees those
// before it, and waits for their units.
func (trk *Tracker) makeReady() {
	if !trk.ready {
		trk.ready, trk.dirty = true, true
	}
}

// ListFailed takes in that the platform's list could not be read: nothing changes.
func (trk *Tracker) ListFailed(time.Time) { trk.listFailures++ }

// ListFailures returns how many reads of the list failed.
func (trk *Tracker) ListFailures() uint64 { return trk.listFailures }

func (trk *Tracker) listed(now time.Time, ins *Instance) {
	rec := trk.records[ins.ID]
	if rec == nil {
		rec = &record{ins: *ins, listed: true, state: Alive, found: now}
		trk.records[ins.ID] = rec
		trk.ordered = nil
		trk.touch(rec)
		return
	}
	if rec.ins.Incarnation != ins.Incarnation {
		if rec.knew(ins.Incarnation) {
			return
		}
		rec.replace(ins.Incarnation, now, now.Add(trk.cfg.EvidenceLife))
		trk.touch(rec)
	}
	leaving := ins.Leaving || rec.ins.Leaving
	if rec.listed && !rec.held && rec.ins == withLeaving(*ins, leaving) {
		return
	}
	rec.ins = withLeaving(*ins, leaving)
	rec.listed, rec.held = true, false
	trk.touch(rec)
}

func withLeaving(ins Instance, leaving bool) Instance {
	ins.Leaving = leaving
	return ins
}

func (trk *Tracker) removals(now time.Time, knd Kind, seen map[string]bool) {
	var missing []*record
	known, unexplained := 0, 0
	for id, rec := range trk.records {
		if rec.ins.Kind != knd || !rec.listed {
			continue
		}
		known++
		switch {
		case seen[id], rec == trk.self:
		case rec.leaving():
			trk.unlist(now, rec)
		case rec.state == Gone:
			// A refused connection explains the removal; yet a backend server that restarts in an outage
			// of the platform refuses, too, and must come back before the list does.
			missing = append(missing, rec)
		default:
			missing = append(missing, rec)
			unexplained++
		}
	}
	if unexplained > trk.allowance(now, knd, known) {
		for _, rec := range missing {
			trk.hold(rec)
		}
		return
	}
	if unexplained > 0 {
		trk.removed[knd] = append(trk.removed[knd], removal{at: now, count: unexplained})
	}
	for _, rec := range missing {
		trk.unlist(now, rec)
	}
}

func (trk *Tracker) allowance(now time.Time, knd Kind, known int) int {
	recent := trk.removed[knd][:0]
	count := 0
	for _, rmv := range trk.removed[knd] {
		if now.Sub(rmv.at) < trk.cfg.RemovalWindow {
			recent = append(recent, rmv)
			count += rmv.count
		}
	}
	trk.removed[knd] = recent
	return max(0, max(1, int(trk.cfg.RemovalShare*float64(known)))-count)
}

func (trk *Tracker) hold(rec *record) {
	if !rec.held {
		rec.held = true
		trk.markDirty(rec.ins.Kind)
	}
}

// unlist believes that the platform removed an instance. For an entry instance this is proof that
// it is gone, and peers whose list lags learn of it.
func (trk *Tracker) unlist(now time.Time, rec *record) {
	rec.listed, rec.held = false, false
	trk.markDirty(rec.ins.Kind)
	if rec.ins.Kind == KindEntry && rec.state != Gone {
		trk.setState(now, rec, Gone, 0)
	}
	if rec.ins.Kind == KindServer && rec.state == Alive {
		trk.drop(rec)
	}
}

// expire drops evidence whose life is over; what the list says then counts again.
func (trk *Tracker) expire(now time.Time) {
	for _, rec := range trk.records {
		for inc, until := range rec.past {
			if !now.Before(until) {
				delete(rec.past, inc)
			}
		}
		if rec.expires.IsZero() || now.Before(rec.expires) {
			continue
		}
		if rec.state == Suspect && rec.listed {
			// A suspicion of a listed instance ends by an answer, by proof or by the list, not by age.
			rec.expires = now.Add(trk.cfg.EvidenceLife)
			continue
		}
		if !rec.listed {
			trk.drop(rec)
			continue
		}
		rec.setState(Alive, now, time.Time{})
		trk.touch(rec)
	}
}
