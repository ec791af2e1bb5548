package caller

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// The reasons that this package gives; stable, as operators and callers match on them.
const (
	ReasonMalformed       = "malformed-request"
	ReasonTooLarge        = "too-large"
	ReasonUnauthenticated = "unauthenticated"
	ReasonForbidden       = "forbidden"
	ReasonNotFound        = "unknown-job"
	ReasonUnknownEntry    = "unknown-catalogue-entry"
	ReasonTooLate         = "not-after-passed"
	ReasonNotListening    = "not-listening"
	ReasonNoAnswer        = "no-answer"
)

// The bounds of a request. They are checked before any work is done.
const (
	MaxTasks         = 1300
	MaxTaskPayload   = 64 << 10
	MaxRequestBytes  = 8 << 20
	MaxIDLength      = 128
	MaxNotAfter      = time.Hour
	MaxExpectedTime  = 10 * time.Minute
	maxEntriesInEdit = 1000
)

func malformed(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, ReasonMalformed).WithCause(errors.Newf(format, args...))
}

func tooLarge(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, ReasonTooLarge).WithCause(errors.Newf(format, args...))
}

// checkSubmit refuses a request that cannot be run as it stands.
func checkSubmit(now time.Time, req *callerpb.SubmitRequest) *verdict.Error {
	if err := checkID("submission_id", req.GetSubmissionId()); err != nil {
		return err
	}
	if len(req.GetTeam()) > MaxIDLength {
		return tooLarge("team: %d bytes, at most %d", len(req.GetTeam()), MaxIDLength)
	}
	if len(req.GetTasks()) == 0 {
		return malformed("tasks: none; a job has 1 to %d", MaxTasks)
	}
	if len(req.GetTasks()) > MaxTasks {
		return tooLarge("tasks: %d; a job has 1 to %d", len(req.GetTasks()), MaxTasks)
	}
	for idx, tsk := range req.GetTasks() {
		if len(tsk.GetPayload()) > MaxTaskPayload {
			return tooLarge("task %d: payload of %d bytes, at most %d", idx, len(tsk.GetPayload()), MaxTaskPayload)
		}
		if dur := tsk.GetExpectedRunTime().AsDuration(); dur < 0 || dur > MaxExpectedTime {
			return malformed("task %d: expected run time %v, want 0 to %v", idx, dur, MaxExpectedTime)
		}
	}
	return checkNotAfter(now, req.GetNotAfter().AsTime(), req.GetNotAfter() != nil)
}

func checkNotAfter(now, notAfter time.Time, given bool) *verdict.Error {
	switch {
	case !given:
		return malformed("not_after: missing")
	case !notAfter.After(now):
		return verdict.New(verdict.NotRun, ReasonTooLate)
	case notAfter.Sub(now) > MaxNotAfter:
		return malformed("not_after: %v ahead, at most %v", notAfter.Sub(now).Round(time.Second), MaxNotAfter)
	default:
		return nil
	}
}

// checkID bounds what ends up in logs, keys and backend servers' tables.
func checkID(field, val string) *verdict.Error {
	if val == "" {
		return malformed("%s: missing", field)
	}
	if len(val) > MaxIDLength {
		return tooLarge("%s: %d bytes, at most %d", field, len(val), MaxIDLength)
	}
	for _, chr := range val {
		if chr <= ' ' || chr > '~' {
			return malformed("%s: only printable ASCII without spaces", field)
		}
	}
	return nil
}

// ToSpec maps a request that was checked; its submission id is left as the caller wrote it.
func ToSpec(now time.Time, req *callerpb.SubmitRequest, cls *job.Class) job.Spec {
	spc := job.Spec{
		Submission: job.SubmissionID(req.GetSubmissionId()),
		Class:      cls,
		Team:       req.GetTeam(),
		NotAfter:   req.GetNotAfter().AsTime(),
		Repeatable: cls.Repeatable && !req.GetNotRepeatable(),
		Tasks:      make([]job.TaskSpec, len(req.GetTasks())),
		Admitted:   now,
	}
	for idx, tsk := range req.GetTasks() {
		spc.Tasks[idx] = job.TaskSpec{
			Payload:         tsk.GetPayload(),
			ExpectedRunTime: tsk.GetExpectedRunTime().AsDuration(),
		}
	}
	return spc
}

// FromSpec maps back what a job asked for, without its id and times, which are of one submission.
func FromSpec(spc *job.Spec) *callerpb.SubmitRequest {
	req := &callerpb.SubmitRequest{
		CatalogueEntry: spc.Class.Name,
		Team:           spc.Team,
		NotRepeatable:  !spc.Repeatable,
	}
	for _, tsk := range spc.Tasks {
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: tsk.Payload, ExpectedRunTime: durationpb.New(tsk.ExpectedRunTime)})
	}
	return req
}
