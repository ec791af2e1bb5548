package caller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/token"
)

// progressInterval bounds how often a watcher is told of progress.
const progressInterval = 200 * time.Millisecond

// Authenticator tells whom a bearer token belongs to.
type Authenticator interface {
	Authenticate(token string) (token.Identity, bool)
}

// Ticket is a job that was taken, here or at another entry instance.
type Ticket interface {
	// Ended is closed once the job has its final answer.
	Ended() <-chan struct{}
	// Progress returns where the job stands, with the answer once it has ended.
	Progress() *callerpb.Progress
}

// Jobs takes jobs and finds them again.
type Jobs interface {
	// Submit takes the job whole or refuses it whole; a submission that is known is joined.
	Submit(ctx context.Context, spec job.Spec, resubmission bool) (Ticket, error)
	// Find returns a job of the partner, wherever it is.
	Find(ctx context.Context, who job.Partner, id job.ID) (Ticket, error)
	// Cancel ends a job of the partner, wherever it is.
	Cancel(ctx context.Context, who job.Partner, id job.ID) (*callerpb.Progress, error)
	// Again returns what a job that has ended without a whole answer had asked for.
	Again(ctx context.Context, who job.Partner, id job.ID) (job.Spec, error)
}

// Classes knows the catalogue entries that are in force.
type Classes interface {
	Class(name string) (*job.Class, bool)
}

// JobService implements callerpb.JobServiceHandler.
type JobService struct {
	jobs    Jobs
	classes Classes
	auth    Authenticator
	now     func() time.Time
}

// NewJobService returns the handler; now is the clock that not-after times are compared with.
func NewJobService(jobs Jobs, classes Classes, auth Authenticator, now func() time.Time) *JobService {
	return &JobService{jobs: jobs, classes: classes, auth: auth, now: now}
}

// Submit implements callerpb.JobServiceHandler.
func (svc *JobService) Submit(ctx context.Context, req *connect.Request[callerpb.SubmitRequest]) (*connect.Response[callerpb.Answer], error) {
	tic, err := svc.take(ctx, req.Header().Get(headerAuthorization), req.Msg)
	if err != nil {
		return nil, ToConnectError(err)
	}
	return awaitAnswer(ctx, tic)
}

// SubmitAndWatch implements callerpb.JobServiceHandler.
func (svc *JobService) SubmitAndWatch(ctx context.Context, req *connect.Request[callerpb.SubmitRequest], str *connect.ServerStream[callerpb.Progress]) error {
	tic, err := svc.take(ctx, req.Header().Get(headerAuthorization), req.Msg)
	if err != nil {
		return ToConnectError(err)
	}
	return watch(ctx, tic, str)
}

// Watch implements callerpb.JobServiceHandler.
func (svc *JobService) Watch(ctx context.Context, req *connect.Request[callerpb.JobRequest], str *connect.ServerStream[callerpb.Progress]) error {
	tic, err := svc.find(ctx, req)
	if err != nil {
		return ToConnectError(err)
	}
	return watch(ctx, tic, str)
}

// Get implements callerpb.JobServiceHandler.
func (svc *JobService) Get(ctx context.Context, req *connect.Request[callerpb.JobRequest]) (*connect.Response[callerpb.Progress], error) {
	tic, err := svc.find(ctx, req)
	if err != nil {
		return nil, ToConnectError(err)
	}
	return connect.NewResponse(tic.Progress()), nil
}

// Cancel implements callerpb.JobServiceHandler.
func (svc *JobService) Cancel(ctx context.Context, req *connect.Request[callerpb.JobRequest]) (*connect.Response[callerpb.Progress], error) {
	who, id, err := svc.identifyJob(req.Header().Get(headerAuthorization), req.Msg.GetJobId())
	if err != nil {
		return nil, ToConnectError(err)
	}
	prg, err := svc.jobs.Cancel(ctx, who.Partner(), id)
	if err != nil {
		return nil, ToConnectError(err)
	}
	return connect.NewResponse(prg), nil
}

// Resubmit implements callerpb.JobServiceHandler.
func (svc *JobService) Resubmit(ctx context.Context, req *connect.Request[callerpb.ResubmitRequest]) (*connect.Response[callerpb.Answer], error) {
	who, id, err := svc.identifyJob(req.Header().Get(headerAuthorization), req.Msg.GetJobId())
	if err != nil {
		return nil, ToConnectError(err)
	}
	tic, err := svc.submitAgain(ctx, who, id, req.Msg)
	if err != nil {
		return nil, ToConnectError(err)
	}
	return awaitAnswer(ctx, tic)
}

func (svc *JobService) submitAgain(ctx context.Context, who token.Identity, id job.ID, req *callerpb.ResubmitRequest) (Ticket, error) {
	if err := checkID("submission_id", req.GetSubmissionId()); err != nil {
		return nil, err
	}
	now := svc.now()
	if err := checkNotAfter(now, req.GetNotAfter().AsTime(), req.GetNotAfter() != nil); err != nil {
		return nil, err
	}
	spc, err := svc.jobs.Again(ctx, who.Partner(), id)
	if err != nil {
		return nil, err
	}
	cls, ok := svc.classes.Class(spc.Class.Name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, ReasonUnknownEntry)
	}
	spc.Class = cls
	spc.Submission = Scoped(who.Partner(), req.GetSubmissionId())
	spc.NotAfter = req.GetNotAfter().AsTime()
	spc.Admitted = now
	return svc.jobs.Submit(ctx, spc, false)
}

// take checks a submission from the cheapest test to the dearest and hands it on.
func (svc *JobService) take(ctx context.Context, authorization string, req *callerpb.SubmitRequest) (Ticket, error) {
	who, err := identify(svc.auth, authorization)
	if err != nil {
		return nil, err
	}
	now := svc.now()
	if err := checkSubmit(now, req); err != nil {
		return nil, err
	}
	cls, ok := svc.classes.Class(req.GetCatalogueEntry())
	// One partner must not learn which entries the other has, so both cases look alike.
	if !ok || cls.Owner != who.Partner() {
		return nil, verdict.New(verdict.NotRun, ReasonUnknownEntry)
	}
	spc := ToSpec(now, req, cls)
	spc.Submission = Scoped(who.Partner(), req.GetSubmissionId())
	return svc.jobs.Submit(ctx, spc, req.GetResubmission())
}

func (svc *JobService) find(ctx context.Context, req *connect.Request[callerpb.JobRequest]) (Ticket, error) {
	who, id, err := svc.identifyJob(req.Header().Get(headerAuthorization), req.Msg.GetJobId())
	if err != nil {
		return nil, err
	}
	return svc.jobs.Find(ctx, who.Partner(), id)
}

func (svc *JobService) identifyJob(authorization, txt string) (token.Identity, job.ID, error) {
	who, err := identify(svc.auth, authorization)
	if err != nil {
		return token.Identity{}, job.ID{}, err
	}
	if err := checkID("job_id", txt); err != nil {
		return token.Identity{}, job.ID{}, err
	}
	id, err := job.ParseID(txt)
	if err != nil {
		return token.Identity{}, job.ID{}, malformed("%v", err)
	}
	return who, id, nil
}

func awaitAnswer(ctx context.Context, tic Ticket) (*connect.Response[callerpb.Answer], error) {
	select {
	case <-tic.Ended():
	case <-ctx.Done():
		// The caller gave up; the job goes on and can be asked for by its submission id.
		err := verdict.New(verdict.MayHaveRun, "caller-gave-up").WithCause(ctx.Err())
		return nil, ToConnectError(err)
	}
	ans := tic.Progress().GetAnswer()
	if err := AnswerError(ans); err != nil {
		return nil, ToConnectError(err)
	}
	return connect.NewResponse(ans), nil
}

func watch(ctx context.Context, tic Ticket, str *connect.ServerStream[callerpb.Progress]) error {
	tck := time.NewTicker(progressInterval)
	defer tck.Stop()
	var last *callerpb.Progress
	for {
		prg := tic.Progress()
		if changed(last, prg) {
			if err := str.Send(prg); err != nil {
				return err
			}
			last = prg
		}
		if prg.GetAnswer() != nil {
			return nil
		}
		select {
		case <-tic.Ended():
		case <-tck.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func changed(old, cur *callerpb.Progress) bool {
	return old == nil ||
		old.GetState() != cur.GetState() ||
		old.GetStarted() != cur.GetStarted() ||
		old.GetFinished() != cur.GetFinished()
}
