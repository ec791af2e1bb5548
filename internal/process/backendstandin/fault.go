package backendstandin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/version/platformpb"
)

// SetFaults replaces the faults in force. SilentConnections hits the connections that are open at
// that moment, for good; those opened later work.
func (srv *Server) SetFaults(flt *platformpb.Faults) {
	if flt == nil {
		flt = &platformpb.Faults{}
	}
	srv.mu.Lock()
	was := srv.faults
	srv.faults = flt
	close(srv.changed)
	srv.changed = make(chan struct{})
	open := srv.openSessions()
	srv.mu.Unlock()
	if flt.GetSilentConnections() {
		silence(open)
		return
	}
	if flt.GetLeaving() != was.GetLeaving() {
		for _, ses := range open {
			ses.announce()
		}
	}
}

// openSessions returns the sessions that are open; the caller holds srv.mu.
func (srv *Server) openSessions() []*session {
	open := make([]*session, 0, len(srv.sessions))
	for ses := range srv.sessions {
		open = append(open, ses)
	}
	return open
}

func silence(open []*session) {
	for _, ses := range open {
		ses.mu.Lock()
		ses.silent = true
		ses.mu.Unlock()
	}
}

// announce sends a report that carries nothing but the state.
func (ses *session) announce() {
	ses.mu.Lock()
	ses.due = true
	ses.mu.Unlock()
	ses.signal()
}

// Faults returns the faults in force; it must not be changed.
func (srv *Server) Faults() *platformpb.Faults {
	flt, _ := srv.faultsNow()
	return flt
}

func (srv *Server) faultsNow() (*platformpb.Faults, <-chan struct{}) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.faults, srv.changed
}

type standInService struct{ srv *Server }

// SetFaults implements platformpb.StandInServiceHandler.
func (svc standInService) SetFaults(_ context.Context, req *connect.Request[platformpb.Faults]) (*connect.Response[platformpb.Faults], error) {
	svc.srv.SetFaults(req.Msg)
	return connect.NewResponse(req.Msg), nil
}

// SetInstance implements platformpb.StandInServiceHandler.
func (svc standInService) SetInstance(context.Context, *connect.Request[platformpb.SetInstanceRequest]) (*connect.Response[platformpb.SetInstanceResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("a backend server has no list"))
}

// Journal implements platformpb.StandInServiceHandler.
func (svc standInService) Journal(context.Context, *connect.Request[platformpb.JournalRequest]) (*connect.Response[platformpb.JournalResponse], error) {
	rsp := &platformpb.JournalResponse{}
	for _, ent := range svc.srv.Journal() {
		rsp.Starts = append(rsp.Starts, &platformpb.JournaledStart{
			Submission: string(ent.Task.Submission()),
			Index:      ent.Task.Index(),
			Attempt:    ent.Task.Attempt(),
			Holder:     ent.Holder,
			UnixMicros: ent.At.UnixMicro(),
		})
	}
	return connect.NewResponse(rsp), nil
}
