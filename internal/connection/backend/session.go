package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/dispatch"
)

type stream = connect.BidiStreamForClient[backendpb.Batch, backendpb.Report]

// session is one connection to a backend server with the stream on it.
type session struct {
	lnk    *link
	stm    *stream
	tpt    *http.Transport
	cancel context.CancelCauseFunc
	wake   chan struct{}
	// The connection, once there is one.
	conn atomic.Pointer[net.Conn]
	// Guarded by lnk.mu.
	lingerEnd *time.Timer
}

// dial opens a connection and a session, and makes it the current one once the backend server has
// sent its first report.
func (lnk *link) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	ses := &session{lnk: lnk, cancel: cancel, tpt: lnk.pol.cfg.Transport(), wake: make(chan struct{}, 1)}
	ses.watchDial(ctx)
	late := time.AfterFunc(lnk.pol.cfg.DialTimeout, func() { cancel(context.DeadlineExceeded) })
	defer late.Stop()
	ses.stm = lnk.pol.client(lnk.address, ses.tpt).Session(ctx)
	context.AfterFunc(ctx, ses.release)
	rep, err := ses.greet()
	if err != nil {
		ses.close()
		return nil, err
	}
	if !late.Stop() {
		ses.close()
		return nil, context.DeadlineExceeded
	}
	if unsent := lnk.promote(ses, &rep); len(unsent) > 0 {
		lnk.emit(Event{Kind: Down, Superseded: true, Unsent: unsent, Err: errRestarted})
	}
	lnk.emit(Event{Kind: Up, Report: rep})
	return ses, nil
}

// watchDial takes note of the connection that the transport makes, and ends an attempt to connect
// with ctx: net/http goes on with it for a request that is long gone, and keeps the connection.
func (ses *session) watchDial(ctx context.Context) {
	dial := ses.tpt.DialContext
	ses.tpt.DialContext = func(_ context.Context, ntw, address string) (net.Conn, error) {
		con, err := dial(ctx, ntw, address)
		if err != nil {
			return nil, err
		}
		ses.conn.Store(&con)
		if ctx.Err() != nil {
			_ = con.Close()
		}
		return con, nil
	}
}

// release frees what still waits for the transport when the context of a session has ended.
//
// Once the response has begun, net/http looks at the context only between reads of the request's
// body: a session with nothing to send would outlive its context for good. A write to a connection
// whose other end reads no more blocks until TCP gives up, which takes minutes. The end of the
// connection frees both.
func (ses *session) release() {
	if con := ses.conn.Load(); con != nil {
		_ = (*con).Close()
	}
}

func (ses *session) greet() (dispatch.Report, error) {
	if err := ses.stm.Send(&backendpb.Batch{Holder: ses.lnk.pol.cfg.Holder}); err != nil {
		// Send says only that the stream ended; Receive knows why.
		if _, why := ses.stm.Receive(); why != nil {
			err = why
		}
		return dispatch.Report{}, err
	}
	rep, err := ses.stm.Receive()
	if err != nil {
		return dispatch.Report{}, err
	}
	return readReport(ses.lnk.server, rep), nil
}

// run reads and writes until the session ends, then reports its end.
func (ses *session) run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var grp errgroup.Group
	grp.Go(func() error {
		defer ses.cancel(nil)
		return ses.write(ctx)
	})
	err := ses.read()
	stop()
	if why := grp.Wait(); why != nil && !errors.Is(why, context.Canceled) {
		err = why
	}
	ses.close()
	unsent, superseded := ses.lnk.ended(ses)
	ses.lnk.emit(Event{Kind: Down, Superseded: superseded, Unsent: unsent, Err: err})
	if !superseded {
		// Only now, so that the Up of the next session can't overtake this Down.
		signal(ses.lnk.redial)
	}
}

func (ses *session) close() {
	ses.cancel(nil)
	ses.release()
	_ = ses.stm.CloseRequest()
	_ = ses.stm.CloseResponse()
	ses.tpt.CloseIdleConnections()
}

func (ses *session) read() error {
	lnk := ses.lnk
	for {
		msg, err := ses.stm.Receive()
		if err != nil {
			return err
		}
		rep := readReport(lnk.server, msg)
		superseded := lnk.settle(ses, &rep)
		lnk.emit(Event{Kind: Reported, Report: rep, Superseded: superseded})
	}
}

func (ses *session) write(ctx context.Context) error {
	var box outbox
	var enc encoder
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ses.wake:
		}
		if !ses.lnk.take(ses, &box) {
			continue
		}
		if err := ses.send(&enc, &box); err != nil {
			return err
		}
		box.reset()
	}
}

func (ses *session) send(enc *encoder, box *outbox) error {
	if !box.contentless() {
		err := ses.stm.Send(enc.batch(box, time.Now(), ses.lnk.pol.cfg.StartHorizon))
		enc.release()
		if err != nil {
			return err
		}
	}
	if box.probe {
		return ses.stm.Send(&backendpb.Batch{})
	}
	return nil
}
