package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/request/verdict"
)

func peerID(txt string) dispatch.PeerID { return dispatch.PeerID(txt) }

// method answers one request of a peer.
type method func(ctx context.Context, ses *session, params json.RawMessage) (any, error)

var methods = map[string]method{
	methodHeartbeat:         heartbeat,
	methodBorrow:            borrow,
	methodGrant:             grantSlots,
	methodReturn:            returnSlots,
	methodBorrowUnits:       borrowUnits,
	methodGrantUnits:        grantUnits,
	methodReturnUnits:       returnUnits,
	methodHandOver:          handOver,
	methodJobGet:            jobMethod(Handler.JobGet),
	methodJobCancel:         jobMethod(Handler.JobCancel),
	methodJobAwait:          jobMethod(Handler.JobAwait),
	methodFindSubmission:    findSubmission,
	methodCatalogueSince:    catalogueSince,
	methodCatalogueSnapshot: catalogueSnapshot,
	methodPoolList:          poolList,
	methodJobAgain:          jobAgain,
}

// oneWay has the methods that are sent without a reply, which would be a wasted message: if an offer or
// a return of slots is lost, the loan still ends by its time.
var oneWay = map[string]bool{
	methodGrant:  true,
	methodReturn: true,
}

func (ses *session) handle(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	mth, ok := methods[req.Method]
	if !ok || req.Params == nil {
		return nil, verdict.New(verdict.NotRun, ReasonMalformed)
	}
	return mth(ctx, ses, *req.Params)
}

func decode[T any](params json.RawMessage) (T, error) {
	var wir T
	if err := json.Unmarshal(params, &wir); err != nil {
		return wir, verdict.New(verdict.NotRun, ReasonMalformed).WithCause(err)
	}
	return wir, nil
}

func heartbeat(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireHeartbeat](params)
	if err != nil {
		return nil, err
	}
	hb := toHeartbeat(wir)
	// Who speaks is what the hello said; a heartbeat can't speak for another instance.
	hb.From, hb.Incarnation = ses.from.ID, ses.from.Incarnation
	rep, err := ses.srv.hdl.Heartbeat(ctx, hb)
	return fromHeartbeat(rep), err
}

func borrow(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireBorrow](params)
	if err != nil {
		return nil, err
	}
	bor := dispatch.Borrow{
		Peer: ses.from.ID, Slots: wir.Slots, Free: wir.Free, RunTime: millis(wir.RunMillis), NoOffers: wir.Once,
	}
	grt, err := ses.srv.hdl.Borrow(ctx, bor)
	return wireLoans{Loans: fromLoans(grt.Loans), ForMillis: grt.Duration.Milliseconds(), Free: grt.Free}, err
}

func grantSlots(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireLoans](params)
	if err != nil {
		return nil, err
	}
	grt := dispatch.Grant{Peer: ses.from.ID, Loans: toLoans(wir.Loans), Duration: millis(wir.ForMillis), Free: wir.Free}
	return wireEmpty{}, ses.srv.hdl.Grant(ctx, grt)
}

func returnSlots(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireLoans](params)
	if err != nil {
		return nil, err
	}
	ret := dispatch.Return{Peer: ses.from.ID, Loans: toLoans(wir.Loans), Free: wir.Free}
	return wireEmpty{}, ses.srv.hdl.Return(ctx, ret)
}

func borrowUnits(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireUnitLoans](params)
	if err != nil {
		return nil, err
	}
	bor := limit.Borrow{Peer: ses.from.ID, Asked: time.Duration(wir.AskedNanos), Wants: toWants(wir.Units)}
	grt, err := ses.srv.hdl.BorrowUnits(ctx, bor)
	return fromGrant(grt), err
}

func grantUnits(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireUnitLoans](params)
	if err != nil {
		return nil, err
	}
	return wireEmpty{}, ses.srv.hdl.GrantUnits(ctx, toGrant(ses.from.ID, wir))
}

func returnUnits(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireUnitLoans](params)
	if err != nil {
		return nil, err
	}
	ret := limit.Return{Peer: ses.from.ID, Asked: time.Duration(wir.AskedNanos), Loans: toUnitLoans(wir.Units)}
	return wireEmpty{}, ses.srv.hdl.ReturnUnits(ctx, ret)
}

func handOver(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireUnitLoans](params)
	if err != nil {
		return nil, err
	}
	hov := limit.HandOver{
		Peer: ses.from.ID, Peers: toPeers(wir.Peers), Please: wir.Please,
		HoldFor: millis(wir.HoldMillis), InUse: toUnitLoans(wir.Units),
	}
	return wireEmpty{}, ses.srv.hdl.HandOver(ctx, hov)
}

func jobMethod(call func(Handler, context.Context, job.ID) (*callerpb.Progress, error)) method {
	return func(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
		wir, err := decode[wireJob](params)
		if err != nil {
			return nil, err
		}
		id, err := job.ParseID(wir.Job)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, ReasonMalformed).WithCause(err)
		}
		if wir.Forwarded {
			ctx = withForwarded(ctx)
		}
		prg, err := call(ses.srv.hdl, ctx, id)
		if err != nil {
			return nil, err
		}
		return fromProgress(prg)
	}
}

func findSubmission(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireSubmission](params)
	if err != nil {
		return nil, err
	}
	ctx = withAsker(ctx, ses.from.ID)
	id, found, err := ses.srv.hdl.FindSubmission(ctx, job.SubmissionID(wir.Submission))
	if err != nil || !found {
		return wireFound{}, err
	}
	return wireFound{Job: id.String()}, nil
}

func catalogueSince(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireSince](params)
	if err != nil {
		return nil, err
	}
	rcs, err := ses.srv.hdl.CatalogueSince(ctx, wir.Offset)
	rep := wireRecords{Next: rcs.Next, Earliest: rcs.Earliest}
	for _, rec := range rcs.Records {
		rep.Records = append(rep.Records, wireRecord(rec))
	}
	return rep, err
}

func catalogueSnapshot(ctx context.Context, ses *session, _ json.RawMessage) (any, error) {
	snp, err := ses.srv.hdl.CatalogueSnapshot(ctx)
	return wireRecord(snp), err
}
