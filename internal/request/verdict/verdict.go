package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict tells whether work may have run.
type Verdict int

const (
	// Unspecified is the zero value and no valid result.
	Unspecified Verdict = iota
	// Done means that all of the work ran and its answer is complete.
	Done
	// NotRun means that none of the work ran and that none of it will.
	NotRun
	// MayHaveRun means that some of the work may have run, with an unknown result.
	MayHaveRun
	// Failed means that some of the work is known to have run and that the answer is not complete.
	Failed
)

// names has the kebab-case names that logs, metrics and the command line use.
var names = map[Verdict]string{
	Unspecified: "unspecified",
	Done:        "done",
	NotRun:      "not-run",
	MayHaveRun:  "may-have-run",
	Failed:      "failed",
}

// String returns the kebab-case name that logs, metrics and the command line use.
func (vdt Verdict) String() string {
	if nam, ok := names[vdt]; ok {
		return nam
	}
	return fmt.Sprintf("verdict-%d", int(vdt))
}

// Error is an error with a verdict, a stable reason and, where a retry can help, the delay before one.
type Error struct {
	verdict Verdict
	// reason is a stable kebab-case name.
	reason string
	// retryAfter is the delay before a retry, 0 if a retry can't help.
	retryAfter time.Duration
	// cause is the wrapped error, or nil.
	cause error
}

// New returns an Error with a verdict and a kebab-case reason.
func New(vdt Verdict, reason string) *Error {
	return &Error{verdict: vdt, reason: reason}
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (err *Error) WithRetryAfter(dur time.Duration) *Error {
	cpy := *err
	cpy.retryAfter = dur
	return &cpy
}

// WithCause returns a copy that wraps the error that caused it.
func (err *Error) WithCause(cause error) *Error {
	cpy := *err
	cpy.cause = cause
	return &cpy
}

// Verdict returns whether the work may have run.
func (err *Error) Verdict() Verdict { return err.verdict }

// Reason returns the stable kebab-case reason.
func (err *Error) Reason() string { return err.reason }

// RetryAfter returns the delay before a retry, or 0 if a retry can't help.
func (err *Error) RetryAfter() time.Duration { return err.retryAfter }

// Error returns verdict, reason and cause, separated by colons.
func (err *Error) Error() string {
	msg := err.verdict.String() + ": " + err.reason
	if err.cause != nil {
		msg += ": " + err.cause.Error()
	}
	return msg
}

// Unwrap returns the wrapped cause, or nil.
func (err *Error) Unwrap() error { return err.cause }

// Of returns the verdict of the first Error in the chain of err, Done for nil, and MayHaveRun for an error without verdict, as an error
// of unknown origin proves nothing.
func Of(err error) Verdict {
	if err == nil {
		return Done
	}
	var ver *Error
	if errors.As(err, &ver) {
		return ver.verdict
	}
	return MayHaveRun
}
