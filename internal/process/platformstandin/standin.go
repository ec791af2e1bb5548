package platformstandin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/version/platformpb"
)

// StandIn is a platform in memory; it is safe for concurrent use.
type StandIn struct {
	cfg     Config
	gate    *gate
	limiter *rate.Limiter

	mut     sync.Mutex
	streams map[string]*stream

	listMut sync.Mutex
	list    *list
}

var (
	_ platformpb.PlatformServiceHandler = (*StandIn)(nil)
	_ platformpb.StandInServiceHandler  = (*StandIn)(nil)
)

// New returns a stand-in with empty streams.
func New(cfg Config) *StandIn {
	cfg = cfg.withDefaults()
	burst := max(1, int(cfg.AppendRate/10))
	return &StandIn{
		cfg:     cfg,
		gate:    newGate(),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendRate), burst),
		streams: make(map[string]*stream),
		list:    newList(cfg.Instances),
	}
}

// Handler serves the platform and the stand-in's own service.
func (sin *StandIn) Handler() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(2 * maxAppendBytes)
	pth, hnd := platformpb.NewPlatformServiceHandler(sin, limit)
	mux.Handle(pth, sin.gate.wrap(hnd))
	pth, hnd = platformpb.NewStandInServiceHandler(sin, limit)
	mux.Handle(pth, hnd)
	return mux
}

// ConnContext belongs in the field of that name of the http.Server, which lets the stand-in tell
// connections apart; without it no connection goes silent.
func (sin *StandIn) ConnContext(ctx context.Context, con net.Conn) context.Context {
	return sin.gate.connection(ctx, con)
}

// Close ends every call that waits; the server that serves the stand-in can then stop.
func (sin *StandIn) Close() { sin.gate.close() }

// Append implements the platform's log: all records or none.
func (sin *StandIn) Append(
	ctx context.Context, req *connect.Request[platformpb.AppendRequest],
) (*connect.Response[platformpb.AppendResponse], error) {
	if err := checkAppend(req.Msg); err != nil {
		return nil, err
	}
	if err := sin.gate.enter(); err != nil {
		return nil, err
	}
	if err := sin.awaitTurn(); err != nil {
		return nil, err
	}
	// A write that is under way goes on when its caller has gone.
	sin.gate.sleep(context.WithoutCancel(ctx), max(sin.cfg.SyncDelay, 0))
	off, err := sin.append(req.Msg)
	if err != nil {
		return nil, err
	}
	if err := sin.gate.leave(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&platformpb.AppendResponse{Offset: off}), nil
}

func (sin *StandIn) awaitTurn() error {
	now := time.Now()
	rsv := sin.limiter.ReserveN(now, 1)
	del := rsv.DelayFrom(now)
	if del > maxAppendWait {
		rsv.CancelAt(now)
		return connect.NewError(connect.CodeResourceExhausted, errors.New("too many appends"))
	}
	sin.gate.sleep(context.Background(), del)
	return nil
}

func (sin *StandIn) append(msg *platformpb.AppendRequest) (uint64, error) {
	sin.mut.Lock()
	defer sin.mut.Unlock()
	str, err := sin.stream(msg.GetStream())
	if err != nil {
		return 0, err
	}
	return str.append(time.Now(), msg.GetRecords()), nil
}

// stream returns a stream, new if need be; the lock is held.
func (sin *StandIn) stream(name string) (*stream, error) {
	if str, ok := sin.streams[name]; ok {
		return str, nil
	}
	if len(sin.streams) >= maxStreams {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many streams"))
	}
	str := newStream(retention{
		records: sin.cfg.RetainRecords,
		bytes:   sin.cfg.RetainBytes,
		age:     sin.cfg.RetainAge,
	})
	sin.streams[name] = str
	return str, nil
}

// Read returns records from an offset on, and at once if some of them are forgotten, so that a
// reader that fell behind can tell. From 0 means from the earliest record.
func (sin *StandIn) Read(
	ctx context.Context, req *connect.Request[platformpb.ReadRequest],
) (*connect.Response[platformpb.ReadResponse], error) {
	if err := checkStream(req.Msg.GetStream()); err != nil {
		return nil, err
	}
	wait := min(max(req.Msg.GetWait().AsDuration(), 0), maxReadWait)
	end := time.NewTimer(wait)
	defer end.Stop()
	expired := wait == 0
	for {
		if err := sin.gate.enter(); err != nil {
			return nil, err
		}
		_, faultsChanged := sin.gate.current()
		rsp, changed, err := sin.read(req.Msg)
		if err != nil {
			return nil, err
		}
		if expired || rsp != nil && (len(rsp.GetRecords()) > 0 || behind(req.Msg, rsp)) {
			return sin.answerRead(ctx, rsp)
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-end.C:
			expired = true
		case <-sin.gate.done:
			return nil, connect.NewError(connect.CodeUnavailable, errUnavailable)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func behind(req *platformpb.ReadRequest, rsp *platformpb.ReadResponse) bool {
	return req.GetFrom() > 0 && req.GetFrom() < rsp.GetEarliest()
}

func (sin *StandIn) answerRead(
	ctx context.Context, rsp *platformpb.ReadResponse,
) (*connect.Response[platformpb.ReadResponse], error) {
	if err := sin.gate.leave(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(rsp), nil
}

func (sin *StandIn) read(
	msg *platformpb.ReadRequest,
) (*platformpb.ReadResponse, <-chan struct{}, error) {
	sin.mut.Lock()
	defer sin.mut.Unlock()
	str, err := sin.stream(msg.GetStream())
	if err != nil {
		return nil, nil, err
	}
	str.expire(time.Now())
	limit := int(msg.GetLimit())
	if limit == 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	first, records := str.read(msg.GetFrom(), limit)
	rsp := &platformpb.ReadResponse{Next: str.next(), Earliest: str.earliest}
	for idx, dat := range records {
		rec := &platformpb.Record{Offset: first + uint64(idx), Data: dat}
		rsp.Records = append(rsp.Records, rec)
	}
	return rsp, str.changed, nil
}

// Instances implements the platform's list.
func (sin *StandIn) Instances(
	ctx context.Context, _ *connect.Request[platformpb.InstancesRequest],
) (*connect.Response[platformpb.InstancesResponse], error) {
	if err := sin.gate.enter(); err != nil {
		return nil, err
	}
	flt, _ := sin.gate.current()
	rsp := &platformpb.InstancesResponse{}
	if !flt.GetEmptyList() {
		lag := max(sin.cfg.ListLag, flt.GetListLag().AsDuration())
		rsp.Instances = sin.listAsOf(time.Now().Add(-lag))
	}
	if err := sin.gate.leave(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(rsp), nil
}

func (sin *StandIn) listAsOf(when time.Time) []*platformpb.Instance {
	sin.listMut.Lock()
	defer sin.listMut.Unlock()
	return sin.list.asOf(when)
}

// SetFaults replaces the faults in force and returns them.
func (sin *StandIn) SetFaults(
	_ context.Context, req *connect.Request[platformpb.Faults],
) (*connect.Response[platformpb.Faults], error) {
	if req.Msg.GetListLag().AsDuration() > maxListLag {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("list lag over %v", maxListLag))
	}
	sin.InjectFaults(req.Msg)
	return connect.NewResponse(proto.Clone(req.Msg).(*platformpb.Faults)), nil
}

// InjectFaults is SetFaults for a program that holds the stand-in itself.
func (sin *StandIn) InjectFaults(faults *platformpb.Faults) {
	sin.gate.set(faults)
	sin.mut.Lock()
	defer sin.mut.Unlock()
	for _, str := range sin.streams {
		str.forgetBefore(faults.GetForgetBefore())
	}
}

// SetInstance adds, replaces or removes an instance; the list shows it after its lag.
func (sin *StandIn) SetInstance(
	_ context.Context, req *connect.Request[platformpb.SetInstanceRequest],
) (*connect.Response[platformpb.SetInstanceResponse], error) {
	ins := req.Msg.GetInstance()
	if ins.GetId() == "" || proto.Size(ins) > maxInstanceBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("an instance needs an id and at most %d bytes", maxInstanceBytes))
	}
	if err := sin.PutInstance(ins, req.Msg.GetRemove()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&platformpb.SetInstanceResponse{}), nil
}

// PutInstance is SetInstance for a program that holds the stand-in itself.
func (sin *StandIn) PutInstance(ins *platformpb.Instance, remove bool) error {
	sin.listMut.Lock()
	defer sin.listMut.Unlock()
	if !remove && sin.list.size() >= maxInstances+maxListChanges {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("too many instances"))
	}
	sin.list.set(time.Now(), proto.Clone(ins).(*platformpb.Instance), remove)
	return nil
}

// Journal is empty: a platform starts no tasks.
func (sin *StandIn) Journal(
	context.Context, *connect.Request[platformpb.JournalRequest],
) (*connect.Response[platformpb.JournalResponse], error) {
	return connect.NewResponse(&platformpb.JournalResponse{}), nil
}

func checkAppend(msg *platformpb.AppendRequest) error {
	if err := checkStream(msg.GetStream()); err != nil {
		return err
	}
	if len(msg.GetRecords()) == 0 || len(msg.GetRecords()) > maxAppendRecords {
		return connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("%d records: want 1 to %d", len(msg.GetRecords()), maxAppendRecords))
	}
	total := 0
	for _, rec := range msg.GetRecords() {
		total += len(rec)
	}
	big := slices.ContainsFunc(msg.GetRecords(), func(rec []byte) bool {
		return len(rec) > maxRecordBytes
	})
	if big || total > maxAppendBytes {
		return connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("want at most %d bytes a record and %d an append", maxRecordBytes, maxAppendBytes))
	}
	return nil
}

func checkStream(name string) error {
	if name == "" || len(name) > maxStreamName {
		return connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("stream name: want 1 to %d bytes", maxStreamName))
	}
	return nil
}
