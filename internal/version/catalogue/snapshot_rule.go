package catalogue

import "time"

// SnapshotRule says when a new snapshot is due in the stream.
type SnapshotRule struct {
	// Interval is the age of the newest snapshot at which the next is due: a quarter of the log's
	// retention leaves time for several writers to fail in turn.
	Interval time.Duration
	// Records bounds what a new reader applies after the newest snapshot.
	Records uint64
	// Stagger is how much later the writer of the next rank has its turn.
	Stagger time.Duration
}

// Known is the newest whole snapshot that a reader has seen in the stream.
type Known struct {
	// Offset is the one that it holds the state of; 0 if none was seen.
	Offset uint64
	// Time is when it was written or, if none was seen, when the reader started to look.
	Time time.Time
}

// Due reports whether the reader of a rank, from 0, has to write a snapshot of the state at an
// offset. A snapshot is renewed also if nothing has changed, because the old one is forgotten.
//
// A reader that has seen none takes its turn after the stagger: waiting for the interval, a pool
// whose instances are all replaced more often than that would never write one.
func (rul SnapshotRule) Due(now time.Time, offset uint64, kno Known, rank int) bool {
	if offset == 0 {
		return false
	}
	age := now.Sub(kno.Time) - time.Duration(rank)*rul.Stagger
	if kno.Offset == 0 {
		return age >= rul.Stagger
	}
	if age >= rul.Interval {
		return true
	}
	// The snapshots' own records count little; waiting by rank holds for a long tail too.
	late := offset - min(offset, kno.Offset)
	return late >= rul.Records && age >= rul.Stagger
}
