package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sys/unix"

	"chestnutstack/platform"
)

// flags is the command line of the daemon.
type flags struct {
	Settings string `help:"The platform's settings file; the environment names it if this is empty." type:"existingfile"`
	LogLevel string `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

const (
	// logLines is how many lines may wait for a slow reader before further ones are dropped and counted: some
	// two seconds of a busy entry instance, 2 MB.
	logLines = 8192
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
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * memoryShare))
	cnt := &counters{}
	// Lines that a slow reader has no time for are dropped, never waited for.
	wrt := diode.NewWriter(out, logLines, 0, func(missed int) { cnt.logsDropped.Add(int64(missed)) })
	defer func() { _ = wrt.Close() }() // What is not written by now is lost with the process.
	lgr := zerolog.New(wrt).Level(lvl).With().Timestamp().Str("instance", set.Instance).Logger()
	lis, err := listen(set)
	if err != nil {
		return err
	}
	dmn := New(Params{
		Settings: set, SettingsPath: flg.Settings,
		Store:    platform.NewStore(newClient(0), set.StoreAddress),
		Servers:  platform.NewServers(newClient(connsPerServer)),
		Dial:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Now:      newClock(),
		Log:      lgr,
		Counters: cnt,
	})
	return dmn.Run(ctx, lis)
}

func newClient(connsPerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
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

// newClock returns a clock that never steps and that counts the time during which the machine was
// suspended, which the runtime's clock does not: leases of a suspended process run out elsewhere.
func newClock() func() time.Time {
	start := time.Now().Round(0)
	first := sinceBoot()
	return func() time.Time { return start.Add(sinceBoot() - first) }
}

func sinceBoot() time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &tsp); err != nil {
		panic(err) // The kernel has had this clock since 2011; without it no lease can be kept.
	}
	return time.Duration(tsp.Nano())
}
