package succession

import (
	"fmt"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
)

// fakeServer is a backend server that guards nothing, without sockets.
type fakeServer struct {
	ply    *play
	id     shard.ServerID
	domain string
	// rate is how fast its clock runs.
	rate    float64
	token   int64
	lease   time.Duration
	running map[string]*fakeRun
	highest map[string]int64
	ended   []shard.End
	count   int64
	waiting []func()
	// lose is how many calls are carried out after a delay and not answered.
	lose int
}

type fakeRun struct {
	id       shard.RunID
	stopping bool
	began    time.Time
	takes    time.Duration
}

const (
	serverSize = 32000
	taskSize   = 14000
	stopTime   = 50 * time.Millisecond
	clockSkew  = 1.02
)

func (srv *fakeServer) entry() shard.ServerEntry {
	return shard.ServerEntry{
		ID: srv.id, FailureDomain: srv.domain, Service: "render", Processor: serverSize, Memory: 1 << 20,
	}
}

func (srv *fakeServer) clock() time.Duration {
	return time.Duration(float64(srv.ply.now.Sub(srv.ply.began))*srv.rate) + time.Minute
}

// start carries a StartRun out.
func (srv *fakeServer) start(act shard.StartRun, takes time.Duration) shard.CallResult {
	switch {
	case act.Token < srv.token:
		return shard.Fenced
	case act.Run.Number < srv.highest[act.Run.Task], act.LeaseUntil <= srv.clock():
		return shard.Refused
	case act.Run.Number == srv.highest[act.Run.Task]:
		if rn := srv.running[act.Run.Task]; rn != nil && rn.id == act.Run && !rn.stopping {
			return shard.Accepted
		}
		return shard.Refused
	}
	srv.token = act.Token
	srv.renew(act.LeaseUntil)
	srv.highest[act.Run.Task] = act.Run.Number
	srv.ply.checkStart(srv, act.Run)
	rn := &fakeRun{id: act.Run, began: srv.ply.now, takes: takes}
	srv.running[act.Run.Task] = rn
	if len(srv.running)*taskSize > serverSize {
		srv.ply.breaks("over capacity at %s: %s", srv.id, act.Run.Task)
	}
	srv.ply.after(takes, func() {
		if !rn.stopping {
			srv.end(rn, shard.EndedDone)
		}
	})
	return shard.Accepted
}

func (srv *fakeServer) stop(act shard.StopRun) shard.CallResult {
	if act.Token < srv.token {
		return shard.Fenced
	}
	srv.token = act.Token
	srv.highest[act.Run.Task] = max(srv.highest[act.Run.Task], act.Run.Number)
	if rn := srv.running[act.Run.Task]; rn != nil && rn.id.Number <= act.Run.Number && !rn.stopping {
		rn.stopping = true
		srv.ply.after(srv.ply.within(stopTime), func() { srv.end(rn, shard.EndedStopped) })
	}
	return shard.Accepted
}

// hold carries a Hold out and calls back with what the server lists, once something has ended or the wait is over.
func (srv *fakeServer) hold(act shard.Renew, reply func(shard.RenewResult, shard.CallResult)) {
	if act.Token < srv.token {
		reply(shard.RenewResult{}, shard.Fenced)
		return
	}
	srv.token = act.Token
	if act.LeaseUntil > 0 {
		srv.renew(act.LeaseUntil)
	}
	srv.ended = slices.DeleteFunc(srv.ended, func(end shard.End) bool { return end.Seq <= act.AckedSeq })
	if act.WaitForEnd == 0 || len(srv.ended) > 0 {
		reply(srv.look(), shard.Accepted)
		return
	}
	done := false
	answer := func() {
		if !done {
			done = true
			reply(srv.look(), shard.Accepted)
		}
	}
	srv.waiting = append(srv.waiting, answer)
	srv.ply.after(act.WaitForEnd, answer)
}

func (srv *fakeServer) look() shard.RenewResult {
	lok := shard.RenewResult{Clock: srv.clock(), Ended: slices.Clone(srv.ended)}
	for _, task := range sortedKeys(srv.running) {
		rn := srv.running[task]
		pct := int(min(99, srv.ply.now.Sub(rn.began)*100/max(rn.takes, 1)))
		lok.Running = append(lok.Running, shard.Progress{Run: rn.id, Percent: pct})
	}
	return lok
}

// renew extends the lease of all that runs; it never shortens.
func (srv *fakeServer) renew(until time.Duration) {
	until = min(until, srv.clock()+time.Second)
	if until <= srv.lease {
		return
	}
	srv.lease = until
	left := time.Duration(float64(until-srv.clock()) / srv.rate)
	srv.ply.after(left, func() {
		if srv.lease > until {
			return
		}
		for _, task := range sortedKeys(srv.running) {
			rn := srv.running[task]
			srv.ply.after(srv.ply.within(stopTime), func() {
				if srv.lease <= until {
					srv.end(rn, shard.EndedStopped)
				}
			})
		}
	})
}

func (srv *fakeServer) end(rn *fakeRun, how shard.EndKind) {
	if srv.running[rn.id.Task] != rn {
		return
	}
	delete(srv.running, rn.id.Task)
	srv.count++
	srv.ended = append(srv.ended, shard.End{Seq: srv.count, Run: rn.id, Kind: how})
	srv.ply.note("%s ended %s %d how %d", srv.id, rn.id.Task, rn.id.Number, how)
	wts := srv.waiting
	srv.waiting = nil
	for _, answer := range wts {
		answer()
	}
}

// checkStart notes a start that would have a task run twice at once.
func (ply *play) checkStart(at *fakeServer, run shard.RunID) {
	ply.note("%s begins %s %d", at.id, run.Task, run.Number)
	ply.starts[run.Task]++
	for _, srv := range ply.servers {
		if rn := srv.running[run.Task]; rn != nil {
			ply.breaks("%s runs twice: at %s since %v, and at %s", run.Task, srv.id, rn.began.Sub(ply.began), at.id)
		}
	}
}

func (ply *play) note(format string, args ...any) {
	ply.trace = append(ply.trace, fmt.Sprintf("%8.1f ", float64(ply.now.Sub(ply.began).Microseconds())/1000)+fmt.Sprintf(format, args...))
}

func (ply *play) breaks(format string, args ...any) {
	ply.note("BROKEN "+format, args...)
	ply.broken = append(ply.broken, fmt.Sprintf("%v: ", ply.now.Sub(ply.began))+fmt.Sprintf(format, args...))
}
