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

// serve accepts connections until ctx is done.
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
					// Left open, it would hold the caller up until its write deadline.
					_ = con.Close()
				}
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "accept a peer")
			}
			grp.Go(func() error {
				msh.serveConn(ctx, con)
				return nil
			})
		}
	})
	return grp.Wait()
}

func (msh *Mesh) serveConn(ctx context.Context, raw net.Conn) {
	con := rpc.WrapConn(raw, &msh.cnt, msh.cfg.CallTimeout)
	cnn := rpc.NewConn(ctx, con, maxMessage, receiver{msh: msh})
	select {
	case <-cnn.DisconnectNotify():
	case <-ctx.Done():
		_ = cnn.Close() // It may be closed already.
	}
}

// receiver takes batches in the order of their arrival.
type receiver struct{ msh *Mesh }

// Handle implements jsonrpc2.Handler.
func (rcv receiver) Handle(ctx context.Context, cnn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	dlv, err := decodeDelivery(req)
	if err == nil {
		var data []byte
		if data, err = proto.Marshal(rcv.msh.take(dlv)); err == nil {
			_ = cnn.Reply(ctx, req.ID, data) // The connection is gone; there is nobody to tell.
			return
		}
	}
	rem := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	_ = cnn.ReplyWithError(ctx, req.ID, rem) // As above.
}

func decodeDelivery(req *jsonrpc2.Request) (*meshpb.Delivery, error) {
	if req.Method != methodDeliver || req.Params == nil {
		return nil, errors.New("want a delivery")
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
	return dlv, nil
}

// take hands a batch to the Handler, once.
func (msh *Mesh) take(dlv *meshpb.Delivery) *meshpb.Receipt {
	msh.mu.Lock()
	per := msh.peer(dlv.GetFrom())
	msh.mu.Unlock()
	// A batch that its sender has sent again comes here while the first try is still at work.
	per.turn.Lock()
	defer per.turn.Unlock()
	msh.mu.Lock()
	now := msh.cfg.Now()
	before := per.up
	if adr := dlv.GetAddress(); adr != "" && !decodeEpoch(dlv.GetOwn()).before(per.other) {
		// The list may be out of reach, and the peer's machine may have been replaced by one at another address.
		per.address = adr
	}
	current, was, ended := per.greet(now, greetingOf(dlv))
	said := msh.sentAfter(now, ageOf(dlv))
	fresh := msh.isFresh(now, said)
	next := current && fresh && dlv.GetSequence() > 0 && per.isNext(dlv.GetSequence())
	if current {
		per.noteAge(now, ageOf(dlv))
		msh.noteHeard(per, now, said)
		per.answeredAt = now
	}
	if per.up != before || !current {
		// The other side is to hear at once that the session is up, or what it lacks for that.
		signal(per.wake)
	}
	msh.forget(per)
	id, heardAt := per.id(), per.heardAt
	bet := decodeBeat(dlv.GetBeat())
	if current {
		bet = per.newest(bet, ageOf(dlv).own)
	}
	rcp := &meshpb.Receipt{
		Own: per.own.encode(), Other: per.other.encode(), Stale: !fresh,
		AgeMicros: msh.age(now).Microseconds(), HeardAgeMicros: per.heardAge.Microseconds(),
	}
	msh.mu.Unlock()
	if ended {
		msh.hdl.HandleInstanceLost(was, Reset)
	}
	if !current {
		return rcp
	}
	var msgs []Message
	if next {
		msgs = decodeMessages(dlv, now, id)
	}
	if num := len(dlv.GetMessages()); num > 0 && !fresh {
		msh.hdl.HandleStaleBatch(id, now.Sub(said), num)
	}
	msh.hdl.HandleBatch(id, heardAt, bet, msgs)
	// The age is taken first: what the beat says is no older.
	rcp.AgeMicros = msh.age(msh.cfg.Now()).Microseconds()
	own := msh.hdl.Heartbeat()
	msh.mu.Lock()
	defer msh.mu.Unlock()
	rcp.Beat = encodeBeat(per.news(own))
	return rcp
}
