package mesh

import (
	"context"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/connection/rpc"
)

// callConn is the outgoing connection to a peer and the address that it was dialled at.
type callConn struct {
	cnn     *jsonrpc2.Conn
	address string
}

// runPeer sends batches to a peer, one at a time, whenever messages wait or a heartbeat is due, until ctx is done.
func (msh *Mesh) runPeer(ctx context.Context, per *peer) error {
	var ccn callConn
	defer ccn.disconnect()
	for {
		gone := ccn.disconnected()
		select {
		case <-ctx.Done():
			return nil
		case <-per.wake:
		case <-gone:
			// The peer's process may have ended; a refused dial proves it at once.
		case <-time.After(msh.callInterval(per)):
			if !msh.callIsDue(per) {
				continue
			}
		}
		if err := msh.deliver(ctx, per, &ccn); err != nil && ctx.Err() == nil {
			ccn.disconnect()
			msh.handleFailedCall(ctx, per, err)
		}
	}
}

// callInterval returns the time until a peer is called again. Intervals longer than the shortest one are spread by the names of
// the two instances, so that not all peers are called at once.
func (msh *Mesh) callInterval(per *peer) time.Duration {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if per.interval <= msh.cfg.HeartbeatInterval {
		return per.interval
	}
	part := xxhash.Sum64String(msh.cfg.Name+" "+per.name) % spreadParts
	return per.interval/2 + per.interval*time.Duration(part)/spreadParts
}

// spreadParts is the number of different lengths of an interval.
const spreadParts = 64

// callIsDue reports whether a peer is to be called after an interval without a call. If this instance answered a batch of the peer within that time, the
// receipt had the heartbeat that would be sent now; deferred messages must not wait for longer.
func (msh *Mesh) callIsDue(per *peer) bool {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return !per.established || len(per.outbox) > 0 || msh.cfg.Now().Sub(per.repliedAt) >= per.interval
}

// handleFailedCall deals with a batch that got no receipt. A refused dial proves that the peer's process has ended; after any
// other error the batch is sent again on a new connection until the peer is lost.
func (msh *Mesh) handleFailedCall(ctx context.Context, per *peer, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		msh.endSession(per, Refused)
	}
	msh.mu.Lock()
	established := per.established
	if established && !per.unheardSince(per.failingSince) {
		per.failingSince = msh.cfg.Now()
	}
	msh.mu.Unlock()
	pause := msh.cfg.HeartbeatInterval
	if established {
		pause = retryDelay
		signal(per.wake)
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// retryDelay is the time between calls of a peer with an established session that can't be reached.
const retryDelay = 10 * time.Millisecond

// disconnected returns a channel that is closed once the connection ends; nil without a connection.
func (ccn *callConn) disconnected() <-chan struct{} {
	if ccn.cnn == nil {
		return nil
	}
	return ccn.cnn.DisconnectNotify()
}

// disconnect closes the connection, if there is one; the next call dials again.
func (ccn *callConn) disconnect() {
	if ccn.cnn != nil {
		_ = ccn.cnn.Close() // It may be closed already.
		ccn.cnn = nil
	}
}

// deliver sends the next batch, or once more the one without a receipt, and handles the receipt.
func (msh *Mesh) deliver(ctx context.Context, per *peer, ccn *callConn) error {
	timeout := msh.receiptTimeout(per)
	began := msh.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dlv, address := msh.nextBatch(per)
	if address == "" {
		return nil
	}
	if err := msh.connect(ctx, ccn, address); err != nil {
		return err
	}
	data, err := proto.Marshal(dlv)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	msh.cnt.CountCall()
	var ans []byte
	err = ccn.cnn.Call(ctx, methodDeliver, data, &ans)
	msh.noteAckTime(per, msh.cfg.Now().Sub(began))
	if err != nil {
		return errors.Wrap(err, "deliver")
	}
	rcp := &meshpb.Receipt{}
	if err := proto.Unmarshal(ans, rcp); err != nil {
		return errors.Wrap(err, "receipt")
	}
	msh.handleReceipt(per, began, dlv, rcp)
	return nil
}

// receiptTimeout returns how long to wait for a receipt: it grows with the times that receipts have taken. Where orders queue on
// the links of both sides, a receipt takes longer than CallTimeout. Sending the batch again on a new connection would delay it
// further, until a live peer is taken for lost.
func (msh *Mesh) receiptTimeout(per *peer) time.Duration {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return per.ackTimes.Timeout(msh.cfg.CallTimeout, time.Duration(msh.cfg.MissedHeartbeats)*msh.cfg.HeartbeatInterval)
}

// noteAckTime notes how long a receipt took or, after a failed call, how long the call lasted.
func (msh *Mesh) noteAckTime(per *peer, dur time.Duration) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	per.ackTimes.Observe(dur)
}

// nextBatch returns the batch to send next and the peer's address; the address is empty if it isn't known. It is the batch in flight
// if there is one, else one with the messages in the outbox. Without an established session, and while the peer's process age is
// outdated, it has only a heartbeat.
func (msh *Mesh) nextBatch(per *peer) (*meshpb.Delivery, string) {
	// The age is taken before the heartbeat, which is therefore at least as new. The lock isn't held yet, as the Handler may call
	// Send under its own lock.
	now := msh.cfg.Now()
	hbt := msh.hdl.Heartbeat()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if per.established && !per.numbered && len(per.outbox) > 0 {
		msh.unackedPayload.Add(per.takeBatch())
	}
	if len(per.inFlight) > 0 {
		per.startAckWait(now)
	}
	dlv := &meshpb.Delivery{
		From: msh.cfg.Name, To: per.name, Address: msh.cfg.Address, Own: per.ownEpoch.encode(), Other: per.peerEpoch.encode(),
		Beat:      encodeHeartbeat(per.withoutAckedDivisions(hbt)),
		AgeMicros: msh.processAge(now).Microseconds(), HeardAgeMicros: per.peerAge.Microseconds(),
	}
	if !per.numbered || msh.isPeerAgeOutdated(per, now) {
		return dlv, per.address // It has only a heartbeat, and no sequence number.
	}
	dlv.Sequence = per.sentSequence
	for _, msg := range per.inFlight {
		appendMessage(dlv, now, msg)
	}
	return dlv, per.address
}

// connect dials the peer unless the connection is open and leads to its address.
func (msh *Mesh) connect(ctx context.Context, ccn *callConn, address string) error {
	if ccn.cnn != nil && ccn.address == address {
		select {
		case <-ccn.cnn.DisconnectNotify():
		default:
			return nil
		}
	}
	ccn.disconnect()
	raw, err := msh.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	con := rpc.WrapConn(raw, &msh.cnt, msh.cfg.CallTimeout)
	// The connection is used beyond the call that opened it, so it isn't bound to the call's context.
	ccn.cnn = rpc.NewConn(context.Background(), con, maxFrame, rpc.RefuseAll{})
	ccn.address = address
	return nil
}

// handleReceipt handles the receipt of a batch whose sending began at a time.
func (msh *Mesh) handleReceipt(per *peer, began time.Time, dlv *meshpb.Delivery, rcp *meshpb.Receipt) {
	per.eventMu.Lock()
	defer per.eventMu.Unlock()
	msh.mu.Lock()
	now := msh.cfg.Now()
	current, former, ended := per.updateSession(now, sessionEpochsOf(rcp))
	if current && !rcp.GetStale() && per.numbered && per.sentSequence == dlv.GetSequence() && sessionEpochsOf(dlv).from == per.ownEpoch {
		msh.unackedPayload.Add(-per.acknowledge(now))
	}
	if current {
		// The receipt belongs to the current session, so the peer was alive when it received the batch.
		per.notePeerAge(now, processAgesOf(rcp))
		msh.noteHeard(per, now, began)
	}
	if current && len(per.inFlight) > 0 {
		// The peer rejected the batch as stale, or the messages were left out as the peer's process age was outdated; send them now.
		signal(per.wake)
	}
	msh.subtractDropped(per)
	id, aliveAt := per.id(), per.aliveAt
	hbt := decodeHeartbeat(rcp.GetBeat())
	if current && rcp.GetBeat() != nil {
		hbt = per.mergeHeartbeat(hbt, processAgesOf(rcp).own)
		// A receipt without a heartbeat comes from a peer that did not know the session yet and ignored the heartbeat of the batch.
		if dvs := decodeHeartbeat(dlv.GetBeat()).Divisions; len(dvs) > 0 {
			per.ackedDivisions = dvs
		}
	}
	msh.mu.Unlock()
	if ended {
		msh.hdl.HandleInstanceLost(former, Reset)
	}
	if current && rcp.GetBeat() != nil {
		msh.hdl.HandleBatch(id, aliveAt, hbt, nil)
	}
}
