package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// sim is an event queue in virtual time. The simulated network and servers model latency, message loss and slots
// only.
type sim struct {
	now    time.Time
	events events
	seq    uint64
	rnd    *rand.Rand
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function call at a virtual time; seq orders calls at the same time.
type event struct {
	at  time.Time
	seq uint64
	fun func()
}

type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(one, two int) bool {
	if !evs[one].at.Equal(evs[two].at) {
		return evs[one].at.Before(evs[two].at)
	}
	return evs[one].seq < evs[two].seq
}
func (evs events) Swap(one, two int) { evs[one], evs[two] = evs[two], evs[one] }
func (evs *events) Push(val any)     { *evs = append(*evs, val.(event)) }
func (evs *events) Pop() any {
	last := len(*evs) - 1
	val := (*evs)[last]
	(*evs)[last] = event{}
	*evs = (*evs)[:last]
	return val
}

func (smn *sim) at(when time.Time, fun func()) {
	smn.seq++
	heap.Push(&smn.events, event{at: when, seq: smn.seq, fun: fun})
}

func (smn *sim) after(dur time.Duration, fun func()) { smn.at(smn.now.Add(dur), fun) }

// run handles the events up to the given time.
func (smn *sim) run(until time.Time) {
	for len(smn.events) > 0 && !smn.events[0].at.After(until) {
		evt := heap.Pop(&smn.events).(event)
		smn.now = evt.at
		evt.fun()
	}
	smn.now = until
}

// shape is the size of a pool.
type shape struct {
	name    string
	domains int
	entries int
	servers int
	slots   uint32
	perRack int
	// near and far are one-way latencies within and between failure domains.
	near, far time.Duration
}

var (
	riga = shape{
		name: "Riga", domains: 3, entries: 6, servers: 50, slots: 8, perRack: 8,
		near: 200 * time.Microsecond, far: time.Millisecond,
	}
	attica = shape{
		name: "Attica", domains: 4, entries: 6, servers: 50, slots: 8, perRack: 6,
		near: 200 * time.Microsecond, far: 500 * time.Microsecond,
	}
)

// cluster is a set of Dispatchers with simulated backend servers.
type cluster struct {
	*sim
	shp     shape
	cfg     dispatch.Config
	lim     dispatch.Limits
	entries []*simEntry
	servers []*simServer
	byID    map[dispatch.ServerID]*simServer
	// runTime returns the actual run time of a task, and whether it fails.
	runTime func(tid job.TaskID) (time.Duration, bool)
	// ended, if set, is called with each job that ends; answered with each successful task whose result arrives.
	ended    func(ent *simEntry, jb *job.Job)
	answered func(tid job.TaskID)
	// starts counts the starts of each task on servers, sent those sent for each submission.
	starts       map[string]int
	sent         map[job.SubmissionID]int
	doubleStarts int
	// duplicateMessages makes every message of a backend server arrive twice, the second time late.
	duplicateMessages bool
}

// simEntry is a simulated entry instance with its Dispatcher.
type simEntry struct {
	cls      *cluster
	id       dispatch.PeerID
	domain   string
	dsp      *dispatch.Dispatcher
	dead     bool
	paused   bool
	sessions map[dispatch.ServerID]*simSession
	// tickAt is when the earliest scheduled HandleTick is due; zero if there is none.
	tickAt time.Time
}

// simSession is one connection; a silent one loses all messages in both directions without an error.
type simSession struct {
	ent    *simEntry
	srv    *simServer
	closed bool
	silent bool
	// slow delays the messages of the entry; they arrive even after the entry has opened a new connection.
	slow time.Duration
}

// unlimited is a Limits that allows everything.
type unlimited struct{}

func (unlimited) Take(time.Time, *job.Class, string) bool { return true }
func (unlimited) Release(time.Time, *job.Class, string)   {}
func domainName(num int) string                           { return fmt.Sprintf("domain-%d", num) }

// newCluster returns a cluster without limits.
func newCluster(shp shape, cfg dispatch.Config, seed uint64) *cluster {
	return newClusterWith(shp, cfg, unlimited{}, seed)
}

// newClusterWith returns a cluster whose entries share the limits lim, and publishes its membership.
func newClusterWith(shp shape, cfg dispatch.Config, lim dispatch.Limits, seed uint64) *cluster {
	cls := &cluster{
		sim: &sim{now: simStart, rnd: rand.New(rand.NewPCG(seed, 1))},
		shp: shp, cfg: cfg, lim: lim,
		byID:   map[dispatch.ServerID]*simServer{},
		starts: map[string]int{},
		sent:   map[job.SubmissionID]int{},
	}
	for idx := range shp.servers {
		dom := idx % shp.domains
		srv := &simServer{
			cls: cls, id: dispatch.ServerID(fmt.Sprintf("server-%02d", idx)), domain: domainName(dom),
			rack:  fmt.Sprintf("rack-%d-%d", dom, idx/shp.domains/shp.perRack),
			slots: shp.slots, speed: 1,
		}
		srv.restart()
		cls.servers = append(cls.servers, srv)
		cls.byID[srv.id] = srv
	}
	for idx := range shp.entries {
		ent := &simEntry{
			cls: cls, id: dispatch.PeerID(fmt.Sprintf("entry-%d", idx)), domain: domainName(idx % shp.domains),
			sessions: map[dispatch.ServerID]*simSession{},
		}
		own := cfg
		own.Self = ent.id
		own.FailureDomain = ent.domain
		ent.dsp = dispatch.New(own, cls.lim, rand.New(rand.NewPCG(seed, uint64(100+idx))))
		cls.entries = append(cls.entries, ent)
	}
	cls.publish()
	return cls
}

// publish sets the current membership on every live entry.
func (cls *cluster) publish() {
	for _, ent := range cls.entries {
		if !ent.dead {
			cls.publishTo(ent)
		}
	}
}

// publishTo sets the current membership on one entry.
func (cls *cluster) publishTo(ent *simEntry) {
	var servers []dispatch.Server
	var peers []dispatch.Peer
	for _, oth := range cls.entries {
		if !oth.dead {
			peers = append(peers, dispatch.Peer{ID: oth.id, FailureDomain: oth.domain})
		}
	}
	for _, srv := range cls.servers {
		if !srv.unlisted {
			servers = append(servers, dispatch.Server{
				ID: srv.id, FailureDomain: srv.domain, Rack: srv.rack, Slots: srv.slots, Leaving: srv.leaving,
				Capacity: job.Needs{Processors: 4 * srv.slots},
			})
		}
	}
	homes := homesOf(servers, peers)
	ent.event(func(now time.Time) { ent.dsp.SetMembership(now, servers, homes, peers) })
}

// latency returns the one-way latency between two failure domains.
func (cls *cluster) latency(one, two string) time.Duration {
	if one == two {
		return cls.shp.near
	}
	return cls.shp.far
}

// entry returns the entry with the ID.
func (cls *cluster) entry(pid dispatch.PeerID) *simEntry {
	idx := slices.IndexFunc(cls.entries, func(ent *simEntry) bool { return ent.id == pid })
	return cls.entries[idx]
}

// event calls fun, which calls the Dispatcher, and carries out the resulting actions; a paused entry does it once
// the pause is over.
func (ent *simEntry) event(fun func(now time.Time)) {
	if ent.dead {
		return
	}
	if ent.paused {
		ent.cls.after(100*time.Millisecond, func() { ent.event(fun) })
		return
	}
	fun(ent.cls.now)
	ent.flush()
}

// flush sends the messages and carries out the other actions that the Dispatcher returned.
func (ent *simEntry) flush() {
	act := ent.dsp.Actions()
	batches := map[dispatch.ServerID]*batch{}
	var order []dispatch.ServerID
	get := func(sid dispatch.ServerID) *batch {
		if batches[sid] == nil {
			batches[sid] = &batch{}
			order = append(order, sid)
		}
		return batches[sid]
	}
	for _, stt := range act.Starts {
		ent.cls.sent[stt.Task.Submission()]++
		bat := get(stt.Server)
		bat.starts = append(bat.starts, stt)
	}
	for _, ask := range act.Queries {
		get(ask.Server).queries = append(get(ask.Server).queries, ask.Task)
	}
	for _, rev := range act.Revokes {
		get(rev.Server).revokes = append(get(rev.Server).revokes, rev.Task)
	}
	for _, stp := range act.Stops {
		get(stp.Server).stops = append(get(stp.Server).stops, stp.Task)
	}
	for _, sid := range act.Renewals {
		get(sid).renew = true
	}
	for _, sid := range order {
		ent.send(sid, batches[sid])
	}
	for _, sid := range act.Reconnects {
		ent.connect(sid)
	}
	ent.sendToPeers(act)
	for _, end := range act.Ended {
		if ent.cls.ended != nil {
			ent.cls.ended(ent, end.Job)
		}
	}
	act.Reset()
	ent.schedule()
}

// sendToPeers delivers the messages to peers.
func (ent *simEntry) sendToPeers(act *dispatch.Actions) {
	for _, bor := range act.Borrows {
		per := ent.cls.entry(bor.Peer)
		lat := ent.cls.latency(ent.domain, per.domain)
		bor.Peer = ent.id
		ent.cls.after(lat, func() {
			if per.dead {
				ent.cls.after(lat, func() { ent.event(func(now time.Time) { ent.dsp.HandlePeerFailure(now, per.id) }) })
				return
			}
			per.event(func(now time.Time) {
				grt := per.dsp.HandleBorrow(now, bor)
				ent.cls.after(lat, func() { ent.event(func(now time.Time) { ent.dsp.HandleGrant(now, grt) }) })
			})
		})
	}
	for _, off := range act.Offers {
		per := ent.cls.entry(off.To)
		ent.cls.after(ent.cls.latency(ent.domain, per.domain), func() {
			per.event(func(now time.Time) { per.dsp.HandleGrant(now, off.Grant) })
		})
	}
	for _, ret := range act.Returns {
		per := ent.cls.entry(ret.Peer)
		ret.Peer = ent.id
		ret.Loans = slices.Clone(ret.Loans)
		ent.cls.after(ent.cls.latency(ent.domain, per.domain), func() {
			per.event(func(now time.Time) { per.dsp.HandleReturn(now, ret) })
		})
	}
}

// schedule schedules the next HandleTick.
func (ent *simEntry) schedule() {
	due := ent.dsp.NextTick()
	if due.IsZero() || (!ent.tickAt.IsZero() && !due.Before(ent.tickAt)) {
		return
	}
	due = maxTime(due, ent.cls.now)
	ent.tickAt = due
	ent.cls.at(due, func() {
		if ent.tickAt.Equal(due) {
			ent.tickAt = time.Time{}
			ent.event(ent.dsp.HandleTick)
		}
	})
}

// maxTime returns the later of two times.
func maxTime(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// connect opens a new session to the server and closes the former one.
func (ent *simEntry) connect(sid dispatch.ServerID) {
	srv := ent.cls.byID[sid]
	if old := ent.sessions[sid]; old != nil {
		old.closed = true
	}
	lat := ent.cls.latency(ent.domain, srv.domain)
	ses := &simSession{ent: ent, srv: srv}
	ent.sessions[sid] = ses
	ent.cls.after(lat, func() {
		if srv.cutOff {
			return
		}
		if srv.down {
			ent.cls.after(lat, func() {
				ent.event(func(now time.Time) { ent.dsp.HandleSessionDown(now, sid, true) })
			})
			return
		}
		srv.sessions[ent.id] = ses
		rep := srv.report()
		ent.cls.after(lat, func() {
			if !ses.closed {
				ent.event(func(now time.Time) { ent.dsp.HandleSessionUp(now, sid, rep) })
			}
		})
	})
}

// send delivers a batch to the server, unless the session or server loses it.
func (ent *simEntry) send(sid dispatch.ServerID, bat *batch) {
	ses := ent.sessions[sid]
	if ses == nil || ses.closed || ses.silent {
		return
	}
	lat := ent.cls.latency(ent.domain, ses.srv.domain) + ses.slow
	ent.cls.after(lat, func() {
		gone := ses.closed && ses.slow == 0
		if !gone && !ses.silent && !ses.srv.down && !ses.srv.cutOff {
			ses.srv.receive(ses, bat)
		}
	})
}
