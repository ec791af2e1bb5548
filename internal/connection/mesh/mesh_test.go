package mesh_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/domainlist"
)

// node is one end with what it has heard.
type node struct {
	name string
	msh  *mesh.Mesh

	mu    sync.Mutex
	got   []string
	lost  int
	late  int
	heard map[shard.InstanceID]int
	// skipped is what the clock is ahead by, and starved makes it jump each time it is read.
	skipped time.Duration
	starved bool
	// standsAt is since when the process gets no processor, if it gets none.
	standsAt time.Time
	// bound makes all dials of the node hang.
	bound bool
}

// dialer returns the node's way out.
func (nod *node) dialer(dial mesh.DialFunc) mesh.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nod.mu.Lock()
		bnd := nod.bound
		nod.mu.Unlock()
		if bnd {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, address)
	}
}

// bind makes all dials of the node hang, or ends that.
func (nod *node) bind(bound bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.bound = bound
}

// clock is the time of a process that may get little processor: it jumps by more than a beat each time.
func (nod *node) clock() time.Time {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	if nod.starved {
		nod.skipped += 120 * time.Millisecond
	}
	if !nod.standsAt.IsZero() {
		return nod.standsAt.Add(nod.skipped)
	}
	return time.Now().Add(nod.skipped)
}

func (nod *node) starve() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.starved = true
}

// stand makes the process see no time pass, until it goes on.
func (nod *node) stand(ntw *pipe.Network) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.standsAt = time.Now()
	ntw.Stall(nod.name)
}

func (nod *node) goOn(ntw *pipe.Network) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.standsAt = time.Time{}
	ntw.Resume(nod.name)
}

func (nod *node) Heartbeat() mesh.Heartbeat {
	return mesh.Heartbeat{Domain: "a", Processor: 0.4, Ready: true, TokenRound: 7, Divisions: map[string]shard.Division{
		"a": {Count: 2, Stamp: 1},
	}, ClosedDomains: domainlist.View{End: 4, Closed: []string{"b", "c"}}}
}

func (nod *node) HandleBatch(from shard.InstanceID, _ time.Time, bet mesh.Heartbeat, msgs []mesh.Message) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.heard[from]++
	for _, msg := range msgs {
		if wdr, ok := msg.(mesh.Cancellation); ok {
			nod.got = append(nod.got, wdr.Task)
		}
	}
	if bet.TokenRound != 7 || bet.Processor != 0.4 || bet.Divisions["a"].Count != 2 ||
		bet.ClosedDomains.End != 4 || !slices.Equal(bet.ClosedDomains.Closed, []string{"b", "c"}) {
		nod.got = append(nod.got, "beat is garbled")
	}
}

func (nod *node) HandleStaleBatch(shard.InstanceID, time.Duration, int) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.late++
}

func (nod *node) HandleInstanceLost(id shard.InstanceID, _ mesh.Cause) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.lost++
	delete(nod.heard, id)
}

func (nod *node) seen() (got []string, lost int, hears bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return append([]string(nil), nod.got...), nod.lost, len(nod.heard) > 0
}

// inPair runs a test with two ends that know each other.
func inPair(t *testing.T, body func(ntw *pipe.Network, one, two *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ntw := pipe.New()
		ctx, cancel := context.WithCancel(t.Context())
		grp := &errgroup.Group{}
		start := func(name, oth string) *node {
			nod := &node{name: name, heard: map[shard.InstanceID]int{}}
			nod.msh = mesh.New(mesh.Config{
				Name: name, Incarnation: 1, Address: name + ":1", HeartbeatInterval: 100 * time.Millisecond, MissedHeartbeats: 4,
				CallTimeout: 150 * time.Millisecond, Now: nod.clock,
			}, nod.dialer(ntw.Dialer(name)), nod)
			nod.msh.SetPeers([]mesh.Peer{{Name: oth, Address: oth + ":1"}})
			lis := ntw.Listen(name + ":1")
			grp.Go(func() error { return nod.msh.Run(ctx, lis) })
			return nod
		}
		one, two := start("one", "two"), start("two", "one")
		time.Sleep(time.Second)
		body(ntw, one, two)
		cancel()
		ntw.Close()
		if err := grp.Wait(); err != nil {
			t.Errorf("mesh: %v", err)
		}
	})
}

func (nod *node) send(to string, num int) {
	nod.msh.Send(mesh.ID(to, 1), mesh.Cancellation{Task: fmt.Sprint(num)})
}

func TestMessagesArriveOnceAndInOrder(t *testing.T) {
	// Connections fall silent again and again while messages are sent; batches whose receipt is lost are sent again.
	// Each message arrives once, in order, as long as the session lasts.
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		var want []string
		for num := range 50 {
			one.send("two", num)
			want = append(want, fmt.Sprint(num))
			if num%10 == 5 {
				ntw.Forget("one", "two")
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		got, lost, _ := two.seen()
		chk.Equal(got, want)
		chk.Equal(lost, 0)
	})
}

func TestPartitionEndsSessionOnBothSides(t *testing.T) {
	// A cut lasts longer than the silence. Both ends are told once that the other was lost; what was sent meanwhile
	// never arrives; and after the cut one session is up, without resets that call each other forth.
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		ntw.Separate("one", "two")
		one.send("two", 1)
		time.Sleep(time.Second)
		for _, nod := range []*node{one, two} {
			_, lost, hears := nod.seen()
			chk.Equal(lost, 1)
			chk.True(!hears)
		}
		ntw.Heal()
		time.Sleep(time.Second)
		one.send("two", 2)
		time.Sleep(time.Second)
		got, lost, hears := two.seen()
		chk.Equal(got, []string{"2"})
		chk.Equal(lost, 1)
		chk.True(hears)
		_, lost, _ = one.seen()
		chk.Equal(lost, 1)
	})
}

func TestRaisedHeartbeatRateIsNotSilence(t *testing.T) {
	// Two ends that owe each other nothing beat once a second. When one comes to depend on the other the pace is raised,
	// and the second without a beat is not taken for silence.
	inPair(t, func(_ *pipe.Network, one, two *node) {
		chk := is.New(t)
		pace := func(intervals int) {
			one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: intervals}})
			two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: intervals}})
		}
		pace(10)
		time.Sleep(20 * time.Second)
		pace(1)
		time.Sleep(2 * time.Second)
		for _, nod := range []*node{one, two} {
			_, lost, hears := nod.seen()
			chk.Equal(lost, 0)
			chk.True(hears)
		}
	})
}

func TestPausedProcessDetectsLostPeer(t *testing.T) {
	// A process gets so little processor that each check for silence comes late, and its peer goes dark. It has to miss
	// the peer all the same: what it runs for the peer's callers is sent elsewhere by then.
	// An instance to which it owes nothing is not missed: a weak machine that has just started took shards from leaders
	// that were fine.
	for owes, want := range map[bool]int{true: 1, false: 0} {
		inPair(t, func(ntw *pipe.Network, one, _ *node) {
			chk := is.New(t)
			one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: 1, OpenOrders: owes}})
			one.starve()
			ntw.Separate("one", "two")
			time.Sleep(600 * time.Millisecond)
			_, lost, _ := one.seen()
			chk.Equal(lost, want)
		})
	}
}

func TestAddressLearnedFromIncomingCall(t *testing.T) {
	// An instance has started again at another address, and the store can't be asked for the new one. It calls the other
	// end, which has something to tell it and learns the way from the call.
	inPair(t, func(_ *pipe.Network, one, two *node) {
		chk := is.New(t)
		two.msh.SetPeers([]mesh.Peer{{Name: "one", Address: "gone:1"}})
		time.Sleep(300 * time.Millisecond)
		two.send("one", 7)
		time.Sleep(300 * time.Millisecond)
		got, _, _ := one.seen()
		chk.Equal(got, []string{"7"})
	})
}

func TestUnacknowledgedMessagesEndSession(t *testing.T) {
	// An end hears its peer and can't reach it: its connections have gone silent, and new ones don't come about. What it
	// has to tell would never arrive, and the peer would wait for it. It gives the session up, and the peer learns that.
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		two.bind(true)
		ntw.Forget("one", "two")
		time.Sleep(300 * time.Millisecond)
		two.send("one", 7)
		time.Sleep(700 * time.Millisecond)
		for _, nod := range []*node{one, two} {
			_, lost, _ := nod.seen()
			chk.True(lost > 0)
		}
	})
}

func TestStaleBatchIsRejected(t *testing.T) {
	// An order is sent to an instance whose process gets no processor. Its sender gives the session up and sends the task
	// elsewhere. The process goes on, is late at each check and so misses nobody, reads the order from its socket, and would
	// start what runs elsewhere by then. It sees that the sender has heard nothing of it for too long.
	late := 0
	for range 5 { // In one play of some hundred the connection ends before the order is read.
		inPair(t, func(ntw *pipe.Network, one, two *node) {
			chk := is.New(t)
			two.stand(ntw)
			one.send("two", 1)
			time.Sleep(10 * time.Millisecond)
			one.bind(true) // What it says afterwards would end the session first, if it were read first.
			time.Sleep(time.Second)
			_, lost, _ := one.seen()
			chk.Equal(lost, 1) // The sender has given up.
			two.goOn(ntw)
			time.Sleep(100 * time.Millisecond)
			one.bind(false)
			time.Sleep(time.Second)
			one.send("two", 2)
			time.Sleep(100 * time.Millisecond)
			got, _, hears := two.seen()
			chk.Equal(got, []string{"2"})
			chk.True(hears)
			two.mu.Lock()
			late += two.late
			two.mu.Unlock()
		})
	}
	if late == 0 {
		t.Error("no batch was taken for late")
	}
}

func TestBatchAfterIdlePeriodArrives(t *testing.T) {
	// Two ends beat once a second, and one of them has an order for the other long after it last heard of it. The first try
	// only brings it up to date; the order still arrives within a few milliseconds.
	inPair(t, func(_ *pipe.Network, one, two *node) {
		chk := is.New(t)
		one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: 10}})
		two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: 10}})
		for num := range 20 {
			time.Sleep(time.Duration(num) * 90 * time.Millisecond)
			one.send("two", num)
			time.Sleep(10 * time.Millisecond)
			got, lost, _ := two.seen()
			chk.Equal(len(got), num+1)
			chk.Equal(lost, 0)
		}
	})
}
