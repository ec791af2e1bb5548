package peer

import (
	"context"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/request/verdict"
)

// Heartbeat exchanges heartbeats with a peer.
func (cli *Client) Heartbeat(ctx context.Context, tgt Target, hb member.Heartbeat) (member.Heartbeat, error) {
	var rep wireHeartbeat
	if err := cli.call(ctx, tgt, methodHeartbeat, fromHeartbeat(hb), &rep); err != nil {
		return member.Heartbeat{}, err
	}
	return toHeartbeat(rep), nil
}

// Borrow asks a peer for idle slots; bor.Peer is who is asked, the grant's Peer who grants.
func (cli *Client) Borrow(ctx context.Context, tgt Target, bor dispatch.Borrow) (dispatch.Grant, error) {
	var rep wireLoans
	req := wireBorrow{Slots: bor.Slots, Free: bor.Free, RunMillis: bor.RunTime.Milliseconds(), Once: bor.NoOffers}
	if err := cli.call(ctx, tgt, methodBorrow, req, &rep); err != nil {
		return dispatch.Grant{}, err
	}
	return dispatch.Grant{
		Peer: tgt.ID, Loans: toLoans(rep.Loans), Duration: millis(rep.ForMillis), Free: rep.Free,
	}, nil
}

// Grant lends slots that a peer asked for earlier.
func (cli *Client) Grant(ctx context.Context, tgt Target, grt dispatch.Grant) error {
	req := wireLoans{Loans: fromLoans(grt.Loans), ForMillis: grt.Duration.Milliseconds(), Free: grt.Free}
	return cli.notify(ctx, tgt, methodGrant, req)
}

// Return gives slots back to a peer; as with Grant, nil means that it was written, not that it arrived.
func (cli *Client) Return(ctx context.Context, tgt Target, ret dispatch.Return) error {
	req := wireLoans{Loans: fromLoans(ret.Loans), Free: ret.Free}
	return cli.notify(ctx, tgt, methodReturn, req)
}

// BorrowUnits asks a peer for units of limits.
func (cli *Client) BorrowUnits(ctx context.Context, tgt Target, bor limit.Borrow) (limit.Grant, error) {
	var rep wireUnitLoans
	req := wireUnitLoans{Units: fromWants(bor.Wants), AskedNanos: int64(bor.Asked)}
	if err := cli.call(ctx, tgt, methodBorrowUnits, req, &rep); err != nil {
		return limit.Grant{}, err
	}
	return toGrant(tgt.ID, rep), nil
}

// GrantUnits lends units that a peer asked for earlier.
func (cli *Client) GrantUnits(ctx context.Context, tgt Target, grt limit.Grant) error {
	return cli.call(ctx, tgt, methodGrantUnits, fromGrant(grt), &wireEmpty{})
}

// ReturnUnits gives units of limits back to a peer.
func (cli *Client) ReturnUnits(ctx context.Context, tgt Target, ret limit.Return) error {
	req := wireUnitLoans{Units: fromUnitLoans(ret.Loans), AskedNanos: int64(ret.Asked)}
	return cli.call(ctx, tgt, methodReturnUnits, req, &wireEmpty{})
}

// HandOver tells a peer what this entry instance still uses of units that became the peer's.
func (cli *Client) HandOver(ctx context.Context, tgt Target, hov limit.HandOver) error {
	req := wireUnitLoans{
		Units: fromUnitLoans(hov.InUse), Peers: fromPeers(hov.Peers), Please: hov.Please,
		HoldMillis: hov.HoldFor.Milliseconds(),
	}
	return cli.call(ctx, tgt, methodHandOver, req, &wireEmpty{})
}

// JobGet returns where a job of a peer stands.
func (cli *Client) JobGet(ctx context.Context, tgt Target, id job.ID) (*callerpb.Progress, error) {
	return cli.jobCall(ctx, tgt, methodJobGet, id)
}

// JobCancel ends a job of a peer and returns where it stands.
func (cli *Client) JobCancel(ctx context.Context, tgt Target, id job.ID) (*callerpb.Progress, error) {
	return cli.jobCall(ctx, tgt, methodJobCancel, id)
}

// JobAwait waits for the end of a job of a peer; only ctx bounds it.
func (cli *Client) JobAwait(ctx context.Context, tgt Target, id job.ID) (*callerpb.Progress, error) {
	return cli.jobCall(ctx, tgt, methodJobAwait, id)
}

func (cli *Client) jobCall(
	ctx context.Context, tgt Target, method string, id job.ID,
) (*callerpb.Progress, error) {
	if Forwarded(ctx) {
		// Two entry instances that each take the other for the owner of a job would hand the
		// request back and forth until the caller's time is over.
		return nil, verdict.New(verdict.NotRun, ReasonLoop)
	}
	call := cli.call
	if method == methodJobAwait {
		call = cli.callUnbounded
	}
	var rep wireProgress
	if err := call(ctx, tgt, method, wireJob{Job: id.String(), Forwarded: true}, &rep); err != nil {
		return nil, err
	}
	return toProgress(rep)
}

// FindSubmission asks a peer which job a submission became there, if any.
func (cli *Client) FindSubmission(
	ctx context.Context, tgt Target, sub job.SubmissionID,
) (id job.ID, found bool, err error) {
	var rep wireFound
	if err := cli.call(ctx, tgt, methodFindSubmission, wireSubmission{Submission: string(sub)}, &rep); err != nil {
		return job.ID{}, false, err
	}
	if rep.Job == "" {
		return job.ID{}, false, nil
	}
	id, err = job.ParseID(rep.Job)
	return id, err == nil, err
}

// CatalogueSince returns the catalogue's records from an offset on, as far as a peer has them.
func (cli *Client) CatalogueSince(ctx context.Context, tgt Target, offset uint64) (Records, error) {
	var rep wireRecords
	if err := cli.call(ctx, tgt, methodCatalogueSince, wireSince{Offset: offset}, &rep); err != nil {
		return Records{}, err
	}
	rcs := Records{Next: rep.Next, Earliest: rep.Earliest}
	for _, rec := range rep.Records {
		rcs.Records = append(rcs.Records, Record(rec))
	}
	return rcs, nil
}

// CatalogueSnapshot returns the newest catalogue that a peer has.
func (cli *Client) CatalogueSnapshot(ctx context.Context, tgt Target) (Snapshot, error) {
	var rep wireRecord
	if err := cli.call(ctx, tgt, methodCatalogueSnapshot, wireEmpty{}, &rep); err != nil {
		return Snapshot{}, err
	}
	return Snapshot(rep), nil
}
