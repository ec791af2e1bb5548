package serverlist

import (
	"cmp"
	"time"
)

// ReadLimit decides when an instance may read the list itself, so that the reads of all instances together take at most half of what the store reads a
// second. Without it hundreds of instances that get no digests would read more than the store can, and nobody, the writer of the digests
// included, would read anything. Where the reads of all instances fit, every read is allowed at once. It is not safe for concurrent use.
type ReadLimit struct {
	cfg ReadLimitConfig
	// position is the own place, from 0 up to but without 1, among instances that do the same.
	position float64
	// startedAt is when the instance started; listed is the number of instances in the list of instances, 0 until that was read at listedAt.
	startedAt, listedAt time.Time
	listed              int
	// starters is the number of instances over which first reads are spread, fixed at the first decision; 0 before.
	starters int
	// own is the size of the list as this instance has measured it, reported as others have.
	own, reported ListSize
	// From windowAt on, when the list ended at windowTo, its records are counted; recordBytes is the size of one.
	windowAt    time.Time
	windowTo    int64
	recordBytes float64
	// fullRecordBytes is the size of one record in a full read, 0 before the first one.
	fullRecordBytes int64
	// active is set while reads are limited.
	active bool
	// lateReadAt is when an instance that was to wait for its turn has last read the list.
	lateReadAt time.Time
}

// ReadLimitConfig has what a ReadLimit goes by.
type ReadLimitConfig struct {
	// StoreBytes is what the store reads a second for all instances together; 0 if that is unknown, and nothing is limited.
	StoreBytes int64
	// DigestTimeout is as in Config.
	DigestTimeout time.Duration
}

// ListSize is what reading the list takes.
type ListSize struct {
	// Full is the size of a full read in bytes, PerSecond what is written to the list in a second; 0 if unknown.
	Full, PerSecond int64
}

// Problem describes what is wrong with a size that another instance has sent, or returns "".
func (siz ListSize) Problem() string {
	if siz.Full < 0 || siz.PerSecond < 0 || siz.Full > maxListBytes || siz.PerSecond > maxListBytes {
		return "it is negative or larger than any list"
	}
	return ""
}

// ReadState is what an instance knows when it is to decide on a read.
type ReadState struct {
	// Rank is the own place, 0 for the first, in the order of readers among the instances that are heard; Heard is the number of the others, and Knowing
	// that of those which know the list.
	Rank, Heard, Knowing int
	// Known is set once the list was read; KnownAt is when it was last as it is known here. Gap is set if a part is missing, so that digests don't help;
	// ProgressAt is when the digests of another reader last went on.
	Known, Gap          bool
	KnownAt, ProgressAt time.Time
	// Lacking is how many records others are known to know that this instance doesn't.
	Lacking int64
	// Asked is since when a leader has waited for a read, zero if none does. Failures is how many reads have failed, one after the other, by now.
	Asked    time.Time
	Failures int
}

const (
	// The list is assumed to have serversPerInstance servers for each instance, of assumedFullBytes in a full read and assumedLogBytes in the log, each
	// written once in heartbeatTime, until its size is known.
	serversPerInstance = 10
	assumedFullBytes   = 300
	assumedLogBytes    = 150
	heartbeatTime      = 1500 * time.Millisecond
	// The reads of all instances together may take a half of the store's rate: an eighth for the first readers, a quarter for those that wait for their
	// turn, or for the first reads, and an eighth for leaders after a start of many. Digests take a quarter, mostly while nobody else reads.
	readShare  = 2
	turnShare  = 2 * readShare
	eighthPart = 4 * readShare
	// digestSpread is the time in which all instances may read one digest, and digestChangeBytes the size of one change in it.
	digestSpread      = 300 * time.Millisecond
	digestChangeBytes = 250
	minDigestChanges  = 10
	// settleTime is how long after its start an instance may hear too few of the others to count them.
	settleTime = 3 * time.Second
	// massStartTime is how long after the start of an instance many others may have started with it, each of which takes shards over: their leaders' reads
	// are spread, too.
	massStartTime = 10 * time.Second
	// behindTime is how much of the list an instance lacks that is behind: more than between two digests while nothing changes. That counts until
	// behindWithin after its start only, as a list from another instance proves less than the digests.
	behindTime   = 2 * time.Second
	behindWithin = 20 * time.Second
	// listedTimeout is how long the first read waits for the list of instances, and up to as long again by the own position: 300 instances take a second to
	// register, 3 ms each. listedPoll is the pause between two looks.
	listedTimeout = 2 * time.Second
	listedPoll    = 10 * time.Millisecond
	// measureTime is the least time over which the bytes a second of the list are measured; a new measurement counts with measureWeight.
	// What was measured longer than measureAge ago isn't used any more.
	measureTime   = time.Second
	measureWeight = 0.3
	measureAge    = 10 * time.Second
	// releaseShare is the part of their share below which reads are no longer limited.
	releaseShare = 0.8
	// maxSpread bounds the time over which reads are spread if the store's rate is absurdly low.
	maxSpread = 10 * time.Minute
	// maxHalvings is enough to leave one reader of any number.
	maxHalvings = 20
	// maxListBytes is more than any list has: a hundred times that of 3,000 servers.
	maxListBytes = 100 << 20
)

// NewReadLimit returns the limit of an instance that starts now.
func NewReadLimit(cfg ReadLimitConfig, now time.Time) *ReadLimit {
	return &ReadLimit{cfg: cfg, startedAt: now}
}

// SetPosition sets the own place, from 0 up to but without 1, among instances that do the same: different for each, and lowest for the first reader.
func (lim *ReadLimit) SetPosition(position float64) { lim.position = position }

// HandleInstances takes note that the list of instances has so many of them.
func (lim *ReadLimit) HandleInstances(now time.Time, num int) {
	if lim.listed == 0 {
		lim.listedAt = now
	}
	lim.listed = max(lim.listed, num)
}

// HandleRewind takes note that all instances are to read the list in full again.
func (lim *ReadLimit) HandleRewind(now time.Time) {
	lim.listedAt, lim.starters, lim.windowAt = now, 0, time.Time{}
}

// HandleReport takes note of the size of the list that another instance has sent.
func (lim *ReadLimit) HandleReport(siz ListSize) {
	if siz.Full > 0 {
		lim.reported.Full = siz.Full
	}
	if siz.PerSecond > 0 {
		lim.reported.PerSecond = siz.PerSecond
	}
}

// HandleFullRead takes note of a full read of records with so many bytes in all, begun at a time, after which the list goes on at offset next.
func (lim *ReadLimit) HandleFullRead(began time.Time, records int, bytes, next int64) {
	if records > 0 {
		lim.fullRecordBytes = bytes / int64(records)
	}
	lim.HandleServers(records)
	lim.windowAt, lim.windowTo = began, next
}

// HandlePeerList takes note that another instance has sent the list, of so many records, as it was before an offset.
func (lim *ReadLimit) HandlePeerList(now time.Time, records int, to int64) {
	lim.HandleServers(records)
	lim.windowAt, lim.windowTo = now, to
}

// HandleServers takes note that the list has so many servers.
func (lim *ReadLimit) HandleServers(num int) {
	lim.own.Full = int64(num) * cmp.Or(lim.fullRecordBytes, assumedFullBytes)
}

// HandleRecords takes note of the size of records that were read.
func (lim *ReadLimit) HandleRecords(records int, bytes int64) {
	if records > 0 {
		lim.recordBytes = float64(bytes) / float64(records)
	}
}

// HandleEnd takes note that the list ended at an offset when a read of it began.
func (lim *ReadLimit) HandleEnd(began time.Time, end int64) {
	took := began.Sub(lim.windowAt)
	if lim.windowAt.IsZero() || took > measureAge || end < lim.windowTo {
		lim.windowAt, lim.windowTo = began, end
		return
	}
	if took < measureTime {
		return
	}
	rate := float64(end-lim.windowTo) * lim.logRecordBytes() / took.Seconds()
	if lim.own.PerSecond > 0 {
		rate = measureWeight*rate + (1-measureWeight)*float64(lim.own.PerSecond)
	}
	lim.own.PerSecond = int64(rate)
	lim.windowAt, lim.windowTo = began, end
}

// Size returns what this instance has measured of the list.
func (lim *ReadLimit) Size() ListSize { return lim.own }

// size returns the size of the list as measured here, else as reported, else as assumed for so many instances.
func (lim *ReadLimit) size(instances int) ListSize {
	servers := int64(serversPerInstance * instances)
	siz := ListSize{Full: servers * assumedFullBytes, PerSecond: int64(float64(servers*assumedLogBytes) / heartbeatTime.Seconds())}
	siz.Full = cmp.Or(lim.own.Full, lim.reported.Full, siz.Full)
	siz.PerSecond = cmp.Or(lim.own.PerSecond, lim.reported.PerSecond, siz.PerSecond)
	return siz
}

// instances returns how many instances there are, by those that are heard and, just after the start, by those that are listed.
func (lim *ReadLimit) instances(now time.Time, heard int) int {
	if now.Sub(lim.startedAt) < settleTime {
		return max(lim.listed, heard+1)
	}
	return heard + 1
}

// Limits are the figures by which reads are limited.
type Limits struct {
	// Active is set if the reads of all instances don't fit into their share of the store's rate.
	Active bool
	// Instances is their number; the first Readers of them read without waiting.
	Instances, Readers int
	// ListBytes is what is written to the list in a second, ShareBytes the share of the store's rate.
	ListBytes, ShareBytes int64
}

// Limits returns the figures by which reads are limited while so many other instances are heard.
func (lim *ReadLimit) Limits(now time.Time, heard int) Limits {
	if now.Sub(lim.windowAt) > measureAge {
		lim.own.PerSecond = 0 // Others read the list.
	}
	num := lim.instances(now, heard)
	lms := Limits{Instances: num, Readers: num, ListBytes: lim.size(num).PerSecond, ShareBytes: lim.cfg.StoreBytes / readShare}
	most := lms.ShareBytes
	if lim.active {
		most = int64(releaseShare * float64(most))
	}
	lim.active = most > 0 && int64(num)*lms.ListBytes > most
	if lim.active {
		fit := min(maxSubstitutes+1, most/lms.ListBytes) // Those that replace the reader read, unless even their reads don't fit.
		lms.Active, lms.Readers = true, int(max(1, fit, lim.cfg.StoreBytes/eighthPart/lms.ListBytes))
	}
	return lms
}

// Wait returns how long an instance is to wait before it reads the list, as far as that is known now; 0 if it may read at once.
func (lim *ReadLimit) Wait(now time.Time, sta ReadState) time.Duration {
	switch {
	case lim.cfg.StoreBytes <= 0:
		return 0
	case !sta.Known:
		return lim.firstWait(now, sta)
	}
	lms := lim.Limits(now, sta.Heard)
	rnk := sta.Rank
	if 2*(sta.Heard+1) < lms.Instances {
		rnk = int(lim.position * float64(lms.Instances)) // The rank says little yet.
	}
	// After a failure, fewer try again: the store has more to read than it can.
	readers := max(1, lms.Readers>>min(sta.Failures, maxHalvings))
	switch {
	case !lms.Active:
		return 0
	case rnk < readers:
		return lim.readerWait(now, sta, rnk, lms)
	}
	if !sta.Asked.IsZero() && sta.Failures == 0 {
		return lim.askedWait(now, sta, lms)
	}
	// The turns of all instances are spread over the time in which that many full reads fit into half of the share.
	full := lim.size(lms.Instances).Full
	turn := spreadTime(lms.Instances, full, lim.cfg.StoreBytes/turnShare)
	pause := spreadTime(rnk+1-readers, full, lim.cfg.StoreBytes/turnShare)
	news := sta.KnownAt
	if !sta.Gap && sta.ProgressAt.After(news) {
		news = sta.ProgressAt
	}
	due := news.Add(lim.cfg.DigestTimeout + pause)
	if next := lim.lateReadAt.Add(turn); !lim.lateReadAt.IsZero() && next.After(due) {
		due = next
	}
	return max(0, due.Sub(now))
}

// readerWait returns how long one of the first readers waits: not at all, unless all of them begin to read what came since the last digest.
func (lim *ReadLimit) readerWait(now time.Time, sta ReadState, rnk int, lms Limits) time.Duration {
	if !sta.Asked.IsZero() || now.Sub(sta.KnownAt) <= lim.cfg.DigestTimeout {
		return 0
	}
	lacking := int64(float64(lms.ListBytes) * lim.cfg.DigestTimeout.Seconds())
	return max(0, sta.KnownAt.Add(lim.cfg.DigestTimeout+spreadTime(rnk, lacking, lim.cfg.StoreBytes/turnShare)).Sub(now))
}

// askedWait returns how long a read for which a leader waits is put off: not at all, unless many instances have started at once.
func (lim *ReadLimit) askedWait(now time.Time, sta ReadState, lms Limits) time.Duration {
	if sta.Asked.Sub(lim.startedAt) > massStartTime {
		return 0
	}
	lacking := min(lim.size(lms.Instances).Full, lim.lacking(now, sta, lms))
	slot := time.Duration(lim.position * float64(spreadTime(lms.Instances, lacking, lim.cfg.StoreBytes/eighthPart)))
	return max(0, sta.Asked.Add(slot).Sub(now))
}

// HandleRead takes note that the instance reads the list now, and returns whether it is to read it in full, as the records that it lacks are more.
func (lim *ReadLimit) HandleRead(now time.Time, sta ReadState) (full bool) {
	lms := lim.Limits(now, sta.Heard)
	if !lms.Active || !sta.Known || sta.Rank < lms.Readers {
		return false
	}
	if sta.Asked.IsZero() || sta.Failures > 0 {
		lim.lateReadAt = now
	}
	return lim.lacking(now, sta, lms) > lim.size(lms.Instances).Full
}

// Behind reports whether an instance that has started lately lacks so much of the list that the whole of it is better had from another instance: while
// all servers of a large system register, paced digests take many seconds.
func (lim *ReadLimit) Behind(now time.Time, sta ReadState) bool {
	lms := lim.Limits(now, sta.Heard)
	return lms.Active && sta.Known && now.Sub(lim.startedAt) < behindWithin &&
		float64(sta.Lacking)*lim.logRecordBytes() > behindTime.Seconds()*float64(lms.ListBytes)
}

// lacking returns the bytes of the records that an instance lacks.
func (lim *ReadLimit) lacking(now time.Time, sta ReadState, lms Limits) int64 {
	return max(int64(float64(lms.ListBytes)*now.Sub(sta.KnownAt).Seconds()), int64(float64(sta.Lacking)*lim.logRecordBytes()))
}

// logRecordBytes returns the size of one record of the list.
func (lim *ReadLimit) logRecordBytes() float64 { return cmp.Or(lim.recordBytes, assumedLogBytes) }

// firstWait returns how long the first read is to wait. Instances that start at once read one after the other; one that starts alone, as most others
// know the list, reads at once.
func (lim *ReadLimit) firstWait(now time.Time, sta ReadState) time.Duration {
	if lim.listed == 0 && now.Sub(lim.startedAt) < time.Duration((1+lim.position)*float64(listedTimeout)) {
		return listedPoll
	}
	num := max(lim.listed, sta.Heard+1)
	full := lim.size(num).Full
	if lim.readsFit(num-sta.Knowing, full) {
		return 0
	}
	if lim.starters == 0 {
		lim.starters = num
	}
	slot := time.Duration(lim.position * float64(spreadTime(lim.starters, full, lim.cfg.StoreBytes/turnShare)))
	return max(0, lim.listedAt.Add(slot).Sub(now))
}

// FullReadsFit reports whether all instances, of which so many others are heard, may read the whole list at once.
func (lim *ReadLimit) FullReadsFit(heard int) bool {
	num := max(lim.listed, heard+1)
	return lim.cfg.StoreBytes <= 0 || lim.readsFit(num, lim.size(num).Full)
}

// readsFit reports whether so many reads of a size take no more than the share of reads in a second.
func (lim *ReadLimit) readsFit(reads int, size int64) bool {
	return int64(reads)*size <= lim.cfg.StoreBytes/readShare
}

// DigestPause returns how long the writer of a digest is to wait before the next one, so that all instances have read it with their share of the store's
// rate.
func (lim *ReadLimit) DigestPause(now time.Time, heard, bytes int) time.Duration {
	lms := lim.Limits(now, heard)
	if !lms.Active {
		return 0
	}
	return spreadTime(lms.Instances, int64(bytes), lim.cfg.StoreBytes/turnShare)
}

// DigestChanges returns how many changes a digest may have; limited is false if reads are not limited.
func (lim *ReadLimit) DigestChanges(now time.Time, heard int) (num int, limited bool) {
	lms := lim.Limits(now, heard)
	if !lms.Active {
		return maxChanges, false
	}
	bytes := float64(lim.cfg.StoreBytes/turnShare) * digestSpread.Seconds() / float64(lms.Instances)
	return min(maxChanges, max(minDigestChanges, int(bytes/digestChangeBytes))), true
}

// spreadTime returns the time in which so many reads of a size take bytesPerSecond.
func spreadTime(reads int, size, bytesPerSecond int64) time.Duration {
	seconds := float64(reads) * float64(size) / float64(max(1, bytesPerSecond))
	return time.Duration(min(seconds, maxSpread.Seconds()) * float64(time.Second))
}
