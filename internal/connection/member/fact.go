package member

import (
	"encoding/binary"
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketCount = 16
	// spreadFactor times the logarithm of the number of entry instances is how often each passes a
	// fact on: enough that a round of gossip reaches all with few misses, which the digest finds.
	spreadFactor = 2
)

// apply takes a fact in that another entry instance passed on.
func (trk *Tracker) apply(now time.Time, fct Fact) {
	if fct.ID == "" || fct.State < Alive || fct.State > Gone {
		return
	}
	if fct.ID == trk.self.ins.ID {
		trk.contradict(now, fct)
		return
	}
	if trk.life(fct.Kind, fct.State) <= fct.Age && fct.State != Alive {
		return
	}
	rec := trk.records[fct.ID]
	if rec == nil {
		if fct.Kind == KindServer && fct.State == Alive {
			return
		}
		rec = trk.adopt(now, fct)
	}
	if rec.ins.Incarnation != fct.Incarnation && !trk.follow(now, rec, fct) {
		return
	}
	rec.fillIn(fct)
	if !trk.newer(now, rec, fct) {
		return
	}
	rec.epoch = fct.Epoch
	trk.setState(now, rec, fct.State, fct.Age)
}

// adopt makes a record for an instance that no list has shown yet.
func (trk *Tracker) adopt(now time.Time, fct Fact) *record {
	rec := &record{state: Alive, found: now}
	rec.ins = Instance{ID: fct.ID, Kind: fct.Kind, Incarnation: fct.Incarnation}
	trk.records[fct.ID] = rec
	trk.ordered = nil
	trk.touch(rec)
	trk.pass(now, rec)
	return rec
}

// follow moves a record to the fact's incarnation if the fact says that it replaced the known one.
// An incarnation that is merely different may be older than the known one.
func (trk *Tracker) follow(now time.Time, rec *record, fct Fact) bool {
	if fct.Replaces == "" || fct.Replaces != rec.ins.Incarnation || rec.knew(fct.Incarnation) {
		return false
	}
	rec.replace(fct.Incarnation, now, now.Add(trk.cfg.EvidenceLife))
	trk.touch(rec)
	trk.pass(now, rec)
	return true
}

func (rec *record) fillIn(fct Fact) {
	if rec.ins.PeerAddress == "" {
		rec.ins.PeerAddress = fct.PeerAddress
	}
	if rec.ins.FailureDomain == "" {
		rec.ins.FailureDomain = fct.FailureDomain
	}
}

func (trk *Tracker) newer(now time.Time, rec *record, fct Fact) bool {
	if fct.Epoch != rec.epoch {
		return fct.Epoch > rec.epoch
	}
	if fct.State != rec.state {
		return fct.State > rec.state
	}
	if rec.expires.IsZero() {
		return false
	}
	// The same evidence was found again: only then does it live on.
	life := trk.life(fct.Kind, fct.State)
	return now.Add(life-fct.Age).Sub(rec.expires) > life/4
}

// contradict answers a wrong fact about this very process with a higher epoch.
func (trk *Tracker) contradict(now time.Time, fct Fact) {
	slf := trk.self
	switch {
	case fct.Incarnation != slf.ins.Incarnation:
		if fct.Replaces == slf.ins.Incarnation {
			return
		}
		slf.replaces = fct.Incarnation
	case fct.Epoch < slf.epoch || fct.State <= slf.state && fct.Epoch == slf.epoch:
		return
	default:
		slf.epoch = fct.Epoch + 1
		trk.disowned = trk.disowned || fct.State == Gone
	}
	trk.touch(slf)
	trk.pass(now, slf)
}

func (trk *Tracker) life(knd Kind, stt State) time.Duration {
	if knd == KindServer && stt == Gone {
		return trk.cfg.RefusedLife
	}
	return trk.cfg.EvidenceLife
}

// setState records evidence, passes it on and marks the view as changed.
func (trk *Tracker) setState(now time.Time, rec *record, stt State, age time.Duration) {
	var expires time.Time
	if stt != Alive {
		expires = now.Add(trk.life(rec.ins.Kind, stt) - age)
	}
	if stt == Alive || stt == Gone {
		rec.probeAt, rec.probeWait = time.Time{}, 0
	}
	rec.setState(stt, now.Add(-age), expires)
	trk.touch(rec)
	trk.pass(now, rec)
}

// pass queues the fact of a record for the next heartbeats, and moves those up: a suspicion must be
// contradicted before it counts, and a backend server that is leaving gets work until all know.
func (trk *Tracker) pass(now time.Time, rec *record) {
	rec.spread = spreadFactor * (1 + bits.Len(uint(trk.entryCount())))
	trk.queue[rec.ins.ID] = rec
	trk.hurry(now)
}

// touch renews what the record adds to the digest and marks the view as changed.
func (trk *Tracker) touch(rec *record) {
	trk.markDirty(rec.ins.Kind)
	old := rec.hash
	rec.hash = factHash(rec)
	trk.digest ^= old ^ rec.hash
	bkt := bucketOf(rec.ins.ID)
	trk.buckets[bkt] ^= uint32(old) ^ uint32(rec.hash)
}

// drop forgets a record.
func (trk *Tracker) drop(rec *record) {
	trk.markDirty(rec.ins.Kind)
	trk.digest ^= rec.hash
	trk.buckets[bucketOf(rec.ins.ID)] ^= uint32(rec.hash)
	delete(trk.records, rec.ins.ID)
	trk.ordered = nil
	delete(trk.queue, rec.ins.ID)
}

func (trk *Tracker) markDirty(knd Kind) {
	trk.dirty = true
	trk.dirtyServers = trk.dirtyServers || knd == KindServer
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// factHash covers what two entry instances must agree on. Backend servers count only while there is
// evidence that the list lacks: the list tells everyone of the others.
func factHash(rec *record) uint64 {
	if rec.ins.Kind == KindServer && rec.state == Alive {
		return 0
	}
	var tail [5]byte
	binary.LittleEndian.PutUint32(tail[:], rec.epoch)
	tail[4] = byte(rec.state)
	dig := xxhash.New()
	_, _ = dig.WriteString(rec.ins.ID) // A hash's writes don't fail.
	_, _ = dig.WriteString("\x00" + rec.ins.Incarnation)
	_, _ = dig.Write(tail[:])
	return dig.Sum64()
}

func (trk *Tracker) fact(now time.Time, rec *record) Fact {
	fct := Fact{
		ID: rec.ins.ID, Kind: rec.ins.Kind, Incarnation: rec.ins.Incarnation, Replaces: rec.replaces,
		Epoch: rec.epoch, State: rec.state,
	}
	if rec.state != Alive {
		fct.Age = now.Sub(rec.found)
	}
	if rec.ins.Kind == KindEntry && rec.state != Gone {
		fct.PeerAddress = rec.ins.PeerAddress
		fct.FailureDomain = rec.ins.FailureDomain
	}
	return fct
}

// facts picks what a heartbeat to a peer carries: what is said of that peer first, since it alone
// can contradict it, then the asked buckets, then the queue, most urgent first.
func (trk *Tracker) facts(now time.Time, peer string, buckets []uint32) []Fact {
	var fcts []Fact
	if rec := trk.records[peer]; rec != nil && rec.state != Alive {
		fcts = append(fcts, trk.fact(now, rec))
	}
	for _, rec := range trk.inBuckets(buckets) {
		if len(fcts) < trk.cfg.MaxFacts {
			fcts = append(fcts, trk.fact(now, rec))
		}
	}
	for _, rec := range trk.queued() {
		if len(fcts) >= trk.cfg.MaxFacts {
			break
		}
		fcts = append(fcts, trk.fact(now, rec))
		rec.spread--
		if rec.spread <= 0 {
			delete(trk.queue, rec.ins.ID)
		}
	}
	return fcts
}

func (trk *Tracker) queued() []*record {
	recs := make([]*record, 0, len(trk.queue))
	for _, rec := range trk.queue {
		recs = append(recs, rec)
	}
	sort.Slice(recs, func(one, two int) bool {
		if recs[one].spread != recs[two].spread {
			return recs[one].spread > recs[two].spread
		}
		return recs[one].ins.ID < recs[two].ins.ID
	})
	return recs
}

func (trk *Tracker) inBuckets(buckets []uint32) []*record {
	if len(buckets) == 0 {
		return nil
	}
	var want [bucketCount]bool
	for _, bkt := range buckets {
		if bkt < bucketCount {
			want[bkt] = true
		}
	}
	var recs []*record
	for _, rec := range trk.records {
		if rec.hash != 0 && want[bucketOf(rec.ins.ID)] {
			recs = append(recs, rec)
		}
	}
	trk.shuffle(recs)
	return recs
}

// shuffle orders records by the seeded generator: a bucket larger than a heartbeat may carry comes
// across in a few rounds.
func (trk *Tracker) shuffle(recs []*record) {
	sort.Slice(recs, func(one, two int) bool { return recs[one].ins.ID < recs[two].ins.ID })
	trk.rnd.Shuffle(len(recs), func(one, two int) { recs[one], recs[two] = recs[two], recs[one] })
}
