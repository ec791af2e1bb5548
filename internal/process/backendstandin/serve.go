package backendstandin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	readHeaderTimeout = 5 * time.Second
	// Sessions last as long as their connection, so that a stop cuts them after a moment.
	shutdownGrace = 100 * time.Millisecond
	// The smallest that HTTP/2 allows. A Go client that knows the limit before it sends a request's
	// body keeps a buffer of that size, up to 512 KB, for as long as the stream lives.
	maxReadFrameSize = 16 << 10
)

// Serve answers on a listener until ctx ends: HTTP/2 in clear text, and HTTP/1 for unary calls. With
// Config.Drain set it then leaves and lets running tasks end.
func (srv *Server) Serve(ctx context.Context, lis net.Listener) error {
	web := &http.Server{
		Handler:           srv.Handler(),
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxReadFrameSize: maxReadFrameSize},
	}
	web.Protocols.SetHTTP1(true)
	web.Protocols.SetUnencryptedHTTP2(true)
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return web.Serve(lis) })
	grp.Go(func() error {
		<-ctx.Done()
		srv.drain()
		end, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		if err := web.Shutdown(end); err != nil {
			return web.Close()
		}
		return nil
	})
	err := grp.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (srv *Server) drain() {
	if srv.cfg.Drain == 0 {
		return
	}
	late := time.NewTimer(srv.cfg.Drain)
	defer late.Stop()
	select {
	case <-srv.Leave():
	case <-late.C:
	}
}
