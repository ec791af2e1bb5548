package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/backend"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/token"
)

// Config is what an instance is told by its settings.
type Config struct {
	// ID is the name on the platform's list, Incarnation changes with each start.
	ID            string
	Incarnation   string
	FailureDomain string
	// Callers and Peers are where the instance is reached.
	Callers net.Listener
	Peers   net.Listener
	// The TLS settings are nil for cleartext.
	CallerTLS  *tls.Config
	BackendTLS *tls.Config
	PeerTLS    *tls.Config
	// Dial opens the connections to peers and backend servers; TCP if nil.
	Dial http2.Dialer
	// Now is the clock of decisions; time.Now if nil.
	Now func() time.Time
	// Tokens are known besides those of the catalogue, so that an empty one can be edited.
	Tokens []catalogue.Token
	// SeedPeers are addresses of other instances that are asked for the pool and the catalogue by one
	// that starts while the platform is out of reach.
	SeedPeers []string
	// PeerToken is shared by all entry instances.
	PeerToken string
	// DrainTimeout bounds a planned stop; jobs still in progress then are given up.
	DrainTimeout time.Duration
	// Notice is how long a leaving instance still takes jobs, so that the balancer can go first.
	Notice   time.Duration
	Seed     uint64
	Dispatch dispatch.Config
}

// The stages of an instance's life.
const (
	// serving takes jobs.
	serving = iota
	// leaving tells the balancer to go elsewhere and still takes the jobs that it sends.
	leaving
	// refusing takes no more jobs and answers those in progress.
	refusing
)

// appendBudget is how many appends a second all entry instances together make; the platform's log
// takes several hundred, and other users need some of them.
const appendBudget = 300

// Platform is the platform's log and its list of instances.
type Platform interface {
	platform.Log
	platform.Instances
}

// Instance is an entry instance.
type Instance struct {
	cfg  Config
	name string
	log  zerolog.Logger
	now  func() time.Time
	// began is when New was called.
	began time.Time

	// mu guards dsp and what belongs to it: decisions are made one at a time, and none of them
	// waits for anything.
	mu     sync.Mutex
	dsp    *dispatch.Dispatcher
	unsent []dispatch.ServerTask
	// lapsed are submissions whose claim no longer holds.
	lapsed []job.SubmissionID
	armed  time.Time
	// counted is what was taken over of the dispatcher's own counters.
	counted map[metrics.Kind]uint64
	wake    chan struct{}

	table     *table
	view      *view
	servers   *backend.Pool
	peers     *peer.Client
	peerSrv   *peer.Server
	catalogue *governor
	claims    *platform.Claimer
	budget    *platform.Budget
	limits    *limit.Limiter
	auth      *token.Authenticator
	metrics   *metrics.Set
	pauses    pauses

	stage atomic.Int32
	// ctx lives as long as the instance works, past the time when it stops taking jobs.
	ctx   context.Context //nolint:containedctx // set by Run for calls that decisions start
	group *errgroup.Group
}

// New returns an instance that works while Run does.
func New(cfg Config, plt Platform, lgr zerolog.Logger) *Instance {
	name := joinName(dispatch.PeerID(cfg.ID), cfg.Incarnation)
	cfg.Dispatch.Self = dispatch.PeerID(cfg.ID)
	cfg.Dispatch.FailureDomain = cfg.FailureDomain
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	ins := &Instance{
		cfg:     cfg,
		name:    name,
		log:     lgr.With().Str("entry", cfg.ID).Logger(),
		now:     cfg.Now,
		began:   cfg.Now(),
		wake:    make(chan struct{}, 1),
		table:   newTable(),
		metrics: metrics.New(time.Now),
	}
	ins.limits = limit.New(limitConfig(cfg), limit.Peer{ID: dispatch.PeerID(cfg.ID), Incarnation: cfg.Incarnation},
		rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+4)))
	ins.dsp = dispatch.New(cfg.Dispatch, ins.limits, rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)))
	ins.servers = backend.New(backend.Config{
		Holder:    name,
		Transport: func() *http.Transport { return newTransport(cfg) },
		Scheme:    scheme(cfg.BackendTLS),
		OnEvent:   ins.onBackend,
	})
	pcf := peer.DefaultConfig(peer.Identity{ID: dispatch.PeerID(cfg.ID), Incarnation: cfg.Incarnation}, cfg.PeerToken)
	pcf.TLS = cfg.PeerTLS
	ins.peers = peer.NewClient(pcf, peerDial(cfg))
	ins.peerSrv = peer.NewServer(pcf, peerHandler{ins: ins})
	ins.view = newView(ins, plt)
	ins.budget = platform.NewBudget(appendBudget)
	log := countedLog{Log: plt, met: ins.metrics}
	ins.catalogue = newGovernor(ins, log, ins.budget)
	ins.claims = newClaimer(ins, log, ins.budget)
	ins.addGauges()
	ins.auth = token.New(ins.catalogue.flw, cfg.Tokens, time.Now)
	return ins
}

func newTransport(cfg Config) *http.Transport {
	tpt := backend.NewTransport(cfg.BackendTLS)
	if cfg.Dial != nil {
		tpt.DialContext = cfg.Dial
	}
	return tpt
}

func peerDial(cfg Config) peer.DialFunc {
	if cfg.Dial != nil {
		return peer.DialFunc(cfg.Dial)
	}
	return (&net.Dialer{}).DialContext
}

// limitConfig gives the limits the lease that tasks really have.
func limitConfig(cfg Config) limit.Config {
	lcf := limit.DefaultConfig()
	lcf.Lease = cfg.Dispatch.Lease
	return lcf
}

func scheme(cfg *tls.Config) string {
	if cfg != nil {
		return "https"
	}
	return "http"
}

// Run works until ctx ends, then stops as planned: it tells the balancer, goes on answering, and
// returns once every job in progress has its answer.
func (ins *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	grp, work := errgroup.WithContext(work)
	ins.group, ins.ctx = grp, work
	grp.Go(func() error { return ins.runTimer(work) })
	grp.Go(func() error { return ins.servers.Run(work) })
	grp.Go(func() error { return ins.peerSrv.Serve(work, ins.cfg.Peers) })
	grp.Go(func() error { return ins.view.run(work) })
	grp.Go(func() error { return ins.catalogue.run(work) })
	grp.Go(func() error { return ignoreCancel(work, ins.claims.Run(work)) })
	grp.Go(func() error { return ins.runExpiry(work) })
	grp.Go(func() error { return ins.runPauses(work) })
	drained, drain := context.WithCancel(work)
	defer drain()
	grp.Go(func() error { return ins.serveCallers(drained) })
	grp.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil
		}
		ins.leave(work)
		drain()
		ins.awaitIdle(work)
		ins.view.left()
		stop()
		return nil
	})
	err := grp.Wait()
	ins.peers.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
