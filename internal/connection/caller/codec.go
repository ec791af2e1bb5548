package caller

import (
	"net"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

var verdictCodes = map[verdict.Verdict]callerpb.Verdict{
	verdict.Done:       callerpb.Verdict_VERDICT_DONE,
	verdict.NotRun:     callerpb.Verdict_VERDICT_NOT_RUN,
	verdict.MayHaveRun: callerpb.Verdict_VERDICT_MAY_HAVE_RUN,
	verdict.Failed:     callerpb.Verdict_VERDICT_FAILED,
}

// ToVerdict maps the wire's verdict; what it does not know proves nothing and is may-have-run.
func ToVerdict(vdt callerpb.Verdict) verdict.Verdict {
	for key, val := range verdictCodes {
		if val == vdt {
			return key
		}
	}
	return verdict.MayHaveRun
}

// FromVerdict maps a verdict to the wire.
func FromVerdict(vdt verdict.Verdict) callerpb.Verdict { return verdictCodes[vdt] }

// ToConnectError returns the error that a caller sees, with a Refusal as its typed detail.
func ToConnectError(err error) *connect.Error {
	var ver *verdict.Error
	if !errors.As(err, &ver) {
		ver = verdict.New(verdict.Of(err), "internal").WithCause(err)
	}
	out := connect.NewError(errorCode(ver), ver)
	ref := &callerpb.Refusal{Verdict: FromVerdict(ver.Verdict()), Reason: ver.Reason()}
	if aft := ver.RetryAfter(); aft > 0 {
		ref.RetryAfter = durationpb.New(aft)
	}
	if det, err := connect.NewErrorDetail(ref); err == nil {
		out.AddDetail(det)
	}
	return out
}

// FromError returns the verdict, reason and retry time that a connect error carries. An error
// without a Refusal is may-have-run, except where the request was never sent.
func FromError(err error) *verdict.Error {
	var con *connect.Error
	if !errors.As(err, &con) {
		return verdict.New(verdict.MayHaveRun, ReasonNoAnswer).WithCause(err)
	}
	for _, det := range con.Details() {
		val, err := det.Value()
		if err != nil {
			continue
		}
		if ref, ok := val.(*callerpb.Refusal); ok {
			return verdict.New(ToVerdict(ref.GetVerdict()), ref.GetReason()).
				WithRetryAfter(ref.GetRetryAfter().AsDuration()).
				WithCause(errors.New(con.Message()))
		}
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		// No connection was made, so that nothing of the request was read.
		return verdict.New(verdict.NotRun, ReasonNotListening).WithCause(err)
	}
	if con.Code() == connect.CodeUnauthenticated || con.Code() == connect.CodeInvalidArgument {
		return verdict.New(verdict.NotRun, con.Code().String()).WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, ReasonNoAnswer).WithCause(err)
}

func errorCode(ver *verdict.Error) connect.Code {
	switch ver.Reason() {
	case ReasonMalformed, ReasonTooLarge:
		return connect.CodeInvalidArgument
	case ReasonUnauthenticated:
		return connect.CodeUnauthenticated
	case ReasonForbidden:
		return connect.CodePermissionDenied
	case ReasonNotFound, ReasonUnknownEntry:
		return connect.CodeNotFound
	}
	switch ver.Verdict() {
	case verdict.NotRun:
		return connect.CodeUnavailable
	case verdict.Failed:
		return connect.CodeAborted
	default:
		return connect.CodeUnknown
	}
}

// Progress maps where a job stands to the wire; answers are copied only once it has ended.
func Progress(jb *job.Job) *callerpb.Progress {
	prg := &callerpb.Progress{
		JobId:        jb.ID().String(),
		SubmissionId: Unscoped(jb.Spec().Submission),
		State:        callerpb.JobState_JOB_STATE_WAITING,
		Tasks:        uint32(jb.TaskCount()),
		Started:      uint32(jb.StartedCount()),
		Finished:     uint32(jb.FinishedCount()),
	}
	switch {
	case jb.Ended():
		prg.State = callerpb.JobState_JOB_STATE_ENDED
		prg.Answer = answer(jb)
	case jb.StartedCount() > 0:
		prg.State = callerpb.JobState_JOB_STATE_RUNNING
	}
	return prg
}

// answer returns the whole answer, or one without any task's answer if the job did not end well:
// a part of a deck must never pass for the whole.
func answer(jb *job.Job) *callerpb.Answer {
	ans := &callerpb.Answer{
		JobId:            jb.ID().String(),
		SubmissionId:     Unscoped(jb.Spec().Submission),
		Verdict:          callerpb.Verdict_VERDICT_DONE,
		CatalogueVersion: jb.Spec().Class.Version,
	}
	if err := jb.Err(); err != nil {
		ans.Verdict = FromVerdict(err.Verdict())
		ans.Reason = err.Reason()
		return ans
	}
	ans.Tasks = make([]*callerpb.TaskAnswer, jb.TaskCount())
	for idx := range ans.Tasks {
		tsk := jb.Task(uint32(idx))
		ans.Tasks[idx] = &callerpb.TaskAnswer{Index: uint32(idx), Payload: tsk.Payload()}
	}
	return ans
}

// AnswerError returns the error that goes with an answer that is not whole, or nil.
func AnswerError(ans *callerpb.Answer) *verdict.Error {
	vdt := ToVerdict(ans.GetVerdict())
	if vdt == verdict.Done {
		return nil
	}
	return verdict.New(vdt, ans.GetReason())
}
