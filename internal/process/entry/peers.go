package entry

import (
	"context"
	"time"

	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

// borrow asks a peer for idle slots. It runs under mu, so the call itself goes to the group.
func (ins *Instance) borrow(bor dispatch.Borrow) {
	ins.metrics.Count(metrics.Borrow, 1)
	ins.group.Go(func() error {
		grt, err := ins.callBorrow(bor)
		ins.decide(func(now time.Time) {
			if err != nil {
				ins.dsp.HandlePeerFailure(now, bor.Peer)
				return
			}
			ins.dsp.HandleGrant(now, grt)
		})
		return nil
	})
}

func (ins *Instance) callBorrow(bor dispatch.Borrow) (dispatch.Grant, error) {
	tgt, err := ins.target(bor.Peer)
	if err != nil {
		return dispatch.Grant{}, err
	}
	grt, err := ins.peers.Borrow(ins.ctx, tgt, bor)
	ins.peerEvidence(bor.Peer, err)
	if err == nil {
		ins.metrics.Count(metrics.Loan, 1)
	}
	return grt, err
}

// offer lends slots that a peer asked for earlier. An offer that is lost costs nothing but time:
// the loan expires.
func (ins *Instance) offer(off dispatch.Offer) {
	ins.metrics.Count(metrics.Loan, 1)
	ins.group.Go(func() error {
		tgt, err := ins.target(off.To)
		if err == nil {
			err = ins.peers.Grant(ins.ctx, tgt, off.Grant)
			ins.peerEvidence(off.To, err)
		}
		return nil
	})
}

// giveBack returns lent slots. A return that is lost costs nothing but time: the loan expires.
func (ins *Instance) giveBack(ret dispatch.Return) {
	ins.metrics.Count(metrics.Return, 1)
	ins.group.Go(func() error {
		tgt, err := ins.target(ret.Peer)
		if err == nil {
			err = ins.peers.Return(ins.ctx, tgt, ret)
			ins.peerEvidence(ret.Peer, err)
		}
		return nil
	})
}

func (ins *Instance) findAtPeer(ctx context.Context, id job.ID) (*peerTicket, error) {
	tgt, err := ins.holder(ctx, id)
	if err != nil {
		return nil, err
	}
	ins.metrics.Count(metrics.Forward, 1)
	prg, err := ins.peers.JobGet(ctx, tgt, id)
	if err != nil {
		return nil, err
	}
	return ins.newPeerTicket(ctx, tgt, id, prg), nil
}

func (ins *Instance) cancelAtPeer(ctx context.Context, id job.ID) (*callerpb.Progress, error) {
	tgt, err := ins.holder(ctx, id)
	if err != nil {
		return nil, err
	}
	ins.metrics.Count(metrics.Forward, 1)
	return ins.peers.JobCancel(ctx, tgt, id)
}

// holder returns the entry instance that a job id names. One that was replaced took its jobs with
// it: what they did is not known.
func (ins *Instance) holder(ctx context.Context, id job.ID) (peer.Target, error) {
	if peer.Forwarded(ctx) {
		return peer.Target{}, verdict.New(verdict.MayHaveRun, peer.ReasonLoop)
	}
	self, _, ok := splitName(id.Instance())
	if !ok {
		return peer.Target{}, errUnknownJob
	}
	tgt, err := ins.target(self)
	if err != nil {
		return peer.Target{}, errUnknownJob.WithCause(err)
	}
	return tgt, nil
}

// peerTicket is a job at another entry instance; it implements caller.Ticket.
type peerTicket struct {
	ended chan struct{}
	get   func() *callerpb.Progress
	final *callerpb.Progress
}

// newPeerTicket waits for the end of the job at the peer for as long as the caller does.
func (ins *Instance) newPeerTicket(ctx context.Context, tgt peer.Target, id job.ID, prg *callerpb.Progress) *peerTicket {
	if prg.GetAnswer() != nil {
		return newEndedTicket(prg)
	}
	tic := &peerTicket{ended: make(chan struct{})}
	tic.get = func() *callerpb.Progress {
		cur, err := ins.peers.JobGet(ctx, tgt, id)
		if err != nil {
			return prg
		}
		return cur
	}
	ins.group.Go(func() error {
		fin, err := ins.peers.JobAwait(ctx, tgt, id)
		if err != nil || fin.GetAnswer() == nil {
			fin = lostAtPeer(prg, err)
		}
		tic.final = fin
		close(tic.ended)
		return nil
	})
	return tic
}

// newEndedTicket returns a ticket for a job whose answer is there.
func newEndedTicket(fin *callerpb.Progress) *peerTicket {
	tic := &peerTicket{ended: make(chan struct{}), final: fin}
	close(tic.ended)
	return tic
}

// lostAtPeer is the honest end of a job whose entry instance went out of reach.
func lostAtPeer(prg *callerpb.Progress, err error) *callerpb.Progress {
	reason := "peer-lost"
	if err != nil {
		reason = asVerdict(err).Reason()
	}
	return &callerpb.Progress{
		JobId:        prg.GetJobId(),
		SubmissionId: prg.GetSubmissionId(),
		State:        callerpb.JobState_JOB_STATE_ENDED,
		Tasks:        prg.GetTasks(),
		Answer: &callerpb.Answer{
			JobId:        prg.GetJobId(),
			SubmissionId: prg.GetSubmissionId(),
			Verdict:      callerpb.Verdict_VERDICT_MAY_HAVE_RUN,
			Reason:       reason,
		},
	}
}

// Ended implements caller.Ticket.
func (tic *peerTicket) Ended() <-chan struct{} { return tic.ended }

// Progress implements caller.Ticket.
func (tic *peerTicket) Progress() *callerpb.Progress {
	select {
	case <-tic.ended:
		return tic.final
	default:
		return tic.get()
	}
}
