package serverlist

import (
	"slices"
	"time"
)

// Config has the times that a Follower works with.
type Config struct {
	// Self is the name under which the instance writes digests.
	Self string
	// DigestTimeout is how long no digest may come before the list is read here.
	DigestTimeout time.Duration
	// SubstituteDelay is how much longer than the one before it each further instance waits before it writes digests for the others.
	SubstituteDelay time.Duration
	// IdleInterval is the longest time between two digests, also if nothing has changed.
	IdleInterval time.Duration
}

// DefaultConfig returns times with which a server that is leaving is known everywhere within two seconds, also if the instance that
// reads the list is lost: the patience and a read of the list.
func DefaultConfig(self string) Config {
	return Config{
		Self: self, DigestTimeout: 1200 * time.Millisecond, SubstituteDelay: 400 * time.Millisecond, IdleInterval: 700 * time.Millisecond,
	}
}

const (
	// substitutes is how many instances write digests in place of the first one, each in its turn.
	substitutes = 4
	// mostChanges bounds the changes of one digest, some 100 KB.
	mostChanges = 200
	unknown     = -1
)

// Follower is an instance's place in the list. It is not safe for concurrent use.
type Follower struct {
	cfg Config
	// next is the offset before which everything is known.
	next int64
	// digestAt is when the last digest of another instance came that kept up with the list, or the follower was made; digested is
	// the offset before which others have written digests, prior what was known before the last own read.
	digestAt        time.Time
	digested, prior int64
	// covered is the offset before which others have digests; unknown after a full read, whose pages are of different times, until
	// what was written meanwhile has been read again.
	covered     int64
	publishedAt time.Time
	// changes are those from covered on.
	changes []Change
}

// NewFollower returns a follower that knows nothing of the list yet.
func NewFollower(cfg Config, now time.Time) *Follower {
	return &Follower{cfg: cfg, next: unknown, covered: unknown, digestAt: now}
}

// NextOffset returns the offset from which on the list is to be read, negative for all of it.
func (fol *Follower) NextOffset() int64 { return fol.next }

// Reset notes that the list has to be read in full.
func (fol *Follower) Reset() { fol.HandleFullRead(unknown) }

// HandleFullRead notes a full read, after which the list goes on at an offset.
func (fol *Follower) HandleFullRead(next int64) {
	fol.next, fol.covered, fol.changes, fol.digested = next, unknown, nil, 0
}

// HandleRead notes a read of the list from one offset to another and returns how many of its records were known before.
func (fol *Follower) HandleRead(from, to int64) (known int) {
	known = int(min(max(0, fol.next-from), to-from))
	fol.prior = fol.next
	fol.next = max(fol.next, to)
	if fol.covered == unknown {
		fol.covered, fol.changes = fol.next, nil
	}
	return known
}

// HandleChange notes a record that was just read and changed what was known of its server.
func (fol *Follower) HandleChange(chg Change) {
	if fol.covered != unknown && chg.Offset >= fol.covered {
		fol.changes = append(fol.changes, chg)
	}
}

// HandleDigest takes a digest in and returns what it changes; it reports whether the digest goes on where the knowledge of the list ends. If
// it doesn't, a digest is missing, and the list is to be read.
func (fol *Follower) HandleDigest(now time.Time, dig *Digest) (chgs []Change, ok bool) {
	if fol.next == unknown || dig.From > fol.next {
		return nil, false
	}
	fol.noteDigest(now, dig)
	if dig.To <= fol.next {
		return nil, true
	}
	for _, chg := range dig.Changes {
		if chg.Offset >= fol.next {
			chgs = append(chgs, chg)
		}
	}
	fol.next = dig.To
	if fol.covered != unknown {
		fol.cover(dig.To)
	}
	return chgs, true
}

// cover notes that the others have digests of all that lies before an offset.
func (fol *Follower) cover(to int64) {
	fol.covered = max(fol.covered, to)
	fol.changes = slices.DeleteFunc(fol.changes, func(chg Change) bool { return chg.Offset < fol.covered })
}

// noteDigest notes that another instance reads the list and keeps up with it: one that reads at the same time as this instance brings
// nothing new, and would be read beside for ever.
func (fol *Follower) noteDigest(now time.Time, dig *Digest) {
	if dig.Reader != fol.cfg.Self && dig.To > fol.digested && dig.To >= fol.prior {
		fol.digestAt, fol.digested = now, dig.To
	}
}

// ReadDue reports whether the instance is to read the list itself; before is how many instances are to do so rather than it.
func (fol *Follower) ReadDue(now time.Time, before int) bool {
	return before == 0 || fol.next == unknown || now.Sub(fol.digestAt) > fol.cfg.DigestTimeout
}

// PendingDigests returns the digests that the instance is to write now.
func (fol *Follower) PendingDigests(now time.Time, before int) []Digest {
	late := now.Sub(fol.digestAt) - fol.cfg.DigestTimeout - time.Duration(before)*fol.cfg.SubstituteDelay
	if before > 0 && (before > substitutes || late <= 0) || fol.covered == unknown || fol.covered == fol.next {
		return nil
	}
	if len(fol.changes) == 0 && now.Sub(fol.publishedAt) < fol.cfg.IdleInterval {
		return nil
	}
	dig := Digest{Reader: fol.cfg.Self, From: fol.covered, To: fol.next, Changes: slices.Clone(fol.changes)}
	return dig.split(mostChanges)
}

// HandlePublished notes that a digest was written. One without an answer may be written again.
func (fol *Follower) HandlePublished(now time.Time, dig *Digest) {
	fol.publishedAt = now
	fol.cover(dig.To)
}
