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

// node is one of two instances of a test, and what its Handler was told.
type node struct {
	name string
	msh  *mesh.Mesh

	mu    sync.Mutex
	got   []string
	lost  int
	stale int
	// others counts the messages received that are neither cancellations nor reports, tooLarge those that could not be sent.
	others, tooLarge int
	heard            map[shard.InstanceID]int
	// skipped is the time by which its clock is ahead; starved makes the clock jump each time it is read.
	skipped time.Duration
	starved bool
	// pausedAt is the time since which its process is paused; zero if it runs.
	pausedAt time.Time
	// dialsHang makes all dials of the node hang.
	dialsHang bool
}

// dialer returns dial, or one that hangs while dialsHang is set.
func (nod *node) dialer(dial mesh.DialFunc) mesh.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nod.mu.Lock()
		hng := nod.dialsHang
		nod.mu.Unlock()
		if hng {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, address)
	}
}

// hangDials makes all dials of the node hang, or ends that.
func (nod *node) hangDials(hang bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.dialsHang = hang
}

// clock returns the time by the node's clock. In a process short of processor time it jumps by more than a heartbeat interval each
// time it is read.
func (nod *node) clock() time.Time {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	if nod.starved {
		nod.skipped += 120 * time.Millisecond
	}
	if !nod.pausedAt.IsZero() {
		return nod.pausedAt.Add(nod.skipped)
	}
	return time.Now().Add(nod.skipped)
}

// starve makes the process short of processor time for the rest of the test.
func (nod *node) starve() {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.starved = true
}

// pause stops the process, its clock and its connections until resume.
func (nod *node) pause(ntw *pipe.Network) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.pausedAt = time.Now()
	ntw.Stall(nod.name)
}

// resume ends a pause; the process then reads what was sent to it meanwhile.
func (nod *node) resume(ntw *pipe.Network) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.pausedAt = time.Time{}
	ntw.Resume(nod.name)
}

func (nod *node) Heartbeat() mesh.Heartbeat {
	return mesh.Heartbeat{Domain: "a", Processor: 0.4, Ready: true, TokenRound: 7, Divisions: map[string]shard.Division{
		"a": {Count: 2, Stamp: 1},
	}, ClosedDomains: domainlist.View{End: 4, Closed: []string{"b", "c"}}, CompleteUpTo: 5, ListOffset: 6, ListBytes: 11, ListRate: 12, WantsList: true, Leaderships: []mesh.Leadership{
		{Shard: "a.0", Token: 8, Load: shard.Load{Number: 9, Free: []int64{14000, 28000}, FreeMemory: []int64{64, 0}}},
	}}
}

func (nod *node) HandleBatch(from shard.InstanceID, _ time.Time, hbt mesh.Heartbeat, msgs []mesh.Message) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.heard[from]++
	for _, msg := range msgs {
		switch msg := msg.(type) {
		case mesh.Cancellation:
			nod.got = append(nod.got, msg.Task)
		case mesh.Report:
			nod.got = append(nod.got, msg.Report.Task)
		default:
			nod.others++
		}
	}
	if len(hbt.Leaderships) != 1 || !slices.Equal(hbt.Leaderships[0].Load.FreeMemory, []int64{64, 0}) || hbt.CompleteUpTo != 5 || hbt.ListOffset != 6 || hbt.ListBytes != 11 || hbt.ListRate != 12 || !hbt.WantsList || hbt.TokenRound != 7 || hbt.Processor != 0.4 || hbt.Divisions["a"].Count != 2 ||
		hbt.ClosedDomains.End != 4 || !slices.Equal(hbt.ClosedDomains.Closed, []string{"b", "c"}) {
		nod.got = append(nod.got, "heartbeat is garbled")
	}
}

func (nod *node) HandleStaleBatch(shard.InstanceID, time.Duration, int) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.stale++
}

func (nod *node) HandleTooLarge(shard.InstanceID, int) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.tooLarge++
}

func (nod *node) HandleInstanceLost(id shard.InstanceID, _ mesh.Cause) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.lost++
	delete(nod.heard, id)
}

// seen returns the tasks of the cancellations and reports received, the number of losses that the Handler was told of, and whether
// another instance was heard since its last loss.
func (nod *node) seen() (got []string, lost int, hears bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return append([]string(nil), nod.got...), nod.lost, len(nod.heard) > 0
}

// inPair runs a test with two instances that have a session.
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

// send sends a cancellation with a number as its task.
func (nod *node) send(to string, num int) {
	nod.msh.Send(mesh.ID(to, 1), mesh.Cancellation{Task: fmt.Sprint(num)})
}

func TestMessagesArriveOnceAndInOrder(t *testing.T) {
	// Connections stop delivering again and again while messages are sent, and batches whose receipts are lost are sent again.
	// Guards against lost, doubled and reordered messages within a session.
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
	// A partition outlasts the timeout of the session. Each side is told of one loss, messages sent during the partition are
	// never delivered, and afterwards one session is established, without resets that cause each other.
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
	// Two instances exchange a heartbeat a second, until one comes to depend on the other and the interval is shortened. The time
	// before, longer than the new timeout, must not count as silence.
	inPair(t, func(_ *pipe.Network, one, two *node) {
		chk := is.New(t)
		setInterval := func(intervals int) {
			one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: intervals}})
			two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: intervals}})
		}
		setInterval(10)
		time.Sleep(20 * time.Second)
		setInterval(1)
		time.Sleep(2 * time.Second)
		for _, nod := range []*node{one, two} {
			_, lost, hears := nod.seen()
			chk.Equal(lost, 0)
			chk.True(hears)
		}
	})
}

func TestStarvedProcessDetectsLostPeer(t *testing.T) {
	// All checks for losses come late in a process short of processor time. With open orders it must detect a loss, as their tasks are
	// sent elsewhere; without it mustn't: a slow machine that had just started took shards from live leaders.
	for openOrders, want := range map[bool]int{true: 1, false: 0} {
		inPair(t, func(ntw *pipe.Network, one, _ *node) {
			chk := is.New(t)
			one.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("two", 1): {Intervals: 1, OpenOrders: openOrders}})
			one.starve()
			ntw.Separate("one", "two")
			time.Sleep(600 * time.Millisecond)
			_, lost, _ := one.seen()
			chk.Equal(lost, want)
		})
	}
}

func TestAddressLearnedFromIncomingCall(t *testing.T) {
	// An instance has restarted at another address, which the store can't be asked for. The other side has a message for it, and
	// learns the address from its call.
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
	// An instance hears its peer but can't reach it: its connections deliver nothing and dials hang. The peer would wait for ever
	// for its messages, so both sides have to end the session.
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		two.hangDials(true)
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

func TestDeferredReportEndsNoSession(t *testing.T) {
	// The report that a task has started waits for the next batch. It comes while another batch is on its way, and then no other is sent
	// for a while, as the peer calls often and gets the heartbeats in its receipts. A report that was never sent must not count as one
	// that the peer has left unacknowledged: the session with a healthy peer would end, and all orders with it.
	inPair(t, func(ntw *pipe.Network, one, two *node) {
		chk := is.New(t)
		two.msh.SetSchedules(map[shard.InstanceID]mesh.Schedule{mesh.ID("one", 1): {Intervals: 20}})
		time.Sleep(time.Second)
		one.pause(ntw)
		two.send("one", 1)
		time.Sleep(10 * time.Millisecond)
		two.msh.Send(mesh.ID("one", 1), mesh.Report{Report: shard.Report{Task: "j.0", Outcome: shard.Started}})
		time.Sleep(10 * time.Millisecond)
		one.resume(ntw)
		time.Sleep(1200 * time.Millisecond)
		for _, nod := range []*node{one, two} {
			_, lost, _ := nod.seen()
			chk.Equal(lost, 0)
		}
	})
}

func TestStaleBatchIsRejected(t *testing.T) {
	// A paused process resumes, detects no loss as its checks are late, and reads an order whose sender has ended the session and
	// sent the task elsewhere. It mustn't run it, and knows from the process ages in the batch that it is stale.
	stale := 0
	for range 5 { // In about one of a hundred runs the connection ends before the order is read.
		inPair(t, func(ntw *pipe.Network, one, two *node) {
			chk := is.New(t)
			two.pause(ntw)
			one.send("two", 1)
			time.Sleep(10 * time.Millisecond)
			one.hangDials(true) // A later batch would end the session first, if it were read first.
			time.Sleep(time.Second)
			_, lost, _ := one.seen()
			chk.Equal(lost, 1) // The sender has ended the session.
			two.resume(ntw)
			time.Sleep(100 * time.Millisecond)
			one.hangDials(false)
			time.Sleep(time.Second)
			one.send("two", 2)
			time.Sleep(100 * time.Millisecond)
			got, _, hears := two.seen()
			chk.Equal(got, []string{"2"})
			chk.True(hears)
			two.mu.Lock()
			stale += two.stale
			two.mu.Unlock()
		})
	}
	if stale == 0 {
		t.Error("no batch was rejected as stale")
	}
}

func TestBatchAfterIdlePeriodArrives(t *testing.T) {
	// Two instances exchange a heartbeat a second, and one has a message long after it last heard the other. The first batch only
	// renews the process age; the message still arrives within a few milliseconds.
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
