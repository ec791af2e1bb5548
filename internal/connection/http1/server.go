package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/version/config"
)

// Config has the dependencies and limits of a Server.
type Config struct {
	Handler http.Handler
	Limits  Limits
	Log     zerolog.Logger
	// Name says in logs whose connections these are.
	Name string
}

// Server serves HTTP/1.1 within Limits.
type Server struct {
	cfg  Config
	http *http.Server
	// closed counts the connections that were closed by the Table, by reason.
	closed [Reasons]atomic.Int64

	mu  sync.Mutex
	tab *table
}

// table is the Table of a Server, closing one of its connections.
type (
	table   = Table[*conn]
	closing = Closing[*conn]
)

// sweepInterval is how often connections are closed that have taken too long.
const sweepInterval = time.Second

// NewServer returns a server that serves nothing yet; Watch has to run beside Serve.
func NewServer(cfg Config) *Server {
	srv := &Server{cfg: cfg, tab: NewTable[*conn](cfg.Limits, config.Limits{})}
	srv.http = &http.Server{
		Handler: http.HandlerFunc(srv.handle), MaxHeaderBytes: maxHeaderBytes, ConnContext: newContext, ConnState: srv.followState,
	}
	return srv
}

// SetBounds changes the bounds on requests; those on bodies are the handler's.
func (srv *Server) SetBounds(bnd config.Limits) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.tab.SetBounds(bnd)
}

// Serve serves connections of a listener until Shutdown or Close; it returns http.ErrServerClosed then.
func (srv *Server) Serve(lis net.Listener) error {
	return srv.http.Serve(listener{Listener: lis, srv: srv})
}

// Shutdown stops the server once requests in progress are answered, or with an error when ctx ends.
func (srv *Server) Shutdown(ctx context.Context) error { return srv.http.Shutdown(ctx) }

// Close closes all connections.
func (srv *Server) Close() error { return srv.http.Close() }

// Closed returns how many connections were closed for a reason.
func (srv *Server) Closed(rsn Reason) int64 { return srv.closed[rsn].Load() }

// Held returns the open connections, the requests that are worked on and the bytes that are held.
func (srv *Server) Held() (connections, working int, bytes int64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.tab.Held()
}

// Watch closes connections that take too long, and logs at most each sweepInterval how many were closed and why, until ctx ends.
func (srv *Server) Watch(ctx context.Context) error {
	tck := time.NewTicker(sweepInterval)
	defer tck.Stop()
	var logged [Reasons]int64
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
		}
		now := time.Now()
		// A client isn't slow while this process stands still.
		elapsed := min(now.Sub(last), 2*sweepInterval)
		last = now
		srv.decide(func(tab *table) []closing { return tab.Sweep(elapsed) })
		srv.logClosed(&logged)
	}
}

// logClosed logs the connections that were closed since it was last called; those that were idle are no news.
func (srv *Server) logClosed(logged *[Reasons]int64) {
	lin, news := srv.cfg.Log.Warn().Str("of", srv.cfg.Name), false
	for rsn := range Reasons {
		now := srv.closed[rsn].Load()
		if num := now - logged[rsn]; num > 0 {
			lin = lin.Int64(rsn.String(), num)
			news = news || rsn != Idle
		}
		logged[rsn] = now
	}
	if !news {
		lin.Discard()
		return
	}
	cons, wrk, byt := srv.Held()
	lin.Int("connections", cons).Int("working", wrk).Int64("bytes", byt).Msg("connections of clients closed")
}

// decide passes the Table to fnc and closes the connections that it returns.
func (srv *Server) decide(fnc func(tab *table) []closing) {
	for _, one := range srv.apply(fnc) {
		_ = one.Conn.Conn.Close() // Its reader finds out, also if it was closed already.
	}
}

// note has the Table take note of something that closes no connection.
func (srv *Server) note(fnc func(tab *table)) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	fnc(srv.tab)
}

// apply passes the Table to fnc and returns the connections that are to be closed.
func (srv *Server) apply(fnc func(tab *table) []closing) []closing {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	cls := fnc(srv.tab)
	for _, one := range cls {
		srv.closed[one.Reason].Add(1)
	}
	return cls
}

// followState takes note that a request was answered.
func (srv *Server) followState(con net.Conn, sta http.ConnState) {
	if cnn, ok := con.(*conn); ok && sta == http.StateIdle {
		srv.note(func(tab *table) { tab.Await(cnn) })
	}
}

// handle passes a request to the handler.
func (srv *Server) handle(wrt http.ResponseWriter, req *http.Request) {
	cnn := connOf(req.Context())
	srv.note(func(tab *table) { tab.BeginBody(cnn, 0) })
	defer srv.note(func(tab *table) { tab.End(cnn) })
	srv.cfg.Handler.ServeHTTP(wrt, req)
}

type contextKey struct{}

// newContext returns the context of the requests on a connection.
func newContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(tcp.NewContext(ctx, con), contextKey{}, con)
}

// connOf returns the connection of a request, nil if no Server has accepted it.
func connOf(ctx context.Context) *conn {
	cnn, _ := ctx.Value(contextKey{}).(*conn)
	return cnn
}
