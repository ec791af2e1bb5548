package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/verdict"
)

func isTerminal(fil *os.File) bool { return isatty.IsTerminal(fil.Fd()) }

// onTerminal reports whether a person looks at the writer, so that colour and redrawn lines help.
func onTerminal(wrt io.Writer) bool {
	fil, ok := wrt.(*os.File)
	return ok && isTerminal(fil)
}

// paint wraps text in an ANSI colour, on a terminal only.
func paint(wrt io.Writer, colour, txt string) string {
	if !onTerminal(wrt) {
		return txt
	}
	return colour + txt + "\x1b[0m"
}

const (
	red   = "\x1b[31m"
	green = "\x1b[32m"
)

func printJSON(wrt io.Writer, msg proto.Message) error {
	out, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encoding JSON")
	}
	// protojson varies its spaces from build to build, so that nobody relies on them; scripts do.
	var buf bytes.Buffer
	if err := json.Compact(&buf, out); err != nil {
		return errors.Wrap(err, "encoding JSON")
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(wrt)
	return err
}

func newTable(wrt io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(wrt, 0, 0, 2, ' ', 0)
}

// printAnswer prints an answer; one that is not whole is the command's error as well.
func printAnswer(str *streams, asJSON bool, ans *callerpb.Answer) error {
	if err := writeAnswer(str.out, asJSON, ans); err != nil {
		return err
	}
	if err := caller.AnswerError(ans); err != nil {
		return err
	}
	return nil
}

func writeAnswer(wrt io.Writer, asJSON bool, ans *callerpb.Answer) error {
	if asJSON {
		return printJSON(wrt, ans)
	}
	vdt := caller.ToVerdict(ans.GetVerdict()).String()
	colour := red
	if ans.GetVerdict() == callerpb.Verdict_VERDICT_DONE {
		colour = green
	}
	tab := newTable(wrt)
	fmt.Fprintf(tab, "JOB\t%s\n", ans.GetJobId())
	fmt.Fprintf(tab, "SUBMISSION\t%s\n", ans.GetSubmissionId())
	fmt.Fprintf(tab, "VERDICT\t%s\n", paint(wrt, colour, vdt))
	if ans.GetReason() != "" {
		fmt.Fprintf(tab, "REASON\t%s\n", ans.GetReason())
	}
	fmt.Fprintf(tab, "CATALOGUE VERSION\t%d\n", ans.GetCatalogueVersion())
	if len(ans.GetTasks()) > 0 {
		fmt.Fprintf(tab, "TASK\tANSWER\n")
	}
	for _, tsk := range ans.GetTasks() {
		fmt.Fprintf(tab, "%d\t%q\n", tsk.GetIndex(), tsk.GetPayload())
	}
	return tab.Flush()
}

func printProgress(str *streams, asJSON bool, prg *callerpb.Progress) error {
	if asJSON {
		return printJSON(str.out, prg)
	}
	if ans := prg.GetAnswer(); ans != nil {
		return writeAnswer(str.out, false, ans)
	}
	tab := newTable(str.out)
	fmt.Fprintf(tab, "JOB\t%s\n", prg.GetJobId())
	fmt.Fprintf(tab, "SUBMISSION\t%s\n", prg.GetSubmissionId())
	fmt.Fprintf(tab, "STATE\t%s\n", stateName(prg.GetState()))
	fmt.Fprintf(tab, "TASKS\t%d\n", prg.GetTasks())
	fmt.Fprintf(tab, "STARTED\t%d\n", prg.GetStarted())
	fmt.Fprintf(tab, "FINISHED\t%d\n", prg.GetFinished())
	return tab.Flush()
}

func stateName(sta callerpb.JobState) string {
	switch sta {
	case callerpb.JobState_JOB_STATE_WAITING:
		return "waiting"
	case callerpb.JobState_JOB_STATE_RUNNING:
		return "running"
	case callerpb.JobState_JOB_STATE_ENDED:
		return "ended"
	default:
		return "unknown"
	}
}

// followOptions say what of a job is shown until its answer is there, and how the answer is.
type followOptions struct {
	json     bool
	progress bool
}

// follow waits for a job's answer.
func follow(str *streams, opt followOptions, res *connect.ServerStreamForClient[callerpb.Progress]) error {
	defer func() { _ = res.Close() }()
	var id string
	for res.Receive() {
		prg := res.Msg()
		id = prg.GetJobId()
		if ans := prg.GetAnswer(); ans != nil {
			clearLine(str.err)
			return printAnswer(str, opt.json, ans)
		}
		if opt.progress {
			progressLine(str.err, fmt.Sprintf("%s: %d of %d tasks answered, %d started",
				id, prg.GetFinished(), prg.GetTasks(), prg.GetStarted()))
		}
	}
	clearLine(str.err)
	if id != "" {
		// The job goes on without this command.
		fmt.Fprintf(str.err, "chestnutstack: the job is %s\n", id)
	}
	if err := res.Err(); err != nil {
		return caller.FromError(err)
	}
	return verdict.New(verdict.MayHaveRun, caller.ReasonNoAnswer)
}

// progressLine redraws one line on a terminal and writes nothing elsewhere.
func progressLine(wrt io.Writer, txt string) {
	if onTerminal(wrt) {
		fmt.Fprintf(wrt, "\r\x1b[K%s", txt)
	}
}

func clearLine(wrt io.Writer) {
	if onTerminal(wrt) {
		fmt.Fprint(wrt, "\r\x1b[K")
	}
}
