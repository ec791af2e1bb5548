package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// order is an Order on its way.
type order struct {
	Order
	// run is set while the order is placed.
	run *run
	// sib is what is known of the other tasks of its step; every round of placing asks for it.
	sib *siblings
	srv *server
	// cameAt is when the order came here.
	cameAt time.Time
	// notBefore is set for a task that may still run at a server that has not yet obeyed this leader.
	notBefore time.Time
	// mayHaveRun is set once a start was sent that a server may have carried out.
	mayHaveRun bool
	cancelled  bool
	runNumber  int64
}

// jobBegun reports whether another task of the job may have begun, here or elsewhere.
func (ord *order) jobBegun() bool { return ord.JobStarted || ord.sib != nil && ord.sib.begun }

// submission returns the part of a task's name that names its submission.
func (ord *order) submission() string {
	sub, _, _ := strings.Cut(ord.Task, ".")
	return sub
}

// compare puts orders into the order in which they are to start: by priority, then by arrival, so that
// the tasks of a submission, whose answer waits for the last of them, start together.
func compare(one, two *order) int {
	return cmp.Or(
		cmp.Compare(one.Priority, two.Priority),
		one.Arrived.Compare(two.Arrived),
		strings.Compare(one.Task, two.Task),
	)
}

// queue has the orders that wait, in order.
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

// anyFollowed reports whether an order waits that lay with an earlier leader.
func (que *queue) anyFollowed() bool {
	return slices.ContainsFunc(que.orders, func(ord *order) bool { return ord.Reassigned })
}

// dropIf removes the orders of which a condition holds.
func (que *queue) dropIf(gone func(ord *order) bool) {
	que.orders = slices.DeleteFunc(que.orders, gone)
}
