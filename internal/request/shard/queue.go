package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// order is an Order with the leader's state of it.
type order struct {
	Order
	// run is set while the order has a run.
	run *run
	// sibs is the record of its step's run times, kept here because each placement round needs it.
	sibs *siblings
	// srv is the server of the run, or of the last one if its end was listed.
	srv *server
	// receivedAt is when the order came to this leader.
	receivedAt time.Time
	// notBefore is the earliest time to start the task; for a reassigned order, until when it may still run for another leader.
	notBefore time.Time
	// mayHaveRun is set once a start was sent that a server may have carried out.
	mayHaveRun bool
	// cancelled is set if the order is removed without a report when its run is over.
	cancelled bool
	// starts counts the runs that were started for it here.
	starts int
	// stalls counts those that made no progress.
	stalls int
	// runNumber is the number of the last run started here, raised by each of numberJumps refusals of a number that was too low.
	runNumber   int64
	numberJumps int
	// waitedForSpeed is set once the order was left waiting for a faster server.
	waitedForSpeed bool
}

// jobStarted reports whether another task of the job may have started, in this shard or another.
func (ord *order) jobStarted() bool { return ord.JobStarted || ord.sibs != nil && ord.sibs.started }

// submission returns the submission's part of the task's name.
func (ord *order) submission() string {
	sub, _, _ := strings.Cut(ord.Task, ".")
	return sub
}

// compare sorts orders by priority, then by arrival, so that the tasks of a submission start together: its answer needs the last of them.
func compare(one, two *order) int {
	return cmp.Or(
		cmp.Compare(one.Priority, two.Priority),
		one.Arrived.Compare(two.Arrived),
		strings.Compare(one.Task, two.Task),
	)
}

// queue holds the waiting orders, sorted by compare.
type queue struct{ orders []*order }

func (que *queue) push(ord *order) {
	pos, _ := slices.BinarySearchFunc(que.orders, ord, compare)
	que.orders = slices.Insert(que.orders, pos, ord)
}

func (que *queue) remove(ord *order) {
	pos, found := slices.BinarySearchFunc(que.orders, ord, compare)
	if found {
		que.orders = slices.Delete(que.orders, pos, pos+1)
	}
}

// anyReassigned reports whether a reassigned order waits.
func (que *queue) anyReassigned() bool {
	return slices.ContainsFunc(que.orders, func(ord *order) bool { return ord.Reassigned })
}

// removeIf removes the orders for which gone returns true.
func (que *queue) removeIf(gone func(ord *order) bool) {
	que.orders = slices.DeleteFunc(que.orders, gone)
}
