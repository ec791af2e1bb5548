package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/request/verdict"
)

// recorder answers every call and keeps what it was asked.
type recorder struct {
	mu        sync.Mutex
	got       []any
	forwarded bool
	block     chan struct{}
	blocked   atomic.Int32
}

func (rec *recorder) keep(ctx context.Context, val any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.got = append(rec.got, val)
	rec.forwarded = rec.forwarded || Forwarded(ctx)
}

func (rec *recorder) last() any {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.got) == 0 {
		return nil
	}
	return rec.got[len(rec.got)-1]
}

func (rec *recorder) Heartbeat(ctx context.Context, hb member.Heartbeat) (member.Heartbeat, error) {
	rec.keep(ctx, hb)
	hb.From = "b"
	return hb, nil
}

func (rec *recorder) Borrow(ctx context.Context, bor dispatch.Borrow) (dispatch.Grant, error) {
	rec.keep(ctx, bor)
	lns := []dispatch.Loan{{Server: "s1", Slots: bor.Slots}}
	return dispatch.Grant{Loans: lns, Duration: time.Second, Free: 4}, nil
}

func (rec *recorder) Grant(ctx context.Context, grt dispatch.Grant) error {
	rec.keep(ctx, grt)
	return nil
}

func (rec *recorder) Return(ctx context.Context, ret dispatch.Return) error {
	rec.keep(ctx, ret)
	return nil
}

func (rec *recorder) BorrowUnits(ctx context.Context, bor limit.Borrow) (limit.Grant, error) {
	rec.keep(ctx, bor)
	lns := []limit.Loan{{Key: bor.Wants[0].Key, Units: bor.Wants[0].Units, Renewed: 1, Drain: true, Starts: 4, Again: 6}}
	return limit.Grant{Asked: bor.Asked, Loans: lns, For: time.Second}, nil
}

func (rec *recorder) GrantUnits(ctx context.Context, grt limit.Grant) error {
	rec.keep(ctx, grt)
	return nil
}

func (rec *recorder) ReturnUnits(ctx context.Context, ret limit.Return) error {
	rec.keep(ctx, ret)
	return nil
}

func (rec *recorder) HandOver(ctx context.Context, hov limit.HandOver) error {
	rec.keep(ctx, hov)
	return nil
}

func (rec *recorder) JobGet(ctx context.Context, id job.ID) (*callerpb.Progress, error) {
	rec.keep(ctx, id)
	return &callerpb.Progress{JobId: id.String(), Tasks: 3}, nil
}

func (rec *recorder) JobCancel(ctx context.Context, id job.ID) (*callerpb.Progress, error) {
	rec.keep(ctx, id)
	return nil, verdict.New(verdict.NotRun, "job-unknown").WithRetryAfter(3 * time.Second)
}

func (rec *recorder) JobAwait(ctx context.Context, _ job.ID) (*callerpb.Progress, error) {
	rec.blocked.Add(1)
	select {
	case <-rec.block:
		return &callerpb.Progress{State: callerpb.JobState_JOB_STATE_ENDED}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (rec *recorder) FindSubmission(_ context.Context, sub job.SubmissionID) (job.ID, bool, error) {
	return job.NewID("b", "7"), sub == "known", nil
}

func (rec *recorder) CatalogueSince(_ context.Context, offset uint64) (Records, error) {
	recs := []Record{{Offset: offset, Data: []byte("edit")}}
	return Records{Records: recs, Next: offset + 1, Earliest: 2}, nil
}

func (rec *recorder) JobAgain(ctx context.Context, id job.ID) (*callerpb.SubmitRequest, error) {
	rec.keep(ctx, id)
	return &callerpb.SubmitRequest{CatalogueEntry: "riga/export", Tasks: []*callerpb.Task{{Payload: []byte("slide")}}}, nil
}

// listed has every field set, so that a codec that drops one shows.
var listed = member.Instance{
	ID: "s1", Incarnation: "life-2", Kind: member.KindServer, Address: "s1:1", PeerAddress: "s1:2",
	FailureDomain: "marousi", Rack: "rack-3", Worker: "worker-4", Leaving: true, Slots: 8,
	Capacity: job.Needs{Processors: 32, MemoryBytes: 128 << 30, Accelerators: 1},
}

func (rec *recorder) PoolList(context.Context) ([]member.Instance, error) {
	return []member.Instance{listed}, nil
}

func (rec *recorder) CatalogueSnapshot(context.Context) (Snapshot, error) {
	return Snapshot{Offset: 12, Data: make([]byte, 1<<10)}, nil
}

// link joins a client to a server by pipes, in the virtual time of a synctest bubble.
type link struct {
	net.Listener
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func newLink() *link {
	return &link{accept: make(chan net.Conn), done: make(chan struct{})}
}

func (lnk *link) Accept() (net.Conn, error) {
	select {
	case con := <-lnk.accept:
		return con, nil
	case <-lnk.done:
		return nil, net.ErrClosed
	}
}

func (lnk *link) Close() error {
	lnk.once.Do(func() { close(lnk.done) })
	return nil
}

// losing drops what is written to it once it is silent: the other end never learns of it.
type losing struct {
	net.Conn
	silent atomic.Bool
}

func (los *losing) Write(buf []byte) (int, error) {
	if los.silent.Load() {
		return len(buf), nil
	}
	return los.Conn.Write(buf)
}

func (lnk *link) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case lnk.accept <- far:
		return near, nil
	case <-lnk.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
