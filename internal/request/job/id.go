package job

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Partner is one of the two organisations that own catalogue entries.
type Partner string

// SubmissionID is the idempotency key that the caller chose for a submission.
type SubmissionID string

// ID identifies a job by the entry instance that accepted it and a local name that is unique there.
type ID struct {
	instance string
	local    string
}

const (
	idSeparator      = "/"
	partnerSeparator = "."
)

// NewID returns the id of a job that an entry instance accepts under a local name, which must begin with the partner and a dot for Partner
// to work; NewPartnerID makes such a name.
func NewID(instance, local string) ID { return ID{instance: instance, local: local} }

// NewPartnerID returns the id of a partner's job; the entry instance generates unique.
func NewPartnerID(instance string, par Partner, unique string) ID {
	return NewID(instance, string(par)+partnerSeparator+unique)
}

// ParseID parses the form that String returns, and fails if the instance or the name is missing.
func ParseID(txt string) (ID, error) {
	ins, loc, ok := strings.Cut(txt, idSeparator)
	if !ok || ins == "" || loc == "" {
		return ID{}, errors.Newf("job id %q: want INSTANCE/NAME", txt)
	}
	return ID{instance: ins, local: loc}, nil
}

// Instance returns the entry instance that accepted the job.
func (id ID) Instance() string { return id.instance }

// Partner returns the partner that the id names. An id with a forged partner identifies no existing job, so that the partner can
// be trusted for every job that is found.
func (id ID) Partner() Partner {
	par, _, _ := strings.Cut(id.local, partnerSeparator)
	return Partner(par)
}

// String returns the id as INSTANCE/NAME, the form that callers see.
func (id ID) String() string { return id.instance + idSeparator + id.local }

// TaskID identifies one attempt at one task; a backend server starts each attempt at most once.
type TaskID struct {
	submission SubmissionID
	index      uint32
	attempt    uint32
}

// NewTaskID returns the id of an attempt, counted from 1, at the task with an index in the submission, counted from 0.
func NewTaskID(sub SubmissionID, index, attempt uint32) TaskID {
	return TaskID{submission: sub, index: index, attempt: attempt}
}

// Submission returns the submission that the task belongs to.
func (tid TaskID) Submission() SubmissionID { return tid.submission }

// Index returns the index of the task in its submission, counted from 0.
func (tid TaskID) Index() uint32 { return tid.index }

// Attempt returns the number of the attempt, counted from 1.
func (tid TaskID) Attempt() uint32 { return tid.attempt }
