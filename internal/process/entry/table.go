package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	tableShards = 64
	// retention is how long an answer can be asked for after its job has ended.
	retention = 2 * time.Minute
	// maxEndedPerShard bounds the answers that are kept; the oldest go first.
	maxEndedPerShard = 2048
	// trimSlack lets a trim forget many at once, as each moves what stays.
	trimSlack = 256
	// maxTombstonesPerShard bounds the verdicts that are kept until their submissions' not-after time.
	maxTombstonesPerShard = 4096
	// maxEndedBytesPerShard bounds their memory, 64 MB over all shards.
	maxEndedBytesPerShard = 1 << 20
)

// table holds the submissions that this instance knows of, by submission id and by job id.
//
// Submissions are in the shard of their submission id; jobs is an index from job id to submission
// id in shards of its own, so that no call ever holds two locks.
type table struct {
	shards [tableShards]tableShard
	jobs   [tableShards]jobShard
}

type tableShard struct {
	mu    sync.Mutex
	bySub map[job.SubmissionID]*record
	// ended holds what may be forgotten, oldest first.
	ended []endedRecord
	bytes int
	// packed is how many of ended have packed answers, seen how many the last packing saw.
	packed, seen int
	// tombstones holds records without their answers: until its not-after time, a copy of the
	// submission may still arrive and would run again if nothing were known of it.
	tombstones []*record
}

type endedRecord struct {
	rec  *record
	id   job.ID
	at   time.Time
	size int
}

type jobShard struct {
	mu   sync.Mutex
	subs map[job.ID]job.SubmissionID
}

func newTable() *table {
	tab := &table{}
	for idx := range tab.shards {
		tab.shards[idx].bySub = make(map[job.SubmissionID]*record)
		tab.jobs[idx].subs = make(map[job.ID]job.SubmissionID)
	}
	return tab
}

func (tab *table) shard(sub job.SubmissionID) *tableShard {
	return &tab.shards[xxhash.Sum64String(string(sub))%tableShards]
}

func (tab *table) jobShard(id job.ID) *jobShard {
	return &tab.jobs[xxhash.Sum64String(id.String())%tableShards]
}

// reserve returns the record of a submission, and whether this call made it. Of two arrivals of
// the same submission id only one gets to start its tasks, however close they are.
func (tab *table) reserve(spc job.Spec, digest uint64, resubmission bool, progress func(*job.Job) *callerpb.Progress) (*record, bool) {
	sub := spc.Submission
	shd := tab.shard(sub)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	old, ok := shd.bySub[sub]
	if ok && !old.mayRunAgain() {
		return old, false
	}
	rec := &record{
		submission: sub,
		spec:       spc,
		digest:     digest,
		decided:    make(chan struct{}),
		ended:      make(chan struct{}),
		progress:   progress,
		// From its first moment: a peer that looks for it at the same time must not wait for it.
		searching: resubmission,
	}
	if ok {
		rec.firstAttempt = old.firstAttempt
	}
	shd.bySub[sub] = rec
	return rec, true
}

// index makes the record findable by its job's id; it comes before the job's first task starts.
func (tab *table) index(rec *record, jb *job.Job) {
	rec.mu.Lock()
	rec.id = jb.ID()
	rec.job = jb
	rec.mu.Unlock()
	shd := tab.jobShard(jb.ID())
	shd.mu.Lock()
	shd.subs[jb.ID()] = rec.submission
	shd.mu.Unlock()
}

// refuse forgets a submission that was not taken and tells those who joined it.
func (tab *table) refuse(rec *record, jb *job.Job, err *verdict.Error) {
	tab.forget(rec, jb.ID())
	rec.refusal = err
	close(rec.decided)
}

// moved keeps a record of a submission that a peer has, so that later copies are sent there too.
func (tab *table) moved(rec *record, jb *job.Job, err *verdict.Error, to job.ID) {
	rec.setElsewhere(to)
	rec.refusal = err
	rec.shrink()
	shd := tab.shard(rec.submission)
	shd.mu.Lock()
	shd.entomb(rec)
	shd.mu.Unlock()
	tab.unindex(jb.ID())
	close(rec.decided)
}

func (tab *table) forget(rec *record, id job.ID) {
	shd := tab.shard(rec.submission)
	shd.mu.Lock()
	if shd.bySub[rec.submission] == rec {
		delete(shd.bySub, rec.submission)
	}
	shd.mu.Unlock()
	tab.unindex(id)
}

func (tab *table) unindex(id job.ID) {
	shd := tab.jobShard(id)
	shd.mu.Lock()
	delete(shd.subs, id)
	shd.mu.Unlock()
}

// bySubmission returns the record of a submission, or nil.
func (tab *table) bySubmission(sub job.SubmissionID) *record {
	shd := tab.shard(sub)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	return shd.bySub[sub]
}

// byJob returns the record of a job, or nil.
func (tab *table) byJob(id job.ID) *record {
	shd := tab.jobShard(id)
	shd.mu.Lock()
	sub, ok := shd.subs[id]
	shd.mu.Unlock()
	if !ok {
		return nil
	}
	return tab.bySubmission(sub)
}

// retire keeps the answer of an ended job for a while and forgets what is too old or too much.
func (tab *table) retire(now time.Time, rec *record, id job.ID) {
	size := rec.size()
	shd := tab.shard(rec.submission)
	shd.mu.Lock()
	shd.ended = append(shd.ended, endedRecord{rec: rec, id: id, at: now, size: size})
	shd.bytes += size
	var old []endedRecord
	if len(shd.ended) > maxEndedPerShard+trimSlack || shd.bytes > maxEndedBytesPerShard {
		old = shd.trim(now)
	}
	shd.mu.Unlock()
	for _, end := range old {
		tab.unindex(end.id)
	}
}

// expire forgets answers that nobody may ask for any more.
func (tab *table) expire(now time.Time) {
	for idx := range tab.shards {
		shd := &tab.shards[idx]
		shd.mu.Lock()
		old := shd.trim(now)
		shd.expireTombstones(now)
		shd.mu.Unlock()
		for _, end := range old {
			tab.unindex(end.id)
		}
	}
}

// entomb keeps a record's verdict until its not-after time.
func (shd *tableShard) entomb(rec *record) {
	rec.shrink()
	shd.tombstones = append(shd.tombstones, rec)
	if len(shd.tombstones) > maxTombstonesPerShard {
		shd.drop(shd.tombstones[0])
		shd.tombstones = shd.tombstones[1:]
	}
}

// expireTombstones forgets the verdicts of submissions that nothing can start any more.
func (shd *tableShard) expireTombstones(now time.Time) {
	kept := shd.tombstones[:0]
	for _, rec := range shd.tombstones {
		if now.Before(rec.spec.NotAfter) {
			kept = append(kept, rec)
			continue
		}
		shd.drop(rec)
	}
	clear(shd.tombstones[len(kept):])
	shd.tombstones = kept
}

func (shd *tableShard) drop(rec *record) {
	if shd.bySub[rec.submission] == rec {
		delete(shd.bySub, rec.submission)
	}
}

func (shd *tableShard) trim(now time.Time) []endedRecord {
	cut := 0
	for cut < len(shd.ended) {
		end := &shd.ended[cut]
		tooMany := len(shd.ended)-cut > maxEndedPerShard || shd.bytes > maxEndedBytesPerShard
		if !tooMany && now.Sub(end.at) < retention {
			break
		}
		shd.bytes -= end.size
		if now.Before(end.rec.spec.NotAfter) {
			shd.entomb(end.rec)
		} else {
			shd.drop(end.rec)
		}
		cut++
	}
	if cut == 0 {
		return nil
	}
	old := append([]endedRecord(nil), shd.ended[:cut]...)
	shd.ended = append(shd.ended[:0], shd.ended[cut:]...)
	shd.packed, shd.seen = max(0, shd.packed-cut), max(0, shd.seen-cut)
	return old
}
