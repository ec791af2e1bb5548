package submission

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// OrderReason says why an order of a task is sent.
type OrderReason int

// The reasons of orders. The last two don't have a leader start the task.
const (
	// FirstOrder is the reason of a task's first order.
	FirstOrder OrderReason = iota
	// Returned means that a leader has given the former order back.
	Returned
	// Moved means that the former order was recalled and came back without a start.
	Moved
	// RunFailed means that a run of the former order has failed.
	RunFailed
	// FormerRunOver means that the task became orphaned so long ago that its former run is surely over.
	FormerRunOver
	// NewLeader means that the former order was with an earlier leader of the shard.
	NewLeader
	// Recall means that the former order is only asked back.
	Recall
	// OrderReasons is the number of reasons.
	OrderReasons
)

// String returns the kebab-case name that logs and metrics use.
func (rsn OrderReason) String() string {
	names := [OrderReasons]string{"first", "returned", "moved", "run-failed", "former-run-over", "new-leader", "recall"}
	if rsn < 0 || rsn >= OrderReasons {
		return "unknown"
	}
	return names[rsn]
}

// OrderDelay says what kept a task from being ordered.
type OrderDelay int

// The delays of orders.
const (
	// NoDelay means that nothing did.
	NoDelay OrderDelay = iota
	// LinkFull means that the link to other instances was full.
	LinkFull
	// ReturnedOften means that leaders had returned the task again and again.
	ReturnedOften
	// NoOpenShard means that no shard accepted work.
	NoOpenShard
	// ProcessPaused means that the owner's process was paused, and callers who had left meanwhile were read first.
	ProcessPaused
	// OrderDelays is the number of delays.
	OrderDelays
)

// String returns the kebab-case name that logs and metrics use.
func (dly OrderDelay) String() string {
	names := [OrderDelays]string{"", "link", "returns", "no-open-shard", "paused"}
	if dly < 0 || dly >= OrderDelays {
		return "unknown"
	}
	return names[dly]
}

// Loss says what made a task orphaned.
type Loss string

// The kinds of losses.
const (
	// LeaderLost means that this instance has lost the leader.
	LeaderLost Loss = "instance-lost"
	// ReportedLost means that the leader has reported the order as lost.
	ReportedLost Loss = "reported-lost"
)

// OrderCause says why an order is sent, and what is known of the task's former order, for logs and metrics.
type OrderCause struct {
	Reason OrderReason
	// Number is the number of the task's order, recalls not counted; the first is 1.
	Number int
	// Former is the leadership that got the former order, FormerAge the time since then; a recall's former order is the recalled one.
	Former    Target
	FormerAge time.Duration
	// LastServer is where the task was last reported to run; empty if it never was.
	LastServer shard.ServerID
	// Return says why the former leader returned the order, if it did.
	Return shard.ReturnReason
	// Loss says what made the task orphaned, empty if it was not; LossCause says how the leader was lost, LossAge how long ago that was.
	Loss      Loss
	LossCause string
	LossAge   time.Duration
	// Delay is what last kept the task from being ordered since the former order, Delayed the time since something first did.
	Delay   OrderDelay
	Delayed time.Duration
}

// history is what was sent of a task, and what its next order is sent for.
type history struct {
	// orders counts the orders; last got the newest, at sentAt.
	orders int
	last   Target
	sentAt time.Time
	// server is where the task was last reported to run.
	server shard.ServerID
	// next is nil until something is known of the next order.
	next *nextOrder
}

// nextOrder is what is known of the next order of a task: the values of its OrderCause, with times for ages.
type nextOrder struct {
	reason       OrderReason
	returned     shard.ReturnReason
	loss         Loss
	lossCause    string
	lostAt       time.Time
	delay        OrderDelay
	delayedSince time.Time
}

// noteReport records what a report on the newest order of a task means for its next one.
func (his *history) noteReport(rep *shard.Report, recalled bool) {
	if rep.Server != "" {
		his.server = rep.Server
	}
	switch rep.Outcome {
	case shard.NotRun:
		his.next = &nextOrder{reason: Returned, returned: rep.Reason}
		if recalled && !rep.MayHaveRun {
			his.next.reason = Moved
		}
	case shard.Failed:
		his.next = &nextOrder{reason: RunFailed}
	case shard.Done, shard.Started, shard.Lost, shard.OrderReplaced:
		// No order follows, or markOrphaned says why.
	}
}

// noteLoss records that the task was orphaned at a time.
func (his *history) noteLoss(at time.Time, los Loss, cause string) {
	his.next = &nextOrder{reason: FormerRunOver, loss: los, lossCause: cause, lostAt: at}
}

// noteDelay records that the task was not ordered at a time.
func (his *history) noteDelay(at time.Time, dly OrderDelay) {
	if his.next == nil {
		his.next = &nextOrder{}
	}
	if his.next.delay == NoDelay {
		his.next.delayedSince = at
	}
	his.next.delay = dly
}

// cause returns why an order is sent to a leadership now, and records the order.
func (his *history) cause(now time.Time, tgt Target, how *shard.Order) OrderCause {
	cau := OrderCause{Former: his.last, LastServer: his.server}
	if his.orders > 0 {
		cau.FormerAge = max(0, now.Sub(his.sentAt))
	}
	if how.Recall {
		cau.Reason, cau.Number = Recall, his.orders
		return cau
	}
	if nxt := his.next; nxt != nil {
		cau.Reason, cau.Return, cau.Loss, cau.LossCause, cau.Delay = nxt.reason, nxt.returned, nxt.loss, nxt.lossCause, nxt.delay
		if nxt.loss != "" {
			cau.LossAge = max(0, now.Sub(nxt.lostAt))
		}
		if nxt.delay != NoDelay {
			cau.Delayed = max(0, now.Sub(nxt.delayedSince))
		}
	}
	if how.Reassigned {
		cau.Reason = NewLeader
	}
	his.orders++
	cau.Number = his.orders
	his.last, his.sentAt, his.next = tgt, now, nil
	return cau
}
