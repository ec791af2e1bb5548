package entry

import (
	"time"

	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/limit"
)

// actLimits carries out what the limits decided; it runs under mu.
func (ins *Instance) actLimits(now time.Time) {
	act := ins.limits.Actions(now)
	for _, bor := range act.Borrows {
		ins.borrowUnits(bor)
	}
	for _, grt := range act.Grants {
		ins.tell(grt.Peer, metrics.Loan, func(tgt peer.Target) error {
			return ins.peers.GrantUnits(ins.ctx, tgt, grt)
		}, nil)
	}
	for _, ret := range act.Returns {
		ins.tell(ret.Peer, metrics.Return, func(tgt peer.Target) error {
			return ins.peers.ReturnUnits(ins.ctx, tgt, ret)
		}, nil)
	}
	for _, hov := range act.HandOvers {
		ins.tell(hov.Peer, metrics.Return, func(tgt peer.Target) error {
			return ins.peers.HandOver(ins.ctx, tgt, hov)
		}, func(now time.Time) { ins.limits.HandOverFailed(now, hov) })
	}
}

// tell makes a call to a peer in the group; failed, if set, takes in that it did not get through.
func (ins *Instance) tell(id dispatch.PeerID, knd metrics.Kind, call func(peer.Target) error, failed func(time.Time)) {
	ins.metrics.Count(knd, 1)
	ins.group.Go(func() error {
		tgt, err := ins.target(id)
		if err == nil {
			err = call(tgt)
			ins.peerEvidence(id, err)
		}
		if err != nil && failed != nil {
			ins.decide(failed)
		}
		return nil
	})
}

func (ins *Instance) borrowUnits(bor limit.Borrow) {
	ins.metrics.Count(metrics.Borrow, 1)
	ins.group.Go(func() error {
		grt, err := ins.callBorrowUnits(bor)
		ins.decide(func(now time.Time) {
			if err != nil {
				ins.limits.BorrowFailed(now, bor)
				return
			}
			ins.limits.Granted(now, grt)
		})
		return nil
	})
}

func (ins *Instance) callBorrowUnits(bor limit.Borrow) (limit.Grant, error) {
	tgt, err := ins.target(bor.Peer)
	if err != nil {
		return limit.Grant{}, err
	}
	grt, err := ins.peers.BorrowUnits(ins.ctx, tgt, bor)
	ins.peerEvidence(bor.Peer, err)
	if err == nil {
		ins.metrics.Count(metrics.Loan, 1)
	}
	return grt, err
}
