package order

import "time"

// Item is a job that can be put into a Queue; the zero value is in none.
type Item[T any] struct {
	// Value is the caller's data.
	Value T
	// queue is the heap that the item is or was in; key is what the heap is ordered by, least first.
	queue *partnerQueue[T]
	key   float64
	// seq is the number of the item's first Put, which orders items of equal keys.
	seq uint64
	// pos is the index in the heap, 0 while the item is in no queue.
	pos int
}

// Queued reports whether the item is in the queue now.
func (itm *Item[T]) Queued() bool { return itm.pos > 0 }

// partnerQueue holds the jobs of one partner in a binary heap; heap[0] is not used, so that pos 0 means "not queued".
type partnerQueue[T any] struct {
	partner string
	heap    []*Item[T]
	// usedSeconds is the slot time charged to the partner in this busy period, raised by skipIdleTime.
	usedSeconds float64
}

// Queue holds the jobs that have waiting tasks, in one heap per partner.
type Queue[T any] struct {
	partners []*partnerQueue[T]
	// ageing is the number of seconds of remaining work that one second of waiting outweighs.
	ageing float64
	// start is the arrival time of the first job put in, from which keys count time.
	start time.Time
	// seq is the number of first Puts so far.
	seq uint64
	// len is the number of jobs in the queue.
	len int
	// busyPeriod counts the busy periods; one begins when a job is put into the empty queue.
	busyPeriod uint64
}

// NewQueue returns an empty Queue. With ageing 0 the shortest job always goes first; the larger ageing is, the closer the order
// is to first in, first out.
func NewQueue[T any](ageing float64) *Queue[T] { return &Queue[T]{ageing: ageing} }

// Len returns the number of jobs in the queue.
func (que *Queue[T]) Len() int { return que.len }

// Put adds an item to its partner's heap, or moves it if its remaining work has changed.
//
// The key is the remaining work in seconds plus ageing times the arrival time. As all jobs age at the same rate, the order of two
// waiting jobs does not depend on the current time, so a heap can hold it; a job is overtaken only by jobs that arrive within
// remaining/ageing after it.
func (que *Queue[T]) Put(itm *Item[T], partner string, arrived time.Time, remaining time.Duration) {
	if que.start.IsZero() {
		que.start = arrived
	}
	itm.key = remaining.Seconds() + que.ageing*arrived.Sub(que.start).Seconds()
	if itm.Queued() {
		itm.queue.fix(itm.pos)
		return
	}
	// The item may have been in another Queue before, and still point to a heap of that one.
	itm.queue = que.partnerQueueOf(partner)
	if itm.seq == 0 {
		que.seq++
		itm.seq = que.seq
	}
	if que.len == 0 {
		que.startBusy()
	}
	if len(itm.queue.heap) == 1 {
		que.skipIdleTime(itm.queue)
	}
	itm.queue.push(itm)
	que.len++
}

// Remove takes an item out of the queue, if it is queued.
func (que *Queue[T]) Remove(itm *Item[T]) {
	if itm.Queued() {
		itm.queue.remove(itm.pos)
		que.len--
	}
}

// Next returns the first job of the partner with the least slot time among those with jobs, or nil if the queue is empty.
func (que *Queue[T]) Next() *Item[T] {
	var best *partnerQueue[T]
	for _, pqu := range que.partners {
		if len(pqu.heap) > 1 && (best == nil || pqu.usedSeconds < best.usedSeconds) {
			best = pqu
		}
	}
	if best == nil {
		return nil
	}
	return best.heap[1]
}

// BusyPeriod returns the number of the current busy period, which Charge expects.
func (que *Queue[T]) BusyPeriod() uint64 { return que.busyPeriod }

// Charge adds slot time to a partner's account; a negative time corrects an estimate that was too high. A charge for an earlier
// busy period is ignored.
func (que *Queue[T]) Charge(partner string, slotTime time.Duration, busyPeriod uint64) {
	if busyPeriod == que.busyPeriod {
		que.partnerQueueOf(partner).usedSeconds += slotTime.Seconds()
	}
}

// startBusy begins a busy period and resets all accounts: slots that a partner used while the other had nothing to run don't count
// against it. Otherwise its next short job waits until a large job of the other partner has used as much slot time.
func (que *Queue[T]) startBusy() {
	que.busyPeriod++
	for _, pqu := range que.partners {
		pqu.usedSeconds = 0
	}
}

// ActivePartners returns the number of partners with jobs in the queue.
func (que *Queue[T]) ActivePartners() int {
	num := 0
	for _, pqu := range que.partners {
		if len(pqu.heap) > 1 {
			num++
		}
	}
	return num
}

// skipIdleTime raises the account of a partner that had no queued jobs to the least of the others' accounts, so that it can't claim
// the slot time that it didn't ask for.
func (que *Queue[T]) skipIdleTime(pqu *partnerQueue[T]) {
	least, found := 0.0, false
	for _, oth := range que.partners {
		if oth != pqu && len(oth.heap) > 1 && (!found || oth.usedSeconds < least) {
			least, found = oth.usedSeconds, true
		}
	}
	if found {
		pqu.usedSeconds = max(pqu.usedSeconds, least)
	}
}

// partnerQueueOf returns the heap of a partner, and creates it if there is none yet.
func (que *Queue[T]) partnerQueueOf(partner string) *partnerQueue[T] {
	for _, pqu := range que.partners {
		if pqu.partner == partner {
			return pqu
		}
	}
	pqu := &partnerQueue[T]{partner: partner, heap: make([]*Item[T], 1)}
	que.partners = append(que.partners, pqu)
	return pqu
}
