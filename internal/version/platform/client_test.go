package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/platformpb"
)

// service answers every call with the same reply or error.
type service struct {
	platformpb.UnimplementedPlatformServiceHandler
	err  error
	page *platformpb.ReadResponse
	wait time.Duration
}

func (srv service) Append(
	ctx context.Context, _ *connect.Request[platformpb.AppendRequest],
) (*connect.Response[platformpb.AppendResponse], error) {
	select {
	case <-time.After(srv.wait):
	case <-ctx.Done():
		// The call's deadline reaches the service too: a reply made now could still win the race
		// against the client's own time-out.
		return nil, ctx.Err()
	}
	return connect.NewResponse(&platformpb.AppendResponse{Offset: 7}), srv.err
}

func (srv service) Read(
	context.Context, *connect.Request[platformpb.ReadRequest],
) (*connect.Response[platformpb.ReadResponse], error) {
	return connect.NewResponse(srv.page), srv.err
}

func (srv service) Instances(
	context.Context, *connect.Request[platformpb.InstancesRequest],
) (*connect.Response[platformpb.InstancesResponse], error) {
	return connect.NewResponse(&platformpb.InstancesResponse{Instances: []*platformpb.Instance{
		{Id: "b", Kind: platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER, Slots: 8, MemoryBytes: 9, Leaving: true},
	}}), srv.err
}

func serve(t *testing.T, srv service, timeout time.Duration) *platform.Client {
	_, hnd := platformpb.NewPlatformServiceHandler(srv)
	hts := httptest.NewServer(hnd)
	t.Cleanup(hts.Close)
	return platform.New(hts.Client(), hts.URL, timeout)
}

// The platform answers an append with an error, not at all, or is not there. Only the last proves
// that nothing was written.
func TestAppendVerdicts(t *testing.T) {
	// A port that was free a moment ago may be another server's by now; nobody gets this one by chance.
	const gone = "http://127.0.0.1:1"
	tests := map[string]struct {
		client *platform.Client
		want   verdict.Verdict
	}{
		"written":       {serve(t, service{}, time.Minute), verdict.Done},
		"error reply":   {serve(t, service{err: connect.NewError(connect.CodeUnavailable, errFake)}, time.Minute), verdict.MayHaveRun},
		"no reply":      {serve(t, service{wait: time.Hour}, 50*time.Millisecond), verdict.MayHaveRun},
		"no connection": {platform.New(http.DefaultClient, gone, time.Second), verdict.NotRun},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			off, err := tst.client.Append(t.Context(), stream, [][]byte{{1}})
			is.Equal(verdict.Of(err), tst.want)
			is.Equal(off == 7, tst.want == verdict.Done)
		})
	}
}

func TestReadChecksOffsets(t *testing.T) {
	tests := map[string]struct {
		offsets []uint64
		good    bool
	}{
		"none":       {nil, true},
		"in order":   {[]uint64{5, 6, 9}, true},
		"before":     {[]uint64{4}, false},
		"out of row": {[]uint64{6, 5}, false},
		"twice":      {[]uint64{5, 5}, false},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			msg := &platformpb.ReadResponse{Next: 10, Earliest: 2}
			for _, off := range tst.offsets {
				msg.Records = append(msg.Records, &platformpb.Record{Offset: off})
			}
			pge, err := serve(t, service{page: msg}, time.Minute).Read(t.Context(), stream, 5, 10, 0)
			is.Equal(err == nil, tst.good)
			if tst.good {
				is.Equal(len(pge.Records), len(tst.offsets))
				is.Equal(pge.Next, uint64(10))
			}
		})
	}
}

func TestInstances(t *testing.T) {
	is := is.New(t)
	ins, err := serve(t, service{}, time.Minute).Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(ins), 1)
	is.Equal(ins[0].Kind, platform.KindBackendServer)
	is.True(ins[0].Leaving)
	is.Equal(ins[0].Capacity.MemoryBytes, uint64(9))
}
