package shard

import (
	"slices"
	"time"
)

// serverState says what is known of a backend server.
type serverState int

const (
	// claiming servers have not yet accepted the leader's fencing token.
	claiming serverState = iota
	// held servers obey the leader.
	held
	// silent servers obeyed and have stopped answering.
	silent
)

// server is a backend server as its leader sees it.
type server struct {
	ent   ServerEntry
	state serverState
	// unlisted servers have no entry now.
	unlisted bool
	// runs is changed by add and drop only, which keep what they take up.
	runs                      map[RunID]*run
	usedProcessor, usedMemory int64
	orphans                   int
	// seen is the highest end that was dealt with.
	seen int64
	// clock was the server's time at clockAt.
	clock   time.Duration
	clockAt time.Time
	// renewedAt is when the newest order was sent that may extend the lease of what runs there.
	renewedAt time.Time
	// looking is set while a look is in progress, the one that looks counts; lookAt is when it was sent or is due.
	looking bool
	looks   int64
	lookAt  time.Time
	// pause is set after a look that listed ends.
	pause bool
	// obeyedAt is when the newest look was sent that the server has answered as one of its leader's.
	obeyedAt time.Time
	// quick is set while a look is in progress that waits for no end, as an order waits for the proof that its task does not
	// run here.
	quick bool
	// doubts counts the looks in a row that got no answer.
	doubts int
	// failing counts the submissions that failed here since the last success, pausedUntil is when
	// the next task may be tried.
	failing     int
	failedLast  string
	spd         speed
	pausedUntil time.Time
}

// run is a start of a task at a server.
type run struct {
	id    RunID
	state runState
	// ord is nil for an orphan: a run that nobody has asked this leader for, of unknown size.
	ord    *order
	sentAt time.Time
	// first is set if no start of the order was sent before that may have been carried out.
	first bool
	// repeats counts the starts that were sent again for want of an answer.
	repeats int
	// acceptedAt is when the server accepted the start, or was seen to run it.
	acceptedAt time.Time
	// percent was reached at progressAt.
	percent    int
	progressAt time.Time
	// stopAt is when the first stop was sent, stopDue when the next is; stopped when one was accepted.
	stopAt, stopDue, stopped time.Time
	stopping                 bool
	// timed is set once the run has told of its server's speed; blurred ones tell nothing of it, as their leader stood still meanwhile.
	timed, blurred bool
}

type runState int

const (
	// starting runs have no answer yet.
	starting runState = iota
	// running runs were accepted.
	running
	// ending runs are to end; their room stays taken until the server shows that they are gone.
	ending
)

func newServer(ent ServerEntry, now time.Time) *server {
	return &server{ent: ent, runs: map[RunID]*run{}, lookAt: now}
}

// add counts a run from now on.
func (srv *server) add(rn *run) {
	srv.runs[rn.id] = rn
	srv.count(rn, 1)
}

// drop counts a run no more.
func (srv *server) drop(rn *run) {
	if srv.runs[rn.id] == rn {
		delete(srv.runs, rn.id)
		srv.count(rn, -1)
	}
}

func (srv *server) count(rn *run, sign int64) {
	if rn.ord == nil {
		srv.orphans += int(sign)
		return
	}
	srv.usedProcessor += sign * rn.ord.Processor
	srv.usedMemory += sign * rn.ord.Memory
}

// assign gives a run that is counted here to an order, or to none.
func (srv *server) assign(rn *run, ord *order) {
	srv.count(rn, -1)
	rn.ord = ord
	srv.count(rn, 1)
}

// free returns the room that surely is free: everything that may run there counts, and an orphan, whose size
// is not known, as all there is.
func (srv *server) free() (processor, memory int64) {
	if srv.orphans > 0 {
		return 0, 0
	}
	return srv.ent.Processor - srv.usedProcessor, srv.ent.Memory - srv.usedMemory
}

// open reports whether a new task may go to the server, which may have left so many looks without an answer. One that was paused is on trial first, with one task at a time.
func (srv *server) open(now time.Time, doubts int) bool {
	switch {
	case srv.state != held || srv.doubts > doubts || srv.ent.Leaving:
		return false
	case now.Before(srv.pausedUntil) || now.Before(srv.spd.until):
		return false
	}
	return !srv.onTrial() || len(srv.runs) == 0
}

// obeyedSince reports whether the server has shown that it obeys the leader, and what runs there, since a time.
func (srv *server) obeyedSince(since time.Time) bool {
	return srv.state == held && !srv.obeyedAt.Before(since)
}

// usable reports whether the server is a part of the shard's room, leaving out pauses.
func (srv *server) usable() bool { return srv.state == held && !srv.ent.Leaving }

// onTrial reports whether the next end decides on a server that was paused.
func (srv *server) onTrial() bool { return srv.failing >= failuresToPause || srv.spd.onTrial() }

// takes reports whether the server may run an order, its room aside.
func (srv *server) takes(ord *order) bool {
	if srv.ent.Service != ord.Service {
		return false
	}
	if ord.Label != "" && !slices.Contains(srv.ent.Labels, ord.Label) {
		return false
	}
	return ord.MaxPerServer <= 0 || srv.countStep(ord.Step) < ord.MaxPerServer
}

func (srv *server) countStep(step string) int {
	num := 0
	for _, rn := range srv.runs {
		if rn.ord != nil && rn.ord.Step == step {
			num++
		}
	}
	return num
}

// until returns the end of a lease that begins now, on the server's clock, which may be slow: the longer it was not read the
// earlier it is taken to be, or leases would outlast their time.
func (srv *server) until(now time.Time, lease time.Duration) time.Duration {
	return srv.clock + time.Duration(float64(now.Sub(srv.clockAt))/clockSkew) + lease
}

// idle reports whether nothing runs or may start on the server.
func (srv *server) idle() bool { return srv.state == held && len(srv.runs) == 0 }

// setClock notes the server's clock as it was no later than now.
func (srv *server) setClock(now time.Time, clock time.Duration) {
	srv.clock, srv.clockAt = clock, now
}

// awaitsProof reports whether the next look may show that a stopped run is gone, so that it should not wait for
// an end.
func (srv *server) awaitsProof() bool {
	for _, rn := range srv.runs {
		if !rn.stopped.IsZero() {
			return true
		}
	}
	return false
}

// unanswered reports whether a run that has to end here has not been stopped for too long: renewing the
// server's lease would keep that run alive past the time at which its caller sends the job again.
func (srv *server) unanswered(now time.Time, patience time.Duration) bool {
	for _, rn := range srv.runs {
		if rn.state == ending && rn.stopped.IsZero() && !rn.stopAt.IsZero() && now.Sub(rn.stopAt) > patience {
			return true
		}
	}
	return false
}

const (
	// failuresToPause is how many submissions in a row fail before the server is paused: one in 500
	// tasks fails on sound servers, so that two in a row there are rare.
	failuresToPause = 2
	maxDoublings    = 8
)

func (srv *server) succeeded() {
	srv.failing, srv.failedLast, srv.pausedUntil = 0, "", time.Time{}
}
