package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/verdict"
)

// The exit statuses that scripts may rely on.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitNotRun     = 3
	exitMayHaveRun = 4
)

const (
	envPrefix   = "CHESTNUTSTACK"
	description = "Dispatches sub-second tasks of two partners over a shared pool of workers."
)

// grammar is the whole command line.
type grammar struct {
	Entry     entryCommand     `cmd:"" help:"Run an entry instance, the daemon behind the platform's balancer."`
	Dev       devCommand       `cmd:"" help:"Run platform, entry instances and backend servers in one process, and show a job of each partner."`
	StandIn   standInCommand   `cmd:"" name:"stand-in" help:"Run a stand-in for the platform or a backend server, or tell one to fail."`
	Catalogue catalogueCommand `cmd:"" help:"Check, edit and show the catalogue."`
	Job       jobCommand       `cmd:"" help:"Submit, show, watch, cancel and resubmit jobs."`
	Platform  platformCommand  `cmd:"" help:"Check settings of the users' platform."`
	Report    reportCommand    `cmd:"" help:"Report on service levels."`
	Soak      soakCommand      `cmd:"" help:"Play real daemons under troubles and check their promises."`
	Load      loadCommand      `cmd:"" help:"Send a bounded, seeded load and check every answer."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// streams are what a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// usageError is a wrong setting; it ends in exit status 2.
type usageError struct{ cause error }

func (err *usageError) Error() string { return err.cause.Error() }
func (err *usageError) Unwrap() error { return err.cause }

// exitCode stands in for kong's own call of os.Exit, so that Main returns to its caller.
type exitCode int

// Main runs the command line and returns the exit status.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) (status int) {
	defer func() {
		if rec := recover(); rec != nil {
			code, ok := rec.(exitCode)
			if !ok {
				panic(rec)
			}
			status = int(code)
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	str := &streams{in: stdin, out: stdout, err: stderr}
	var grm grammar
	psr, err := kong.New(&grm,
		kong.Name("chestnutstack"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.DefaultEnvars(envPrefix),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(str),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "chestnutstack:", err)
		return exitFailed
	}
	kctx, err := psr.Parse(args)
	if err != nil {
		return report(str, &usageError{cause: err})
	}
	return report(str, kctx.Run())
}

// report prints an error and returns the exit status that goes with it.
func report(str *streams, err error) int {
	if err == nil {
		return exitDone
	}
	var ver *verdict.Error
	if !errors.As(err, &ver) {
		fmt.Fprintln(str.err, "chestnutstack:", err)
		var usg *usageError
		if errors.As(err, &usg) {
			return exitUsage
		}
		return exitFailed
	}
	fmt.Fprintln(str.err, "chestnutstack:", verdictText(ver))
	if aft := ver.RetryAfter(); aft > 0 {
		fmt.Fprintf(str.err, "chestnutstack: try again in %v\n", aft)
	}
	switch ver.Verdict() {
	case verdict.NotRun:
		return exitNotRun
	case verdict.MayHaveRun:
		return exitMayHaveRun
	default:
		return exitFailed
	}
}

// verdictText says verdict and reason once: the text of a server's error has them already.
func verdictText(ver *verdict.Error) string {
	head := ver.Verdict().String() + ": " + ver.Reason()
	if cau := ver.Unwrap(); cau != nil && strings.HasPrefix(cau.Error(), head) {
		return cau.Error()
	}
	return ver.Error()
}

type versionCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Help is shown below the usage.
func (*versionCommand) Help() string { return "Example:\n  chestnutstack version" }

// Run implements the command.
func (cmd *versionCommand) Run(str *streams) error {
	inf, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary carries no build information")
	}
	ver := inf.Main.Version
	if ver == "" {
		ver = "(devel)"
	}
	if cmd.JSON {
		out := map[string]string{"version": ver, "go": inf.GoVersion}
		return errors.Wrap(json.NewEncoder(str.out).Encode(out), "encoding JSON")
	}
	fmt.Fprintf(str.out, "chestnutstack %s %s\n", ver, inf.GoVersion)
	return nil
}
