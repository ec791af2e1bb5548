package serverlist

import "time"

// Coverage tells whether an instance's copy of the list has every backend server that may be running. Entries expire while their
// servers are partitioned from the store, and the leaders that know those servers from before go on leading them; an instance that
// reads the list for the first time then has never heard of them.
//
// It is not safe for concurrent use.
type Coverage struct {
	cfg CoverageConfig
	// next is the offset after the last full read, negative before the first one; readAt is when the list was last read.
	next   int64
	readAt time.Time
	// known is the offset before which the list is known. wholeTo is the lowest offset from next on at which another instance knew every server that
	// might be running, negative if none did.
	known, wholeTo int64
	// since is from when on the copy is complete, unless another full read comes first.
	since time.Time
}

// CoverageConfig has the times that a Coverage works with.
type CoverageConfig struct {
	// RecoveryTime is how long after the store is available again the entries of all running servers are back in the list and have been
	// read.
	RecoveryTime time.Duration
	// MaxUnlisted is how long a server whose entry has expired may still be led by some instance.
	MaxUnlisted time.Duration
}

// NewCoverage returns the state of an instance that has not read the list yet.
func NewCoverage(cfg CoverageConfig) *Coverage {
	return &Coverage{cfg: cfg, next: unknown, known: unknown, wholeTo: unknown}
}

// HandleFullRead takes note of a full read that ended at now, by this or another instance, after which the list goes on at offset next. The
// copy is then complete after MaxUnlisted; or after RecoveryTime, if it was complete and last read at most RecoveryTime ago: a server that
// this read has missed can then only have come and gone since.
func (cvg *Coverage) HandleFullRead(now time.Time, next int64) {
	wait := cvg.cfg.MaxUnlisted
	if cvg.Complete(now) && now.Sub(cvg.readAt) <= cvg.cfg.RecoveryTime {
		wait = cvg.cfg.RecoveryTime
	}
	cvg.next, cvg.known, cvg.wholeTo, cvg.readAt, cvg.since = next, next, unknown, now, now.Add(wait)
}

// HandleRead takes note of a read of the records since the read before.
func (cvg *Coverage) HandleRead(now time.Time) { cvg.readAt = now }

// HandleKnown takes note that all records before an offset are known, by reads or from others. It reports whether the copy is complete by that
// and wasn't before.
func (cvg *Coverage) HandleKnown(now time.Time, to int64) bool {
	cvg.known = max(cvg.known, to)
	return cvg.completeByPeer(now)
}

// HandlePeerComplete takes note that another instance knows every server that may be running, up to the offset to, and that each of
// them has an entry. It reports whether the own copy is complete by that and wasn't before.
func (cvg *Coverage) HandlePeerComplete(now time.Time, to int64) bool {
	if cvg.next < 0 || to < cvg.next {
		return false
	}
	if cvg.wholeTo < 0 || to < cvg.wholeTo {
		cvg.wholeTo = to
	}
	return cvg.completeByPeer(now)
}

// completeByPeer makes the copy complete once it is known as far as another instance's that was complete. Before that a server may have an entry
// which is still to be read.
func (cvg *Coverage) completeByPeer(now time.Time) bool {
	if cvg.wholeTo < 0 || cvg.known < cvg.wholeTo || cvg.Complete(now) {
		return false
	}
	cvg.since = now
	return true
}

// Complete reports whether the copy, together with the servers known from before, has every server that may be running.
func (cvg *Coverage) Complete(now time.Time) bool { return cvg.next >= 0 && !now.Before(cvg.since) }
