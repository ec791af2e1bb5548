package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/backendstandin"
	"chestnutstack/internal/process/entry"
	"chestnutstack/internal/process/platformstandin"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/platformpb"
	"chestnutstack/internal/version/token"
)

const (
	loopback        = "127.0.0.1:0"
	platformTimeout = 5 * time.Second
	// The workers of the brief: 32 processors and 128 GB, 8 to a rack.
	workerProcessors = 32
	workerMemory     = 128 << 30
	workersToRack    = 8
)

// Config is the shape of the system.
type Config struct {
	Entries        int
	FailureDomains int
	BackendServers int
	Slots          uint32
	// Platform, Entry0 are addresses to listen on; any free port by default.
	PlatformListen string
	EntryListen    string
	Notice         time.Duration
	DrainTimeout   time.Duration
	Log            zerolog.Logger
}

// System is a running system; its accessors are of use once New has returned.
type System struct {
	cfg      Config
	standIn  *platformstandin.StandIn
	platform net.Listener
	entries  []*entry.Instance
	urls     []string
	servers  []*backendstandin.Server
	backends []net.Listener
	tokens   map[job.Partner]string
}

// New listens on every address; nothing answers before Run.
func New(cfg Config) (*System, error) {
	sys := &System{
		cfg:     cfg,
		standIn: platformstandin.New(platformstandin.Config{}),
		tokens:  map[job.Partner]string{},
	}
	var err error
	if sys.platform, err = listen(cfg.PlatformListen); err != nil {
		return nil, err
	}
	var toks []catalogue.Token
	for _, par := range []job.Partner{"riga", "attica"} {
		name := string(par) + "/dev"
		tok := token.Generate(name)
		sys.tokens[par] = tok
		toks = append(toks, catalogue.Token{Name: name, Partner: par, Role: catalogue.RoleOperator, Hash: token.Hash(tok)})
	}
	for idx := range cfg.BackendServers {
		if err := sys.addBackend(idx); err != nil {
			return nil, err
		}
	}
	for idx := range cfg.Entries {
		if err := sys.addEntry(idx, toks); err != nil {
			return nil, err
		}
	}
	return sys, nil
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = loopback
	}
	lis, err := net.Listen("tcp", address)
	return lis, errors.Wrap(err, "listening")
}

func (sys *System) domain(idx int) string {
	return fmt.Sprintf("domain-%d", idx%sys.cfg.FailureDomains+1)
}

func (sys *System) addBackend(idx int) error {
	lis, err := listen(loopback)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("backend-%d", idx+1)
	inc := ulid.Make().String()
	sys.backends = append(sys.backends, lis)
	sys.servers = append(sys.servers, backendstandin.New(backendstandin.Config{ID: id, Slots: sys.cfg.Slots, Incarnation: inc}))
	return sys.standIn.PutInstance(&platformpb.Instance{
		Id:            id,
		Incarnation:   inc,
		Kind:          platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER,
		Address:       lis.Addr().String(),
		FailureDomain: sys.domain(idx),
		Rack:          fmt.Sprintf("%s-rack-%d", sys.domain(idx), idx/sys.cfg.FailureDomains/workersToRack+1),
		Worker:        fmt.Sprintf("worker-%d", idx+1),
		Slots:         sys.cfg.Slots,
		Processors:    workerProcessors,
		MemoryBytes:   workerMemory,
	}, false)
}

func (sys *System) addEntry(idx int, toks []catalogue.Token) error {
	address := loopback
	if idx == 0 {
		address = sys.cfg.EntryListen
	}
	callers, err := listen(address)
	if err != nil {
		return err
	}
	peers, err := listen(loopback)
	if err != nil {
		return err
	}
	cfg := entry.Config{
		ID:            fmt.Sprintf("entry-%d", idx+1),
		Incarnation:   ulid.Make().String(),
		FailureDomain: sys.domain(idx),
		Callers:       callers,
		Peers:         peers,
		Tokens:        toks,
		PeerToken:     sys.tokens["riga"] + sys.tokens["attica"],
		Notice:        sys.cfg.Notice,
		DrainTimeout:  sys.cfg.DrainTimeout,
		Seed:          rand.Uint64(),
		Dispatch:      dispatch.DefaultConfig(),
	}
	plt := platform.New(http2.NewClient(nil, nil), http2.URL(sys.platform.Addr().String(), nil), platformTimeout)
	sys.entries = append(sys.entries, entry.New(cfg, plt, sys.cfg.Log))
	sys.urls = append(sys.urls, http2.URL(callers.Addr().String(), nil))
	return sys.standIn.PutInstance(entry.Listed(cfg), false)
}

// Run serves until ctx ends. Entry instances stop first and as planned, so that jobs in progress
// still find their backend servers and the platform.
func (sys *System) Run(ctx context.Context) error {
	below, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	low, below := errgroup.WithContext(below)
	low.Go(func() error { return sys.standIn.Serve(below, sys.platform) })
	for idx, srv := range sys.servers {
		low.Go(func() error { return srv.Serve(below, sys.backends[idx]) })
	}
	var top errgroup.Group
	for _, ins := range sys.entries {
		top.Go(func() error { return ins.Run(ctx) })
	}
	err := top.Wait()
	stop()
	if lowErr := low.Wait(); err == nil {
		err = lowErr
	}
	return err
}

// PlatformURL returns where the platform stand-in is reached.
func (sys *System) PlatformURL() string { return http2.URL(sys.platform.Addr().String(), nil) }

// Appended returns how many records a stream of the platform stand-in has taken, whatever its faults.
func (sys *System) Appended(stream string) uint64 { return sys.standIn.Appended(stream) }

// EntryURLs returns where callers reach the entry instances.
func (sys *System) EntryURLs() []string { return sys.urls }

// BackendURLs returns where the backend servers are reached.
func (sys *System) BackendURLs() []string {
	urls := make([]string, 0, len(sys.backends))
	for _, lis := range sys.backends {
		urls = append(urls, http2.URL(lis.Addr().String(), nil))
	}
	return urls
}

// Token returns the token of a partner; it allows everything that the partner may do.
func (sys *System) Token(par job.Partner) string { return sys.tokens[par] }

// DoubleStarts returns the tasks that backend servers started more than once.
func (sys *System) DoubleStarts() []job.TaskID {
	var jns [][]backendstandin.JournalEntry
	for _, srv := range sys.servers {
		jns = append(jns, srv.Journal())
	}
	return backendstandin.DoubleStarts(jns...)
}
