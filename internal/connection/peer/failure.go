package peer

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/request/verdict"
)

// The reasons of the errors that a Client returns.
const (
	// ReasonRefused means that no process listens at the address: nothing was sent.
	ReasonRefused = "peer-refused"
	// ReasonReplaced means that another instance answers at the address: nothing was sent.
	ReasonReplaced = "peer-replaced"
	// ReasonUnreachable means that no connection could be made in time: nothing was sent.
	ReasonUnreachable = "peer-unreachable"
	// ReasonTimedOut means that the answer did not come in time.
	ReasonTimedOut = "peer-timed-out"
	// ReasonLost means that the connection ended before the answer.
	ReasonLost = "peer-connection-lost"
	// ReasonBusy means that the peer has too many calls in progress and took no notice of this one.
	ReasonBusy = "peer-busy"
	// ReasonLoop means that a request that was forwarded once was to be forwarded again.
	ReasonLoop = "forwarding-loop"
	// ReasonTooLarge means that the request is larger than a message may be.
	ReasonTooLarge = "peer-message-too-large"
	// ReasonNotAllowed means that the peer did not accept the token.
	ReasonNotAllowed = "peer-not-allowed"
	// ReasonMalformed means that the peer could not read the request.
	ReasonMalformed = "peer-request-malformed"
)

const codeWithVerdict = -32000

// wireFailure is the data of a JSON-RPC error.
type wireFailure struct {
	Verdict          int    `json:"verdict"`
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retry,omitempty"`
}

// Refused reports whether an error proves that the peer's process is gone.
func Refused(err error) bool {
	return hasReason(err, ReasonRefused) || hasReason(err, ReasonReplaced)
}

// TimedOut reports whether an error leaves open if the peer or only the way to it is gone.
func TimedOut(err error) bool {
	return hasReason(err, ReasonUnreachable) || hasReason(err, ReasonTimedOut) || hasReason(err, ReasonLost)
}

func hasReason(err error, reason string) bool {
	var ver *verdict.Error
	return errors.As(err, &ver) && ver.Reason() == reason
}

// dialFailure maps an error before the first byte of a request: not run in any case.
func dialFailure(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return verdict.New(verdict.NotRun, ReasonRefused).WithCause(err)
	}
	var ver *verdict.Error
	if errors.As(err, &ver) && (ver.Reason() == ReasonNotAllowed || ver.Reason() == ReasonReplaced) {
		return err
	}
	return verdict.New(verdict.NotRun, ReasonUnreachable).WithCause(err)
}

// callFailure maps an error of a call whose request may have left.
func callFailure(err error) error {
	var rem *jsonrpc2.Error
	switch {
	case errors.As(err, &rem):
		return remoteFailure(rem)
	case errors.Is(err, rpc.ErrTooLarge):
		return verdict.New(verdict.NotRun, ReasonTooLarge).WithCause(err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return verdict.New(verdict.MayHaveRun, ReasonTimedOut).WithCause(err)
	default:
		return verdict.New(verdict.MayHaveRun, ReasonLost).WithCause(err)
	}
}

func remoteFailure(rpc *jsonrpc2.Error) error {
	var wir wireFailure
	if rpc.Data == nil || json.Unmarshal(*rpc.Data, &wir) != nil || wir.Reason == "" {
		return verdict.New(verdict.MayHaveRun, "peer-error").WithCause(rpc)
	}
	err := verdict.New(verdict.Verdict(wir.Verdict), wir.Reason)
	if wir.RetryAfterMillis > 0 {
		err = err.WithRetryAfter(millis(wir.RetryAfterMillis))
	}
	return err.WithCause(errors.Newf("%s", rpc.Message))
}

// failureOf maps a handler's error for the wire.
func failureOf(err error) *jsonrpc2.Error {
	wir := wireFailure{Verdict: int(verdict.Of(err)), Reason: "peer-failed"}
	var ver *verdict.Error
	if errors.As(err, &ver) {
		wir.Reason = ver.Reason()
		wir.RetryAfterMillis = ver.RetryAfter().Round(time.Millisecond).Milliseconds()
	}
	rpc := &jsonrpc2.Error{Code: codeWithVerdict, Message: err.Error()}
	rpc.SetError(wir)
	return rpc
}
