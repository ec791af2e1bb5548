package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/platform"
)

// flags is the command line of the daemon.
type flags struct {
	Settings string `help:"The platform's settings file; the environment names it if this is empty." type:"existingfile"`
	LogLevel string `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

const (
	// logBytes is how much may wait for a slow reader before further lines are dropped and counted: some two seconds
	// of a busy entry instance.
	logBytes = 2 << 20
	// timeFormat tells decisions apart that lie milliseconds apart on different machines.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// logInterval is how long a line waits to be written with others.
	logInterval = 50 * time.Millisecond
	// collectAt lets the heap grow to five times its live size between collections: the live heap is some
	// 10 MB of the smallest machine's 184, and collections cost latency on a fifth of a core.
	collectAt = 400
	// memoryShare is how much of the machine's memory the runtime aims to stay under.
	memoryShare = 0.7
	// dialTimeout bounds the opening of any connection; a way that is cut off does not answer.
	dialTimeout = 300 * time.Millisecond
	// connsPerServer stays well below the 64 that a backend server takes from all instances together.
	connsPerServer = 12
	idleConn       = 20 * time.Second
)

// Main runs a daemon as its settings file says until ctx ends.
func Main(ctx context.Context, args []string, out io.Writer) error {
	var flg flags
	psr, err := kong.New(&flg, kong.Name("chestnutstackd"),
		kong.Description("An entry instance of chestnutstack on the users' platform."))
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	if _, err := psr.Parse(args); err != nil {
		return errors.Wrap(err, "command line")
	}
	if flg.Settings == "" {
		flg.Settings = os.Getenv(platform.SettingsVariable)
	}
	set, err := platform.ReadSettings(flg.Settings)
	if err != nil {
		return err
	}
	lvl, err := zerolog.ParseLevel(flg.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	zerolog.TimeFieldFormat = timeFormat
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * memoryShare))
	cnt := &counters{}
	wrt := newLineWriter(out, func() { cnt.logsDropped.Add(1) })
	grp := &errgroup.Group{}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopLog()
		_ = grp.Wait() // The writer returns no errors.
	}()
	grp.Go(func() error { return wrt.run(logCtx) })
	lgr := zerolog.New(wrt).Level(lvl).With().Timestamp().Str("instance", set.Instance).Logger()
	lis, err := listen(set)
	if err != nil {
		return err
	}
	clk := newClock()
	dmn := New(Params{
		Settings: set, SettingsPath: flg.Settings,
		Store:   platform.NewStore(newClient(0, &cnt.traffic.store), set.StoreAddress),
		Servers: platform.NewServers(newClient(connsPerServer, &cnt.traffic.servers)),
		Dial:    (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Now:     clk.now, Suspended: clk.suspended,
		Log:      lgr,
		Counters: cnt,
	})
	return dmn.Run(ctx, lis)
}

func newClient(connsPerHost int, cnt *rpc.Counters) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         counted((&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, cnt),
		MaxConnsPerHost:     connsPerHost,
		MaxIdleConnsPerHost: connsPerServer,
		IdleConnTimeout:     idleConn,
		DisableCompression:  true,
	}}
}

func listen(set platform.Settings) (Listeners, error) {
	var lis Listeners
	for adr, tgt := range map[string]*net.Listener{
		set.CallerAddress: &lis.Callers, set.ReadyAddress: &lis.Ready,
		set.PeerAddress: &lis.Peers, set.MetricsAddress: &lis.Metrics,
	} {
		lsn, err := net.Listen("tcp", adr)
		if err != nil {
			return lis, errors.Wrap(err, "listen")
		}
		*tgt = lsn
	}
	return lis, nil
}

// lineWriter gathers log lines and writes them in the background: a system call for each line would cost more than
// the line, and a reader that is slow or gone must hold nothing up.
type lineWriter struct {
	out     io.Writer
	dropped func()
	// filled is told when there is something to write.
	filled chan struct{}
	mu     sync.Mutex
	buf    []byte
}

func newLineWriter(out io.Writer, dropped func()) *lineWriter {
	return &lineWriter{out: out, dropped: dropped, filled: make(chan struct{}, 1)}
}

// Write implements io.Writer; it never waits. A line that finds the buffer full is dropped and counted.
func (lwr *lineWriter) Write(line []byte) (int, error) {
	lwr.mu.Lock()
	defer lwr.mu.Unlock()
	if len(lwr.buf)+len(line) > logBytes {
		lwr.dropped()
		return len(line), nil
	}
	lwr.buf = append(lwr.buf, line...)
	select {
	case lwr.filled <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (lwr *lineWriter) flush() {
	lwr.mu.Lock()
	data := lwr.buf
	lwr.buf = nil
	lwr.mu.Unlock()
	if len(data) > 0 {
		_, _ = lwr.out.Write(data) // There is nowhere to report that the log can't be written.
	}
}

// run writes what has gathered some time after the first line, until ctx ends, and once more then. Without lines it sleeps.
func (lwr *lineWriter) run(ctx context.Context) error {
	defer lwr.flush()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-lwr.filled:
		}
		if !pause(ctx, logInterval) {
			return nil
		}
		lwr.flush()
	}
}
