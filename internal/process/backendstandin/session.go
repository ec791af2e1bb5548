package backendstandin

import (
	"context"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/backendpb"
)

type stream = connect.BidiStream[backendpb.Batch, backendpb.Report]

var (
	errRefused = connect.NewError(connect.CodeUnavailable, errors.New("told to refuse"))
	errLost    = connect.NewError(connect.CodeUnavailable, errors.New("told to lose replies"))
)

// session is one connection of a holder.
type session struct {
	srv  *Server
	hold *holder
	stm  *stream
	wake chan struct{}

	mu      sync.Mutex
	pending *backendpb.Report
	due     bool
	// No more is read or written; the other end learns nothing of it.
	silent bool
}

func (srv *Server) serveSession(ctx context.Context, stm *stream) error {
	if srv.Faults().GetRefuse() {
		return errRefused
	}
	first, err := stm.Receive()
	if err != nil {
		return err
	}
	ses := srv.open(first.GetHolder(), stm)
	defer srv.close(ses)
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return ses.write(ctx) })
	grp.Go(func() error { return ses.read(ctx, first) })
	err = grp.Wait()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (srv *Server) open(name string, stm *stream) *session {
	ses := &session{srv: srv, stm: stm, wake: make(chan struct{}, 1), pending: &backendpb.Report{}}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	hld, ok := srv.holders[name]
	if !ok {
		hld = &holder{name: name}
		srv.holders[name] = hld
	}
	hld.newest = ses
	hld.sessions++
	ses.hold = hld
	srv.sessions[ses] = struct{}{}
	return ses
}

func (srv *Server) close(ses *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.sessions, ses)
	hld := ses.hold
	hld.sessions--
	if hld.newest == ses {
		hld.newest = nil
	}
	srv.releaseHolder(hld)
}

func (ses *session) read(ctx context.Context, bat *backendpb.Batch) error {
	for {
		if err := ses.srv.awaitStall(ctx); err != nil {
			return err
		}
		if !ses.isSilent() {
			if err := ses.srv.apply(ses, bat); err != nil {
				return err
			}
		}
		var err error
		if bat, err = ses.stm.Receive(); err != nil {
			return err
		}
	}
}

// apply takes a batch into effect. The first batch of a session and an empty one are answered at
// once, the latter because that is how an entry instance finds out whether a quiet connection still
// works. Starts are answered only by their results.
func (srv *Server) apply(ses *session, bat *backendpb.Batch) error {
	now := time.Now()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.faults.GetRefuse() {
		return errRefused
	}
	srv.forget(now)
	srv.count(bat)
	if bat.GetRenew() != nil {
		// The timers of the tasks look at it when they fire.
		ses.hold.renewed = now.Add(bat.GetRenew().AsDuration())
	}
	var add backendpb.Report
	for _, sub := range bat.GetFences() {
		add.Fences = append(add.Fences, srv.fence(now, ses, sub))
	}
	for _, id := range bat.GetRevokes() {
		add.Statuses = append(add.Statuses, srv.revoke(now, ses, id))
	}
	for _, stt := range bat.GetStarts() {
		if rsn := srv.start(now, ses.hold, stt); rsn != backendpb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
			srv.countRefusal(rsn)
			add.Refused = append(add.Refused, &backendpb.RefusedStart{Id: stt.GetId(), Reason: rsn})
		}
	}
	for _, id := range bat.GetAsks() {
		add.Statuses = append(add.Statuses, srv.status(now, ses, id))
	}
	for _, id := range bat.GetStops() {
		srv.stop(now, id)
	}
	if srv.faults.GetLoseReplies() {
		return errLost
	}
	ses.add(&add, bat.GetHolder() != "" || isEmpty(bat))
	return nil
}

func isEmpty(bat *backendpb.Batch) bool {
	return len(bat.GetStarts())+len(bat.GetAsks())+len(bat.GetRevokes())+len(bat.GetStops())+
		len(bat.GetFences()) == 0 && bat.GetRenew() == nil
}

// count takes note of a batch; the caller holds srv.mu.
func (srv *Server) count(bat *backendpb.Batch) {
	srv.counts.Batches++
	if bat.GetHolder() == "" && isEmpty(bat) {
		srv.counts.EmptyBatches++
	}
	if bat.GetRenew() != nil {
		srv.counts.Renewals++
	}
}

// countRefusal takes note of a refused start; the caller holds srv.mu.
func (srv *Server) countRefusal(rsn backendpb.RefusalReason) {
	srv.counts.Refusals++
	if rsn == backendpb.RefusalReason_REFUSAL_REASON_DUPLICATE {
		srv.counts.Duplicates++
	}
}
