package cli

import (
	"context"

	"connectrpc.com/connect"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/verdict"
)

// readTries is how often a call without side effects is made. One whose connection breaks without an answer is as good as never made:
// on a machine that held a command up for two seconds, a server had closed its connection before the first frame, and
// "catalogue get" failed with "may-have-run: no-answer".
const readTries = 3

// retryReads makes calls without side effects again that got no answer.
func retryReads() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			res, err := next(ctx, req)
			for try := 1; try < readTries && ctx.Err() == nil && unanswered(req.Spec(), err); try++ {
				res, err = next(ctx, req)
			}
			return res, err
		}
	}
}

// unanswered reports whether a call without side effects got no answer.
func unanswered(spc connect.Spec, err error) bool {
	if err == nil || spc.IdempotencyLevel != connect.IdempotencyNoSideEffects {
		return false
	}
	ver := caller.FromError(err)
	return ver.Verdict() == verdict.MayHaveRun && ver.Reason() == caller.ReasonNoAnswer
}
