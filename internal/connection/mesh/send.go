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

// line is the connection on which a peer is called.
type line struct {
	cnn     *jsonrpc2.Conn
	address string
}

// runPeer delivers batches to a peer, one at a time, whenever there is something to send or a beat is due.
func (msh *Mesh) runPeer(ctx context.Context, per *peer) error {
	var lin line
	defer lin.drop()
	for {
		gone := lin.gone()
		select {
		case <-ctx.Done():
			return nil
		case <-per.wake:
		case <-gone:
			// The process at the other end may have died; a dial shows it at once.
		case <-time.After(msh.interval(per)):
			if msh.informed(per) {
				continue
			}
		}
		if err := msh.deliver(ctx, per, &lin); err != nil && ctx.Err() == nil {
			lin.drop()
			msh.failed(ctx, per, err)
		}
	}
}

// interval returns the pause until a peer is called again. The pauses with those that are called seldom differ, so that they are not
// called all at once.
func (msh *Mesh) interval(per *peer) time.Duration {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if per.interval <= msh.cfg.HeartbeatInterval {
		return per.interval
	}
	part := xxhash.Sum64String(msh.cfg.Name+" "+per.name) % spreadParts
	return per.interval/2 + per.interval*time.Duration(part)/spreadParts
}

// spreadParts is into how many parts the pauses are spread.
const spreadParts = 64

// informed reports whether the peer has called within the interval, and so was told the beat.
func (msh *Mesh) informed(per *peer) bool {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return per.up && msh.cfg.Now().Sub(per.answeredAt) < per.interval
}

// failed deals with a batch that has no receipt: a refused dial proves that the process is gone, anything
// else is tried again on a fresh connection until the silence has lasted too long.
func (msh *Mesh) failed(ctx context.Context, per *peer, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		msh.lose(per, Refused)
	}
	msh.mu.Lock()
	heard := per.up
	if heard && !per.unheardSince(per.failingSince) {
		per.failingSince = msh.cfg.Now()
	}
	msh.mu.Unlock()
	pause := msh.cfg.HeartbeatInterval
	if heard {
		pause = retryPause
		signal(per.wake)
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// retryPause is the pause between tries to reach a peer that was heard a moment ago.
const retryPause = 10 * time.Millisecond

func (lin *line) gone() <-chan struct{} {
	if lin.cnn == nil {
		return nil
	}
	return lin.cnn.DisconnectNotify()
}

func (lin *line) drop() {
	if lin.cnn != nil {
		_ = lin.cnn.Close() // It may be closed already.
		lin.cnn = nil
	}
}

// deliver sends what is waiting, or the batch whose receipt did not come, and takes the receipt in.
func (msh *Mesh) deliver(ctx context.Context, per *peer, lin *line) error {
	patience := msh.patience(per)
	began := msh.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	dlv, address := msh.batch(per)
	if address == "" {
		return nil
	}
	if err := msh.connect(ctx, lin, address); err != nil {
		return err
	}
	data, err := proto.Marshal(dlv)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	msh.cnt.CountCall()
	var ans []byte
	err = lin.cnn.Call(ctx, methodDeliver, data, &ans)
	msh.took(per, msh.cfg.Now().Sub(began))
	if err != nil {
		return errors.Wrap(err, "deliver")
	}
	rcp := &meshpb.Receipt{}
	if err := proto.Unmarshal(ans, rcp); err != nil {
		return errors.Wrap(err, "receipt")
	}
	msh.receipt(per, began, dlv, rcp)
	return nil
}

// patience returns how long to wait for a receipt. Two links on which starts queue take longer than a sound way ever does;
// a batch that is sent again on a fresh connection then comes even later, until the peer is missed that is fine.
func (msh *Mesh) patience(per *peer) time.Duration {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	return per.receipts.Patience(msh.cfg.CallTimeout, time.Duration(msh.cfg.MissedHeartbeats)*msh.cfg.HeartbeatInterval)
}

func (msh *Mesh) took(per *peer, dur time.Duration) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	per.receipts.Add(dur)
}

// batch returns what is to be delivered next.
func (msh *Mesh) batch(per *peer) (*meshpb.Delivery, string) {
	// The age is taken first: what the beat says is no older. The Handler may call Send under its own lock.
	now := msh.cfg.Now()
	bet := msh.hdl.Heartbeat()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if per.up && !per.counted && len(per.outbox) > 0 {
		per.sending, per.outbox, per.counted = per.outbox, nil, true
		per.sendingBytes, per.waitingBytes = per.waitingBytes, 0
		per.sequence++
	}
	if len(per.sending) > 0 {
		per.waitsSince(now)
	}
	dlv := &meshpb.Delivery{
		From: msh.cfg.Name, Address: msh.cfg.Address, Own: per.own.encode(), Other: per.other.encode(),
		Beat:      encodeBeat(per.news(bet)),
		AgeMicros: msh.age(now).Microseconds(), HeardAgeMicros: per.heardAge.Microseconds(),
	}
	if !per.counted || msh.outdated(per, now) {
		return dlv, per.address // It has a beat only, and no number.
	}
	dlv.Sequence = per.sequence
	for _, msg := range per.sending {
		add(dlv, now, msg)
	}
	return dlv, per.address
}

func (msh *Mesh) connect(ctx context.Context, lin *line, address string) error {
	if lin.cnn != nil && lin.address == address {
		select {
		case <-lin.cnn.DisconnectNotify():
		default:
			return nil
		}
	}
	lin.drop()
	raw, err := msh.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	con := rpc.WrapConn(raw, &msh.cnt, msh.cfg.CallTimeout)
	// The connection outlives the call that opened it, so it isn't bound to the call's context.
	lin.cnn = rpc.NewConn(context.Background(), con, maxMessage, rpc.RefuseAll{})
	lin.address = address
	return nil
}

// receipt takes in the answer to a batch that began to be sent at a time.
func (msh *Mesh) receipt(per *peer, began time.Time, dlv *meshpb.Delivery, rcp *meshpb.Receipt) {
	per.turn.Lock()
	defer per.turn.Unlock()
	msh.mu.Lock()
	now := msh.cfg.Now()
	current, was, ended := per.greet(now, greetingOf(rcp))
	if current && !rcp.GetStale() && per.counted && per.sequence == dlv.GetSequence() && greetingOf(dlv).from == per.own {
		msh.outstanding.Add(-per.delivered(now))
	}
	if current {
		// The receipt is from the life of the session: it proves that the peer was there when the batch came.
		per.noteAge(now, ageOf(rcp))
		msh.noteHeard(per, now, began)
	}
	if current && len(per.sending) > 0 {
		signal(per.wake) // The peer has not taken them, as the time that the batch told was too old.
	}
	msh.forget(per)
	id, heardAt := per.id(), per.heardAt
	bet := decodeBeat(rcp.GetBeat())
	if current && rcp.GetBeat() != nil {
		bet = per.newest(bet, ageOf(rcp).own)
		// Without a beat of its own the peer has taken none: it did not know the session yet.
		if dvs := decodeBeat(dlv.GetBeat()).Divisions; len(dvs) > 0 {
			per.toldDivisions = dvs
		}
	}
	msh.mu.Unlock()
	if ended {
		msh.hdl.HandleInstanceLost(was, Reset)
	}
	if current && rcp.GetBeat() != nil {
		msh.hdl.HandleBatch(id, heardAt, bet, nil)
	}
}
