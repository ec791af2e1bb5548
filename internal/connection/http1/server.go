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

	mu    sync.Mutex
	tab   *Table
	conns map[ID]*conn
	last  ID
}

// sweepInterval is how often connections are closed that have taken too long.
const sweepInterval = time.Second

// NewServer returns a server that serves nothing yet; Watch has to run beside Serve.
func NewServer(cfg Config) *Server {
	srv := &Server{cfg: cfg, tab: NewTable(cfg.Limits, Bounds{}), conns: map[ID]*conn{}}
	srv.http = &http.Server{
		Handler: http.HandlerFunc(srv.handle), MaxHeaderBytes: maxHeaderBytes, ConnContext: newContext, ConnState: srv.followState,
	}
	return srv
}

// SetBounds changes the bounds on requests.
func (srv *Server) SetBounds(bnd Bounds) {
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

// Watch closes connections that take too long, and logs once in a while how many were closed and why, until ctx ends.
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
		srv.decide(func(tab *Table) []Closing { return tab.Sweep(elapsed) })
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
func (srv *Server) decide(fnc func(tab *Table) []Closing) {
	for cnn := range srv.apply(fnc) {
		_ = cnn.Conn.Close() // Its reader finds out, also if it was closed already.
	}
}

// apply passes the Table to fnc and returns the connections that are to be closed, with the reasons.
func (srv *Server) apply(fnc func(tab *Table) []Closing) map[*conn]Reason {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	var ended map[*conn]Reason
	for _, one := range fnc(srv.tab) {
		srv.closed[one.Reason].Add(1)
		if cnn := srv.conns[one.ID]; cnn != nil {
			if ended == nil {
				ended = map[*conn]Reason{}
			}
			ended[cnn] = one.Reason
			delete(srv.conns, one.ID)
		}
	}
	return ended
}

// followState takes note that a request was answered.
func (srv *Server) followState(con net.Conn, sta http.ConnState) {
	if cnn, ok := con.(*conn); ok && sta == http.StateIdle {
		srv.decide(func(tab *Table) []Closing {
			tab.Await(cnn.id)
			return nil
		})
	}
}

// handle passes a request to the handler.
func (srv *Server) handle(wrt http.ResponseWriter, req *http.Request) {
	cnn := connOf(req.Context())
	cnn.beginBody(0)
	defer srv.decide(func(tab *Table) []Closing {
		tab.End(cnn.id)
		return nil
	})
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
