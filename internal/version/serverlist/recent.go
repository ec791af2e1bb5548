package serverlist

import (
	"bytes"
	"slices"
	"time"
)

// RecentChanges has the changes of the list that an instance has learned of lately, for other instances that know less of it and don't reach
// the store. It is not safe for concurrent use.
type RecentChanges struct {
	// from is the offset from which on all changes are kept, unknown if none is.
	from int64
	// Changes between rereadFrom and rereadTo come from a full read in place of records that are gone: their offsets are made up.
	rereadFrom, rereadTo int64
	// changes are in the order of their offsets.
	changes []recentChange
}

// recentChange is a change and when the instance learned of it.
type recentChange struct {
	Change
	at time.Time
}

// newRecentChange returns a change with a copy of its value, which may be a part of a whole read.
func newRecentChange(now time.Time, chg Change) recentChange {
	chg.Value = bytes.Clone(chg.Value)
	return recentChange{Change: chg, at: now}
}

const (
	// recentTime is how long changes are kept: longer than the longest known outage on the platform, 11.5 s.
	recentTime = time.Minute
	// maxRecent bounds the changes that are kept, to some 1 MB.
	maxRecent = 4096
)

// NewRecentChanges returns a RecentChanges that has none.
func NewRecentChanges() *RecentChanges { return &RecentChanges{from: unknown} }

// HandleFullRead takes note of a full read and drops what was kept. The list ended at offset end when its last page was read: a record before that may
// change nothing here, as the read has shown it, and still be news to others.
func (rct *RecentChanges) HandleFullRead(end int64) {
	rct.from, rct.rereadFrom, rct.rereadTo, rct.changes = end, end, end, nil
}

// HandleReread adds the changes that a full read has shown in place of the records from an offset on, up to offset to, where the list ended when the
// last page was read.
func (rct *RecentChanges) HandleReread(now time.Time, from, to int64, chgs []Change) {
	if rct.from == unknown || from < rct.from || int64(len(chgs)) > to-from {
		rct.HandleFullRead(to)
		return
	}
	rct.dropBefore(rct.rereadTo) // Only one such range is kept.
	rct.rereadFrom, rct.rereadTo = from, to
	for idx, chg := range chgs {
		chg.Offset = from + int64(idx)
		rct.changes = append(rct.changes, newRecentChange(now, chg))
	}
}

// Add adds a change that the instance has just learned of.
func (rct *RecentChanges) Add(now time.Time, chg Change) {
	if rct.from == unknown || chg.Offset < rct.from {
		return
	}
	idx := rct.first(chg.Offset)
	if idx < len(rct.changes) && rct.changes[idx].Offset == chg.Offset {
		return
	}
	rct.changes = slices.Insert(rct.changes, idx, newRecentChange(now, chg))
	old := max(0, len(rct.changes)-maxRecent)
	for old < len(rct.changes) && now.Sub(rct.changes[old].at) > recentTime {
		old++
	}
	if old > 0 {
		rct.dropBefore(rct.changes[old-1].Offset + 1)
	}
}

// dropBefore drops the changes before an offset.
func (rct *RecentChanges) dropBefore(off int64) {
	if off > rct.rereadFrom {
		off = max(off, rct.rereadTo) // A part of a full read is of no use.
	}
	rct.from = max(rct.from, off)
	rct.changes = slices.DeleteFunc(rct.changes, func(chg recentChange) bool { return chg.Offset < rct.from })
}

// LackingSince returns when this instance, which knows the list before offset to, learned of the first change that an instance lacks which knows it
// before another offset; ok is false if that one lacks none, or can't be told what it lacks.
func (rct *RecentChanges) LackingSince(offset, to int64) (at time.Time, ok bool) {
	if rct.from == unknown || offset < rct.from || offset > rct.rereadFrom && offset < rct.rereadTo || to < rct.rereadTo {
		return time.Time{}, false
	}
	idx := rct.first(offset)
	if idx == len(rct.changes) {
		return time.Time{}, false
	}
	return rct.changes[idx].at, true
}

// first returns the index of the first change at or after an offset.
func (rct *RecentChanges) first(offset int64) int {
	idx, _ := slices.BinarySearchFunc(rct.changes, offset, func(chg recentChange, off int64) int { return int(chg.Offset - off) })
	return idx
}

// Since returns what an instance lacks that knows the list before offset from, up to offset to, before which this one knows it; reader is the own
// name. It may end earlier, to have no more changes than a digest. It is called where LackingSince returns true.
func (rct *RecentChanges) Since(reader string, from, to int64) Digest {
	dig := Digest{Reader: reader, From: from, To: to, Reread: from < rct.rereadTo}
	for _, chg := range rct.changes[rct.first(from):] {
		if chg.Offset < to {
			dig.Changes = append(dig.Changes, chg.Change)
		}
	}
	if dig.Reread {
		return dig // A part of it is of no use.
	}
	return dig.split(maxChanges)[0]
}
