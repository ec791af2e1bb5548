package serverlist

import "time"

// Completeness tells whether an instance's list has every backend server that may live. Entries lapse while their servers are cut off from the
// store, and the leaders that know them from before go on leading them; whoever reads the list then for the first time has never heard
// of those servers.
//
// It is not safe for concurrent use.
type Completeness struct {
	cfg CompletenessConfig
	// next is where the list went on after the last full read, at readAt; negative before the first.
	next   int64
	readAt time.Time
	// wholeAt is from when on the list is whole by time alone.
	wholeAt time.Time
}

// CompletenessConfig has the times that a Census works with.
type CompletenessConfig struct {
	// RecoveryTime is how long after the store's return the entries of servers that live are back, and read.
	RecoveryTime time.Duration
	// MaxUnlisted is for how long a server whose entry went away may still be led by somebody.
	MaxUnlisted time.Duration
}

// NewCompleteness returns a census of an instance that has not read the list.
func NewCompleteness(cfg CompletenessConfig) *Completeness { return &Completeness{cfg: cfg, next: unknown} }

// HandleFullRead notes a full read that ended at a time, after which the list goes on at an offset. What a read that follows a whole list has
// not seen can only have come and gone since.
func (cen *Completeness) HandleFullRead(now time.Time, next int64) {
	wait := cen.cfg.MaxUnlisted
	if cen.Complete(now) && now.Sub(cen.readAt) <= cen.cfg.RecoveryTime {
		wait = cen.cfg.RecoveryTime
	}
	cen.next, cen.readAt, cen.wholeAt = next, now, now.Add(wait)
}

// HandleRead notes a read of what came since the one before.
func (cen *Completeness) HandleRead(now time.Time) { cen.readAt = now }

// HandlePeerComplete takes in that another instance knows every server that may live, up to an offset of the list, and that none of them lacks its
// entry. It reports whether the own list is whole by that and was not before.
func (cen *Completeness) HandlePeerComplete(now time.Time, to int64) bool {
	if cen.next < 0 || to < cen.next || cen.Complete(now) {
		return false
	}
	cen.wholeAt = now
	return true
}

// Complete reports whether the list has every server that may live, with those that it had before.
func (cen *Completeness) Complete(now time.Time) bool { return cen.next >= 0 && !now.Before(cen.wholeAt) }
