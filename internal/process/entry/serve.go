package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/verdict"
)

// The paths that the balancer and operators ask; the metrics are where expvar puts them.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/debug/vars"
)

// compressMinBytes keeps ordinary answers from being compressed: of a job of one task that took a
// quarter of the processor time.
const compressMinBytes = 64 << 10

// Handler serves callers, operators and the balancer.
func (ins *Instance) Handler() http.Handler {
	mux := http.NewServeMux()
	opts := []connect.HandlerOption{
		connect.WithReadMaxBytes(caller.MaxRequestBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	}
	jobs := caller.NewJobService(ins, ins.catalogue, ins.auth, ins.now)
	path, hnd := callerpb.NewJobServiceHandler(jobs, opts...)
	mux.Handle(path, caller.Gate(ins.auth, hnd))
	edits := caller.NewCatalogueService(ins.catalogue, ins.auth)
	path, hnd = callerpb.NewCatalogueServiceHandler(edits, opts...)
	mux.Handle(path, caller.Gate(ins.auth, hnd))
	mux.HandleFunc(PathMetrics, ins.serveMetrics)
	mux.HandleFunc(PathHealth, func(wrt http.ResponseWriter, _ *http.Request) {
		_, _ = wrt.Write([]byte("ok\n"))
	})
	mux.HandleFunc(PathReady, ins.serveReady)
	return mux
}

// serveReady tells the balancer whether to send callers here. Leaving comes first: the balancer
// has to stop before the instance does.
func (ins *Instance) serveReady(wrt http.ResponseWriter, _ *http.Request) {
	if err := ins.ready(); err != nil {
		http.Error(wrt, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = wrt.Write([]byte("ready\n"))
}

// ready returns why the balancer is to send callers elsewhere, or nil.
func (ins *Instance) ready() *verdict.Error {
	if ins.stage.Load() != serving {
		return verdict.New(verdict.NotRun, reasonLeaving).WithRetryAfter(leavingRetry)
	}
	return ins.accepting()
}

// accepting returns why no new job is taken, or nil.
func (ins *Instance) accepting() *verdict.Error {
	if ins.stage.Load() == refusing {
		return verdict.New(verdict.NotRun, reasonLeaving).WithRetryAfter(leavingRetry)
	}
	if err := ins.catalogue.Ready(); err != nil {
		return verdict.New(verdict.NotRun, reasonNotReady).WithRetryAfter(time.Second).WithCause(err)
	}
	return nil
}

// serveCallers answers until ctx ends, then until every call in progress has its answer.
func (ins *Instance) serveCallers(ctx context.Context) error {
	srv := http2.NewServer(ins.Handler(), ins.cfg.CallerTLS)
	ins.group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), ins.cfg.DrainTimeout)
		defer cancel()
		return srv.Shutdown(stop)
	})
	return http2.Serve(srv, ins.cfg.Callers)
}
