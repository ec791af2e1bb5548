package serverlist

import (
	"slices"
	"time"
)

// Config has the names and times that a Follower works with.
type Config struct {
	// Self is the name of the own instance in the digests that it writes.
	Self string
	// ReadInterval is the time between two reads of the list by its reader.
	ReadInterval time.Duration
	// DigestTimeout is how long no digest may come before the instance reads the list itself.
	DigestTimeout time.Duration
	// SubstituteDelay is how much longer each further instance waits than the one before it, until it writes digests in place of the
	// reader.
	SubstituteDelay time.Duration
	// IdleInterval is the longest time between two digests while nothing changes.
	IdleInterval time.Duration
}

// NewConfig returns times with which a leaving server is known to all instances within bound, also if the reader is lost: DigestTimeout and a
// read of the list take four fifths of it. The rest is left for the calls. Faster reads and digests would only add calls to the store, which
// every instance makes.
func NewConfig(self string, bound time.Duration) Config {
	return Config{
		Self: self, ReadInterval: bound / 5, DigestTimeout: bound * 3 / 5, SubstituteDelay: bound / 5, IdleInterval: bound * 7 / 20,
	}
}

const (
	// maxSubstitutes is how many instances, one after the other, may write digests in place of the first one.
	maxSubstitutes = 4
	// maxChanges bounds the changes of one digest, to some 100 KB.
	maxChanges = 200
	unknown    = -1
)

// Follower tracks up to which offset an instance knows the list, and which changes it is still to publish as digests. It is not safe
// for concurrent use.
type Follower struct {
	cfg Config
	// next is the offset before which all records are known. compacted is set if the records from there on are gone.
	next      int64
	compacted bool
	// The last full read has shown some records from next on, but none from fullReadTo on.
	fullReadTo int64
	// rereadTo is the offset before which some changes come from a full read, and others are missing. Those from it get the offsets from rereadOffset on,
	// up to rereadLimit.
	rereadTo, rereadOffset, rereadLimit int64
	// lastDigestAt is when the last digest came from another reader that keeps up with the list, at first when the follower was made.
	// othersRead is the offset before which such readers have read the list; prevNext is the value of next before the last own read.
	lastDigestAt time.Time
	// progressAt is when a digest of another reader last went on from its digests before, whether that one keeps up or not; progressTo is where it ended.
	progressAt           time.Time
	progressTo           int64
	othersRead, prevNext int64
	// digestedTo is the offset before which all records are in digests. It is unknown after a full read, whose pages are read at
	// different times, until the records written meanwhile have been read again.
	digestedTo  int64
	publishedAt time.Time
	// changes are the known changes from offset digestedTo on.
	changes []Change
}

// NewFollower returns a follower that knows nothing of the list yet.
func NewFollower(cfg Config, now time.Time) *Follower {
	return &Follower{cfg: cfg, next: unknown, digestedTo: unknown, lastDigestAt: now, progressAt: now}
}

// NextOffset returns the offset from which the list is to be read on, negative if it is to be read in full.
func (fol *Follower) NextOffset() int64 {
	if fol.compacted {
		return unknown
	}
	return fol.next
}

// KnownTo returns the offset before which the list is known, negative if it was never read.
func (fol *Follower) KnownTo() int64 { return fol.next }

// Exact reports whether what is known is the list as it was at the offset KnownTo, with nothing that was written later.
func (fol *Follower) Exact() bool { return fol.next != unknown && fol.next >= fol.fullReadTo }

// Forget drops what is known of the list, so that the next read is a full one: its offsets have begun anew.
func (fol *Follower) Forget(now time.Time) {
	*fol = *NewFollower(fol.cfg, now)
}

// Known reports whether the list was read once, so that digests may continue what is known.
func (fol *Follower) Known() bool { return fol.next != unknown }

// HandleCompaction takes note that the records after those that are known are gone: the next read is a full one, unless digests bring what the
// records had.
func (fol *Follower) HandleCompaction() { fol.compacted = fol.Known() }

// HandleRereading takes note of a full read in place of records that are gone, after which the list goes on at offset next, and returns whether
// knowledge continues, so that the changes since are to be handled. Then one instance's digest brings them to all others, which need not
// read the list in full.
//
// The list ended at offset end when the last page was read. A record before that may undo a change that this instance has never seen; so no digest
// ends before it.
func (fol *Follower) HandleRereading(next, end int64) bool {
	fol.fullReadTo = end
	if !fol.compacted || next <= fol.next || fol.digestedTo == unknown {
		fol.HandleFullRead(next)
		if next == end {
			fol.digestedTo = next // Nothing was written during the read, so that a digest may go on from there.
		}
		return false
	}
	fol.prevNext, fol.rereadOffset, fol.rereadLimit, fol.rereadTo = fol.next, fol.next, next, end
	fol.next, fol.compacted = next, false
	return true
}

// HandleRereadChange adds a change that the full read of HandleRereading has shown; chg has the offset of its record, or a negative one if that
// is gone, as for a server that was removed.
func (fol *Follower) HandleRereadChange(chg Change) {
	if chg.Offset >= fol.rereadLimit {
		fol.HandleChange(chg) // It was written during the read.
		return
	}
	chg.Offset = fol.rereadOffset
	fol.rereadOffset++
	if chg.Offset >= fol.rereadLimit {
		fol.stopDigests() // More has changed than records were written.
		return
	}
	fol.HandleChange(chg)
}

// HandleFullRead takes note of a full read, after which the list goes on at offset next.
func (fol *Follower) HandleFullRead(next int64) {
	fol.next, fol.compacted, fol.digestedTo, fol.changes, fol.othersRead, fol.rereadTo = next, false, unknown, nil, 0, 0
	fol.progressTo = 0
}

// HandleRead takes note of a read of the list from one offset up to another and returns how many of the first of its records were known
// before.
func (fol *Follower) HandleRead(from, to int64) (known int) {
	known = int(min(max(0, fol.next-from), to-from))
	fol.prevNext = fol.next
	fol.next = max(fol.next, to)
	if fol.digestedTo == unknown {
		fol.digestedTo, fol.changes = fol.next, nil
	}
	return known
}

// HandleChange adds a record that was just read, and that changed what was known of its server, to the changes to publish. A full read may have
// shown later ones already.
func (fol *Follower) HandleChange(chg Change) {
	if fol.digestedTo == unknown || chg.Offset < fol.digestedTo {
		return
	}
	idx := len(fol.changes)
	for idx > 0 && fol.changes[idx-1].Offset > chg.Offset {
		idx--
	}
	if idx == 0 || fol.changes[idx-1].Offset < chg.Offset {
		fol.changes = slices.Insert(fol.changes, idx, chg)
		return
	}
	if fol.changes[idx-1].Key != chg.Key {
		fol.stopDigests() // The offset was given to a change of a full read whose record is gone.
	}
}

// stopDigests drops the changes to publish: the other instances read what they lack for themselves.
func (fol *Follower) stopDigests() { fol.digestedTo, fol.changes = unknown, nil }

// HandleDigest takes in a digest and returns those of its changes that are new. If ok is false, the list was never read or a digest
// before this one is missing, and the list is to be read.
func (fol *Follower) HandleDigest(now time.Time, dig *Digest) (chgs []Change, ok bool) {
	if !fol.continues(dig) {
		return nil, false
	}
	fol.noteOtherReader(now, dig)
	before := fol.next
	chgs = fol.takeIn(dig)
	// The offsets of changes from a full read don't tell which of them a digest has that ends before it.
	if fol.next > before && fol.digestedTo != unknown && (fol.digestedTo >= fol.rereadTo || dig.To >= fol.rereadTo) {
		fol.noteDigested(dig.To)
	}
	// A reader that is ahead of the digests doesn't write again what they have.
	if fol.next == before && fol.digestedTo != unknown && !dig.Reread && dig.From <= fol.digestedTo && fol.digestedTo >= fol.rereadTo {
		fol.noteDigested(min(dig.To, fol.next))
	}
	return chgs, true
}

// HandlePeerChanges takes in what another instance has sent of the list and returns the changes that are new. They count as read by this instance:
// perhaps no digest has them. If ok is false, they don't continue what is known.
func (fol *Follower) HandlePeerChanges(dig *Digest) (chgs []Change, ok bool) {
	if !fol.continues(dig) {
		return nil, false
	}
	before := fol.next
	chgs = fol.takeIn(dig)
	if dig.Reread && fol.next > before {
		fol.stopDigests()
	}
	return chgs, true
}

// continues reports whether a digest continues what is known of the list. One from a full read lacks what was changed and undone meanwhile, which
// this instance may have seen.
func (fol *Follower) continues(dig *Digest) bool {
	if fol.next == unknown || dig.From > fol.next {
		return false
	}
	return !dig.Reread || dig.From == fol.next && fol.Exact() || dig.To <= fol.next
}

// takeIn moves the next offset to the end of a digest that continues what is known, and returns those of its changes that are new.
func (fol *Follower) takeIn(dig *Digest) (chgs []Change) {
	if dig.To <= fol.next {
		return nil
	}
	for _, chg := range dig.Changes {
		if chg.Offset >= fol.next {
			chgs = append(chgs, chg)
		}
	}
	fol.next, fol.compacted = dig.To, false
	return chgs
}

// noteDigested takes note that all records before an offset are in digests.
func (fol *Follower) noteDigested(to int64) {
	fol.digestedTo = max(fol.digestedTo, to)
	fol.changes = slices.DeleteFunc(fol.changes, func(chg Change) bool { return chg.Offset < fol.digestedTo })
}

// noteOtherReader takes note that another instance reads the list and keeps up with it. Digests that bring nothing new count too: of
// two instances that read at the same moments neither would get new records from the other, and both would go on reading for ever.
func (fol *Follower) noteOtherReader(now time.Time, dig *Digest) {
	if dig.Reader != fol.cfg.Self && dig.To > fol.progressTo {
		fol.progressAt, fol.progressTo = now, dig.To
	}
	if dig.Reader != fol.cfg.Self && dig.To > fol.othersRead && dig.To >= fol.prevNext {
		fol.lastDigestAt, fol.othersRead = now, dig.To
	}
}

// ProgressAt returns when the digests of another reader last went on, whether that one keeps up with the list or not.
func (fol *Follower) ProgressAt() time.Time { return fol.progressAt }

// ReadDue reports whether the instance is to read the list itself: as the first reader, as it knows nothing of the list, or as no
// digest came for DigestTimeout. rank is the own place, 0 for the first, in the order of readers.
func (fol *Follower) ReadDue(now time.Time, rank int) bool {
	return rank == 0 || fol.next == unknown || now.Sub(fol.lastDigestAt) > fol.cfg.DigestTimeout
}

// PendingDigests returns the digests that the instance is to write now: none unless it is the first reader or its turn to replace a
// silent one, and without changes at most one each IdleInterval. rank is the own place, 0 for the first, in the order of readers.
func (fol *Follower) PendingDigests(now time.Time, rank int) []Digest {
	return fol.pendingDigests(now, rank, maxChanges, fol.lastDigestAt)
}

// PendingPacedDigests is PendingDigests with at most limit changes in each digest, where a reader that has many changes to write falls behind: others
// replace it only once it writes nothing.
func (fol *Follower) PendingPacedDigests(now time.Time, rank, limit int) []Digest {
	return fol.pendingDigests(now, rank, limit, fol.progressAt)
}

// pendingDigests is PendingDigests with at most limit changes in each digest, if the last digest of another reader came at a time.
func (fol *Follower) pendingDigests(now time.Time, rank, limit int, last time.Time) []Digest {
	late := now.Sub(last) - fol.cfg.DigestTimeout - time.Duration(rank)*fol.cfg.SubstituteDelay
	if rank > 0 && (rank > maxSubstitutes || late <= 0) || fol.digestedTo == unknown || fol.digestedTo == fol.next {
		return nil
	}
	if fol.next < fol.rereadTo {
		return nil
	}
	if !fol.anyChange() && now.Sub(fol.publishedAt) < fol.cfg.IdleInterval {
		return nil
	}
	dig := Digest{Reader: fol.cfg.Self, From: fol.digestedTo, To: fol.next, Reread: fol.digestedTo < fol.rereadTo}
	for _, chg := range fol.changes {
		if chg.Offset < dig.To {
			dig.Changes = append(dig.Changes, chg)
		}
	}
	if dig.Reread && fitting(dig.Changes, maxChanges) < len(dig.Changes) {
		fol.stopDigests() // A part of a full read is of no use: its offsets don't tell what the parts before it have.
		return nil
	}
	return dig.split(limit)
}

// anyChange reports whether a change before the next offset is to be published.
func (fol *Follower) anyChange() bool {
	return len(fol.changes) > 0 && fol.changes[0].Offset < fol.next
}

// HandlePublished takes note that a digest was written. A digest whose write got no answer may be written again. If the changes to publish were dropped
// while it was written, those after it are missing here, and no digest may go on from its end.
func (fol *Follower) HandlePublished(now time.Time, dig *Digest) {
	fol.publishedAt = now
	if fol.digestedTo != unknown {
		fol.noteDigested(dig.To)
	}
}
