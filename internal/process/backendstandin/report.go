package backendstandin

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/backendpb"
)

func (ses *session) addResult(rst *backendpb.Result) {
	ses.mu.Lock()
	ses.pending.Results = append(ses.pending.Results, rst)
	ses.due = true
	ses.mu.Unlock()
	ses.signal()
}

// add puts replies into the next report; with due set a report goes out even if there are none.
func (ses *session) add(rep *backendpb.Report, due bool) {
	due = due || len(rep.Refused)+len(rep.Statuses)+len(rep.Fences) > 0
	if !due {
		return
	}
	ses.mu.Lock()
	ses.pending.Refused = append(ses.pending.Refused, rep.Refused...)
	ses.pending.Statuses = append(ses.pending.Statuses, rep.Statuses...)
	ses.pending.Fences = append(ses.pending.Fences, rep.Fences...)
	ses.due = true
	ses.mu.Unlock()
	ses.signal()
}

func (ses *session) signal() {
	select {
	case ses.wake <- struct{}{}:
	default:
	}
}

func (ses *session) isSilent() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.silent
}

// write sends what has gathered since the last report. It adds no delay: while one report is
// written the next one fills.
func (ses *session) write(ctx context.Context) error {
	spare := &backendpb.Report{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ses.wake:
		}
		if err := ses.srv.awaitAnswerTime(ctx); err != nil {
			return err
		}
		rep := ses.take(spare)
		if rep == nil {
			continue
		}
		ses.srv.fillState(rep)
		if err := ses.stm.Send(rep); err != nil {
			return err
		}
		proto.Reset(rep)
		spare = rep
	}
}

// take returns the report to send, or nil if there is none or it is to be lost.
func (ses *session) take(spare *backendpb.Report) *backendpb.Report {
	lost := ses.srv.Faults().GetLoseReplies()
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if !ses.due {
		return nil
	}
	ses.due = false
	if lost || ses.silent {
		proto.Reset(ses.pending)
		return nil
	}
	rep := ses.pending
	ses.pending = spare
	return rep
}

// fillState sets what every report carries.
func (srv *Server) fillState(rep *backendpb.Report) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.counts.Reports++
	rep.Slots = srv.cfg.Slots
	rep.FreeSlots = srv.free
	rep.Leaving = srv.isLeaving()
	rep.Incarnation = srv.cfg.Incarnation
}

// awaitStall returns once no stall is in force.
func (srv *Server) awaitStall(ctx context.Context) error {
	for {
		flt, changed := srv.faultsNow()
		if !flt.GetStall() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// awaitAnswerTime returns once a report may go out.
func (srv *Server) awaitAnswerTime(ctx context.Context) error {
	if dly := srv.Faults().GetDelay().AsDuration(); dly > 0 {
		tmr := time.NewTimer(dly)
		defer tmr.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tmr.C:
		}
	}
	return srv.awaitStall(ctx)
}
