package caller

import (
	"context"

	"connectrpc.com/connect"
)

// Bearer returns the interceptor that puts a token on each call of a client.
func Bearer(token string) connect.Interceptor { return bearer(bearerPrefix + token) }

type bearer string

// WrapUnary implements connect.Interceptor.
func (bea bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set(headerAuthorization, string(bea))
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (bea bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spc connect.Spec) connect.StreamingClientConn {
		con := next(ctx, spc)
		con.RequestHeader().Set(headerAuthorization, string(bea))
		return con
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (bea bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
