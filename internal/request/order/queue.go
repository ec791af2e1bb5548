package order

import "time"

// Item is a job in a Queue.
type Item[T any] struct {
	// Value is what the caller put in.
	Value T
	lane  *lane[T]
	key   float64
	seq   uint64
	pos   int
}

// Queued reports whether the item is in the queue now.
func (itm *Item[T]) Queued() bool { return itm.pos > 0 }

// lane holds the jobs of one partner in a heap; heap[0] is not used so that a zero Item is out.
type lane[T any] struct {
	partner string
	heap    []*Item[T]
	// used is the slot time given to the partner, in seconds, as fair queueing counts it.
	used float64
}

// Queue holds the jobs that have waiting tasks.
type Queue[T any] struct {
	lanes []*lane[T]
	// ageing is how many seconds of remaining work one second of waiting outweighs.
	ageing float64
	start  time.Time
	seq    uint64
	len    int
	// busy counts the busy periods: times at which some job waits.
	busy uint64
}

// NewQueue returns an empty Queue. With ageing 0 the shortest job always goes first; the larger
// it is, the nearer the order comes to first in, first out.
func NewQueue[T any](ageing float64) *Queue[T] { return &Queue[T]{ageing: ageing} }

// Len returns the number of jobs in the queue.
func (que *Queue[T]) Len() int { return que.len }

// Put adds an item, or moves it if its remaining work has changed.
//
// The key is the remaining work plus the weighted arrival time. As all jobs age at the same speed
// the order of two waiting jobs does not depend on the present, so that a heap can hold it, and a
// job is overtaken only by jobs that arrive within remaining/ageing after it.
func (que *Queue[T]) Put(itm *Item[T], partner string, arrived time.Time, remaining time.Duration) {
	if que.start.IsZero() {
		que.start = arrived
	}
	itm.key = remaining.Seconds() + que.ageing*arrived.Sub(que.start).Seconds()
	if itm.Queued() {
		itm.lane.fix(itm.pos)
		return
	}
	// The item may come from another queue, whose lane of the partner it still points to.
	itm.lane = que.laneOf(partner)
	if itm.seq == 0 {
		que.seq++
		itm.seq = que.seq
	}
	if que.len == 0 {
		que.startBusy()
	}
	if len(itm.lane.heap) == 1 {
		que.catchUp(itm.lane)
	}
	itm.lane.push(itm)
	que.len++
}

// Remove takes an item out, if it is in.
func (que *Queue[T]) Remove(itm *Item[T]) {
	if itm.Queued() {
		itm.lane.remove(itm.pos)
		que.len--
	}
}

// Next returns the first job of the partner that has had the least slot time, or nil.
func (que *Queue[T]) Next() *Item[T] {
	var best *lane[T]
	for _, lan := range que.lanes {
		if len(lan.heap) > 1 && (best == nil || lan.used < best.used) {
			best = lan
		}
	}
	if best == nil {
		return nil
	}
	return best.heap[1]
}

// BusyPeriod returns the number of the present busy period.
func (que *Queue[T]) BusyPeriod() uint64 { return que.busy }

// Charge counts slot time to a partner; a negative time corrects an estimate that was too high.
// What belongs to an earlier busy period does not count any more.
func (que *Queue[T]) Charge(partner string, slotTime time.Duration, busy uint64) {
	if busy == que.busy {
		que.laneOf(partner).used += slotTime.Seconds()
	}
}

// startBusy begins a busy period with a clean slate: slots that one partner used while the other
// had nothing to run are no debt. Without that a single short job waits until the other partner's
// large one has drawn level.
func (que *Queue[T]) startBusy() {
	que.busy++
	for _, lan := range que.lanes {
		lan.used = 0
	}
}

// ActivePartners returns how many partners have jobs in the queue.
func (que *Queue[T]) ActivePartners() int {
	num := 0
	for _, lan := range que.lanes {
		if len(lan.heap) > 1 {
			num++
		}
	}
	return num
}

// catchUp keeps a partner that was away from claiming the slot time that it did not ask for.
func (que *Queue[T]) catchUp(lan *lane[T]) {
	least, some := 0.0, false
	for _, oth := range que.lanes {
		if oth != lan && len(oth.heap) > 1 && (!some || oth.used < least) {
			least, some = oth.used, true
		}
	}
	if some {
		lan.used = max(lan.used, least)
	}
}

func (que *Queue[T]) laneOf(partner string) *lane[T] {
	for _, lan := range que.lanes {
		if lan.partner == partner {
			return lan
		}
	}
	lan := &lane[T]{partner: partner, heap: make([]*Item[T], 1)}
	que.lanes = append(que.lanes, lan)
	return lan
}
