package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/backendstandin"
	"chestnutstack/internal/process/platformstandin"
	"chestnutstack/internal/version/platformpb"
)

type standInCommand struct {
	Platform standInPlatform `cmd:"" help:"Run a stand-in for the platform."`
	Backend  standInBackend  `cmd:"" help:"Run a stand-in for a backend server."`
	Fail     standInFail     `cmd:"" help:"Tell a running stand-in to fail, or to stop failing."`
	Journal  standInJournal  `cmd:"" help:"Print the starts that a backend server stand-in made."`
}

type standInPlatform struct {
	Listen        string        `help:"Address to listen on." default:"127.0.0.1:7500"`
	AppendRate    float64       `help:"Appends a second that the log takes." default:"500"`
	SyncDelay     time.Duration `help:"How long a synced write takes." default:"3ms"`
	RetainRecords int           `help:"Records that a stream keeps." default:"1000000"`
	RetainAge     time.Duration `help:"How long a stream keeps a record." default:"2h"`
	ListLag       time.Duration `help:"How old the list of instances is." default:"500ms"`
}

// Help is shown below the usage.
func (*standInPlatform) Help() string {
	return "Example:\n  chestnutstack stand-in platform --listen 127.0.0.1:7500"
}

// Run implements the command.
func (cmd *standInPlatform) Run(ctx context.Context, str *streams) error {
	var prb problems
	prb.address("--listen", cmd.Listen)
	if cmd.AppendRate <= 0 {
		prb.add("--append-rate", cmd.AppendRate, "more than 0")
	}
	prb.notNegative("--sync-delay", cmd.SyncDelay)
	prb.notNegative("--list-lag", cmd.ListLag)
	prb.positive("--retain-age", cmd.RetainAge)
	if cmd.RetainRecords <= 0 {
		prb.add("--retain-records", cmd.RetainRecords, "1 or more")
	}
	if err := prb.err(); err != nil {
		return err
	}
	sin := platformstandin.New(platformstandin.Config{
		AppendRate:    cmd.AppendRate,
		SyncDelay:     orNegative(cmd.SyncDelay),
		RetainRecords: cmd.RetainRecords,
		RetainAge:     cmd.RetainAge,
		ListLag:       cmd.ListLag,
	})
	lis, err := listen(cmd.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(str.out, "platform stand-in: --platform %s\n", http2.URL(lis.Addr().String(), nil))
	return sin.Serve(ctx, lis)
}

// orNegative turns 0 into what the stand-in takes for no delay.
func orNegative(dur time.Duration) time.Duration {
	if dur == 0 {
		return -1
	}
	return dur
}

func listen(address string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	return lis, errors.Wrap(err, "listening")
}

type standInBackend struct {
	Listen        string `help:"Address to listen on; port 0 takes any free port." default:"127.0.0.1:0"`
	ID            string `name:"id" help:"Name on the platform's list." default:"backend-1"`
	Slots         uint32 `help:"Tasks that run at once." default:"8"`
	FailureDomain string `help:"Failure domain." default:"domain-1"`
	Rack          string `help:"Rack of the worker." default:"rack-1"`
	Worker        string `help:"Worker; the id by default."`
	Processors    uint32 `help:"Processors of the worker." default:"32"`
	MemoryGB      uint64 `name:"memory-gb" help:"Memory of the worker in GB." default:"128"`
	Accelerators  uint32 `help:"Accelerators of the worker."`
	Platform      string `help:"Base URL of a platform stand-in to be listed by."`

	DrainTimeout time.Duration `help:"How long running tasks may take at a stop." default:"30s"`
}

// Help is shown below the usage.
func (*standInBackend) Help() string {
	return "Example:\n  chestnutstack stand-in backend --id backend-1 --platform http://127.0.0.1:7500"
}

// Run implements the command.
func (cmd *standInBackend) Run(ctx context.Context, str *streams) error {
	var prb problems
	prb.address("--listen", cmd.Listen)
	if cmd.Platform != "" {
		prb.url("--platform", cmd.Platform)
	}
	prb.positive("--drain-timeout", cmd.DrainTimeout)
	if cmd.Slots == 0 {
		prb.add("--slots", cmd.Slots, "1 or more")
	}
	if cmd.ID == "" {
		prb.add("--id", cmd.ID, "a name")
	}
	if err := prb.err(); err != nil {
		return err
	}
	lis, err := listen(cmd.Listen)
	if err != nil {
		return err
	}
	inc := ulid.Make().String()
	srv := backendstandin.New(backendstandin.Config{
		ID:          cmd.ID,
		Slots:       cmd.Slots,
		Incarnation: inc,
		Drain:       cmd.DrainTimeout,
	})
	if cmd.Platform != "" {
		if err := announce(ctx, cmd.Platform, cmd.instance(lis.Addr().String(), inc)); err != nil {
			return err
		}
	}
	fmt.Fprintf(str.out, "backend server stand-in %s: %s\n", cmd.ID, http2.URL(lis.Addr().String(), nil))
	return srv.Serve(ctx, lis)
}

func (cmd *standInBackend) instance(address, incarnation string) *platformpb.Instance {
	wrk := cmd.Worker
	if wrk == "" {
		wrk = cmd.ID
	}
	return &platformpb.Instance{
		Id:            cmd.ID,
		Incarnation:   incarnation,
		Kind:          platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER,
		Address:       address,
		FailureDomain: cmd.FailureDomain,
		Rack:          cmd.Rack,
		Worker:        wrk,
		Slots:         cmd.Slots,
		Processors:    cmd.Processors,
		MemoryBytes:   cmd.MemoryGB << 30,
		Accelerators:  cmd.Accelerators,
	}
}

// announce puts an instance on a platform stand-in's list. The real platform makes its list by
// itself; only stand-ins are told.
func announce(ctx context.Context, platform string, ins *platformpb.Instance) error {
	cli := platformpb.NewStandInServiceClient(http2.NewClient(nil, nil), platform)
	_, err := cli.SetInstance(ctx, connect.NewRequest(&platformpb.SetInstanceRequest{Instance: ins}))
	return errors.Wrap(err, "telling the platform stand-in")
}

type standInFail struct {
	URL               string        `arg:"" name:"url" help:"Base URL of the stand-in."`
	Refuse            bool          `help:"Answer every call with an error before any effect."`
	Stall             bool          `help:"Do not answer."`
	LoseReplies       bool          `help:"Take effect, then answer with an error."`
	SilentConnections bool          `help:"Open connections get no more answers; new ones work."`
	Delay             time.Duration `help:"Answer this much later."`
	ListLag           time.Duration `help:"Age of the list of instances."`
	ForgetBefore      uint64        `help:"Forget records before this offset."`
	FailTasks         bool          `help:"Fail every task at once."`
	Leaving           bool          `help:"Take no new task."`
	Slowdown          float64       `help:"Tasks take this many times as long." default:"1"`
	EmptyList         bool          `help:"List no instance."`
}

// Help is shown below the usage.
func (*standInFail) Help() string {
	return "Without a flag the stand-in stops failing.\n\nExample:\n  chestnutstack stand-in fail http://127.0.0.1:7500 --refuse"
}

// Run implements the command.
func (cmd *standInFail) Run(ctx context.Context, str *streams) error {
	var prb problems
	prb.url("URL", cmd.URL)
	prb.notNegative("--delay", cmd.Delay)
	prb.notNegative("--list-lag", cmd.ListLag)
	if cmd.Slowdown <= 0 {
		prb.add("--slowdown", cmd.Slowdown, "more than 0")
	}
	if err := prb.err(); err != nil {
		return err
	}
	cli := platformpb.NewStandInServiceClient(http2.NewClient(nil, nil), cmd.URL)
	res, err := cli.SetFaults(ctx, connect.NewRequest(&platformpb.Faults{
		Refuse:            cmd.Refuse,
		Stall:             cmd.Stall,
		LoseReplies:       cmd.LoseReplies,
		SilentConnections: cmd.SilentConnections,
		Delay:             durationpb.New(cmd.Delay),
		ListLag:           durationpb.New(cmd.ListLag),
		ForgetBefore:      cmd.ForgetBefore,
		FailTasks:         cmd.FailTasks,
		Leaving:           cmd.Leaving,
		Slowdown:          cmd.Slowdown,
		EmptyList:         cmd.EmptyList,
	}))
	if err != nil {
		return errors.Wrap(err, "setting faults")
	}
	return printJSON(str.out, res.Msg)
}

type standInJournal struct {
	URL string `arg:"" name:"url" help:"Base URL of the backend server stand-in."`
}

// Help is shown below the usage.
func (*standInJournal) Help() string {
	return "Example:\n  chestnutstack stand-in journal http://127.0.0.1:7600"
}

// Run implements the command.
func (cmd *standInJournal) Run(ctx context.Context, str *streams) error {
	var prb problems
	prb.url("URL", cmd.URL)
	if err := prb.err(); err != nil {
		return err
	}
	cli := platformpb.NewStandInServiceClient(http.DefaultClient, cmd.URL)
	res, err := cli.Journal(ctx, connect.NewRequest(&platformpb.JournalRequest{}))
	if err != nil {
		return errors.Wrap(err, "reading journal")
	}
	return printJSON(str.out, res.Msg)
}
