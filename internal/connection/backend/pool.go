package backend

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const (
	defaultQueueLimit   = 1 << 12
	defaultStartHorizon = 30 * time.Second
	defaultDialTimeout  = 2 * time.Second
	defaultRedialMin    = 50 * time.Millisecond
	defaultRedialMax    = 5 * time.Second
	defaultLinger       = 10 * time.Second
)

var (
	errNoSession = verdict.New(verdict.NotRun, "no-session")
	errQueueFull = verdict.New(verdict.NotRun, "session-queue-full")
)

// Config is what New needs to know; the zero value of a duration or limit stands for its default.
type Config struct {
	// Holder names the entry instance with its incarnation.
	Holder string
	// Transport returns a transport with a DialContext that shares no connection with any other; see
	// NewTransport.
	Transport func() *http.Transport
	// Scheme is http or https; http if empty.
	Scheme string
	// OnEvent is called with what happens on the links: one call at a time for each session. It must
	// not wait for the pool.
	OnEvent func(Event)
	// QueueLimit bounds the starts, and the requests of each other kind, that wait on a link.
	QueueLimit int
	// StartHorizon bounds how far ahead of its sending a start's not-after time lies. Backend servers
	// must remember ids for longer than that.
	StartHorizon time.Duration
	// DialTimeout bounds the time from dialling to the backend server's first report.
	DialTimeout time.Duration
	// RedialMin and RedialMax bound the time between two attempts to connect.
	RedialMin time.Duration
	RedialMax time.Duration
	// Linger is for how long a session is still read after a newer one took its place.
	Linger time.Duration
}

// Pool keeps links to backend servers; Run must be running for anything to happen.
type Pool struct {
	cfg Config

	mu    sync.RWMutex
	links map[dispatch.ServerID]*link
	// Links whose goroutine Run has yet to start.
	fresh []*link
	wake  chan struct{}
}

// New returns a pool without links.
func New(cfg Config) *Pool {
	setDefault(&cfg.Scheme, "http")
	setDefault(&cfg.QueueLimit, defaultQueueLimit)
	setDefault(&cfg.StartHorizon, defaultStartHorizon)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.RedialMin, defaultRedialMin)
	setDefault(&cfg.RedialMax, defaultRedialMax)
	setDefault(&cfg.Linger, defaultLinger)
	if cfg.Transport == nil {
		cfg.Transport = func() *http.Transport { return NewTransport(nil) }
	}
	return &Pool{cfg: cfg, links: map[dispatch.ServerID]*link{}, wake: make(chan struct{}, 1)}
}

func setDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// Run serves the links until ctx ends, then closes all sessions and returns.
func (pol *Pool) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	for {
		for _, lnk := range pol.takeFresh() {
			grp.Go(func() error { return lnk.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return grp.Wait()
		case <-pol.wake:
		}
	}
}

func (pol *Pool) takeFresh() []*link {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	fsh := pol.fresh
	pol.fresh = nil
	return fsh
}

// Connect opens a link to a backend server at host:port and keeps it open. It has no effect if the
// link is there already with that address; another address replaces the link.
func (pol *Pool) Connect(srv dispatch.ServerID, address string) {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	if old, ok := pol.links[srv]; ok {
		if old.address == address {
			return
		}
		old.shut()
	}
	lnk := newLink(pol, srv, address)
	pol.links[srv] = lnk
	pol.fresh = append(pol.fresh, lnk)
	signal(pol.wake)
}

// Disconnect closes the link to a backend server; what was not yet sent is reported as unsent.
func (pol *Pool) Disconnect(srv dispatch.ServerID) {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	if lnk, ok := pol.links[srv]; ok {
		delete(pol.links, srv)
		lnk.shut()
	}
}

// Reconnect opens a fresh connection to a backend server although there may be one already. Once it
// is up everything new goes over it; the old one is read a while longer.
func (pol *Pool) Reconnect(srv dispatch.ServerID) {
	if lnk := pol.link(srv); lnk != nil {
		signal(lnk.redial)
	}
}

// Links returns the number of links, whether their sessions are up or not.
func (pol *Pool) Links() int {
	pol.mu.RLock()
	defer pol.mu.RUnlock()
	return len(pol.links)
}

func (pol *Pool) link(srv dispatch.ServerID) *link {
	pol.mu.RLock()
	defer pol.mu.RUnlock()
	return pol.links[srv]
}

// Start enqueues a start. An error means that it was not and will not be sent.
func (pol *Pool) Start(stt dispatch.Start) error {
	lnk := pol.link(stt.Server)
	if lnk == nil {
		return errNoSession
	}
	return lnk.enqueue(func(box *outbox) bool { return push(&box.starts, stt, pol.cfg.QueueLimit) })
}

// Ask enqueues the question what the backend server knows of a task.
func (pol *Pool) Ask(srv dispatch.ServerID, tid job.TaskID) error {
	return pol.enqueueID(srv, tid, func(box *outbox) *[]job.TaskID { return &box.asks })
}

// Revoke enqueues the request that a task never starts.
func (pol *Pool) Revoke(srv dispatch.ServerID, tid job.TaskID) error {
	return pol.enqueueID(srv, tid, func(box *outbox) *[]job.TaskID { return &box.revokes })
}

// Stop enqueues the request that a running task ends.
func (pol *Pool) Stop(srv dispatch.ServerID, tid job.TaskID) error {
	return pol.enqueueID(srv, tid, func(box *outbox) *[]job.TaskID { return &box.stops })
}

// Renew enqueues the renewal of the leases of all tasks at a backend server.
func (pol *Pool) Renew(srv dispatch.ServerID, lease time.Duration) error {
	lnk := pol.link(srv)
	if lnk == nil {
		return errNoSession
	}
	return lnk.enqueue(func(box *outbox) bool {
		box.renew = lease
		return true
	})
}

// Probe enqueues an empty batch, which the backend server answers with an empty report.
func (pol *Pool) Probe(srv dispatch.ServerID) error {
	lnk := pol.link(srv)
	if lnk == nil {
		return errNoSession
	}
	return lnk.enqueue(func(box *outbox) bool {
		box.probe = true
		return true
	})
}

func (pol *Pool) enqueueID(srv dispatch.ServerID, tid job.TaskID, list func(*outbox) *[]job.TaskID) error {
	lnk := pol.link(srv)
	if lnk == nil {
		return errNoSession
	}
	return lnk.enqueue(func(box *outbox) bool { return push(list(box), tid, pol.cfg.QueueLimit) })
}

func (pol *Pool) client(address string, tpt *http.Transport) backendpb.BackendServiceClient {
	return backendpb.NewBackendServiceClient(
		&http.Client{Transport: gatherer{tpt}},
		pol.cfg.Scheme+"://"+address,
		// Compression would cost more than the bytes that it saves on messages this small.
		connect.WithCompressMinBytes(math.MaxInt),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}

func drain(chn chan struct{}) {
	select {
	case <-chn:
	default:
	}
}
