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
	rcp := wireReceipt{Life: msh.cfg.Life}
	now := msh.cfg.Now()
	msh.mu.Lock()
	per := msh.peer(dlv.From)
	arr := per.sort(dlv)
	if arr == outdated {
		msh.mu.Unlock()
		rcp.Reset = true
		return rcp
	}
	if arr == fresh && per.heard {
		msh.mu.Unlock()
		msh.lose(per)
		msh.mu.Lock()
	}
	if arr == fresh {
		per.begin(dlv)
		signal(per.wake)
	}
	per.heardAt, per.answeredAt = now, now
	repeat := arr == repeated
	per.inSequence = max(dlv.Sequence, 0)
	id := per.id()
	msh.mu.Unlock()
	if !repeat {
		msh.hdl.Heard(id, dlv.Beat.beat(), msh.messages(now, id, dlv))
	}
	bet := fromBeat(msh.hdl.Beat())
	rcp.Beat = &bet
	return rcp
}

// messages decodes the messages of a batch; those for an earlier life of this instance are not for this one.
func (msh *Mesh) messages(now time.Time, from shard.InstanceID, dlv *wireDelivery) []Message {
	if dlv.ToLife != msh.cfg.Life {
		return nil
	}
	var msgs []Message
	for idx := range dlv.Messages {
		if msg := dlv.Messages[idx].message(now, from); msg != nil {
			msgs = append(msgs, msg)
		}
	}
	return msgs
}
