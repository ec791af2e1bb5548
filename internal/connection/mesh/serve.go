package mesh

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/connection/rpc"
)

// serve accepts connections of other instances and handles their batches until ctx is done.
func (msh *Mesh) serve(ctx context.Context, lis net.Listener) error {
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error {
		<-ctx.Done()
		return lis.Close()
	})
	grp.Go(func() error {
		for {
			con, err := lis.Accept()
			if ctx.Err() != nil {
				if err == nil {
					// Left open, the connection would block the caller until its write deadline.
					_ = con.Close()
				}
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "accept peer connection")
			}
			grp.Go(func() error {
				msh.serveConn(ctx, con)
				return nil
			})
		}
	})
	return grp.Wait()
}

// serveConn handles the batches of one connection until it is closed or ctx is done.
func (msh *Mesh) serveConn(ctx context.Context, raw net.Conn) {
	con := rpc.WrapConn(raw, &msh.cnt, msh.cfg.CallTimeout)
	cnn := rpc.NewConn(ctx, con, maxFrame, deliveryHandler{msh: msh})
	select {
	case <-cnn.DisconnectNotify():
	case <-ctx.Done():
		_ = cnn.Close() // It may be closed already.
	}
}

// deliveryHandler handles batches in the order of their arrival.
type deliveryHandler struct{ msh *Mesh }

// Handle implements jsonrpc2.Handler.
func (hdl deliveryHandler) Handle(ctx context.Context, cnn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	dlv, err := hdl.msh.decodeDelivery(req)
	if err == nil {
		var data []byte
		if data, err = proto.Marshal(hdl.msh.handleDelivery(dlv)); err == nil {
			_ = cnn.Reply(ctx, req.ID, data) // An error means that the connection is closed; the peer sends the batch again.
			return
		}
	}
	rem := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	_ = cnn.ReplyWithError(ctx, req.ID, rem) // As above.
}

// decodeDelivery returns the batch in a request, or an error that says what is wrong with the request. A batch for another instance is refused: its
// machine may have had this address before.
func (msh *Mesh) decodeDelivery(req *jsonrpc2.Request) (*meshpb.Delivery, error) {
	if req.Method != methodDeliver || req.Params == nil {
		return nil, errors.New("expected a deliver request with parameters")
	}
	var data []byte
	if err := json.Unmarshal(*req.Params, &data); err != nil {
		return nil, errors.Wrap(err, "delivery")
	}
	dlv := &meshpb.Delivery{}
	if err := proto.Unmarshal(data, dlv); err != nil {
		return nil, errors.Wrap(err, "delivery")
	}
	if dlv.GetFrom() == "" {
		return nil, errors.New("delivery without a sender")
	}
	if to := dlv.GetTo(); to != "" && to != msh.cfg.Name {
		return nil, errors.Newf("delivery for %s at %s", to, msh.cfg.Name)
	}
	return dlv, nil
}

// handleDelivery passes the heartbeat of a batch to the Handler, and its messages if the batch is fresh and not yet accepted, and
// returns the receipt.
func (msh *Mesh) handleDelivery(dlv *meshpb.Delivery) *meshpb.Receipt {
	msh.mu.Lock()
	per := msh.peer(dlv.GetFrom())
	msh.mu.Unlock()
	// A batch that was sent again may arrive while its first copy is still being handled.
	per.eventMu.Lock()
	defer per.eventMu.Unlock()
	msh.mu.Lock()
	now := msh.cfg.Now()
	before := per.established
	if adr := dlv.GetAddress(); adr != "" && !decodeEpoch(dlv.GetOwn()).before(per.peerEpoch) {
		// The platform's store may be unreachable while the peer's machine was replaced by one with another address, so the
		// address that the peer itself sends is used.
		per.address = adr
	}
	current, former, ended := per.updateSession(now, sessionEpochsOf(dlv))
	sent := msh.earliestSendTime(now, processAgesOf(dlv))
	fresh := msh.isFresh(now, sent)
	next := current && fresh && dlv.GetSequence() > 0 && per.accept(dlv.GetSequence())
	if current {
		per.notePeerAge(now, processAgesOf(dlv))
		msh.noteHeard(per, now, sent)
		per.repliedAt = now
	}
	if per.established != before || !current {
		// The peer needs a batch at once, to learn that the session is established or which epoch it lacks for that.
		signal(per.wake)
	}
	msh.subtractDropped(per)
	id, aliveAt := per.id(), per.aliveAt
	hbt := decodeHeartbeat(dlv.GetBeat())
	if current {
		hbt = per.mergeHeartbeat(hbt, processAgesOf(dlv).own)
	}
	rcp := &meshpb.Receipt{
		Own: per.ownEpoch.encode(), Other: per.peerEpoch.encode(), Stale: !fresh,
		AgeMicros: msh.processAge(now).Microseconds(), HeardAgeMicros: per.peerAge.Microseconds(),
	}
	msh.mu.Unlock()
	if ended {
		msh.hdl.HandleInstanceLost(former, Reset)
	}
	if !current {
		return rcp
	}
	var msgs []Message
	if next {
		msgs = decodeMessages(dlv, now, id)
	}
	if num := len(dlv.GetMessages()); num > 0 && !fresh {
		msh.hdl.HandleStaleBatch(id, now.Sub(sent), num)
	}
	msh.hdl.HandleBatch(id, aliveAt, hbt, msgs)
	// The age is taken before the heartbeat, which is therefore at least as new.
	rcp.AgeMicros = msh.processAge(msh.cfg.Now()).Microseconds()
	own := msh.hdl.Heartbeat()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	rcp.Beat = encodeHeartbeat(per.withoutAckedDivisions(own))
	return rcp
}
