package load

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// reply is what came back for one submission.
type reply struct {
	verdict verdict.Verdict
	reason  string
	// retryAfter is the entry instance's word when to come back; 0 for never.
	retryAfter time.Duration
	// wrong says what is wrong with an answer that claims to be whole.
	wrong string
}

// client submits jobs to entry instances in turn.
type client struct {
	cfg     Config
	tokens  map[job.Partner]string
	clients []callerpb.JobServiceClient
	turn    atomic.Uint64
	// redirected counts calls that went to the next entry instance, as a balancer would send
	// them, since nothing listened at the first.
	redirected atomic.Uint64
}

func newClient(cfg Config) *client {
	clt := &client{cfg: cfg, tokens: make(map[job.Partner]string)}
	for _, par := range cfg.Partners {
		clt.tokens[par.Profile.partner] = par.Token
	}
	for _, url := range cfg.Entries {
		clt.clients = append(clt.clients, callerpb.NewJobServiceClient(cfg.Client, url))
	}
	return clt
}

// entry returns the index of the entry instance that an arrival goes to.
func (clt *client) entry(arr *arrival) int {
	if arr.toFirst {
		return 0
	}
	return int(clt.turn.Add(1) % uint64(len(clt.clients)))
}

func (clt *client) request(arr *arrival, begin time.Time, again bool) *callerpb.SubmitRequest {
	msg := &callerpb.SubmitRequest{
		SubmissionId:   arr.submission,
		CatalogueEntry: arr.entryName,
		Team:           arr.team,
		NotAfter:       timestamppb.New(begin.Add(arr.due + clt.cfg.Deadline)),
		Resubmission:   again,
		NotRepeatable:  arr.notRepeatable,
	}
	for idx, tsk := range arr.tasks {
		key := fmt.Sprintf("%s/%d", arr.submission, idx)
		out := &callerpb.Task{Payload: clt.cfg.Checker.Payload(tsk.runTime, key)}
		if tsk.declared > 0 {
			out.ExpectedRunTime = durationpb.New(tsk.declared)
		}
		msg.Tasks = append(msg.Tasks, out)
	}
	return msg
}

// submit sends a submission and waits for its answer.
func (clt *client) submit(
	ctx context.Context, arr *arrival, entry int, msg *callerpb.SubmitRequest,
) reply {
	return clt.withNext(entry, func(cli callerpb.JobServiceClient) reply {
		rsp, err := cli.Submit(ctx, authorized(clt, arr, msg))
		if err != nil {
			return refused(err)
		}
		return clt.judge(arr, msg, rsp.Msg)
	})
}

// submitAndCancel sends a submission, and cancels the job at a time unless it has ended before.
func (clt *client) submitAndCancel(
	ctx context.Context, arr *arrival, entry int, msg *callerpb.SubmitRequest, when time.Time,
) reply {
	return clt.withNext(entry, func(cli callerpb.JobServiceClient) reply {
		str, err := cli.SubmitAndWatch(ctx, authorized(clt, arr, msg))
		if err != nil {
			return refused(err)
		}
		// What counts is the answer; a stream that does not close cleanly after it is no matter.
		defer func() { _ = str.Close() }()
		jobIDs := make(chan string, 1)
		watching, stop := context.WithCancel(ctx)
		var grp errgroup.Group
		grp.Go(func() error { return clt.cancelAt(watching, arr, entry, jobIDs, when) })
		rpl := clt.watch(arr, str, msg, jobIDs)
		stop()
		// A cancel that was lost only lets the job run; the answer told how it went.
		_ = grp.Wait()
		return rpl
	})
}

// watch follows a job to its answer and passes its id on once.
func (clt *client) watch(
	arr *arrival, str *connect.ServerStreamForClient[callerpb.Progress],
	msg *callerpb.SubmitRequest, jobIDs chan<- string,
) reply {
	named := false
	for str.Receive() {
		prg := str.Msg()
		if prg.GetAnswer() != nil {
			return clt.judge(arr, msg, prg.GetAnswer())
		}
		if !named && prg.GetJobId() != "" {
			named = true
			jobIDs <- prg.GetJobId()
		}
	}
	if str.Err() == nil {
		return refused(errors.New("the stream ended without an answer"))
	}
	return refused(str.Err())
}

// cancelAt cancels a job through the entry instance after the one that took it.
func (clt *client) cancelAt(
	ctx context.Context, arr *arrival, entry int, jobIDs <-chan string, when time.Time,
) error {
	cli := clt.clients[(entry+1)%len(clt.clients)]
	select {
	case jobID := <-jobIDs:
		if err := sleepUntil(ctx, when); err != nil {
			return err
		}
		_, err := cli.Cancel(ctx, authorized(clt, arr, &callerpb.JobRequest{JobId: jobID}))
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func sleepUntil(ctx context.Context, when time.Time) error {
	tmr := time.NewTimer(time.Until(when))
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (clt *client) withNext(
	entry int, call func(callerpb.JobServiceClient) reply,
) reply {
	rpl := reply{}
	for try := range clt.clients {
		rpl = call(clt.clients[(entry+try)%len(clt.clients)])
		if rpl.reason != caller.ReasonNotListening {
			return rpl
		}
		clt.redirected.Add(1)
	}
	return rpl
}

func authorized[M any](clt *client, arr *arrival, msg *M) *connect.Request[M] {
	req := connect.NewRequest(msg)
	if tok := clt.tokens[arr.partner]; tok != "" {
		req.Header().Set("Authorization", "Bearer "+tok)
	}
	return req
}

// refused reads the verdict of an error.
func refused(err error) reply {
	ver := caller.FromError(err)
	return reply{verdict: ver.Verdict(), reason: ver.Reason(), retryAfter: ver.RetryAfter()}
}

// judge checks an answer against the request that it should belong to.
func (clt *client) judge(
	arr *arrival, msg *callerpb.SubmitRequest, ans *callerpb.Answer,
) reply {
	rpl := reply{verdict: caller.ToVerdict(ans.GetVerdict()), reason: ans.GetReason()}
	if rpl.verdict == verdict.Done {
		rpl.wrong = clt.fault(arr, msg, ans)
	}
	return rpl
}

// fault returns what is wrong with an answer that claims to be whole, or "".
func (clt *client) fault(
	arr *arrival, msg *callerpb.SubmitRequest, ans *callerpb.Answer,
) string {
	if ans.GetSubmissionId() != msg.GetSubmissionId() {
		return "other-submission"
	}
	if len(ans.GetTasks()) != len(msg.GetTasks()) {
		return "partial"
	}
	for idx, tsk := range ans.GetTasks() {
		want := clt.cfg.Checker.Answer(arr.scoped, uint32(idx), msg.GetTasks()[idx].GetPayload())
		switch {
		case tsk.GetIndex() != uint32(idx):
			return "out-of-order"
		case tsk.GetError() != "":
			return "failed-task"
		case !bytes.Equal(tsk.GetPayload(), want):
			return "other-payload"
		}
	}
	return ""
}
