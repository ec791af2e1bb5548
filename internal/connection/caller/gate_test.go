package caller_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/token"
)

var now = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// fakeTokens knows one token of each partner.
type fakeTokens map[string]catalogue.Token

func (tks fakeTokens) Token(name string) (catalogue.Token, bool) {
	tok, ok := tks[name]
	return tok, ok
}

// fakeJobs takes every job and keeps what it was asked for.
type fakeJobs struct{ taken []job.Spec }

type fakeTicket struct{ progress *callerpb.Progress }

func (tic fakeTicket) Ended() <-chan struct{} {
	end := make(chan struct{})
	close(end)
	return end
}

func (tic fakeTicket) Progress() *callerpb.Progress { return tic.progress }

func (jbs *fakeJobs) Submit(_ context.Context, spc job.Spec, _ bool) (caller.Ticket, error) {
	jbs.taken = append(jbs.taken, spc)
	ans := &callerpb.Answer{Verdict: callerpb.Verdict_VERDICT_DONE, SubmissionId: caller.Unscoped(spc.Submission)}
	return fakeTicket{progress: &callerpb.Progress{Answer: ans}}, nil
}

func (jbs *fakeJobs) Find(context.Context, job.Partner, job.ID) (caller.Ticket, error) {
	return nil, verdict.New(verdict.MayHaveRun, caller.ReasonNotFound)
}

func (jbs *fakeJobs) Cancel(context.Context, job.Partner, job.ID) (*callerpb.Progress, error) {
	return nil, verdict.New(verdict.MayHaveRun, caller.ReasonNotFound)
}

func (jbs *fakeJobs) Again(context.Context, job.Partner, job.ID) (job.Spec, error) {
	return job.Spec{}, verdict.New(verdict.NotRun, caller.ReasonNotFound)
}

type fakeClasses map[string]*job.Class

func (cls fakeClasses) Class(name string) (*job.Class, bool) {
	one, ok := cls[name]
	return one, ok
}

// server returns a client with Riga's token to a handler over the fakes.
func server(t *testing.T, jobs *fakeJobs) (cli callerpb.JobServiceClient, url string) {
	t.Helper()
	tok := token.Generate("riga/deckforge")
	hsh := catalogue.Token{Name: "riga/deckforge", Partner: "riga", Role: catalogue.RoleCaller, Hash: token.Hash(tok)}
	auth := token.New(fakeTokens{"riga/deckforge": hsh}, nil, func() time.Time { return now })
	classes := fakeClasses{
		"riga/thumbnail":   {Name: "riga/thumbnail", Owner: "riga", Repeatable: true},
		"attica/quotation": {Name: "attica/quotation", Owner: "attica", Repeatable: true},
	}
	svc := caller.NewJobService(jobs, classes, auth, func() time.Time { return now })
	path, hnd := callerpb.NewJobServiceHandler(svc, connect.WithReadMaxBytes(caller.MaxRequestBytes))
	mux := http.NewServeMux()
	mux.Handle(path, caller.Gate(auth, hnd))
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	return callerpb.NewJobServiceClient(web.Client(), web.URL, connect.WithInterceptors(caller.Bearer(tok))), web.URL
}

func request(edit func(*callerpb.SubmitRequest)) *callerpb.SubmitRequest {
	req := &callerpb.SubmitRequest{
		SubmissionId: "deck-1", CatalogueEntry: "riga/thumbnail",
		NotAfter: timestamppb.New(now.Add(time.Minute)), Tasks: []*callerpb.Task{{Payload: []byte("slide")}},
	}
	edit(req)
	return req
}

func TestSubmitIsCheckedBeforeAnyWork(t *testing.T) {
	tests := map[string]struct {
		edit   func(*callerpb.SubmitRequest)
		reason string
	}{
		"well":              {func(*callerpb.SubmitRequest) {}, ""},
		"no submission id":  {func(req *callerpb.SubmitRequest) { req.SubmissionId = "" }, caller.ReasonMalformed},
		"odd submission id": {func(req *callerpb.SubmitRequest) { req.SubmissionId = "deck 1" }, caller.ReasonMalformed},
		"long submission id": {
			func(req *callerpb.SubmitRequest) { req.SubmissionId = string(bytes.Repeat([]byte("x"), 129)) },
			caller.ReasonTooLarge,
		},
		"no tasks":       {func(req *callerpb.SubmitRequest) { req.Tasks = nil }, caller.ReasonMalformed},
		"too many tasks": {func(req *callerpb.SubmitRequest) { req.Tasks = make([]*callerpb.Task, 1301) }, caller.ReasonTooLarge},
		"as many tasks as may be": {
			func(req *callerpb.SubmitRequest) { req.Tasks = make([]*callerpb.Task, 1300) }, "",
		},
		"large payload": {
			func(req *callerpb.SubmitRequest) { req.Tasks[0].Payload = make([]byte, caller.MaxTaskPayload+1) },
			caller.ReasonTooLarge,
		},
		"no not-after":      {func(req *callerpb.SubmitRequest) { req.NotAfter = nil }, caller.ReasonMalformed},
		"not-after passed":  {func(req *callerpb.SubmitRequest) { req.NotAfter = timestamppb.New(now) }, caller.ReasonTooLate},
		"not-after too far": {func(req *callerpb.SubmitRequest) { req.NotAfter = timestamppb.New(now.Add(2 * time.Hour)) }, caller.ReasonMalformed},
		"unknown entry":     {func(req *callerpb.SubmitRequest) { req.CatalogueEntry = "riga/none" }, caller.ReasonUnknownEntry},
		"the other's entry": {func(req *callerpb.SubmitRequest) { req.CatalogueEntry = "attica/quotation" }, caller.ReasonUnknownEntry},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			jobs := &fakeJobs{}
			cli, _ := server(t, jobs)
			res, err := cli.Submit(t.Context(), connect.NewRequest(request(tst.edit)))
			if tst.reason == "" {
				is.NoErr(err)
				is.Equal(len(jobs.taken), 1)
				is.Equal(res.Msg.GetSubmissionId(), "deck-1")
				is.Equal(jobs.taken[0].Submission, job.SubmissionID("riga/deck-1"))
				return
			}
			ver := caller.FromError(err)
			is.Equal(ver.Reason(), tst.reason)
			is.Equal(ver.Verdict(), verdict.NotRun)
			is.Equal(len(jobs.taken), 0)
		})
	}
}

// A stranger sends a large body without a token, or with one that is not known. The request must be
// refused before its body is read; else a few thousand of them take the instance's memory.
func TestStrangersBodiesAreNotRead(t *testing.T) {
	tests := map[string]string{
		"no token":      "",
		"unknown token": "Bearer riga/deckforge.guess",
		"other scheme":  "Basic cmlnYTpndWVzcw==",
	}
	for name, header := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			jobs := &fakeJobs{}
			_, url := server(t, jobs)
			body := &countingReader{left: 4 << 20}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+callerpb.JobServiceSubmitProcedure, body)
			is.NoErr(err)
			req.ContentLength = 4 << 20
			req.Header.Set("Content-Type", "application/proto")
			req.Header.Set("Authorization", header)
			req.Header.Set("Expect", "100-continue")
			res, err := (&http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}).Do(req)
			is.NoErr(err)
			defer func() { _ = res.Body.Close() }()
			is.Equal(res.StatusCode, http.StatusUnauthorized)
			is.Equal(body.read, 0)
			is.Equal(len(jobs.taken), 0)
		})
	}
}

// countingReader counts what the client was asked to send.
type countingReader struct{ left, read int }

func (rdr *countingReader) Read(buf []byte) (int, error) {
	if rdr.left == 0 {
		return 0, io.EOF
	}
	num := min(len(buf), rdr.left)
	rdr.left -= num
	rdr.read += num
	return num, nil
}

// A hundred designers watch their submissions at once. Such calls declare no length; each was charged the
// largest body there is, and from the 65th on callers were told that the instance is busy.
func TestWatchedSubmissionsAreChargedWhatTheySend(t *testing.T) {
	const calls = 100
	is := is.New(t)
	tok := token.Generate("riga/deckforge")
	hsh := catalogue.Token{Name: "riga/deckforge", Partner: "riga", Role: catalogue.RoleCaller, Hash: token.Hash(tok)}
	auth := token.New(fakeTokens{"riga/deckforge": hsh}, nil, func() time.Time { return now })
	inside, leave := make(chan struct{}), make(chan struct{})
	web := httptest.NewServer(caller.Gate(auth, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		inside <- struct{}{}
		<-leave
	})))
	defer web.Close()
	var grp errgroup.Group
	for range calls {
		grp.Go(func() error {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				web.URL+callerpb.JobServiceSubmitAndWatchProcedure, io.LimitReader(&countingReader{left: 1000}, 1000))
			if err != nil {
				return err
			}
			req.ContentLength = -1
			req.Header.Set("Authorization", "Bearer "+tok)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			if res.StatusCode != http.StatusOK {
				inside <- struct{}{}
				return errors.Newf("status %d", res.StatusCode)
			}
			return res.Body.Close()
		})
	}
	for range calls {
		<-inside
	}
	close(leave)
	is.NoErr(grp.Wait())
}

// Callers send large bodies faster than they are answered. Past the bound a caller is told not-run and
// when to come back, and once another was answered there is room again.
func TestBodiesShareBoundedMemory(t *testing.T) {
	const (
		large = 8 << 20
		fits  = 512<<20/large - 1 // each request is charged a little besides its body
	)
	is := is.New(t)
	tok := token.Generate("riga/deckforge")
	hsh := catalogue.Token{Name: "riga/deckforge", Partner: "riga", Role: catalogue.RoleCaller, Hash: token.Hash(tok)}
	auth := token.New(fakeTokens{"riga/deckforge": hsh}, nil, func() time.Time { return now })
	var refused error
	var depth int
	var gate http.Handler
	call := func() *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodPost, callerpb.JobServiceSubmitProcedure, &countingReader{left: large})
		req.Header.Set("Authorization", "Bearer "+tok)
		rec := httptest.NewRecorder()
		gate.ServeHTTP(rec, req)
		return rec
	}
	gate = caller.Gate(auth, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			refused = err
			return
		}
		depth++
		if depth <= fits {
			call() // The next is sent while this one is not answered.
		}
	}))
	call()
	is.Equal(depth, fits)
	ver := caller.FromError(refused)
	is.Equal(ver.Verdict(), verdict.NotRun)
	is.Equal(ver.Reason(), "entry-busy")
	is.True(ver.RetryAfter() > 0)
	depth, refused = fits, nil // Answered by now: the next finds room.
	call()
	is.NoErr(refused)
}

// refusingBody stands for a body that there is no room for.
type refusingBody struct{ io.ReadCloser }

func (refusingBody) Read([]byte) (int, error) {
	return 0, caller.ToConnectError(verdict.New(verdict.NotRun, "entry-busy").WithRetryAfter(time.Second))
}

// The refusal of a body comes out of connect's own reading; the caller must get its verdict all the same,
// or it would take work that never arrived for work that may have run.
func TestRefusedBodyKeepsItsVerdict(t *testing.T) {
	svc := caller.NewJobService(&fakeJobs{}, fakeClasses{}, nil, time.Now)
	_, hnd := callerpb.NewJobServiceHandler(svc)
	web := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		req.Body = refusingBody{ReadCloser: req.Body}
		hnd.ServeHTTP(rsp, req)
	}))
	defer web.Close()
	cli := callerpb.NewJobServiceClient(web.Client(), web.URL)
	tests := map[string]func() error{
		"unary": func() error {
			_, err := cli.Submit(t.Context(), connect.NewRequest(request(func(*callerpb.SubmitRequest) {})))
			return err
		},
		"streaming": func() error {
			str, err := cli.SubmitAndWatch(t.Context(), connect.NewRequest(request(func(*callerpb.SubmitRequest) {})))
			if err != nil {
				return err
			}
			str.Receive()
			return str.Err()
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ver := caller.FromError(call())
			is.Equal(ver.Verdict(), verdict.NotRun)
			is.Equal(ver.Reason(), "entry-busy")
		})
	}
}
