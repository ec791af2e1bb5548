package succession

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// fakeEpoch, session and the batches between nodes follow the rules of package mesh, without sockets: sessions that both sides know of,
// one batch at a time, which is sent again until there is a receipt, and taken only while it is fresh.
type fakeEpoch struct{ life, generation int64 }

func (epo fakeEpoch) before(oth fakeEpoch) bool {
	return epo.life < oth.life || epo.life == oth.life && epo.generation < oth.generation
}

type session struct {
	nod                                                               *node
	peer                                                              string
	own, other                                                        fakeEpoch
	up                                                                bool
	sequence, inSequence                                              int64
	outbox, sending                                                   []any
	counted                                                           bool
	heardAt, heardAge, beatAge                                        time.Time
	heardAgeAt, stuckSince, failingSince, answeredAt, paced, calledAt time.Time
	interval                                                          time.Duration
	beat                                                              fakeBeat
	calling, wake                                                     bool
}

type fakeBeat struct {
	ins   Instance
	round int64
	// listedTo is the offset up to which the node knows all servers that may live.
	listedTo int64
	loads    map[shard.Name]shard.Load
}

type fakeBatch struct {
	own, other    fakeEpoch
	age, heardAge time.Time
	beat          fakeBeat
	hasBeat       bool
	stale         bool
	sequence      int64
	msgs          []any
}

const (
	fakeBeatInterval = 100 * time.Millisecond
	fakePatience     = 150 * time.Millisecond
	freshFor         = 4 * fakeBeatInterval
	seldom           = 3 * fakeBeatInterval
)

func (ses *session) id() shard.InstanceID { return lifeID(ses.peer, ses.other.life) }

// signal has the peer called as soon as no other call is in progress.
func (ses *session) signal() {
	ses.wake = true
	if !ses.calling {
		ses.calling = true
		ses.nod.ply.after(0, func() { ses.nod.deliver("out "+ses.peer, ses.call) })
	}
}

func (ses *session) push(msg any) {
	if !ses.up {
		return
	}
	ses.outbox = append(ses.outbox, msg)
	if rep, ok := msg.(reportMessage); !ok || rep.rep.Outcome != shard.Started {
		ses.signal() // That a task has begun may wait for the next batch.
	}
}

func (ses *session) call() {
	nod, ply := ses.nod, ses.nod.ply
	ses.wake = false
	ses.calledAt = ply.now
	if ses.up && !ses.counted && len(ses.outbox) > 0 {
		ses.sending, ses.outbox, ses.counted = ses.outbox, nil, true
		ses.sequence++
	}
	if len(ses.sending) > 0 && ses.stuckSince.IsZero() {
		ses.stuckSince = ply.now
	}
	bat := fakeBatch{own: ses.own, other: ses.other, age: ply.now, heardAge: ses.heardAge, beat: nod.beat(), hasBeat: true}
	outdated := !ses.heardAge.IsZero() && ply.now.Sub(ses.heardAgeAt) > freshFor*3/4
	if ses.counted && !outdated {
		bat.sequence, bat.msgs = ses.sequence, ses.sending
	}
	done := false
	finish := func(act func()) func() {
		return func() {
			if !done {
				done = true
				act()
			}
		}
	}
	ply.after(fakePatience, func() {
		nod.deliver("timeout "+ses.peer, finish(func() { ses.failed(ply.now) }))
	})
	if !ply.open(nod.name, ses.peer) {
		return
	}
	ply.after(ply.delay(), func() {
		oth := ply.nodes[ses.peer]
		if oth == nil || oth.dead {
			if oth != nil && !oth.dark && ply.open(ses.peer, nod.name) {
				nod.deliver("in "+ses.peer, finish(func() { ses.refused() }))
			}
			return
		}
		oth.deliver("batch "+nod.name, func() {
			rcp := oth.session(nod.name).take(bat)
			if !ply.open(ses.peer, nod.name) {
				return
			}
			ply.after(ply.delay(), func() {
				nod.deliver("in "+ses.peer, finish(func() { ses.receipt(bat, rcp) }))
			})
		})
	})
}

func (ses *session) failed(now time.Time) {
	if ses.up && !ses.heardAt.Before(ses.failingSince) {
		ses.failingSince = now
	}
	pause := fakeBeatInterval
	if ses.up {
		pause, ses.wake = 10*time.Millisecond, true
	}
	ses.nod.ply.after(pause, func() { ses.idle() })
}

func (ses *session) refused() {
	ses.nod.lose(ses, "connection refused", false)
	ses.failed(ses.nod.ply.now)
}

// idle ends a call; what was asked for meanwhile is sent at once.
func (ses *session) idle() {
	ses.calling = false
	if ses.wake {
		ses.signal()
	}
}

func (ses *session) receipt(bat, rcp fakeBatch) {
	now := ses.nod.ply.now
	current, was, ended := ses.greet(now, rcp)
	if current && !rcp.stale && ses.counted && ses.sequence == bat.sequence && bat.own == ses.own {
		ses.sending, ses.counted, ses.stuckSince = nil, false, time.Time{}
		if len(ses.outbox) > 0 {
			ses.stuckSince = now
			ses.wake = true
		}
	}
	if current {
		ses.noteAge(now, rcp.age)
		ses.noteHeard(now, bat.age)
		if len(ses.sending) > 0 {
			ses.wake = true
		}
	}
	if ended {
		ses.nod.lost(was, false)
	}
	if current && rcp.hasBeat {
		ses.nod.heard(ses.id(), ses.heardAt, ses.newest(rcp.beat, rcp.age), nil)
	}
	ses.idle()
}

func (ses *session) take(bat fakeBatch) fakeBatch {
	now := ses.nod.ply.now
	before := ses.up
	current, was, ended := ses.greet(now, bat)
	said := bat.heardAge
	fresh := !said.IsZero() && now.Sub(said) <= freshFor
	next := current && fresh && bat.sequence > 0 && bat.sequence == ses.inSequence+1
	if next {
		ses.inSequence = bat.sequence
	}
	if current {
		ses.noteAge(now, bat.age)
		ses.noteHeard(now, said)
		ses.answeredAt = now
	}
	if ses.up != before || !current {
		ses.signal()
	}
	rcp := fakeBatch{own: ses.own, other: ses.other, stale: !fresh, age: now, heardAge: ses.heardAge}
	if ended {
		ses.nod.lost(was, false)
	}
	if !current {
		return rcp
	}
	var msgs []any
	if next {
		msgs = bat.msgs
	}
	ses.nod.heard(ses.id(), ses.heardAt, ses.newest(bat.beat, bat.age), msgs)
	rcp.beat, rcp.hasBeat = ses.nod.beat(), true
	return rcp
}

func (ses *session) newest(bet fakeBeat, age time.Time) fakeBeat {
	if age.Before(ses.beatAge) {
		return ses.beat
	}
	ses.beat, ses.beatAge = bet, age
	return bet
}

func (ses *session) noteAge(now, age time.Time) {
	if !age.Before(ses.heardAge) {
		ses.heardAge, ses.heardAgeAt = age, now
	}
}

func (ses *session) noteHeard(now, said time.Time) {
	if now.Sub(said) <= freshFor {
		said = now
	}
	if said.After(ses.heardAt) {
		ses.heardAt = said
	}
}

func (ses *session) greet(now time.Time, bat fakeBatch) (current bool, was shard.InstanceID, ended bool) {
	if bat.own.before(ses.other) {
		return false, "", false
	}
	if ses.other.before(bat.own) {
		was, ended = ses.reset()
		if ses.other.life != bat.own.life {
			ses.heardAge, ses.beatAge = time.Time{}, time.Time{}
		}
		ses.other = bat.own
		ses.clear()
	}
	if bat.other != ses.own {
		return false, was, ended
	}
	if !ses.up {
		ses.up, ses.heardAt = true, now
	}
	return true, was, ended
}

func (ses *session) reset() (was shard.InstanceID, had bool) {
	if !ses.up {
		return "", false
	}
	was = ses.id()
	ses.up = false
	ses.own.generation++
	ses.clear()
	return was, true
}

func (ses *session) clear() {
	ses.sequence, ses.inSequence = 0, 0
	ses.outbox, ses.sending, ses.counted = nil, nil, false
	ses.stuckSince, ses.failingSince = time.Time{}, time.Time{}
}

// missing says why the peer is to be given up, if it is.
func (ses *session) missing(now time.Time) (cause string, silent bool) {
	since := ses.heardAt
	if ses.paced.After(since) {
		since = ses.paced
	}
	switch {
	case !ses.up:
	case now.Sub(since) > 4*ses.interval:
		return "not heard", true
	case !ses.failingSince.IsZero() && ses.heardAt.Before(ses.failingSince) && now.Sub(ses.failingSince) > freshFor:
		return "no answer", true
	case !ses.stuckSince.IsZero() && now.Sub(ses.stuckSince) > freshFor:
		return "no receipt", false
	}
	return "", false
}
