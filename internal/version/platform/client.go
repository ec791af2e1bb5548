package platform

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/platformpb"
)

// Reasons of the errors of a Client.
const (
	ReasonUnreachable = "platform-unreachable"
	ReasonNoReply     = "platform-no-reply"
	ReasonReadFailed  = "platform-read-failed"
	ReasonBadReply    = "platform-bad-reply"
)

// Client calls the platform over connect. It does not retry: its users know what a second append
// would mean.
type Client struct {
	rpc     platformpb.PlatformServiceClient
	timeout time.Duration
}

// New returns a client for the platform at a base URL. Each call takes at most timeout, beyond the
// time that a read waits by itself.
func New(hcl connect.HTTPClient, baseURL string, timeout time.Duration) *Client {
	return &Client{rpc: platformpb.NewPlatformServiceClient(hcl, baseURL), timeout: timeout}
}

// Append implements Log.
func (cli *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return 0, verdict.New(verdict.NotRun, ReasonUnreachable).WithCause(err)
	}
	req := connect.NewRequest(&platformpb.AppendRequest{Stream: stream, Records: records})
	res, err := cli.rpc.Append(ctx, req)
	if err != nil {
		return 0, appendError(err)
	}
	return res.Msg.GetOffset(), nil
}

// appendError gives a failed append its verdict. A reply that is an error proves nothing: the
// platform may have lost the reply to a write that it made, and a proxy in between answers for it.
// Only a connection that was never made proves that nothing was sent.
func appendError(err error) error {
	var ope *net.OpError
	if errors.As(err, &ope) && ope.Op == "dial" {
		return verdict.New(verdict.NotRun, ReasonUnreachable).WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, ReasonNoReply).WithCause(err)
}

// Read implements Log.
func (cli *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.timeout+wait)
	defer cancel()
	req := &platformpb.ReadRequest{
		Stream: stream,
		From:   from,
		Limit:  uint32(max(limit, 0)),
		Wait:   durationpb.New(wait),
	}
	res, err := cli.rpc.Read(ctx, connect.NewRequest(req))
	if err != nil {
		return Page{}, verdict.New(verdict.NotRun, ReasonReadFailed).WithCause(err)
	}
	return pageFromProto(res.Msg, from)
}

// pageFromProto checks what every reader relies on: offsets that grow from the one asked for.
func pageFromProto(msg *platformpb.ReadResponse, from uint64) (Page, error) {
	pge := Page{Next: msg.GetNext(), Earliest: msg.GetEarliest()}
	for _, rec := range msg.GetRecords() {
		if rec.GetOffset() < from {
			err := errors.Newf("record at offset %d where %d or more is due", rec.GetOffset(), from)
			return Page{}, verdict.New(verdict.NotRun, ReasonBadReply).WithCause(err)
		}
		from = rec.GetOffset() + 1
		pge.Records = append(pge.Records, Record{Offset: rec.GetOffset(), Data: rec.GetData()})
	}
	return pge, nil
}

// Instances implements the seam of that name.
func (cli *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.timeout)
	defer cancel()
	res, err := cli.rpc.Instances(ctx, connect.NewRequest(&platformpb.InstancesRequest{}))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, ReasonReadFailed).WithCause(err)
	}
	ins := make([]Instance, 0, len(res.Msg.GetInstances()))
	for _, msg := range res.Msg.GetInstances() {
		ins = append(ins, instanceFromProto(msg))
	}
	return ins, nil
}

func instanceFromProto(msg *platformpb.Instance) Instance {
	return Instance{
		ID:            msg.GetId(),
		Incarnation:   msg.GetIncarnation(),
		Kind:          kindFromProto(msg.GetKind()),
		Address:       msg.GetAddress(),
		PeerAddress:   msg.GetPeerAddress(),
		FailureDomain: msg.GetFailureDomain(),
		Rack:          msg.GetRack(),
		Worker:        msg.GetWorker(),
		Leaving:       msg.GetLeaving(),
		Slots:         msg.GetSlots(),
		Capacity: job.Needs{
			Processors:   msg.GetProcessors(),
			MemoryBytes:  msg.GetMemoryBytes(),
			Accelerators: msg.GetAccelerators(),
		},
	}
}

func kindFromProto(knd platformpb.InstanceKind) InstanceKind {
	switch knd {
	case platformpb.InstanceKind_INSTANCE_KIND_ENTRY:
		return KindEntry
	case platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER:
		return KindBackendServer
	default:
		return KindUnknown
	}
}
