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

	"chestnutstack/internal/connection/http1"
	"chestnutstack/internal/connection/rpc"
	"chestnutstack/platform"
)

// flags are the command-line flags of the daemon.
type flags struct {
	Settings string `help:"The platform's settings file; the environment names it if this is empty." type:"existingfile"`
	LogLevel string `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

const (
	// maxLogBuffer is the size, in bytes, of the log lines that may wait for a slow reader before further ones are dropped and
	// counted: some 2 s of a busy instance.
	maxLogBuffer = 2 << 20
	// timeFormat has milliseconds, to order decisions that different machines took shortly after each other.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// logFlushInterval is how long log lines are gathered before they are written.
	logFlushInterval = 50 * time.Millisecond
	// gcPercent is GOGC: the heap grows to five times its live size between collections. The live heap is some 10 MB of the smallest
	// machine's 184, and collections cost latency on a fifth of a core.
	gcPercent = 400
	// programBytes is the memory of a process besides its heap, marginShare the share of its machine's memory that stays unused.
	programBytes = 24 << 20
	marginShare  = 0.05
	// dialTimeout is the timeout for opening any connection; an unreachable host doesn't answer at all.
	dialTimeout = 300 * time.Millisecond
	// connsPerServer is well below the 64 connections that a backend server accepts from all instances together.
	connsPerServer  = 12
	idleConnTimeout = 20 * time.Second
)

// Main runs a daemon with the settings file and flags of its command line until ctx ends; it writes the log to out.
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(heapLimit(&set))
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
	lis, err := openListeners(set)
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

// newClient returns an HTTP client whose connections count their bytes in cnt; 0 connections per host means no limit.
func newClient(connsPerHost int, cnt *rpc.Counters) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         countedDial((&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, cnt),
		MaxConnsPerHost:     connsPerHost,
		MaxIdleConnsPerHost: connsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// openListeners opens the listening sockets at the addresses in the settings.
func openListeners(set platform.Settings) (Listeners, error) {
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
	return lis, errors.Wrap(http1.LimitUnread(lis.Callers), "listen")
}

// lineWriter gathers log lines and writes them in the background: a system call per line would cost more than the line itself, and a
// slow or closed reader must not block the process.
type lineWriter struct {
	out     io.Writer
	dropped func()
	// wake gets a value when lines are waiting.
	wake chan struct{}
	mu   sync.Mutex
	buf  []byte
}

func newLineWriter(out io.Writer, dropped func()) *lineWriter {
	return &lineWriter{out: out, dropped: dropped, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. It never blocks; a line for which the buffer has no space is dropped and counted.
func (lwr *lineWriter) Write(line []byte) (int, error) {
	lwr.mu.Lock()
	defer lwr.mu.Unlock()
	if len(lwr.buf)+len(line) > maxLogBuffer {
		lwr.dropped()
		return len(line), nil
	}
	lwr.buf = append(lwr.buf, line...)
	select {
	case lwr.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// flush writes the gathered lines.
func (lwr *lineWriter) flush() {
	lwr.mu.Lock()
	data := lwr.buf
	lwr.buf = nil
	lwr.mu.Unlock()
	if len(data) > 0 {
		_, _ = lwr.out.Write(data) // A failed write of the log can't be logged.
	}
}

// run writes the gathered lines logFlushInterval after the first of them, until ctx ends, and once more then. It has no timer while there
// are no lines.
func (lwr *lineWriter) run(ctx context.Context) error {
	defer lwr.flush()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-lwr.wake:
		}
		if !sleepContext(ctx, logFlushInterval) {
			return nil
		}
		lwr.flush()
	}
}
