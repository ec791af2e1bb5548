package entry_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/request/callerpb"
)

// The benchmarks of a whole entry instance need one that runs as a process of its own, so that its
// processor time is told apart from that of callers and stand-ins; docs/measurements/entry.md has
// the commands.
var (
	benchEntry = flag.String("entry", "", "base URL of a running entry instance")
	benchPID   = flag.Int("entry-pid", 0, "its process id")
	benchToken = flag.String("token", "", "token of an operator of riga that it knows")
	benchCalls = flag.Int("calls", 32, "submissions in progress at once")
	benchSleep = flag.Duration("sleep", 3*time.Millisecond, "mean run time of a task; they are spread evenly from a third to five thirds of it")
)

// clockTick is the unit of processor time in /proc, which is the same on every Linux.
const clockTick = 10 * time.Millisecond

const (
	benchName = "riga/bench"
	benchTeam = "team-0"
)

// BenchmarkTaskStart reports the processor time that the entry instance spends for a task, from the
// submission to the answer; b.N counts tasks.
func BenchmarkTaskStart(b *testing.B) {
	for _, tasks := range []int{1, 10, 100, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkTaskStart(b, tasks) })
	}
}

// BenchmarkResubmission is a submission of one task that the caller says was sent before: every
// backend server is fenced before it starts.
func BenchmarkResubmission(b *testing.B) {
	ldr := newLoader(b)
	ldr.again = true
	ldr.measure(b, 1)
}

func benchmarkTaskStart(b *testing.B, tasks int) { newLoader(b).measure(b, tasks) }

// measure reports what the entry instance spends on a task.
func (ldr *loader) measure(b *testing.B, tasks int) {
	ldr.apply(b)
	ldr.run(b, tasks, 200) // opens the connections
	before, began := entryTime(b), time.Now()
	b.ResetTimer()
	ran := ldr.run(b, tasks, b.N)
	took, spent := time.Since(began), entryTime(b)-before
	b.ReportMetric(float64(spent.Nanoseconds())/1000/float64(ran), "cpu-µs/start")
	b.ReportMetric(float64(ran)/took.Seconds(), "starts/s")
	b.ReportMetric(spent.Seconds()/took.Seconds(), "cores")
	b.ReportMetric(float64(entryMemory(b))/(1<<20), "MB")
}

// loader submits jobs in a closed loop.
type loader struct {
	client *http.Client
	jobs   callerpb.JobServiceClient
	began  int64
	again  bool
	num    atomic.Int64
}

func newLoader(b *testing.B) *loader {
	if *benchEntry == "" {
		b.Skip("needs -entry, -entry-pid and -token")
	}
	cli := http2.NewClient(nil, nil)
	b.Cleanup(cli.CloseIdleConnections)
	return &loader{
		client: cli,
		jobs:   callerpb.NewJobServiceClient(cli, *benchEntry, connect.WithInterceptors(caller.Bearer(*benchToken))),
		began:  time.Now().UnixNano(),
	}
}

func (ldr *loader) apply(b *testing.B) {
	svc := callerpb.NewCatalogueServiceClient(ldr.client, *benchEntry, connect.WithInterceptors(caller.Bearer(*benchToken)))
	req := &callerpb.ApplyRequest{Entries: []*callerpb.CatalogueEntry{{
		Name: benchName, Owner: "riga", Class: "interactive", Repeatable: true, Prefer: "response",
		Limits: &callerpb.Limits{
			Concurrency: 1_000_000, Rate: 1e7, Queue: 1_000_000,
			TeamQuota: map[string]uint32{benchTeam: 1_000_000},
		},
		ExpectedRunTime: durationpb.New(*benchSleep),
		Needs:           &callerpb.ResourceNeeds{},
		Objective:       &callerpb.Objective{Target: durationpb.New(time.Second), Share: 0.99},
	}}}
	cur, err := svc.List(b.Context(), connect.NewRequest(&callerpb.ListRequest{}))
	if err != nil {
		b.Fatal(err)
	}
	for _, ent := range cur.Msg.GetEntries() {
		if ent.GetName() == benchName {
			return
		}
	}
	if _, err := svc.Apply(b.Context(), connect.NewRequest(req)); err != nil {
		b.Fatal(err)
	}
}

// run submits jobs of that many tasks until at least total tasks were answered, and returns how many.
func (ldr *loader) run(b *testing.B, tasks, total int) int {
	left := atomic.Int64{}
	left.Store(int64(total))
	grp, ctx := errgroup.WithContext(b.Context())
	ran := atomic.Int64{}
	for range *benchCalls {
		grp.Go(func() error {
			for left.Add(-int64(tasks)) > -int64(tasks) {
				if err := ldr.submit(ctx, tasks); err != nil {
					return err
				}
				ran.Add(int64(tasks))
			}
			return nil
		})
	}
	if err := grp.Wait(); err != nil {
		b.Fatal(err)
	}
	return int(ran.Load())
}

func (ldr *loader) submit(ctx context.Context, tasks int) error {
	req := &callerpb.SubmitRequest{
		SubmissionId:   fmt.Sprintf("bench-%d-%d", ldr.began, ldr.num.Add(1)),
		CatalogueEntry: benchName,
		Team:           benchTeam,
		Resubmission:   ldr.again,
		NotAfter:       timestamppb.New(time.Now().Add(20 * time.Second)),
	}
	for range tasks {
		// Tasks that end together would share messages, which flatters the figure.
		took := *benchSleep/3 + rand.N(*benchSleep*4/3+1)
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: []byte("sleep=" + took.String())})
	}
	res, err := ldr.jobs.Submit(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	if len(res.Msg.GetTasks()) != tasks {
		return fmt.Errorf("%d answers for %d tasks", len(res.Msg.GetTasks()), tasks)
	}
	return nil
}

// entryTime returns the processor time, user and system, that the entry instance has spent.
func entryTime(b *testing.B) time.Duration {
	dat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", *benchPID))
	if err != nil {
		b.Fatal(err)
	}
	// The command's name ends with the last parenthesis; user and system time are fields 14 and 15.
	fields := strings.Fields(string(dat[bytes.LastIndexByte(dat, ')')+1:]))
	sum := 0
	for _, fld := range fields[11:13] {
		num, err := strconv.Atoi(fld)
		if err != nil {
			b.Fatal(err)
		}
		sum += num
	}
	return time.Duration(sum) * clockTick
}

// entryMemory returns the resident memory of the entry instance in bytes.
func entryMemory(b *testing.B) int {
	dat, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", *benchPID))
	if err != nil {
		b.Fatal(err)
	}
	num, err := strconv.Atoi(strings.Fields(string(dat))[1])
	if err != nil {
		b.Fatal(err)
	}
	return num * os.Getpagesize()
}
