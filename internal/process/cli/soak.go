package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/process/soak"
)

// soakCommand plays daemons under troubles.
type soakCommand struct {
	Daemon         string        `help:"The binary of chestnutstackd." default:"target/chestnutstackd" type:"existingfile"`
	First          uint64        `help:"The first seed; 0 takes the time of day, to play fresh ones." default:"1"`
	Seeds          int           `help:"How many seeds to play." default:"3"`
	Regressions    bool          `help:"Play the seeds that ever broke a promise instead."`
	Parallel       int           `help:"How many at the same time." default:"2"`
	Domains        int           `help:"Failure domains." default:"3"`
	Entries        int           `help:"Entry instances of each failure domain." default:"2"`
	Servers        int           `help:"Backend servers of each failure domain." default:"4"`
	Troubles       int           `help:"Troubles of each seed." default:"10"`
	Closings       int           `help:"How often a failure domain is closed to new work in each seed."`
	ServerRestarts int           `help:"How often a backend server crashes and starts again under its ID in each seed."`
	UnseenRestarts int           `help:"How often a backend server starts again under its ID while its answers are held up, and is cut off then, in each seed."`
	RoomChanges    int           `help:"How often the room of a backend server shrinks and grows again in each seed."`
	AllDecisions   bool          `help:"Switch the optional decisions on that are off by default."`
	For            time.Duration `help:"How long callers send." default:"14s"`
	Logs           string        `help:"Directory for the processes' logs; those of seeds that broke nothing are removed." default:"target/soak"`
}

// Help implements kong.HelpProvider.
func (soakCommand) Help() string {
	return `Starts real daemons on loopback addresses, with stand-ins for the platform, and strikes them with signals and on
every way between them while callers send jobs. Prints the seeds that broke a promise, and ends with status 1 then.

  go build -o target/ ./cmd/chestnutstackd
  chestnutstack soak --first 0 --seeds 20`
}

// Run implements the command.
func (cmd *soakCommand) Run(ctx context.Context, str *streams) error {
	program, err := filepath.Abs(cmd.Daemon)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	if cmd.First == 0 {
		cmd.First = uint64(time.Now().Unix())
	}
	shp := soak.DefaultShape()
	shp.Domains, shp.Entries, shp.Servers = cmd.Domains, cmd.Entries, cmd.Servers
	shp.Troubles, shp.Closings, shp.ServerRestarts, shp.For = cmd.Troubles, cmd.Closings, cmd.ServerRestarts, cmd.For
	shp.UnseenRestarts, shp.RoomChanges, shp.AllDecisions = cmd.UnseenRestarts, cmd.RoomChanges, cmd.AllDecisions
	cfg := soak.Config{Program: program, Dir: cmd.Logs, Shape: shp}
	if err := cfg.Check(); err != nil {
		return &usageError{cause: err}
	}
	seeds := cmd.seeds()
	results := make([]soak.Result, len(seeds))
	grp, ctx := errgroup.WithContext(ctx)
	grp.SetLimit(max(1, cmd.Parallel))
	for idx := range results {
		grp.Go(func() error {
			var err error
			results[idx], err = soak.Play(ctx, cfg, seeds[idx])
			return err
		})
	}
	if err := grp.Wait(); err != nil {
		return errors.Wrap(err, "soak")
	}
	return cmd.report(str, results)
}

func (cmd *soakCommand) seeds() []uint64 {
	var seeds []uint64
	if cmd.Regressions {
		for _, reg := range soak.Regressions() {
			seeds = append(seeds, reg.Seed)
		}
		return seeds
	}
	for num := range cmd.Seeds {
		seeds = append(seeds, cmd.First+uint64(num))
	}
	return seeds
}

func (cmd *soakCommand) report(str *streams, results []soak.Result) error {
	red := 0
	for _, res := range results {
		fmt.Fprintf(str.out, "seed %d: %d served, %d refused, %d unanswered; %d promises broken; held up for %v at %s\n",
			res.Seed, res.Served, res.Refused, res.Unanswered, len(res.Broken), res.HeldUp.Round(time.Millisecond),
			res.HeldUpAt.Format("15:04:05.000"))
		if len(res.Broken) == 0 {
			_ = os.RemoveAll(res.Dir) // What is left does no harm.
			continue
		}
		red++
		fmt.Fprintf(str.out, "  troubles: %q\n  logs: %s\n", res.Troubles, res.Dir)
		for _, brk := range res.Broken[:min(len(res.Broken), mostShown)] {
			fmt.Fprintln(str.out, "  "+brk)
		}
	}
	if red > 0 {
		return errors.Newf("%d of %d seeds broke a promise", red, len(results))
	}
	return nil
}

// mostShown is how many broken promises of a seed are shown: the first ones tell the cause.
const mostShown = 8
