package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/process/dev"
)

type devCommand struct {
	Entries        int           `help:"Entry instances." default:"6"`
	Domains        int           `help:"Failure domains." default:"3"`
	BackendServers int           `help:"Backend servers." default:"50"`
	Slots          uint32        `help:"Tasks that a backend server runs at once." default:"8"`
	Listen         string        `help:"Address of the first entry instance; any free port by default."`
	PlatformListen string        `help:"Address of the platform stand-in; any free port by default."`
	Once           bool          `help:"Stop after the sample jobs."`
	DrainTimeout   time.Duration `help:"How long jobs in progress may take at the stop." default:"30s"`
	LogLevel       string        `help:"debug, info, warn or error." default:"warn"`
}

// Help is shown below the usage.
func (*devCommand) Help() string {
	return "Example:\n  chestnutstack dev --entries 6 --domains 4 --backend-servers 50 --slots 8"
}

const (
	maxDevEntries  = 96
	maxDevBackends = 500
	maxDevSlots    = 256
)

func (cmd *devCommand) check() (zerolog.Level, error) {
	var prb problems
	if cmd.Entries < 1 || cmd.Entries > maxDevEntries {
		prb.add("--entries", cmd.Entries, fmt.Sprintf("1 to %d", maxDevEntries))
	}
	if cmd.Domains < 1 || cmd.Domains > cmd.Entries {
		prb.add("--domains", cmd.Domains, "1 to the number of entries")
	}
	if cmd.BackendServers < 1 || cmd.BackendServers > maxDevBackends {
		prb.add("--backend-servers", cmd.BackendServers, fmt.Sprintf("1 to %d", maxDevBackends))
	}
	if cmd.Slots < 1 || cmd.Slots > maxDevSlots {
		prb.add("--slots", cmd.Slots, fmt.Sprintf("1 to %d", maxDevSlots))
	}
	prb.positive("--drain-timeout", cmd.DrainTimeout)
	for flag, val := range map[string]string{"--listen": cmd.Listen, "--platform-listen": cmd.PlatformListen} {
		if val != "" {
			prb.address(flag, val)
		}
	}
	lvl, err := zerolog.ParseLevel(cmd.LogLevel)
	if err != nil || cmd.LogLevel == "" {
		prb.add("--log-level", cmd.LogLevel, "debug, info, warn or error")
	}
	return lvl, prb.err()
}

// Run implements the command.
func (cmd *devCommand) Run(ctx context.Context, str *streams) error {
	lvl, err := cmd.check()
	if err != nil {
		return err
	}
	sys, err := dev.New(dev.Config{
		Entries:        cmd.Entries,
		FailureDomains: cmd.Domains,
		BackendServers: cmd.BackendServers,
		Slots:          cmd.Slots,
		PlatformListen: cmd.PlatformListen,
		EntryListen:    cmd.Listen,
		DrainTimeout:   cmd.DrainTimeout,
		Log:            zerolog.New(str.err).Level(lvl).With().Timestamp().Logger(),
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return sys.Run(ctx) })
	grp.Go(func() error {
		if err := sys.Show(ctx, str.out); err != nil {
			return err
		}
		if cmd.Once {
			stop()
			return nil
		}
		printAddresses(str, sys)
		return nil
	})
	return grp.Wait()
}

// printAddresses prints the settings of the other commands, to be pasted into a shell.
func printAddresses(str *streams, sys *dev.System) {
	fmt.Fprintf(str.out, "\nserving %d entry instances; in another shell:\n", len(sys.EntryURLs()))
	fmt.Fprintf(str.out, "  export %s_SERVER=%s\n", envPrefix, sys.EntryURLs()[0])
	fmt.Fprintf(str.out, "  export %s_PLATFORM=%s\n", envPrefix, sys.PlatformURL())
	fmt.Fprintf(str.out, "  export %s_TOKEN=%s  # riga\n", envPrefix, sys.Token("riga"))
	fmt.Fprintf(str.out, "  export %s_TOKEN=%s  # attica\n", envPrefix, sys.Token("attica"))
	fmt.Fprintf(str.out, "  export %s_SERVERS=%s\n", envPrefix, strings.Join(sys.EntryURLs(), ","))
	for idx, url := range sys.EntryURLs() {
		fmt.Fprintf(str.out, "  entry-%d --server %s\n", idx+1, url)
	}
	fmt.Fprintf(str.out, "  %s\n", "chestnutstack job submit riga/thumbnail 'sleep=120ms echo=slide-1'")
	fmt.Fprintf(str.out, "stop with Ctrl-C\n")
}
