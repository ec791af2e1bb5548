package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"chestnutstack/internal/request/callerpb"
)

func TestReadsAreMadeAgain(t *testing.T) {
	// A server closes the connection of a command that was held up, before it has read the request. What only reads is asked
	// again, some times; an edit is not, as the server may have taken it.
	get := func(ctx context.Context, cli callerpb.CatalogueServiceClient) error {
		_, err := cli.Get(ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: "riga/a"}))
		return err
	}
	apply := func(ctx context.Context, cli callerpb.CatalogueServiceClient) error {
		_, err := cli.Apply(ctx, connect.NewRequest(&callerpb.ApplyRequest{}))
		return err
	}
	cases := map[string]struct {
		call  func(ctx context.Context, cli callerpb.CatalogueServiceClient) error
		lost  int64
		calls int64
		fails bool
	}{
		"a read":                  {call: get, calls: 1},
		"a read, one answer lost": {call: get, lost: 1, calls: 2},
		"a read, all lost":        {call: get, lost: 9, calls: readTries, fails: true},
		"an edit, one lost":       {call: apply, lost: 1, calls: 1, fails: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) <= cse.lost {
					panic(http.ErrAbortHandler)
				}
				wrt.Header().Set("Content-Type", "application/proto")
			}))
			defer srv.Close()
			cli := callerpb.NewCatalogueServiceClient(srv.Client(), srv.URL, connect.WithInterceptors(retryReads()))
			err := cse.call(t.Context(), cli)
			chk.Equal(err != nil, cse.fails)
			chk.Equal(calls.Load(), cse.calls)
		})
	}
}
