package entry

import (
	"context"
	"time"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/request/verdict"
)

// peerHandler answers peers; it implements peer.Handler.
type peerHandler struct{ ins *Instance }

// Heartbeat implements peer.Handler.
func (hdl peerHandler) Heartbeat(_ context.Context, hb member.Heartbeat) (member.Heartbeat, error) {
	return hdl.ins.heard(hb), nil
}

// Borrow implements peer.Handler.
func (hdl peerHandler) Borrow(_ context.Context, bor dispatch.Borrow) (dispatch.Grant, error) {
	var grt dispatch.Grant
	hdl.ins.decide(func(now time.Time) { grt = hdl.ins.dsp.HandleBorrow(now, bor) })
	return grt, nil
}

// Grant implements peer.Handler.
func (hdl peerHandler) Grant(_ context.Context, grt dispatch.Grant) error {
	hdl.ins.decide(func(now time.Time) { hdl.ins.dsp.HandleGrant(now, grt) })
	return nil
}

// Return implements peer.Handler.
func (hdl peerHandler) Return(_ context.Context, ret dispatch.Return) error {
	hdl.ins.decide(func(now time.Time) { hdl.ins.dsp.HandleReturn(now, ret) })
	return nil
}

// JobGet implements peer.Handler.
func (hdl peerHandler) JobGet(_ context.Context, id job.ID) (*callerpb.Progress, error) {
	rec := hdl.ins.table.byJob(id)
	if rec == nil {
		return nil, errUnknownJob
	}
	return rec.Progress(), nil
}

// JobCancel implements peer.Handler.
func (hdl peerHandler) JobCancel(_ context.Context, id job.ID) (*callerpb.Progress, error) {
	return hdl.ins.cancelOwn(id)
}

// JobAwait implements peer.Handler.
func (hdl peerHandler) JobAwait(ctx context.Context, id job.ID) (*callerpb.Progress, error) {
	rec := hdl.ins.table.byJob(id)
	if rec == nil {
		return nil, errUnknownJob
	}
	select {
	case <-rec.Ended():
		return rec.Progress(), nil
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, "caller-gave-up").WithCause(ctx.Err())
	}
}

// JobAgain implements peer.Handler.
func (hdl peerHandler) JobAgain(_ context.Context, id job.ID) (*callerpb.SubmitRequest, error) {
	spc, err := hdl.ins.againOwn(id)
	if err != nil {
		return nil, err
	}
	return caller.FromSpec(&spc), nil
}

// FindSubmission implements peer.Handler.
//
// Two resubmissions of one id that arrive at two instances at once ask each other. Each would wait
// for the other's decision, so the one with the smaller id goes first: it is told "not here" by the
// other, which looks once more before it decides.
func (hdl peerHandler) FindSubmission(ctx context.Context, sub job.SubmissionID) (job.ID, bool, error) {
	rec := hdl.ins.table.bySubmission(sub)
	if rec == nil {
		return job.ID{}, false, nil
	}
	if peer.Asker(ctx) < dispatch.PeerID(hdl.ins.cfg.ID) && rec.yield() {
		return job.ID{}, false, nil
	}
	select {
	case <-rec.decided:
	case <-ctx.Done():
		return job.ID{}, false, verdict.New(verdict.MayHaveRun, "not-decided").WithCause(ctx.Err())
	}
	if rec.refusal != nil {
		return job.ID{}, false, nil
	}
	return rec.jobID(), true, nil
}

// CatalogueSince implements peer.Handler.
func (hdl peerHandler) CatalogueSince(ctx context.Context, offset uint64) (peer.Records, error) {
	return hdl.ins.catalogue.RecordsSince(ctx, offset)
}

// CatalogueSnapshot implements peer.Handler.
func (hdl peerHandler) CatalogueSnapshot(ctx context.Context) (peer.Snapshot, error) {
	return hdl.ins.catalogue.PeerSnapshot(ctx)
}

// PoolList implements peer.Handler.
func (hdl peerHandler) PoolList(context.Context) ([]member.Instance, error) {
	return hdl.ins.view.poolList(), nil
}

// BorrowUnits implements peer.Handler.
func (hdl peerHandler) BorrowUnits(_ context.Context, bor limit.Borrow) (limit.Grant, error) {
	var grt limit.Grant
	hdl.ins.decide(func(now time.Time) { grt = hdl.ins.limits.BorrowAsked(now, bor) })
	return grt, nil
}

// GrantUnits implements peer.Handler.
func (hdl peerHandler) GrantUnits(_ context.Context, grt limit.Grant) error {
	hdl.ins.decide(func(now time.Time) { hdl.ins.limits.Granted(now, grt) })
	return nil
}

// ReturnUnits implements peer.Handler.
func (hdl peerHandler) ReturnUnits(_ context.Context, ret limit.Return) error {
	hdl.ins.decide(func(now time.Time) { hdl.ins.limits.Returned(now, ret) })
	return nil
}

// HandOver implements peer.Handler.
func (hdl peerHandler) HandOver(_ context.Context, hov limit.HandOver) error {
	hdl.ins.decide(func(now time.Time) { hdl.ins.limits.HandedOver(now, hov) })
	return nil
}
