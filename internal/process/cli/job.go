package cli

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
)

type jobCommand struct {
	Submit   jobSubmit   `cmd:"" help:"Submit a job and wait for its whole answer."`
	Get      jobGet      `cmd:"" help:"Show where a job stands, with its answer once it has ended."`
	Watch    jobWatch    `cmd:"" help:"Follow a job until it ends."`
	Cancel   jobCancel   `cmd:"" help:"Cancel a job."`
	Resubmit jobResubmit `cmd:"" help:"Run a job that ended without an answer once more."`
}

type jobSubmit struct {
	clientFlags
	Entry         string        `arg:"" help:"Catalogue entry, such as riga/thumbnail."`
	Payload       []string      `arg:"" optional:"" help:"Payload of each task; without any, one task for each line of standard input."`
	SubmissionID  string        `help:"Idempotency key; a retry carries the same. A new one by default."`
	Team          string        `help:"Team whose quota the job counts against."`
	NotAfter      time.Duration `help:"No task starts later than this from now." default:"30s"`
	Expected      time.Duration `help:"How long a task is expected to take." default:"0s"`
	Resubmission  bool          `help:"The submission id was submitted before."`
	NotRepeatable bool          `help:"Run at most once, whatever the catalogue says."`
	Watch         bool          `help:"Show progress."`
}

// Help is shown below the usage.
func (*jobSubmit) Help() string {
	return "Example:\n  chestnutstack job submit riga/thumbnail 'sleep=120ms echo=slide-1' 'sleep=90ms echo=slide-2'"
}

// Run implements the command.
func (cmd *jobSubmit) Run(ctx context.Context, str *streams) error {
	var prb problems
	cmd.check(&prb)
	checkNotAfter(&prb, cmd.NotAfter)
	if cmd.Expected < 0 || cmd.Expected > caller.MaxExpectedTime {
		prb.add("--expected", cmd.Expected, "0 to "+caller.MaxExpectedTime.String())
	}
	if err := prb.err(); err != nil {
		return err
	}
	req, err := cmd.request(str)
	if err != nil {
		return err
	}
	cli, err := cmd.jobs()
	if err != nil {
		return err
	}
	ctx, cancel := cmd.context(ctx)
	defer cancel()
	// Submit would do with fewer messages, but an operator whose job fails, or who gives up waiting,
	// needs the job's id to ask for it, cancel it or resubmit it; only the stream tells it early.
	res, err := cli.SubmitAndWatch(ctx, connect.NewRequest(req))
	if err != nil {
		return caller.FromError(err)
	}
	return follow(str, followOptions{json: cmd.JSON, progress: cmd.Watch}, res)
}

func checkNotAfter(prb *problems, val time.Duration) {
	if val <= 0 || val > caller.MaxNotAfter {
		prb.add("--not-after", val, "more than 0 and at most "+caller.MaxNotAfter.String())
	}
}

func (cmd *jobSubmit) request(str *streams) (*callerpb.SubmitRequest, error) {
	payloads := make([][]byte, 0, len(cmd.Payload))
	for _, pay := range cmd.Payload {
		payloads = append(payloads, []byte(pay))
	}
	if len(payloads) == 0 {
		var err error
		if payloads, err = readLines(str); err != nil {
			return nil, err
		}
	}
	if len(payloads) == 0 || len(payloads) > caller.MaxTasks {
		return nil, &usageError{cause: errors.Newf("payload: %d tasks, want 1 to %d", len(payloads), caller.MaxTasks)}
	}
	req := &callerpb.SubmitRequest{
		SubmissionId:   cmd.SubmissionID,
		CatalogueEntry: cmd.Entry,
		Team:           cmd.Team,
		NotAfter:       timestamppb.New(time.Now().Add(cmd.NotAfter)),
		Resubmission:   cmd.Resubmission,
		NotRepeatable:  cmd.NotRepeatable,
	}
	if req.SubmissionId == "" {
		req.SubmissionId = ulid.Make().String()
	}
	for _, pay := range payloads {
		tsk := &callerpb.Task{Payload: pay}
		if cmd.Expected > 0 {
			tsk.ExpectedRunTime = durationpb.New(cmd.Expected)
		}
		req.Tasks = append(req.Tasks, tsk)
	}
	return req, nil
}

func readLines(str *streams) ([][]byte, error) {
	if fil, ok := str.in.(*os.File); ok && isTerminal(fil) {
		return nil, nil
	}
	var lines [][]byte
	scn := bufio.NewScanner(str.in)
	scn.Buffer(nil, caller.MaxTaskPayload+1)
	for scn.Scan() && len(lines) <= caller.MaxTasks {
		lines = append(lines, bytes.Clone(scn.Bytes()))
	}
	return lines, errors.Wrap(scn.Err(), "reading payloads")
}

// jobArg is what every command that names a job has.
type jobArg struct {
	clientFlags
	Job string `arg:"" help:"Job id, as submit printed it."`
}

// unaryCall is Get or Cancel of a client.
type unaryCall func(callerpb.JobServiceClient, context.Context, *connect.Request[callerpb.JobRequest]) (*connect.Response[callerpb.Progress], error)

// show makes a call about the job and prints where the job stands then.
func (arg *jobArg) show(ctx context.Context, str *streams, call unaryCall) error {
	cli, ctx, cancel, err := arg.start(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := call(cli, ctx, connect.NewRequest(&callerpb.JobRequest{JobId: arg.Job}))
	if err != nil {
		return caller.FromError(err)
	}
	return printProgress(str, arg.JSON, res.Msg)
}

type jobGet struct{ jobArg }

// Help is shown below the usage.
func (*jobGet) Help() string { return "Example:\n  chestnutstack job get entry-1~01J0/riga.01J1" }

// Run implements the command.
func (cmd *jobGet) Run(ctx context.Context, str *streams) error {
	return cmd.show(ctx, str, callerpb.JobServiceClient.Get)
}

type jobCancel struct{ jobArg }

// Help is shown below the usage.
func (*jobCancel) Help() string { return "Example:\n  chestnutstack job cancel entry-1~01J0/riga.01J1" }

// Run implements the command.
func (cmd *jobCancel) Run(ctx context.Context, str *streams) error {
	return cmd.show(ctx, str, callerpb.JobServiceClient.Cancel)
}

type jobWatch struct{ jobArg }

// Help is shown below the usage.
func (*jobWatch) Help() string { return "Example:\n  chestnutstack job watch entry-1~01J0/riga.01J1" }

// Run implements the command.
func (cmd *jobWatch) Run(ctx context.Context, str *streams) error {
	cli, ctx, cancel, err := cmd.start(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := cli.Watch(ctx, connect.NewRequest(&callerpb.JobRequest{JobId: cmd.Job}))
	if err != nil {
		return caller.FromError(err)
	}
	return follow(str, followOptions{json: cmd.JSON, progress: true}, res)
}

type jobResubmit struct {
	clientFlags
	Job          string        `arg:"" help:"Job id of a job that ended without a whole answer."`
	SubmissionID string        `help:"Idempotency key of the new submission. A new one by default."`
	NotAfter     time.Duration `help:"No task starts later than this from now." default:"30s"`
}

// Help is shown below the usage.
func (*jobResubmit) Help() string {
	return "Example:\n  chestnutstack job resubmit entry-1~01J0/riga.01J1"
}

// Run implements the command.
func (cmd *jobResubmit) Run(ctx context.Context, str *streams) error {
	var prb problems
	cmd.check(&prb)
	checkNotAfter(&prb, cmd.NotAfter)
	if err := prb.err(); err != nil {
		return err
	}
	cli, err := cmd.jobs()
	if err != nil {
		return err
	}
	ctx, cancel := cmd.context(ctx)
	defer cancel()
	sub := cmd.SubmissionID
	if sub == "" {
		sub = ulid.Make().String()
	}
	res, err := cli.Resubmit(ctx, connect.NewRequest(&callerpb.ResubmitRequest{
		JobId:        cmd.Job,
		SubmissionId: sub,
		NotAfter:     timestamppb.New(time.Now().Add(cmd.NotAfter)),
	}))
	if err != nil {
		return caller.FromError(err)
	}
	return printAnswer(str, cmd.JSON, res.Msg)
}

// start checks the settings of a command that names a job and returns its client.
func (flg *clientFlags) start(ctx context.Context) (callerpb.JobServiceClient, context.Context, context.CancelFunc, error) {
	var prb problems
	flg.check(&prb)
	if err := prb.err(); err != nil {
		return nil, nil, nil, err
	}
	cli, err := flg.jobs()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := flg.context(ctx)
	return cli, ctx, cancel, nil
}
