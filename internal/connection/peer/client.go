package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutstack/internal/connection/rpc"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/verdict"
)

// DialFunc opens a connection; net.Dialer's DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers, over one connection to each.
type Client struct {
	cfg  Config
	dial DialFunc
	cnt  rpc.Counters

	mu    sync.Mutex
	lines map[dispatch.PeerID]*line
}

// line is the way to one peer. turn is a lock that a caller can give up on when its time is over.
type line struct {
	turn    chan struct{}
	address string
	cnn     *jsonrpc2.Conn
	con     *rpc.Conn
}

// NewClient returns a Client that has no connection yet.
func NewClient(cfg Config, dial DialFunc) *Client {
	return &Client{cfg: cfg, dial: dial, lines: make(map[dispatch.PeerID]*line)}
}

// Stats returns the bytes and calls since the start.
func (cli *Client) Stats() rpc.Stats { return cli.cnt.Stats() }

// Forget closes the connection to a peer that is gone and drops what is kept for it.
func (cli *Client) Forget(id dispatch.PeerID) {
	cli.mu.Lock()
	lin := cli.lines[id]
	delete(cli.lines, id)
	cli.mu.Unlock()
	if lin == nil {
		return
	}
	lin.turn <- struct{}{}
	lin.drop()
	<-lin.turn
}

// Close closes every connection; calls in progress fail as lost.
func (cli *Client) Close() {
	cli.mu.Lock()
	ids := make([]dispatch.PeerID, 0, len(cli.lines))
	for id := range cli.lines {
		ids = append(ids, id)
	}
	cli.mu.Unlock()
	for _, id := range ids {
		cli.Forget(id)
	}
}

func (cli *Client) line(id dispatch.PeerID) *line {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	lin := cli.lines[id]
	if lin == nil {
		lin = &line{turn: make(chan struct{}, 1)}
		cli.lines[id] = lin
	}
	return lin
}

// call is one request and its answer within the time-out of calls.
func (cli *Client) call(ctx context.Context, tgt Target, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, cli.cfg.CallTimeout)
	defer cancel()
	return cli.callUnbounded(ctx, tgt, method, params, result)
}

func (cli *Client) callUnbounded(ctx context.Context, tgt Target, method string, params, result any) error {
	cnn, con, err := cli.connect(ctx, tgt)
	if err != nil {
		return err
	}
	cli.cnt.CountCall()
	sent := time.Now()
	err = cnn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	if silent(ctx, err) && !con.ReceivedSince(sent) {
		// Something between the two ends may have lost track of the connection. Nothing then ever
		// answers on it, while a new one works; so the next call dials.
		_ = cnn.Close() // It may be closed already.
	}
	return callFailure(err)
}

// notify sends a request that has no reply. That the connection has gone silent is found by calls.
func (cli *Client) notify(ctx context.Context, tgt Target, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, cli.cfg.CallTimeout)
	defer cancel()
	cnn, _, err := cli.connect(ctx, tgt)
	if err != nil {
		return err
	}
	cli.cnt.CountCall()
	if err := cnn.Notify(ctx, method, params); err != nil {
		return callFailure(err)
	}
	return nil
}

func silent(ctx context.Context, err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// connect returns the connection to a peer and makes it if there is none.
func (cli *Client) connect(ctx context.Context, tgt Target) (*jsonrpc2.Conn, *rpc.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.cfg.DialTimeout)
	defer cancel()
	lin := cli.line(tgt.ID)
	select {
	case lin.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, verdict.New(verdict.NotRun, ReasonUnreachable).WithCause(ctx.Err())
	}
	defer func() { <-lin.turn }()
	if lin.usable(tgt.Address) {
		return lin.cnn, lin.con, nil
	}
	lin.drop()
	cnn, con, err := cli.open(ctx, tgt)
	if err != nil {
		return nil, nil, dialFailure(err)
	}
	lin.address, lin.cnn, lin.con = tgt.Address, cnn, con
	return cnn, con, nil
}

func (lin *line) usable(address string) bool {
	if lin.cnn == nil || lin.address != address {
		return false
	}
	select {
	case <-lin.cnn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (lin *line) drop() {
	if lin.cnn == nil {
		return
	}
	_ = lin.cnn.Close() // It may be closed already.
	lin.cnn, lin.con = nil, nil
}

func (cli *Client) open(ctx context.Context, tgt Target) (*jsonrpc2.Conn, *rpc.Conn, error) {
	raw, err := cli.dial(ctx, "tcp", tgt.Address)
	if err != nil {
		return nil, nil, err
	}
	con := rpc.WrapConn(raw, &cli.cnt, cli.cfg.CallTimeout)
	var stm net.Conn = con
	if cli.cfg.TLS != nil {
		stm = tls.Client(con, cli.cfg.TLS)
	}
	// The connection outlives the call that opened it, so it isn't bound to the call's context.
	cnn := rpc.NewConn(context.Background(), stm, cli.cfg.MaxMessage, rpc.RefuseAll{})
	if err := cli.hello(ctx, cnn, tgt); err != nil {
		_ = cnn.Close() // The hello's error is the one that counts.
		return nil, nil, err
	}
	return cnn, con, nil
}

// hello names this entry instance and checks that the expected one answers: an address can be used
// again by an instance that replaced the one that was meant.
func (cli *Client) hello(ctx context.Context, cnn *jsonrpc2.Conn, tgt Target) error {
	req := wireHello{
		ID:          string(cli.cfg.Self.ID),
		Incarnation: cli.cfg.Self.Incarnation,
		Token:       cli.cfg.Token,
	}
	var rep wireHello
	if err := cnn.Call(ctx, methodHello, req, &rep); err != nil {
		var rem *jsonrpc2.Error
		if errors.As(err, &rem) {
			return remoteFailure(rem)
		}
		return err
	}
	if tgt.ID != "" && rep.ID != string(tgt.ID) {
		return verdict.New(verdict.NotRun, ReasonReplaced)
	}
	return nil
}
