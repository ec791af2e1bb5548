package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
	"chestnutstack/internal/request/verdict"
)

const testToken = "peer-token"

func testConfig(id dispatch.PeerID) Config {
	return DefaultConfig(Identity{ID: id, Incarnation: "1"}, testToken)
}

// bubble runs a test against a server "b" from a client "a", and ends both.
func bubble(t *testing.T, dialer func(*link) DialFunc, change func(client, server *Config), run func(context.Context, *Client, *recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rec := &recorder{block: make(chan struct{})}
		lnk := newLink()
		clientCfg, serverCfg := testConfig("a"), testConfig("b")
		if change != nil {
			change(&clientCfg, &serverCfg)
		}
		ctx, cancel := context.WithCancel(t.Context())
		grp := &errgroup.Group{}
		grp.Go(func() error { return NewServer(serverCfg, rec).Serve(ctx, lnk) })
		cli := NewClient(clientCfg, dialer(lnk))
		run(t.Context(), cli, rec)
		cli.Close()
		cancel()
		if err := grp.Wait(); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

func plain(lnk *link) DialFunc { return lnk.dial }

var (
	toB  = Target{ID: "b", Address: "b:1"}
	unit = limit.Key{Class: "riga/export", Kind: limit.TeamQuota, Team: "red"}
)

func TestCalls(t *testing.T) {
	loans := []limit.Loan{{Key: unit, Units: 2, Renewed: 1, Drain: true, Starts: 4, Again: 6}}
	tests := map[string]struct {
		call func(ctx context.Context, cli *Client) (any, error)
		// got is what the handler was asked, answer what the client returned.
		got, answer any
	}{
		"heartbeat": {
			func(ctx context.Context, cli *Client) (any, error) {
				return cli.Heartbeat(ctx, toB, member.Heartbeat{
					From: "a", Incarnation: "1", Digest: 1 << 63, Want: []uint32{3},
					Facts: []member.Fact{{ID: "c", Kind: member.KindServer, State: member.Leaving, Age: time.Second}},
				})
			},
			member.Heartbeat{
				From: "a", Incarnation: "1", Digest: 1 << 63, Want: []uint32{3},
				Facts: []member.Fact{{ID: "c", Kind: member.KindServer, State: member.Leaving, Age: time.Second}},
			},
			member.Heartbeat{
				From: "b", Incarnation: "1", Digest: 1 << 63, Want: []uint32{3},
				Facts: []member.Fact{{ID: "c", Kind: member.KindServer, State: member.Leaving, Age: time.Second}},
			},
		},
		"heartbeat for another instance": {
			func(ctx context.Context, cli *Client) (any, error) {
				_, err := cli.Heartbeat(ctx, toB, member.Heartbeat{From: "z", Incarnation: "9"})
				return nil, err
			},
			member.Heartbeat{From: "a", Incarnation: "1"},
			nil,
		},
		"borrow": {
			func(ctx context.Context, cli *Client) (any, error) {
				return cli.Borrow(ctx, toB, dispatch.Borrow{Peer: "b", Slots: 3, Free: 1, RunTime: time.Second, NoOffers: true})
			},
			dispatch.Borrow{Peer: "a", Slots: 3, Free: 1, RunTime: time.Second, NoOffers: true},
			dispatch.Grant{Peer: "b", Loans: []dispatch.Loan{{Server: "s1", Slots: 3}}, Duration: time.Second, Free: 4},
		},
		"grant": {
			func(ctx context.Context, cli *Client) (any, error) {
				return nil, cli.Grant(ctx, toB, dispatch.Grant{Loans: []dispatch.Loan{{Server: "s1", Slots: 3}}, Duration: time.Second, Free: 2})
			},
			dispatch.Grant{Peer: "a", Loans: []dispatch.Loan{{Server: "s1", Slots: 3}}, Duration: time.Second, Free: 2},
			nil,
		},
		"return": {
			func(ctx context.Context, cli *Client) (any, error) {
				return nil, cli.Return(ctx, toB, dispatch.Return{Loans: []dispatch.Loan{{Server: "s1", Slots: 3}}, Free: 2})
			},
			dispatch.Return{Peer: "a", Loans: []dispatch.Loan{{Server: "s1", Slots: 3}}, Free: 2},
			nil,
		},
		"borrow units": {
			func(ctx context.Context, cli *Client) (any, error) {
				return cli.BorrowUnits(ctx, toB, limit.Borrow{Asked: 7, Wants: []limit.Want{{Key: unit, Units: 2, Renew: 1, WaitFor: time.Second}}})
			},
			limit.Borrow{Peer: "a", Asked: 7, Wants: []limit.Want{{Key: unit, Units: 2, Renew: 1, WaitFor: time.Second}}},
			limit.Grant{Peer: "b", Asked: 7, Loans: loans, For: time.Second},
		},
		"grant units": {
			func(ctx context.Context, cli *Client) (any, error) {
				return nil, cli.GrantUnits(ctx, toB, limit.Grant{Asked: 9, Loans: loans, For: time.Second})
			},
			limit.Grant{Peer: "a", Asked: 9, Loans: loans, For: time.Second},
			nil,
		},
		"return units": {
			func(ctx context.Context, cli *Client) (any, error) {
				return nil, cli.ReturnUnits(ctx, toB, limit.Return{Asked: 5, Loans: loans})
			},
			limit.Return{Peer: "a", Asked: 5, Loans: loans},
			nil,
		},
		"hand over": {
			func(ctx context.Context, cli *Client) (any, error) {
				return nil, cli.HandOver(ctx, toB, limit.HandOver{Peers: []dispatch.PeerID{"a", "b"}, Please: true, HoldFor: time.Second, InUse: loans})
			},
			limit.HandOver{Peer: "a", Peers: []dispatch.PeerID{"a", "b"}, Please: true, HoldFor: time.Second, InUse: loans},
			nil,
		},
		"job get": {
			func(ctx context.Context, cli *Client) (any, error) {
				prg, err := cli.JobGet(ctx, toB, job.NewID("b", "7"))
				return prg.GetTasks(), err
			},
			job.NewID("b", "7"), uint32(3),
		},
		"find submission": {
			func(ctx context.Context, cli *Client) (any, error) {
				id, found, err := cli.FindSubmission(ctx, toB, "known")
				if !found {
					return nil, err
				}
				return id, err
			},
			nil, job.NewID("b", "7"),
		},
		"find unknown submission": {
			func(ctx context.Context, cli *Client) (any, error) {
				_, found, err := cli.FindSubmission(ctx, toB, "other")
				return found, err
			},
			nil, false,
		},
		"catalogue since": {
			func(ctx context.Context, cli *Client) (any, error) { return cli.CatalogueSince(ctx, toB, 9) },
			nil,
			Records{Records: []Record{{Offset: 9, Data: []byte("edit")}}, Next: 10, Earliest: 2},
		},
		"catalogue snapshot": {
			func(ctx context.Context, cli *Client) (any, error) { return cli.CatalogueSnapshot(ctx, toB) },
			nil,
			Snapshot{Offset: 12, Data: make([]byte, 1<<10)},
		},
		"job again": {
			func(ctx context.Context, cli *Client) (any, error) {
				req, err := cli.JobAgain(ctx, toB, job.NewID("b", "7"))
				return req.GetCatalogueEntry() + " " + string(req.GetTasks()[0].GetPayload()), err
			},
			job.NewID("b", "7"),
			"riga/export slide",
		},
		"pool list of whoever answers": {
			func(ctx context.Context, cli *Client) (any, error) {
				return cli.PoolList(ctx, Target{Address: toB.Address})
			},
			nil,
			[]member.Instance{listed},
		},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, plain, nil, func(ctx context.Context, cli *Client, rec *recorder) {
				is := is.New(t)
				answer, err := tst.call(ctx, cli)
				is.NoErr(err)
				is.Equal(answer, tst.answer)
				synctest.Wait() // Requests without a reply may still be on their way.
				is.Equal(rec.last(), tst.got)
			})
		})
	}
}

func TestErrorKeepsItsVerdict(t *testing.T) {
	bubble(t, plain, nil, func(ctx context.Context, cli *Client, _ *recorder) {
		is := is.New(t)
		_, err := cli.JobCancel(ctx, toB, job.NewID("b", "7"))
		var ver *verdict.Error
		is.True(errors.As(err, &ver))
		is.Equal(ver.Verdict(), verdict.NotRun)
		is.Equal(ver.Reason(), "job-unknown")
		is.Equal(ver.RetryAfter(), 3*time.Second)
	})
}

// A caller asks for a job whose id names an instance that was replaced. Two entry instances each
// take the other for the owner, hand the request back and forth, and the caller sees a timeout. A
// request that came from a peer isn't forwarded again.
func TestForwardingLoopIsRefused(t *testing.T) {
	bubble(t, plain, nil, func(ctx context.Context, cli *Client, rec *recorder) {
		is := is.New(t)
		_, err := cli.JobGet(ctx, toB, job.NewID("b", "7"))
		is.NoErr(err)
		is.True(rec.forwarded) // The handler sees that the request was forwarded.
		_, err = cli.JobGet(withForwarded(ctx), toB, job.NewID("b", "7"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(hasReason(err, ReasonLoop))
	})
}

// A switch forgets an open connection: the peer gets no more of it and nobody is told. Each call on
// it would time out for good, while a new connection would work; the first time-out must lead to one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var first *losing
	dialer := func(lnk *link) DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			con, err := lnk.dial(ctx, network, address)
			if err != nil || first != nil {
				return con, err
			}
			first = &losing{Conn: con}
			return first, nil
		}
	}
	bubble(t, dialer, nil, func(ctx context.Context, cli *Client, _ *recorder) {
		is := is.New(t)
		_, err := cli.Heartbeat(ctx, toB, member.Heartbeat{})
		is.NoErr(err)
		first.silent.Store(true)
		_, err = cli.Heartbeat(ctx, toB, member.Heartbeat{})
		is.True(TimedOut(err))
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		_, err = cli.Heartbeat(ctx, toB, member.Heartbeat{})
		is.NoErr(err)
	})
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(client, server *Config)
		target Target
		reason string
	}{
		"wrong token": {
			func(client, _ *Config) { client.Token = "other" }, toB, ReasonNotAllowed,
		},
		"another instance at the address": {
			func(_, server *Config) { server.Self.ID = "c" }, toB, ReasonReplaced,
		},
		"message too large": {
			func(client, _ *Config) { client.MaxMessage = 128 }, toB, ReasonTooLarge,
		},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, plain, tst.change, func(ctx context.Context, cli *Client, rec *recorder) {
				is := is.New(t)
				hb := member.Heartbeat{Want: make([]uint32, 1000)}
				_, err := cli.Heartbeat(ctx, tst.target, hb)
				is.True(hasReason(err, tst.reason))
				is.Equal(verdict.Of(err), verdict.NotRun)
				is.Equal(rec.last(), nil)
			})
		})
	}
}

func TestCallsInProgressAreBounded(t *testing.T) {
	change := func(_, server *Config) { server.MaxCalls = 1 }
	bubble(t, plain, change, func(ctx context.Context, cli *Client, rec *recorder) {
		is := is.New(t)
		grp := &errgroup.Group{}
		grp.Go(func() error {
			_, err := cli.JobAwait(ctx, toB, job.NewID("b", "7"))
			return err
		})
		synctest.Wait()
		is.Equal(rec.blocked.Load(), int32(1))
		_, err := cli.Heartbeat(ctx, toB, member.Heartbeat{})
		is.True(hasReason(err, ReasonBusy))
		is.Equal(verdict.Of(err), verdict.NotRun)
		close(rec.block)
		is.NoErr(grp.Wait())
	})
}

func TestRefusedConnectionIsProof(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	cli := NewClient(testConfig("a"), (&net.Dialer{}).DialContext)
	defer cli.Close()
	_, err = cli.Heartbeat(t.Context(), Target{ID: "b", Address: address}, member.Heartbeat{})
	is.True(Refused(err))
	is.Equal(verdict.Of(err), verdict.NotRun)
}
