package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

// Tracker joins all evidence of the instances of the pool. It is not safe for concurrent use.
type Tracker struct {
	cfg  Config
	self *record
	rnd  *rand.Rand

	records map[string]*record
	queue   map[string]*record
	digest  uint64
	buckets [bucketCount]uint32
	offset  uint64

	removed      map[Kind][]removal
	listFailures uint64
	ready        bool
	disowned     bool

	nextRound time.Time
	lastRound time.Time
	// newsLeft is how many rounds still follow each other at Interval.
	newsLeft int
	rings    [2]ring
	repair   *repair

	// dirty says that the view is to be built again, dirtyServers that its servers are, too: they
	// are many, and most changes touch none.
	dirty        bool
	dirtyServers bool

	// ordered has the records of backend servers by id; nil if one was added or dropped since.
	ordered []*record

	sends []Send
	view  *View
	homes homeCache
}

// repair is a difference that a peer's digest showed.
type repair struct {
	peer    string
	buckets []uint32
}

// New returns a Tracker that knows only the entry instance that it runs in.
func New(cfg Config, self Instance, rnd *rand.Rand) *Tracker {
	trk := &Tracker{
		cfg:     cfg,
		rnd:     rnd,
		records: make(map[string]*record),
		queue:   make(map[string]*record),
		removed: make(map[Kind][]removal),
		homes:   newHomeCache(),
	}
	self.Kind = KindEntry
	trk.self = &record{ins: self, listed: true, state: Alive}
	trk.records[self.ID] = trk.self
	trk.touch(trk.self)
	trk.pass(time.Time{}, trk.self)
	return trk
}

// SetCatalogueOffset sets what the next heartbeats tell of this instance's catalogue. A new version
// is news: an instance that the platform doesn't reach hears of it from its peers only.
func (trk *Tracker) SetCatalogueOffset(now time.Time, offset uint64) {
	if offset != trk.offset {
		trk.offset = offset
		trk.stir(now)
	}
}

// Answer takes in a peer's heartbeat and returns the reply.
func (trk *Tracker) Answer(now time.Time, hb Heartbeat) Heartbeat {
	trk.heard(now, hb)
	rep := trk.heartbeat(now, string(hb.From), hb.Want)
	if hb.Digest != rep.Digest {
		rep.Buckets = slices.Clone(trk.buckets[:])
	}
	return rep
}

// Heard takes in the reply to a heartbeat.
func (trk *Tracker) Heard(now time.Time, hb Heartbeat) {
	trk.heard(now, hb)
	if len(hb.Buckets) != bucketCount || hb.Digest == trk.digest {
		return
	}
	var differ []uint32
	for bkt := range uint32(bucketCount) {
		if hb.Buckets[bkt] != trk.buckets[bkt] {
			differ = append(differ, bkt)
		}
	}
	if len(differ) == 0 {
		return
	}
	// One bucket a round: a bounded heartbeat holds about that much.
	one := differ[trk.rnd.IntN(len(differ))]
	trk.repair = &repair{peer: string(hb.From), buckets: []uint32{one}}
	trk.hurry(now)
}

func (trk *Tracker) heard(now time.Time, hb Heartbeat) {
	trk.makeReady()
	trk.direct(now, string(hb.From), hb.Incarnation, KindEntry)
	for _, fct := range hb.Facts {
		trk.apply(now, fct)
	}
}

// direct takes in that an incarnation itself was heard, which beats what others say of it: one
// that differs from the known one has replaced it.
func (trk *Tracker) direct(now time.Time, id, incarnation string, knd Kind) {
	rec := trk.records[id]
	if rec == nil || id == trk.self.ins.ID {
		return
	}
	if rec.ins.Incarnation != incarnation {
		rec.replace(incarnation, now, now.Add(trk.cfg.EvidenceLife))
		trk.touch(rec)
		trk.pass(now, rec)
	}
	if knd == KindServer && rec.state == Gone {
		// Peers were told that it is gone; a backend server can't contradict that itself.
		rec.epoch++
		trk.setState(now, rec, Alive, 0)
	}
	rec.probeAt, rec.probeWait = time.Time{}, 0
}

// PeerRefused takes in that a connection to a peer was refused: its process is gone.
func (trk *Tracker) PeerRefused(now time.Time, id dispatch.PeerID) {
	rec := trk.records[string(id)]
	if rec == nil {
		return
	}
	trk.delayProbe(now, rec)
	if rec.state != Gone {
		wait, at := rec.probeWait, rec.probeAt
		trk.setState(now, rec, Gone, 0)
		rec.probeWait, rec.probeAt = wait, at
	}
}

// PeerTimedOut takes in that a call of a peer had no answer in time: it is suspect.
func (trk *Tracker) PeerTimedOut(now time.Time, id dispatch.PeerID) {
	rec := trk.records[string(id)]
	if rec == nil {
		return
	}
	trk.delayProbe(now, rec)
	if rec.state == Alive {
		trk.setState(now, rec, Suspect, 0)
	}
}

func (trk *Tracker) delayProbe(now time.Time, rec *record) {
	rec.probeWait = min(max(2*rec.probeWait, trk.cfg.Interval), trk.cfg.MaxProbe)
	rec.probeAt = now.Add(rec.probeWait)
}

// ServerLeaving takes in a backend server's own word that it takes no new task.
func (trk *Tracker) ServerLeaving(now time.Time, id dispatch.ServerID, incarnation string) {
	trk.serverEvidence(now, id, incarnation, Leaving)
}

// ServerRefused takes in that a backend server refused a connection: its process is gone.
func (trk *Tracker) ServerRefused(now time.Time, id dispatch.ServerID) {
	if rec := trk.records[string(id)]; rec != nil {
		trk.serverEvidence(now, id, rec.ins.Incarnation, Gone)
	}
}

// ServerTimedOut takes in that a backend server didn't answer. That alone leaves it in the view,
// where dispatch judges it; together with a removal that the list shows, it is out.
func (trk *Tracker) ServerTimedOut(now time.Time, id dispatch.ServerID) {
	rec := trk.records[string(id)]
	if rec != nil && rec.held && rec.ins.Kind == KindServer {
		trk.unlist(now, rec)
	}
}

// ServerHeard takes in a report of a backend server, with its incarnation.
func (trk *Tracker) ServerHeard(now time.Time, id dispatch.ServerID, incarnation string) {
	trk.direct(now, string(id), incarnation, KindServer)
}

func (trk *Tracker) serverEvidence(now time.Time, id dispatch.ServerID, incarnation string, stt State) {
	rec := trk.records[string(id)]
	if rec == nil || rec.ins.Kind != KindServer {
		return
	}
	if rec.ins.Incarnation != incarnation {
		rec.replace(incarnation, now, now.Add(trk.cfg.EvidenceLife))
	}
	fresh := rec.expires.Sub(now) > trk.life(KindServer, stt)/2
	if rec.state > stt || rec.state == stt && fresh {
		return
	}
	trk.setState(now, rec, stt, 0)
}

// Leave says that this entry instance takes no new requests; peers learn of it.
func (trk *Tracker) Leave(now time.Time) { trk.say(now, Leaving) }

// Left says that this entry instance has finished all it had; the next Wake tells peers.
func (trk *Tracker) Left(now time.Time) {
	trk.say(now, Gone)
	trk.nextRound = now
}

func (trk *Tracker) say(now time.Time, stt State) {
	trk.self.setState(stt, now, time.Time{})
	trk.touch(trk.self)
	trk.pass(now, trk.self)
}

// Wake does what is due; call it at NextWake or later.
func (trk *Tracker) Wake(now time.Time) {
	if now.Before(trk.nextRound) {
		return
	}
	trk.lastRound = now
	trk.nextRound = now.Add(trk.pause())
	trk.expire(now)
	trk.round(now)
}

// newsRounds is how many rounds follow each other at Interval after news: with a fan-out of two, as
// many as reach every instance of a pool of a few hundred.
const newsRounds = 8

// stir makes the next rounds follow at Interval, because there is something to pass on.
func (trk *Tracker) stir(now time.Time) {
	trk.newsLeft = newsRounds
	trk.hurry(now)
}

// hurry moves the next round up, as far as Interval allows.
func (trk *Tracker) hurry(now time.Time) {
	soon := trk.lastRound.Add(trk.cfg.Interval)
	if soon.Before(now) {
		soon = now
	}
	if soon.Before(trk.nextRound) {
		trk.nextRound = soon
	}
}

func (trk *Tracker) pause() time.Duration {
	if trk.newsLeft > 0 || len(trk.queue) > 0 || trk.cfg.QuietInterval == 0 {
		trk.newsLeft = max(0, trk.newsLeft-1)
		return trk.cfg.Interval
	}
	return trk.cfg.QuietInterval
}

// NextWake returns when Wake has something to do.
func (trk *Tracker) NextWake() time.Time { return trk.nextRound }

// Actions returns what is to be done since the last call.
func (trk *Tracker) Actions(now time.Time) Actions {
	act := Actions{Sends: trk.sends, ViewChanged: trk.refresh(now), Disowned: trk.disowned}
	trk.sends, trk.disowned = nil, false
	return act
}
