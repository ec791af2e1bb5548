package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against a task that ran twice and whose owner's logs don't tell why its second order was sent.
func TestCausesOfOrders(t *testing.T) {
	const task, age = "j.0.0.0", 40 * time.Millisecond
	here, there := Target{Shard: "a.0", Leader: self, Token: 1}, Target{Shard: "b.0", Leader: other, Token: 2}
	// Each story begins with an order of the task at there, sent age before; the task was last reported to run on ran.
	const ran = shard.ServerID("s")
	lost := func(hrn *harness) { hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other, "connection refused")) }
	wait := func(hrn *harness, dur time.Duration) {
		hrn.now = hrn.now.Add(dur)
		hrn.record(hrn.crd.HandleTick(hrn.now))
	}
	returned := func(hrn *harness, rsn shard.ReturnReason) {
		hrn.record(hrn.crd.HandleReport(hrn.now, other, shard.Report{Task: task, Token: 2, Outcome: shard.NotRun, Reason: rsn}))
	}
	cases := map[string]struct {
		story func(hrn *harness)
		want  OrderCause
		// mayRunFor is told to the leader of a reassigned order.
		mayRunFor time.Duration
	}{
		"its leader returns it": {
			story: func(hrn *harness) { returned(hrn, shard.LeaseExpired) },
			want:  OrderCause{Reason: Returned, Number: 2, Former: there, FormerAge: age, LastServer: ran, Return: shard.LeaseExpired},
		},
		"it is recalled": {
			story: func(hrn *harness) {
				hrn.crd.tasks[task].started, hrn.crd.tasks[task].queued = false, true
				hrn.setLongQueue("b.0", 8)
				hrn.record(hrn.crd.HandleLoad("a.0", shard.Load{Number: 9, ServiceRate: 1_000_000, Free: freeList(1), LinkWindow: 1 << 20}))
			},
			want: OrderCause{Reason: Recall, Number: 1, Former: there, FormerAge: age, LastServer: ran},
		},
		"it comes back after a recall": {
			story: func(hrn *harness) {
				hrn.crd.tasks[task].recalled = true
				returned(hrn, shard.NoProcessor)
			},
			want: OrderCause{Reason: Moved, Number: 2, Former: there, FormerAge: age, LastServer: ran, Return: shard.NoProcessor},
		},
		"its run fails": {
			story: func(hrn *harness) { hrn.report(other, 2, task, shard.Failed) },
			want:  OrderCause{Reason: RunFailed, Number: 2, Former: there, FormerAge: age, LastServer: ran},
		},
		"its leader is lost for long": {
			story: func(hrn *harness) {
				lost(hrn)
				wait(hrn, orphanExpiry)
			},
			want: OrderCause{
				Reason: FormerRunOver, Number: 2, Former: there, FormerAge: age + orphanExpiry, LastServer: ran,
				Loss: LeaderLost, LossCause: "connection refused", LossAge: orphanExpiry,
			},
		},
		"its leader reports it lost": {
			story: func(hrn *harness) {
				hrn.record(hrn.crd.HandleReport(hrn.now, other, shard.Report{Task: task, Token: 2, Outcome: shard.Lost, Server: "later"}))
				wait(hrn, orphanExpiry)
			},
			want: OrderCause{
				Reason: FormerRunOver, Number: 2, Former: there, FormerAge: age + orphanExpiry, LastServer: "later",
				Loss: ReportedLost, LossAge: orphanExpiry,
			},
		},
		"another leads its shard while its leader is heard": {
			story: func(hrn *harness) { hrn.setLeader("b.0", false, "third/4", 5, 0) },
			want:  OrderCause{Reason: NewLeader, Number: 2, Former: there, FormerAge: age, LastServer: ran}, mayRunFor: orphanExpiry,
		},
		"its leader is lost and another leads its shard": {
			story: func(hrn *harness) {
				lost(hrn)
				wait(hrn, 100*time.Millisecond)
				hrn.setLeader("b.0", false, "third/4", 5, 0)
			},
			want: OrderCause{
				Reason: NewLeader, Number: 2, Former: there, FormerAge: age + 100*time.Millisecond, LastServer: ran,
				Loss: LeaderLost, LossCause: "connection refused", LossAge: 100 * time.Millisecond,
			},
			mayRunFor: orphanExpiry - 100*time.Millisecond,
		},
		"the new leader finds that it runs nowhere": {
			story: func(hrn *harness) {
				lost(hrn)
				hrn.setLeader("b.0", false, "third/4", 5, 0)
				hrn.acts = nil
				hrn.now = hrn.now.Add(time.Millisecond)
				hrn.record(hrn.crd.HandleReport(hrn.now, "third/4", shard.Report{Task: task, Token: 5, Outcome: shard.NotRun, Reason: shard.RunsNowhere}))
			},
			want: OrderCause{
				Reason: Returned, Number: 3, Former: Target{Shard: "b.0", Leader: "third/4", Token: 5}, FormerAge: time.Millisecond, LastServer: ran,
				Return: shard.RunsNowhere,
			},
		},
		"it is returned while no shard accepts work": {
			story: func(hrn *harness) {
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "a.0"}, sameDomain))
				hrn.record(hrn.crd.HandleLeader(Target{Shard: "b.0"}, otherDomain))
				returned(hrn, shard.LeaderResigned)
				wait(hrn, 30*time.Millisecond)
				hrn.setLeader("a.0", true, self, 7, 1)
			},
			want: OrderCause{
				Reason: Returned, Number: 2, Former: there, FormerAge: age + 30*time.Millisecond, LastServer: ran,
				Return: shard.LeaderResigned, Delay: NoOpenShard, Delayed: 30 * time.Millisecond,
			},
		},
		"it is returned again and again": {
			story: func(hrn *harness) {
				hrn.crd.tasks[task].moves, hrn.crd.tasks[task].queued = freeMoves, true
				returned(hrn, shard.NoMemory)
				wait(hrn, minMovePause)
			},
			want: OrderCause{
				Reason: Returned, Number: 2, Former: there, FormerAge: age + minMovePause, LastServer: ran,
				Return: shard.NoMemory, Delay: ReturnedOften, Delayed: minMovePause,
			},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 0)
			hrn.setLeader("b.0", false, other, 2, 1)
			hrn.submit(1, "j", 1)
			chk.Equal(hrn.takeCauses(), []SendOrder{{Target: there, Cause: OrderCause{Reason: FirstOrder, Number: 1}}})
			hrn.report(other, 2, task, shard.Started)
			hrn.now = hrn.now.Add(age)
			hrn.record(hrn.crd.HandleTick(hrn.now))
			cse.story(hrn)
			ords := hrn.takeCauses()
			chk.Equal(len(ords), 1)
			chk.Equal(ords[0].Cause, cse.want)
			chk.Equal(ords[0].Order.MayRunFor, cse.mayRunFor)
			if ords[0].Cause.Reason == Returned && ords[0].Cause.Delay == NoDelay {
				chk.Equal(ords[0].Target, here)
			}
		})
	}
}

// Guards against a first order that waited for the link, and of which no line tells.
func TestCauseOfAnOrderThatTheLinkHeldBack(t *testing.T) {
	chk := is.New(t)
	lnk := &heldLink{full: true}
	hrn := newHarness()
	hrn.crd.cfg.Link = lnk
	hrn.setLeader("b.0", false, other, 2, 1)
	hrn.submit(1, "j", 1)
	chk.Equal(len(hrn.takeCauses()), 0)
	hrn.now = hrn.now.Add(20 * time.Millisecond)
	lnk.full = false
	hrn.record(hrn.crd.HandleTick(hrn.now))
	ords := hrn.takeCauses()
	chk.Equal(len(ords), 1)
	chk.Equal(ords[0].Cause, OrderCause{Reason: FirstOrder, Number: 1, Delay: LinkFull, Delayed: 20 * time.Millisecond})
}

// heldLink is a link that lets orders through unless it is full.
type heldLink struct{ full bool }

func (lnk *heldLink) Fits(string) bool          { return !lnk.full }
func (lnk *heldLink) Sends(string)              {}
func (lnk *heldLink) Delay(int64) time.Duration { return 0 }

// takeCauses returns the orders since its last call, with their targets and causes and what a leader is told of a former run.
func (hrn *harness) takeCauses() []SendOrder {
	var ords []SendOrder
	for _, act := range hrn.acts {
		if ord, ok := act.(SendOrder); ok {
			ords = append(ords, SendOrder{Target: ord.Target, Cause: ord.Cause, Order: shard.Order{MayRunFor: ord.Order.MayRunFor}})
		}
	}
	hrn.acts = nil
	return ords
}
