package backend

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// keptMessages is how many starts' worth of memory an encoder keeps between batches.
const keptMessages = 256

// encoder maps an outbox to a batch and uses the same memory for each: a batch is marshalled before
// Send returns.
type encoder struct {
	bat    *backendpb.Batch
	starts []*backendpb.Start
	ids    []*backendpb.TaskID
	usedID int
}

// batch returns the batch for an outbox; it is valid until the next call.
func (enc *encoder) batch(box *outbox, now time.Time, horizon time.Duration) *backendpb.Batch {
	enc.usedID = 0
	if enc.bat == nil {
		enc.bat = &backendpb.Batch{}
	}
	bat := enc.bat
	bat.Starts = bat.Starts[:0]
	for idx := range box.starts {
		bat.Starts = append(bat.Starts, enc.start(idx, &box.starts[idx], now.Add(horizon)))
	}
	bat.Asks = enc.idList(bat.Asks[:0], box.asks)
	bat.Revokes = enc.idList(bat.Revokes[:0], box.revokes)
	bat.Stops = enc.idList(bat.Stops[:0], box.stops)
	bat.Renew = nil
	if box.renew > 0 {
		bat.Renew = durationpb.New(box.renew)
	}
	return bat
}

// release lets go of the payloads of a batch that was sent. A link that falls idle after a burst
// would otherwise keep them for as long as its session lives.
func (enc *encoder) release() {
	for _, msg := range enc.bat.GetStarts() {
		msg.Payload = nil
	}
	if len(enc.starts) > keptMessages {
		*enc = encoder{}
	}
}

func (enc *encoder) start(idx int, stt *dispatch.Start, latest time.Time) *backendpb.Start {
	if idx == len(enc.starts) {
		enc.starts = append(enc.starts, &backendpb.Start{
			Lease:    &durationpb.Duration{},
			NotAfter: &timestamppb.Timestamp{},
		})
	}
	// A copy of the start that is held up on its way must not arrive after the backend server has
	// forgotten its id, so the not-after time on the wire lies no further ahead than the horizon.
	notAfter := stt.NotAfter
	if notAfter.IsZero() || notAfter.After(latest) {
		notAfter = latest
	}
	msg := enc.starts[idx]
	msg.Id = enc.id(stt.Task)
	msg.CatalogueEntry = stt.Class
	msg.Payload = stt.Payload
	msg.Lease.Seconds = int64(stt.Lease / time.Second)
	msg.Lease.Nanos = int32(stt.Lease % time.Second)
	msg.NotAfter.Seconds = notAfter.Unix()
	msg.NotAfter.Nanos = int32(notAfter.Nanosecond())
	msg.Slots = stt.Slots
	msg.CatalogueVersion = stt.Version
	return msg
}

func (enc *encoder) idList(lst []*backendpb.TaskID, ids []job.TaskID) []*backendpb.TaskID {
	for _, tid := range ids {
		lst = append(lst, enc.id(tid))
	}
	return lst
}

func (enc *encoder) id(tid job.TaskID) *backendpb.TaskID {
	if enc.usedID == len(enc.ids) {
		enc.ids = append(enc.ids, &backendpb.TaskID{})
	}
	msg := enc.ids[enc.usedID]
	enc.usedID++
	msg.Submission = string(tid.Submission())
	msg.Index = tid.Index()
	msg.Attempt = tid.Attempt()
	return msg
}

func readReport(srv dispatch.ServerID, msg *backendpb.Report) dispatch.Report {
	rep := dispatch.Report{
		Server:      srv,
		Incarnation: msg.GetIncarnation(),
		Slots:       msg.GetSlots(),
		FreeSlots:   msg.GetFreeSlots(),
		Leaving:     msg.GetLeaving(),
	}
	if num := len(msg.GetResults()); num > 0 {
		rep.Results = make([]dispatch.Result, 0, num)
	}
	for _, rst := range msg.GetResults() {
		rep.Results = append(rep.Results, readResult(rst))
	}
	for _, rfd := range msg.GetRefused() {
		rep.Refused = append(rep.Refused, dispatch.Refused{Task: readID(rfd.GetId()), Reason: readReason(rfd.GetReason())})
	}
	for _, sts := range msg.GetStatuses() {
		rep.Statuses = append(rep.Statuses, readStatus(sts))
	}
	return rep
}

func readResult(msg *backendpb.Result) dispatch.Result {
	return dispatch.Result{
		Task:    readID(msg.GetId()),
		Outcome: readOutcome(msg.GetOutcome()),
		Payload: msg.GetPayload(),
		Error:   msg.GetError(),
		RunTime: msg.GetRunTime().AsDuration(),
	}
}

func readStatus(msg *backendpb.Status) dispatch.Status {
	sts := dispatch.Status{Task: readID(msg.GetId()), State: readState(msg.GetState())}
	if msg.GetResult() != nil {
		sts.Result = readResult(msg.GetResult())
	}
	return sts
}

func readID(msg *backendpb.TaskID) job.TaskID {
	return job.NewTaskID(job.SubmissionID(msg.GetSubmission()), msg.GetIndex(), msg.GetAttempt())
}

// readOutcome takes an outcome that it does not know for a failure: the task ran.
func readOutcome(out backendpb.Outcome) dispatch.Outcome {
	switch out {
	case backendpb.Outcome_OUTCOME_OK:
		return dispatch.OutcomeOK
	case backendpb.Outcome_OUTCOME_STOPPED:
		return dispatch.OutcomeStopped
	default:
		return dispatch.OutcomeFailed
	}
}

// readReason takes a reason that it does not know for a duplicate, the only one that proves nothing.
func readReason(rsn backendpb.RefusalReason) dispatch.RefusalReason {
	switch rsn {
	case backendpb.RefusalReason_REFUSAL_REASON_FULL:
		return dispatch.RefusedFull
	case backendpb.RefusalReason_REFUSAL_REASON_LEAVING:
		return dispatch.RefusedLeaving
	case backendpb.RefusalReason_REFUSAL_REASON_TOO_LATE:
		return dispatch.RefusedTooLate
	case backendpb.RefusalReason_REFUSAL_REASON_REVOKED:
		return dispatch.RefusedRevoked
	default:
		return dispatch.RefusedDuplicate
	}
}

// readState takes a state that it does not know for unknown, which proves nothing.
func readState(sta backendpb.TaskState) dispatch.TaskState {
	switch sta {
	case backendpb.TaskState_TASK_STATE_RUNNING:
		return dispatch.TaskRunning
	case backendpb.TaskState_TASK_STATE_ENDED:
		return dispatch.TaskEnded
	case backendpb.TaskState_TASK_STATE_REVOKED:
		return dispatch.TaskRevoked
	default:
		return dispatch.TaskUnknown
	}
}
