package entry

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/claim"
)

// record is a submission that this instance knows of; it implements caller.Ticket.
type record struct {
	submission job.SubmissionID
	digest     uint64
	// spec is what a resubmission asks for again.
	spec job.Spec
	// decided is closed once the submission was taken or refused; refusal is read after that.
	decided chan struct{}
	refusal *verdict.Error
	ended   chan struct{}
	// firstAttempt is past the attempts of an earlier job of this submission that did not run.
	firstAttempt uint32
	// progress asks for where the job stands; it takes the decision lock.
	progress func(*job.Job) *callerpb.Progress

	mu sync.Mutex
	// searching is set while a resubmission is looked for elsewhere, yielded if a peer that looked for
	// it at the same time was told to go first.
	searching, yielded bool
	id                 job.ID
	job                *job.Job
	final              *callerpb.Progress
	// packed has the tasks of the final answer once they were taken out of it.
	packed []byte
	// elsewhere is the job that the submission became at a peer.
	elsewhere job.ID
	// claimed is the claim of work that must run at most once, giveBack returns it if nothing ran.
	claimed  *claim.Grant
	giveBack func()
}

// Ended implements caller.Ticket.
func (rec *record) Ended() <-chan struct{} { return rec.ended }

// Progress implements caller.Ticket.
func (rec *record) Progress() *callerpb.Progress {
	rec.mu.Lock()
	jb, fin, dat := rec.job, rec.final, rec.packed
	rec.mu.Unlock()
	switch {
	case dat != nil:
		return unpack(fin, dat)
	case fin != nil:
		return fin
	default:
		return rec.progress(jb)
	}
}

func (rec *record) startSearch() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.searching, rec.yielded = true, false
}

// endSearch reports whether the search's outcome counts: not if a peer was told to go first meanwhile.
func (rec *record) endSearch() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.searching = false
	return !rec.yielded
}

// yield lets a peer go first that looks for the same submission, if this instance still does too.
func (rec *record) yield() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.searching {
		rec.yielded = true
	}
	return rec.searching
}

// asked returns what the submission asked for; without tasks if they are no longer kept.
func (rec *record) asked() job.Spec {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.spec
}

// jobID returns the id of the job that the submission became.
func (rec *record) jobID() job.ID {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.id
}

// running returns the job, or nil once it has ended.
func (rec *record) running() *job.Job {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.job
}

// size returns the bytes that an ended record keeps, about.
func (rec *record) size() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sum := proto.Size(rec.final)
	for idx := range rec.spec.Tasks {
		sum += len(rec.spec.Tasks[idx].Payload)
	}
	return sum
}

// finish stores the final answer, lets go of the job's memory and wakes who waits.
func (rec *record) finish(fin *callerpb.Progress) {
	rec.mu.Lock()
	rec.final = fin
	rec.firstAttempt = rec.job.NextAttempt()
	rec.job = nil
	if fin.GetAnswer().GetVerdict() == callerpb.Verdict_VERDICT_DONE {
		// Nobody can ask for a job again that is done, and its payloads are most of its memory.
		rec.spec.Tasks = nil
	}
	rec.mu.Unlock()
	if rec.mayRunAgain() {
		rec.releaseClaim()
	}
	close(rec.ended)
}

// releaseClaim gives the claim back, if there is one, of a submission that did not run.
func (rec *record) releaseClaim() {
	rec.mu.Lock()
	giveBack := rec.giveBack
	rec.giveBack = nil
	rec.mu.Unlock()
	if giveBack != nil {
		giveBack()
	}
}

// mayRunAgain reports whether the submission is proved not to have run, so that its caller, who was
// told so, may send it again. One that was cancelled stays so: a late copy must not bring it back.
func (rec *record) mayRunAgain() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	ans := rec.final.GetAnswer()
	return ans.GetVerdict() == callerpb.Verdict_VERDICT_NOT_RUN && ans.GetReason() != job.ReasonCancelled
}

// reasonForgotten goes with the verdict of a job that is done, but whose answer is no longer kept.
const reasonForgotten = "answer-forgotten"

// shrink drops all but the verdict: enough to keep a late copy of the submission from running.
func (rec *record) shrink() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.spec.Tasks = nil
	rec.packed = nil
	if rec.final == nil {
		return
	}
	old := rec.final.GetAnswer()
	ans := &callerpb.Answer{
		JobId:        old.GetJobId(),
		SubmissionId: old.GetSubmissionId(),
		Verdict:      old.GetVerdict(),
		Reason:       old.GetReason(),
	}
	if ans.GetVerdict() == callerpb.Verdict_VERDICT_DONE {
		ans.Verdict, ans.Reason = callerpb.Verdict_VERDICT_MAY_HAVE_RUN, reasonForgotten
	}
	rec.final = &callerpb.Progress{
		JobId:        rec.final.GetJobId(),
		SubmissionId: rec.final.GetSubmissionId(),
		State:        callerpb.JobState_JOB_STATE_ENDED,
		Answer:       ans,
	}
}

// movedTo returns the job at a peer that the submission is known to be, if any.
func (rec *record) movedTo() (job.ID, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.elsewhere, rec.elsewhere != job.ID{}
}

func (rec *record) setElsewhere(id job.ID) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.elsewhere = id
}

func (rec *record) setClaim(grt *claim.Grant, giveBack func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.claimed, rec.giveBack = grt, giveBack
}

// mayStart reports whether a task of the submission may be started by its claim.
func (rec *record) mayStart(now time.Time) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.claimed != nil && rec.claimed.Valid(now, claim.DefaultRules())
}
