package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/examples"
	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/backendstandin"
	"chestnutstack/internal/process/entry"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/operator"
)

const (
	readyInterval = 20 * time.Millisecond
	sampleTasks   = 4
	sampleLimit   = 30 * time.Second
)

// sample is the job of a partner that a newcomer is shown.
type sample struct {
	partner job.Partner
	file    string
	entry   string
	team    string
}

func samples() []sample {
	return []sample{
		{partner: "riga", file: "riga.yaml", entry: "riga/thumbnail", team: "schools"},
		{partner: "attica", file: "attica.yaml", entry: "attica/quotation", team: "peiraias"},
	}
}

// Show waits for the system, applies the sample catalogue, and submits one job of each partner; it
// prints what it does and the answers.
func (sys *System) Show(ctx context.Context, wrt io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, sampleLimit)
	defer cancel()
	cli := http2.NewClient(nil, nil)
	if err := sys.AwaitReady(ctx); err != nil {
		return err
	}
	for _, smp := range samples() {
		if err := sys.apply(ctx, cli, smp); err != nil {
			return err
		}
	}
	for _, smp := range samples() {
		if err := sys.submit(ctx, cli, smp, wrt); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady asks every entry instance until all of them may be sent jobs; the error is that of ctx.
func (sys *System) AwaitReady(ctx context.Context) error {
	cli := http2.NewClient(nil, nil)
	defer cli.CloseIdleConnections()
	for _, url := range sys.urls {
		for !isReady(ctx, cli, url) {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "entry instance at %s is not ready", url)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, cli *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+entry.PathReady, nil)
	if err != nil {
		return false
	}
	res, err := cli.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

func (sys *System) apply(ctx context.Context, cli *http.Client, smp sample) error {
	data, err := examples.Files.ReadFile(smp.file)
	if err != nil {
		return err
	}
	ents, err := operator.Read(data)
	if err != nil {
		return err
	}
	req := &callerpb.ApplyRequest{}
	for _, ent := range ents {
		req.Entries = append(req.Entries, catalogue.EntryToProto(ent))
	}
	svc := callerpb.NewCatalogueServiceClient(cli, sys.urls[0], connect.WithInterceptors(caller.Bearer(sys.tokens[smp.partner])))
	res, err := svc.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return caller.FromError(err)
	}
	for _, out := range res.Msg.GetOutcomes() {
		if !out.GetAccepted() {
			return errors.Newf("sample entry %s rejected: %s", out.GetName(), out.GetReason())
		}
	}
	return nil
}

func (sys *System) submit(ctx context.Context, cli *http.Client, smp sample, wrt io.Writer) error {
	req := &callerpb.SubmitRequest{
		SubmissionId:   "sample-" + ulid.Make().String(),
		CatalogueEntry: smp.entry,
		Team:           smp.team,
		NotAfter:       timestamppb.New(time.Now().Add(sampleLimit)),
	}
	for idx := range sampleTasks {
		wrk := backendstandin.Work{Sleep: time.Duration(60+20*idx) * time.Millisecond, Echo: fmt.Sprintf("%s-%d", smp.entry, idx)}
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: wrk.Payload()})
	}
	svc := callerpb.NewJobServiceClient(cli, sys.urls[len(sys.urls)-1], connect.WithInterceptors(caller.Bearer(sys.tokens[smp.partner])))
	began := time.Now()
	res, err := svc.Submit(ctx, connect.NewRequest(req))
	if err != nil {
		return caller.FromError(err)
	}
	took := time.Since(began)
	if err := checkAnswer(smp.partner, req, res.Msg); err != nil {
		return err
	}
	fmt.Fprintf(wrt, "%s: job %s, %d tasks, answered whole in %v\n", smp.entry, res.Msg.GetJobId(), len(req.GetTasks()), took.Round(time.Millisecond))
	tab := tabwriter.NewWriter(wrt, 2, 0, 2, ' ', 0)
	for idx, tsk := range res.Msg.GetTasks() {
		fmt.Fprintf(tab, "  task %d\t%s\t-> %q\n", idx, req.GetTasks()[idx].GetPayload(), tsk.GetPayload())
	}
	return tab.Flush()
}

// checkAnswer compares an answer with what backend server stand-ins have to answer to the request.
func checkAnswer(par job.Partner, req *callerpb.SubmitRequest, ans *callerpb.Answer) error {
	if len(ans.GetTasks()) != len(req.GetTasks()) {
		return errors.Newf("answer has %d parts for %d tasks", len(ans.GetTasks()), len(req.GetTasks()))
	}
	sub := caller.Scoped(par, req.GetSubmissionId())
	for idx, tsk := range req.GetTasks() {
		want := backendstandin.Answer(sub, uint32(idx), tsk.GetPayload())
		if got := ans.GetTasks()[idx].GetPayload(); !bytes.Equal(got, want) {
			return errors.Newf("task %d: answer %q, want %q", idx, got, want)
		}
	}
	return nil
}
