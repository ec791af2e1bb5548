package platformstandin

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/http2"
)

// Serve answers on a listener until ctx ends. Calls that wait then end at once.
func (sin *StandIn) Serve(ctx context.Context, lis net.Listener) error {
	srv := http2.NewServer(sin.Handler(), nil)
	srv.ConnContext = sin.ConnContext
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return http2.Serve(srv, lis) })
	grp.Go(func() error {
		<-ctx.Done()
		sin.Close()
		return srv.Close()
	})
	return grp.Wait()
}
