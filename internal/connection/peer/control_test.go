package peer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/dispatch"
)

var controlSeconds = flag.Int("control-seconds", 10, "virtual seconds over which control bytes are measured")

// node is an entry instance that does nothing but heartbeats, over the real transport.
type node struct {
	recorder
	mu  sync.Mutex
	trk *member.Tracker
	cli *Client
	srv *Server
	lnk *link
}

func (nod *node) Heartbeat(_ context.Context, hb member.Heartbeat) (member.Heartbeat, error) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.trk.Answer(time.Now(), hb), nil
}

func (nod *node) bytes() uint64 {
	cli, srv := nod.cli.Stats(), nod.srv.Stats()
	return cli.BytesIn + cli.BytesOut + srv.BytesIn + srv.BytesOut
}

func (nod *node) wake(ctx context.Context) {
	now := time.Now()
	nod.mu.Lock()
	nod.trk.Wake(now)
	act := nod.trk.Actions(now)
	nod.mu.Unlock()
	for _, snd := range act.Sends {
		rep, err := nod.cli.Heartbeat(ctx, Target{ID: snd.Peer, Address: snd.Address}, snd.Heartbeat)
		nod.mu.Lock()
		if err == nil {
			nod.trk.Heard(now, rep)
		} else {
			nod.trk.PeerTimedOut(now, snd.Peer)
		}
		nod.mu.Unlock()
	}
}

func dialByAddress(links map[string]*link) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return links[address].dial(ctx, network, address)
	}
}

// controlPool starts entry instances over seven failure domains.
func controlPool(ctx context.Context, grp *errgroup.Group, entries, servers int) []*node {
	list := make([]member.Instance, 0, entries+servers)
	for idx := range entries {
		list = append(list, member.Instance{
			ID: fmt.Sprintf("riga-entry-%03d", idx), Incarnation: fmt.Sprintf("01J%023d", idx), Kind: member.KindEntry,
			PeerAddress: fmt.Sprintf("10.20.%d.%d:7400", idx/250, idx%250), FailureDomain: fmt.Sprintf("riga-%d", idx%7),
		})
	}
	for idx := range servers {
		list = append(list, member.Instance{
			ID: fmt.Sprintf("deckforge-runner-%05d", idx), Incarnation: fmt.Sprintf("01J%023d", idx),
			Kind: member.KindServer, FailureDomain: fmt.Sprintf("riga-%d", idx%7), Slots: 8,
		})
	}
	nodes := make([]*node, entries)
	links := make(map[string]*link)
	for idx := range nodes {
		ins := list[idx]
		self := Identity{ID: dispatch.PeerID(ins.ID), Incarnation: ins.Incarnation}
		nod := &node{lnk: newLink(), trk: member.New(member.DefaultConfig(), ins, rand.New(rand.NewPCG(uint64(idx), 1)))}
		nod.srv = NewServer(DefaultConfig(self, testToken), nod)
		nod.cli = NewClient(DefaultConfig(self, testToken), dialByAddress(links))
		nod.trk.ListRead(time.Now(), list)
		links[ins.PeerAddress] = nod.lnk
		nodes[idx] = nod
		grp.Go(func() error { return nod.srv.Serve(ctx, nod.lnk) })
	}
	return nodes
}

// measureControl returns the bytes a second of an entry instance, the mean and the highest, while
// backend servers leave at an interval; 0 is never.
func measureControl(t *testing.T, entries int, churn time.Duration) (mean, highest float64) {
	t.Helper()
	const servers, warmUp = 350, 10
	seconds := *controlSeconds
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		grp := &errgroup.Group{}
		nodes := controlPool(ctx, grp, entries, servers)
		before := make([]uint64, entries)
		left := 0
		for sec := range warmUp + seconds {
			if sec == warmUp {
				for idx, nod := range nodes {
					before[idx] = nod.bytes()
				}
			}
			if churn > 0 && time.Duration(sec)*time.Second >= time.Duration(left)*churn {
				id := fmt.Sprintf("deckforge-runner-%05d", left)
				nodes[left%entries].trk.ServerLeaving(time.Now(), dispatch.ServerID(id), fmt.Sprintf("01J%023d", left))
				left++
			}
			for _, nod := range nodes {
				nod.wake(t.Context())
			}
			time.Sleep(time.Second)
		}
		var sum float64
		for idx, nod := range nodes {
			rate := float64(nod.bytes()-before[idx]) / float64(seconds)
			sum += rate
			highest = max(highest, rate)
			nod.cli.Close()
		}
		mean = sum / float64(entries)
		cancel()
		if err := grp.Wait(); err != nil {
			t.Error(err)
		}
	})
	return mean, highest
}

// The letter allows a daemon 5 KB/s for control. Heartbeats take the same whatever the number of
// entry instances, since their fan-out is fixed; evidence takes what the churn of the pool brings:
// 3,180 failures and restarts a day at the design size are one in 27 s.
func TestControlBytes(t *testing.T) {
	const budget = 5000
	tests := map[string]struct {
		entries int
		churn   time.Duration
	}{
		"6 at design churn":  {6, 27 * time.Second},
		"24 at design churn": {24, 27 * time.Second},
		"96 at design churn": {96, 27 * time.Second},
	}
	for name, tst := range tests {
		t.Run(name, func(t *testing.T) {
			mean, highest := measureControl(t, tst.entries, tst.churn)
			t.Logf("%s: %.0f bytes a second an entry instance, %.0f the highest", name, mean, highest)
			if highest > budget {
				t.Errorf("%.0f bytes a second, want at most %d", highest, budget)
			}
		})
	}
}
