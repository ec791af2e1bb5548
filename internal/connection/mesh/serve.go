package mesh

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/request/shard"
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
	con := rpc.Watch(raw, &msh.cnt, msh.cfg.CallTimeout)
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
	var dlv wireDelivery
	if req.Method != methodDeliver || req.Params == nil || json.Unmarshal(*req.Params, &dlv) != nil || dlv.From == "" {
		rem := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "want a delivery"}
		_ = cnn.ReplyWithError(ctx, req.ID, rem) // The connection is gone; there is nobody to tell.
		return
	}
	_ = cnn.Reply(ctx, req.ID, rcv.msh.take(&dlv)) // As above.
}

// take hands a batch to the Handler, once.
func (msh *Mesh) take(dlv *wireDelivery) wireReceipt {
	now := msh.cfg.Now()
	msh.mu.Lock()
	per := msh.peer(dlv.From)
	before := per.up
	current, was, ended := per.greet(dlv.greeting())
	next := current && dlv.Sequence > 0 && per.isNext(dlv.Sequence)
	if current {
		per.heardAt, per.answeredAt = now, now
	}
	if per.up != before || !current {
		// The other side is to hear at once that the session is up, or what it lacks for that.
		signal(per.wake)
	}
	id := per.id()
	rcp := wireReceipt{
		Life: per.own.life, Generation: per.own.generation,
		ToLife: per.other.life, ToGeneration: per.other.generation,
	}
	msh.mu.Unlock()
	if ended {
		msh.hdl.Lost(was)
	}
	if !current {
		return rcp
	}
	var msgs []Message
	if next {
		msgs = dlv.messages(now, id)
	}
	msh.hdl.Heard(id, dlv.Beat.beat(), msgs)
	bet := fromBeat(msh.hdl.Beat())
	rcp.Beat = &bet
	return rcp
}

// messages decodes the messages of a batch.
func (wir *wireDelivery) messages(now time.Time, from shard.InstanceID) []Message {
	var msgs []Message
	for idx := range wir.Messages {
		if msg := wir.Messages[idx].message(now, from); msg != nil {
			msgs = append(msgs, msg)
		}
	}
	return msgs
}
