package backendstandin

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/platformpb"
)

const (
	defaultSlots        = 8
	defaultMemory       = 2 * time.Minute
	defaultRevokeLimit  = 1 << 17
	defaultJournalLimit = 1 << 21
)

// Config is what New needs to know; the zero value of a field stands for its default.
type Config struct {
	// ID names the backend server in errors and logs.
	ID string
	// Slots that tasks share; 8 if 0.
	Slots uint32
	// Incarnation changes at each restart.
	Incarnation string
	// Memory is for how long ids and results are kept after the end of a task, and how far ahead the
	// not-after time of a start may lie; two minutes if 0.
	Memory time.Duration
	// Drain is how long Serve lets running tasks go on once it is to end; they are cut off if 0.
	Drain time.Duration
	// RevokeLimit bounds the revoked ids of unknown tasks that are kept at once.
	RevokeLimit int
	// JournalLimit bounds the starts that the journal keeps; the oldest go first.
	JournalLimit int
}

// Counts says what a stand-in did since New.
type Counts struct {
	Batches      uint64
	EmptyBatches uint64
	Reports      uint64
	Starts       uint64
	Refusals     uint64
	// Duplicates are refused starts of a task that was already started here.
	Duplicates uint64
	Renewals   uint64
}

// Server is a stand-in for one backend server.
type Server struct {
	cfg Config

	mu       sync.Mutex
	free     uint32
	tasks    map[job.TaskID]*task
	ended    []forgetAt
	revoked  map[job.TaskID]time.Time
	fenced   map[string]fenceInForce
	swept    time.Time
	holders  map[string]*holder
	sessions map[*session]struct{}
	journal  []JournalEntry
	counts   Counts
	faults   *platformpb.Faults
	// Closed and replaced when the faults change.
	changed chan struct{}
	// Set for good by Leave.
	left bool
	// Closed when the last task of a stand-in that left ends.
	idle chan struct{}
}

// New returns a stand-in that has no connection and no task.
func New(cfg Config) *Server {
	setDefault(&cfg.Slots, defaultSlots)
	setDefault(&cfg.Memory, defaultMemory)
	setDefault(&cfg.RevokeLimit, defaultRevokeLimit)
	setDefault(&cfg.JournalLimit, defaultJournalLimit)
	return &Server{
		cfg:      cfg,
		free:     cfg.Slots,
		tasks:    map[job.TaskID]*task{},
		revoked:  map[job.TaskID]time.Time{},
		fenced:   map[string]fenceInForce{},
		holders:  map[string]*holder{},
		sessions: map[*session]struct{}{},
		faults:   &platformpb.Faults{},
		changed:  make(chan struct{}),
		idle:     make(chan struct{}),
	}
}

func setDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// Handler serves sessions and the calls that set faults and read the journal.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	// Compression would cost more than the bytes that it saves on messages this small.
	raw := connect.WithCompressMinBytes(math.MaxInt)
	mux.Handle(backendpb.NewBackendServiceHandler(sessionService{srv}, raw))
	mux.Handle(platformpb.NewStandInServiceHandler(standInService{srv}, raw))
	return mux
}

// Counts returns what the stand-in did since New.
func (srv *Server) Counts() Counts {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.counts
}

type sessionService struct{ srv *Server }

// Session implements backendpb.BackendServiceHandler.
func (svc sessionService) Session(ctx context.Context, stm *connect.BidiStream[backendpb.Batch, backendpb.Report]) error {
	return svc.srv.serveSession(ctx, stm)
}
