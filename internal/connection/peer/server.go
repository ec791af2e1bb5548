package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/request/verdict"
)

// Server answers the calls of peers.
type Server struct {
	cfg Config
	hdl Handler
	cnt rpc.Counters
}

// NewServer returns a Server that hands calls to hdl.
func NewServer(cfg Config, hdl Handler) *Server {
	return &Server{cfg: cfg, hdl: hdl}
}

// Stats returns the bytes and calls since the start.
func (srv *Server) Stats() rpc.Stats { return srv.cnt.Stats() }

// Serve accepts connections until ctx is done, and returns once every connection and call has
// ended; it closes lis. It returns nil after ctx is done.
func (srv *Server) Serve(ctx context.Context, lis net.Listener) error {
	grp, ctx := errgroup.WithContext(ctx)
	conns := &errgroup.Group{}
	conns.SetLimit(srv.cfg.MaxConns)
	grp.Go(func() error {
		<-ctx.Done()
		return lis.Close()
	})
	grp.Go(func() error { return srv.accept(ctx, lis, conns) })
	err := grp.Wait()
	_ = conns.Wait() // Connections return no errors: what fails on one is its peer's to see.
	return err
}

func (srv *Server) accept(ctx context.Context, lis net.Listener, conns *errgroup.Group) error {
	for {
		con, err := lis.Accept()
		if ctx.Err() != nil {
			if err == nil {
				// Left open, it would hold the caller's hello up until its write deadline.
				_ = con.Close()
			}
			return nil
		}
		if err != nil {
			if !isTemporary(err) {
				return errors.Wrap(err, "accept a peer")
			}
			// Out of file descriptors shows as an endless row of such errors; a pause lets others close.
			sleep(ctx, acceptPause)
			continue
		}
		taken := conns.TryGo(func() error {
			srv.serveConn(ctx, con)
			return nil
		})
		if !taken {
			_ = con.Close() // The peer sees a lost connection before its hello: not run.
		}
	}
}

const acceptPause = 50 * time.Millisecond

func isTemporary(err error) bool {
	var nerr net.Error
	return !errors.Is(err, net.ErrClosed) && errors.As(err, &nerr)
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

func (srv *Server) serveConn(ctx context.Context, raw net.Conn) {
	var stm net.Conn = rpc.WrapConn(raw, &srv.cnt, srv.cfg.CallTimeout)
	if srv.cfg.TLS != nil {
		stm = tls.Server(stm, srv.cfg.TLS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ses := &session{srv: srv, greeted: make(chan struct{})}
	ses.calls.SetLimit(srv.cfg.MaxCalls)
	cnn := rpc.NewConn(ctx, stm, srv.cfg.MaxMessage, ses)
	select {
	case <-ses.greeted:
		select {
		case <-cnn.DisconnectNotify():
		case <-ctx.Done():
			// The peer may be stopping too, and close its end only when this one has ended.
			_ = cnn.Close()
		}
	case <-cnn.DisconnectNotify():
	case <-time.After(srv.cfg.DialTimeout):
		// A stranger that connects and says nothing would hold one of the bounded connections.
		_ = cnn.Close()
	}
	cancel()
	ses.end()
}

// session is one accepted connection. The library calls Handle from a single goroutine, in the
// order of arrival, so that from needs no lock: calls only start after it was set.
type session struct {
	srv     *Server
	from    Identity
	greeted chan struct{}

	// mu keeps a call from starting once the group is waited for: the library may still hand over a
	// request that was read before the connection ended.
	mu    sync.Mutex
	ended bool
	calls errgroup.Group
}

// take starts a call, unless the session has ended or has too many.
func (ses *session) take(call func() error) bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return !ses.ended && ses.calls.TryGo(call)
}

func (ses *session) end() {
	ses.mu.Lock()
	ses.ended = true
	ses.mu.Unlock()
	_ = ses.calls.Wait() // Calls return no errors.
}

// Handle implements jsonrpc2.Handler.
func (ses *session) Handle(ctx context.Context, con *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif && (ses.from.ID == "" || !oneWay[req.Method]) {
		return
	}
	if ses.from.ID == "" {
		ses.greet(ctx, con, req)
		return
	}
	ses.srv.cnt.CountCall()
	// The goroutine that reads must not wait for a call: answers to others would wait behind it.
	taken := ses.take(func() error {
		ses.answer(ctx, con, req)
		return nil
	})
	if !taken && !req.Notif {
		busy := verdict.New(verdict.NotRun, ReasonBusy).WithRetryAfter(time.Second)
		_ = con.ReplyWithError(ctx, req.ID, failureOf(busy)) // The peer is gone; there is nobody to tell.
	}
}

func (ses *session) greet(ctx context.Context, con *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var hel wireHello
	if req.Method != methodHello || req.Params == nil || json.Unmarshal(*req.Params, &hel) != nil ||
		hel.ID == "" || !sameToken(hel.Token, ses.srv.cfg.Token) {
		refusal := verdict.New(verdict.NotRun, ReasonNotAllowed)
		_ = con.ReplyWithError(ctx, req.ID, failureOf(refusal)) // The connection is closed in any case.
		_ = con.Close()                                         // It may be closed already.
		return
	}
	ses.from = Identity{ID: peerID(hel.ID), Incarnation: hel.Incarnation}
	close(ses.greeted)
	self := ses.srv.cfg.Self
	rep := wireHello{ID: string(self.ID), Incarnation: self.Incarnation}
	_ = con.Reply(ctx, req.ID, rep) // The peer is gone; there is nobody to tell.
}

// sameToken compares in a time that depends on neither token, lengths included.
func sameToken(got, want string) bool {
	gotSum, wantSum := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(gotSum[:], wantSum[:]) == 1
}

func (ses *session) answer(ctx context.Context, con *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := ses.handle(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = con.ReplyWithError(ctx, req.ID, failureOf(err)) // The peer is gone; there is nobody to tell.
		return
	}
	if err := con.Reply(ctx, req.ID, result); errors.Is(err, rpc.ErrTooLarge) {
		tooLarge := verdict.New(verdict.MayHaveRun, ReasonTooLarge)
		_ = con.ReplyWithError(ctx, req.ID, failureOf(tooLarge)) // As above.
	}
}
