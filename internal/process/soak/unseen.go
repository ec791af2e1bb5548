package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// unseenFor is how long a new incarnation is given starts that are meant for the former one: its leader calls an idle server each second.
	unseenFor = 300 * time.Millisecond
	// mostUnseenTries is how often a server is started again until one of its incarnations gets the start of a long run.
	mostUnseenTries = 4
	// longRun is about the time after which a leader that hears nothing of a server counts its runs as over.
	longRun = 700 * time.Millisecond
	// leastUnseenCut is longer than the longest lease.
	leastUnseenCut = 1200 * time.Millisecond
	// unseenCutWithin is how soon after a start the server is cut off: within the time of its first repetitions.
	unseenCutWithin = 120 * time.Millisecond
)

// drawUnseenRestarts draws backend servers that start again unseen. They are drawn by themselves, as the closings are.
func drawUnseenRestarts(seed uint64, shp Shape) []trouble {
	rnd := rand.New(rand.NewPCG(seed, 6))
	trbs := make([]trouble, shp.UnseenRestarts)
	for idx := range trbs {
		trbs[idx] = trouble{
			kind: serverRestartUnseen, at: time.Second + upTo(rnd, shp.For-quietTail-time.Second),
			lasts: leastUnseenCut + upTo(rnd, 1300*time.Millisecond), one: rnd.IntN(1 << 16), two: rnd.IntN(1 << 16),
		}
	}
	return trbs
}

// restartUnseen has an idle backend server start again under its ID, which breaks connections that no call waits on, leave the next starts without an answer, and cuts it
// off soon after it has carried out one that was meant for the former incarnation. Its record follows with a heartbeat.
func (ply *play) restartUnseen(ctx context.Context, inj *injection) {
	inj.srv.changes.Lock()
	defer inj.srv.changes.Unlock()
	srv, to := inj.srv.now.Load(), func(lnk *link) bool { return lnk.to == inj.srv.name }
	list := func() { ply.sys.sto.List(srv, service, inj.srv.address, inj.srv.domain, false) }
	for try := range mostUnseenTries {
		waitFor(ctx, unseenFor, func() bool { return srv.Remaining() == 0 })
		srv.LoseAnswers(1+(inj.one+try)%3, 0)
		ply.sys.each(to, (*link).reset)
		srv.Restart()
		if waitFor(ctx, unseenFor, func() bool { return srv.Remaining() >= longRun }) {
			break
		}
		list()
	}
	sleep(ctx, time.Duration(inj.one)*time.Millisecond%unseenCutWithin)
	ply.sys.each(to, (*link).cutBoth)
	srv.LoseAnswers(0, 0)
	heartbeat := time.Duration(inj.two) * time.Millisecond % min(serverHeartbeat, inj.lasts)
	sleep(ctx, heartbeat)
	list()
	sleep(ctx, inj.lasts-heartbeat)
	ply.sys.each(to, (*link).heal)
}

// waitFor waits until something holds, or for a time at most, and reports whether it does.
func waitFor(ctx context.Context, most time.Duration, holds func() bool) bool {
	for until := time.Now().Add(most); time.Now().Before(until); {
		if holds() {
			return true
		}
		if !sleep(ctx, time.Millisecond) {
			return false
		}
	}
	return false
}
