package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/process/load"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/platformpb"
)

// checker stands for the pair of functions of the backend server's stand-in.
type checker struct{}

func (checker) Payload(runTime time.Duration, key string) []byte {
	return fmt.Appendf(nil, "%v %s", runTime, key)
}

func (checker) Answer(sub job.SubmissionID, index uint32, payload []byte) []byte {
	return fmt.Appendf(nil, "%s/%d: %s", sub, index, payload)
}

// entry is an entry instance and all backend servers in one: every task has a slot at once.
type entry struct {
	callerpb.UnimplementedJobServiceHandler
	platformpb.UnimplementedStandInServiceHandler
	metrics *metrics.Set

	mut     sync.Mutex
	cancels map[string]chan struct{}
	starts  []*platformpb.JournaledStart

	// spoil changes an answer or replaces it by an error.
	spoil func(ans *callerpb.Answer) error
	// startTwice journals every start once more, startNever none.
	startTwice bool
	startNever bool
}

func (ent *entry) Submit(
	ctx context.Context, req *connect.Request[callerpb.SubmitRequest],
) (*connect.Response[callerpb.Answer], error) {
	ans, err := ent.work(ctx, req.Msg, nil)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(ans), nil
}

func (ent *entry) SubmitAndWatch(
	ctx context.Context, req *connect.Request[callerpb.SubmitRequest],
	str *connect.ServerStream[callerpb.Progress],
) error {
	stop := make(chan struct{})
	ent.mut.Lock()
	ent.cancels[req.Msg.GetSubmissionId()] = stop
	ent.mut.Unlock()
	if err := str.Send(&callerpb.Progress{JobId: req.Msg.GetSubmissionId()}); err != nil {
		return err
	}
	ans, err := ent.work(ctx, req.Msg, stop)
	if err != nil {
		return err
	}
	return str.Send(&callerpb.Progress{Answer: ans})
}

func (ent *entry) Cancel(
	_ context.Context, req *connect.Request[callerpb.JobRequest],
) (*connect.Response[callerpb.Progress], error) {
	ent.mut.Lock()
	defer ent.mut.Unlock()
	if stop := ent.cancels[req.Msg.GetJobId()]; stop != nil {
		close(stop)
		delete(ent.cancels, req.Msg.GetJobId())
	}
	return connect.NewResponse(&callerpb.Progress{}), nil
}

func (ent *entry) work(
	ctx context.Context, msg *callerpb.SubmitRequest, stop <-chan struct{},
) (*callerpb.Answer, error) {
	ent.metrics.Count(metrics.Submission, 1)
	ans := &callerpb.Answer{
		SubmissionId: msg.GetSubmissionId(), Verdict: callerpb.Verdict_VERDICT_DONE,
	}
	longest := time.Duration(0)
	sub := caller.Scoped(ent.partner(msg), msg.GetSubmissionId())
	for idx, tsk := range msg.GetTasks() {
		ent.journal(string(sub), uint32(idx))
		dur, err := time.ParseDuration(strings.Fields(string(tsk.GetPayload()))[0])
		if err != nil {
			return nil, err
		}
		longest = max(longest, dur)
		ans.Tasks = append(ans.Tasks, &callerpb.TaskAnswer{
			Index: uint32(idx), Payload: checker{}.Answer(sub, uint32(idx), tsk.GetPayload()),
		})
	}
	select {
	case <-time.After(longest):
	case <-stop:
		ans.Verdict, ans.Reason = callerpb.Verdict_VERDICT_FAILED, "cancelled"
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if ent.spoil != nil {
		return ans, ent.spoil(ans)
	}
	return ans, nil
}

func (*entry) partner(msg *callerpb.SubmitRequest) job.Partner {
	partner, _, _ := strings.Cut(msg.GetCatalogueEntry(), "/")
	return job.Partner(partner)
}

func (ent *entry) journal(sub string, idx uint32) {
	ent.mut.Lock()
	defer ent.mut.Unlock()
	if ent.startNever {
		return
	}
	sta := &platformpb.JournaledStart{Submission: sub, Index: idx}
	ent.starts = append(ent.starts, sta)
	if ent.startTwice {
		ent.starts = append(ent.starts, sta)
	}
}

func (ent *entry) Journal(
	context.Context, *connect.Request[platformpb.JournalRequest],
) (*connect.Response[platformpb.JournalResponse], error) {
	ent.mut.Lock()
	defer ent.mut.Unlock()
	return connect.NewResponse(&platformpb.JournalResponse{Starts: ent.starts}), nil
}

func (ent *entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(callerpb.NewJobServiceHandler(ent))
	mux.Handle(platformpb.NewStandInServiceHandler(ent))
	mux.Handle(metrics.Path, ent.metrics.Handler())
	return mux
}

// drive runs the load against one entry instance in virtual time.
func drive(t *testing.T, prepare func(cfg *load.Config, ent *entry)) *load.Report {
	t.Helper()
	return driveUntil(t, 0, prepare)
}

// driveUntil interrupts the run after a time, or not at all if it is 0.
func driveUntil(
	t *testing.T, interrupt time.Duration, prepare func(cfg *load.Config, ent *entry),
) *load.Report {
	t.Helper()
	var rep *load.Report
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ent := &entry{metrics: metrics.New(time.Now), cancels: make(map[string]chan struct{})}
		ntw := pipe.New()
		cli := ntw.Client()
		cfg := load.Config{
			Entries: []string{"http://one"}, Journals: []string{"http://one"},
			Client: cli, MetricsClient: cli, Checker: checker{},
			Partners: []load.Partner{{Profile: load.Riga(), Rate: 20}}, Run: "run", Seed: 7,
			Duration: 30 * time.Second, Deadline: 20 * time.Second,
		}
		prepare(&cfg, ent)
		srv := &http.Server{Handler: ent.handler(), Protocols: pipe.Protocols()}
		var grp errgroup.Group
		grp.Go(func() error { return srv.Serve(ntw.Listen("one")) })
		synctest.Wait()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		if interrupt > 0 {
			tmr := time.AfterFunc(interrupt, stop)
			defer tmr.Stop()
		}
		var err error
		rep, err = load.Run(ctx, cfg)
		is.Equal(err != nil, interrupt > 0)
		cli.CloseIdleConnections()
		is.NoErr(srv.Close())
		is.Equal(grp.Wait(), http.ErrServerClosed)
	})
	return rep
}

func verdicts(rep *load.Report) map[string]int {
	out := make(map[string]int)
	for _, cls := range rep.Classes() {
		for name, num := range cls.Verdicts() {
			out[name] += num
		}
	}
	return out
}

func refusal(vdt callerpb.Verdict, retry time.Duration) error {
	err := connect.NewError(connect.CodeUnavailable, fmt.Errorf("refused"))
	det, derr := connect.NewErrorDetail(&callerpb.Refusal{
		Verdict: vdt, Reason: "queue-full", RetryAfter: durationpb.New(retry),
	})
	if derr != nil {
		return derr
	}
	err.AddDetail(det)
	return err
}

func TestIdealPoolHasRatioOne(t *testing.T) {
	is := is.New(t)
	rep := drive(t, func(cfg *load.Config, _ *entry) {
		cfg.Partners = append(cfg.Partners, load.Partner{Profile: load.Attica(), Rate: 10})
	})
	is.Equal(len(rep.Classes()), 6)
	is.Equal(len(rep.Partners()), 2)
	is.Equal(verdicts(rep), map[string]int{"done": rep.Jobs()})
	is.True(rep.Jobs() > 750 && rep.Jobs() < 1050)
	for _, cls := range rep.Classes() {
		is.True(cls.Ratio(50) >= 0.999 && cls.Ratio(99.9) < 1.001)
	}
	is.True(!rep.Failed())
	is.Equal(rep.Unproven(), 0)
	is.Equal(rep.WastedPerUseful(), 0.0)
	var buf bytes.Buffer
	is.NoErr(rep.WriteJSON(&buf))
	doc := map[string]any{}
	is.NoErr(json.Unmarshal(buf.Bytes(), &doc))
	is.Equal(doc["jobs"], float64(rep.Jobs()))
	is.Equal(doc["messages"].(map[string]any)["useful"].(map[string]any)["submission"],
		float64(rep.Jobs()))
	is.NoErr(rep.WriteTable(&buf))
	is.True(strings.Contains(buf.String(), "double starts 0"))
}

// A customer gets another's deck, a deck with pages missing or in the wrong order, or is billed
// twice, while every reply says done. The run must fail, and name what was wrong.
func TestBrokenPromisesFailTheRun(t *testing.T) {
	done := callerpb.Verdict_VERDICT_DONE
	tests := map[string]struct {
		spoil      func(ans *callerpb.Answer) error
		startTwice bool
		startNever bool
		want       string
	}{
		"another submission": {want: `"other-submission"`, spoil: func(ans *callerpb.Answer) error {
			ans.SubmissionId = "run-0"
			return nil
		}},
		"a task is missing": {want: `"partial"`, spoil: func(ans *callerpb.Answer) error {
			ans.Tasks = ans.GetTasks()[1:]
			return nil
		}},
		"crossed payload": {want: `"other-payload"`, spoil: func(ans *callerpb.Answer) error {
			ans.Tasks[0].Payload = []byte("another")
			return nil
		}},
		"index out of order": {want: `"out-of-order"`, spoil: func(ans *callerpb.Answer) error {
			ans.Tasks[0].Index = 9
			return nil
		}},
		"a task failed but the verdict is done": {want: `"failed-task"`, spoil: func(ans *callerpb.Answer) error {
			ans.Tasks[0].Error, ans.Verdict = "boom", done
			return nil
		}},
		"started twice":       {want: `"double": `, startTwice: true},
		"journals of another": {want: `"answered-without-start": `, startNever: true},
		"not run, but it ran": {want: `"false-not-run": `, spoil: func(*callerpb.Answer) error {
			return refusal(callerpb.Verdict_VERDICT_NOT_RUN, 0)
		}},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rep := drive(t, func(cfg *load.Config, ent *entry) {
				cfg.Jobs = 20
				ent.spoil = tst.spoil
				ent.startTwice = tst.startTwice
				ent.startNever = tst.startNever
			})
			is.Equal(rep.Jobs(), 20)
			is.True(rep.Failed())
			is.Equal(rep.DoubleStarts() > 0, tst.startTwice)
			var buf bytes.Buffer
			is.NoErr(rep.WriteJSON(&buf))
			is.True(strings.Contains(buf.String(), tst.want))
			is.True(!strings.Contains(buf.String(), tst.want+"0"))
		})
	}
}

// A designer's preview waits behind a client that sends only one request at a time. The wait is
// part of the response time, since the designer was there when the job was due.
func TestResponseCountsFromTheDueTime(t *testing.T) {
	is := is.New(t)
	rep := drive(t, func(cfg *load.Config, _ *entry) { cfg.InFlight = 1 })
	for _, cls := range rep.Classes() {
		is.True(cls.Ratio(50) > 2)
	}
}

// An operator interrupts a long run after a task was started twice. The report must still say so,
// and not that there was nothing to be found.
func TestInterruptedRunIsChecked(t *testing.T) {
	is := is.New(t)
	rep := driveUntil(t, 5*time.Second, func(_ *load.Config, ent *entry) { ent.startTwice = true })
	is.True(rep.Jobs() > 50 && rep.Jobs() < 150)
	is.True(rep.DoubleStarts() > 0)
	is.True(rep.Failed())
}

func TestCancelsTwinsAndRetries(t *testing.T) {
	is := is.New(t)
	refused := make(map[string]bool)
	mut := sync.Mutex{}
	rep := drive(t, func(cfg *load.Config, ent *entry) {
		cfg.Retries = 1
		cfg.CancelShare = 1
		cfg.TwinShare = 0.2
		cfg.Bursts = true
		ent.spoil = func(ans *callerpb.Answer) error {
			mut.Lock()
			defer mut.Unlock()
			if first := !refused[ans.GetSubmissionId()]; first {
				refused[ans.GetSubmissionId()] = true
				return refusal(callerpb.Verdict_VERDICT_NOT_RUN, time.Second)
			}
			return nil
		}
	})
	vds := verdicts(rep)
	is.True(vds["failed"] > 0) // Cancelled in a wave.
	is.Equal(vds["done"]+vds["failed"]+vds["not-run"], rep.Jobs())
	is.True(rep.DoubleStarts() > 0) // The fake starts every copy, and the run finds out.
}

// The balancer still lists an entry instance that is gone. A refused connection proves that nothing
// ran, so the call goes to the next entry instance and no caller sees an error.
func TestDeadEntryIsSkipped(t *testing.T) {
	is := is.New(t)
	rep := drive(t, func(cfg *load.Config, _ *entry) {
		cfg.Entries = []string{"http://gone", "http://one"}
		cfg.Metrics = []string{"http://one"}
	})
	is.Equal(verdicts(rep), map[string]int{"done": rep.Jobs()})
}

func TestConfigIsChecked(t *testing.T) {
	tests := map[string]func(cfg *load.Config){
		"no entry":   func(cfg *load.Config) { cfg.Entries = nil },
		"no partner": func(cfg *load.Config) { cfg.Partners = nil },
		"no profile": func(cfg *load.Config) { cfg.Partners[0].Profile = load.Profile{} },
		"no run":     func(cfg *load.Config) { cfg.Run = "" },
		"no rate":    func(cfg *load.Config) { cfg.Partners[0].Rate = 0 },
		"too many":   func(cfg *load.Config) { cfg.InFlight = 1 << 30 },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := load.Config{
				Entries: []string{"http://one"}, Run: "run",
				Partners: []load.Partner{{Profile: load.Attica(), Rate: 1}},
			}
			spoil(&cfg)
			_, err := load.Run(t.Context(), cfg)
			is.New(t).True(err != nil)
		})
	}
}
