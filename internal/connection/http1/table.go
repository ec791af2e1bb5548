package http1

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"chestnutstack/internal/version/config"
)

// Reason is why a connection is closed.
type Reason int

// The reasons.
const (
	// Crowded means that a newer connection needed the place.
	Crowded Reason = iota
	// OutOfMemory means that the requests of other connections needed the memory.
	OutOfMemory
	// LargeHead means that the head of a request was too large.
	LargeHead
	// SlowHead and SlowBody mean that a head or body took too long.
	SlowHead
	SlowBody
	// BrokenOff means that the client ended the connection in the middle of a body.
	BrokenOff
	// Idle means that no further request came.
	Idle
	// Deaf means that the client didn't take its answer, or didn't send the rest of a request that was answered.
	Deaf
	// Reasons is the number of reasons.
	Reasons
)

// String returns the kebab-case name that logs and metrics use.
func (rsn Reason) String() string {
	names := [...]string{"crowded", "out-of-memory", "large-head", "slow-head", "slow-body", "broken-off", "idle", "deaf"}
	if rsn < 0 || int(rsn) >= len(names) {
		return "invalid"
	}
	return names[rsn]
}

// Closing is a connection that is to be closed; the Table has forgotten it.
type Closing[K comparable] struct {
	Conn   K
	Reason Reason
}

// phase is what a connection is doing.
type phase int

const (
	// waiting is said of a connection of whose next request nothing has come.
	waiting phase = iota
	// readingHead and readingBody are said of a request that isn't read whole.
	readingHead
	readingBody
	// decoding is said of a request that was read whole and isn't taken yet.
	decoding
	// working is said of a request that was taken.
	working
	// ending is said of a request that has its answer, while that is written or the rest of the request is read.
	ending
)

// headExpansion is how much memory the head of a request takes at most while it is decoded, per byte: short fields take 41.
const headExpansion = 41

// record is the state of a connection.
type record[K comparable] struct {
	con   K
	phase phase
	// answered is set once a request was answered on the connection.
	answered bool
	// since is the Table's clock when the phase began, and entered its place among all begins of phases; timeout is how long the body may take, 0 for as
	// long as a head.
	since, timeout time.Duration
	entered        uint64
	// head counts the bytes of the present head, charged what is held of the request.
	head    int
	charged int64
	// headCharged is the part of charged that counts toward the share of heads, while the head is read.
	headCharged int64
	// lst has the record as elm, and those which may be closed in the order in which they came to it; nil once the request is read whole, until it has its
	// answer.
	lst *list.List
	elm *list.Element
}

// Table holds the connections of all clients and decides which of them are closed, so that the limits hold: new clients that are slow go before those that
// have been answered before, and of either the one that has been slow for the longest. A request that was read whole is never given up. It does no I/O, and
// its clock advances by Sweep.
type Table[K comparable] struct {
	lim     Limits
	bnd     config.Limits
	clock   time.Duration
	entered uint64
	records map[K]*record[K]
	charged int64
	working int
	// headBytes is what is held of heads that aren't read whole.
	headBytes int64
	// The connections that may be closed, by what they do: newcomers had no answer yet, established ones had.
	newcomers, established class
	ending                 *list.List
}

// class has the connections that are waiting, and those of which a head or a body is read, each in the order in which they came to that.
type class struct{ waiting, heads, bodies *list.List }

func newClass() class { return class{waiting: list.New(), heads: list.New(), bodies: list.New()} }

// NewTable returns an empty table.
func NewTable[K comparable](lim Limits, bnd config.Limits) *Table[K] {
	return &Table[K]{
		lim: lim, bnd: bnd, records: map[K]*record[K]{},
		newcomers: newClass(), established: newClass(), ending: list.New(),
	}
}

// SetBounds changes the bounds on requests, at once also for those that are being read.
func (tab *Table[K]) SetBounds(bnd config.Limits) { tab.bnd = bnd }

// Open adds a connection and returns those that are closed for it. If nothing can be closed, that is the new one.
func (tab *Table[K]) Open(con K) []Closing[K] {
	var cls []Closing[K]
	for len(tab.records) >= tab.lim.Connections {
		vic := tab.leastNeeded()
		if vic == nil {
			return append(cls, Closing[K]{Conn: con, Reason: Crowded})
		}
		cls = append(cls, tab.evict(vic, Crowded))
	}
	rec := &record[K]{con: con}
	tab.records[con] = rec
	tab.enter(rec, waiting)
	return cls
}

// Has reports whether a connection is open; otherwise it was closed for its limits, or by its client.
func (tab *Table[K]) Has(con K) bool { return tab.records[con] != nil }

// Close removes a connection that was closed, if the table has it.
func (tab *Table[K]) Close(con K) {
	if rec := tab.records[con]; rec != nil {
		tab.remove(rec)
	}
}

// Receive takes note of bytes that were read from a connection. It returns the connections that are closed for their memory; they include this one if
// its head is too large, or if no other is slower.
func (tab *Table[K]) Receive(con K, num int) []Closing[K] {
	rec := tab.records[con]
	if rec == nil || rec.phase != waiting && rec.phase != readingHead {
		return nil
	}
	if rec.phase == waiting {
		rec.head = 0
		tab.enter(rec, readingHead)
	}
	if rec.head += num; rec.head > headerBytes(tab.bnd)+readAhead {
		return []Closing[K]{tab.evict(rec, LargeHead)}
	}
	cls, fits := tab.chargeHead(rec, int64(num)*headExpansion)
	if !fits {
		cls = append(cls, tab.evict(rec, OutOfMemory))
	}
	return cls
}

// BeginBody takes note that the head of a request is read. The rest is to be read, and the request taken or answered, within timeout; 0 stands for the time
// of a head.
func (tab *Table[K]) BeginBody(con K, timeout time.Duration) {
	rec := tab.records[con]
	if rec == nil || rec.phase >= decoding {
		return
	}
	if rec.phase != readingBody {
		tab.enter(rec, readingBody)
	}
	rec.timeout = timeout
}

// BreakOff returns the closing of a connection that its client ended in the middle of a body, none if it was closed for its limits.
func (tab *Table[K]) BreakOff(con K) []Closing[K] {
	if rec := tab.records[con]; rec != nil {
		return []Closing[K]{tab.evict(rec, BrokenOff)}
	}
	return nil
}

// Charge takes room for bytes of a request's body, and gives it back if num is negative. It returns the connections that are closed for that, and whether
// there is room.
func (tab *Table[K]) Charge(con K, num int64) ([]Closing[K], bool) {
	rec := tab.records[con]
	if rec == nil {
		return nil, false
	}
	return tab.charge(rec, num)
}

// Decode takes note that a request is read whole. Until it has its answer its connection isn't closed for others: that would free nothing at once.
func (tab *Table[K]) Decode(con K) {
	if rec := tab.records[con]; rec != nil && rec.phase < decoding {
		tab.leave(rec)
		rec.phase, rec.since = decoding, tab.clock
	}
}

// HasPlace returns whether another request may be taken; if not, there is no use in reading it.
func (tab *Table[K]) HasPlace() bool { return tab.working < tab.lim.Working }

// Take takes a request that is read whole, and holds so many bytes until it is answered within timeout: from now on its connection isn't closed for
// others. It returns the connections that are closed for that, and whether there is room.
func (tab *Table[K]) Take(con K, bytes int64, timeout time.Duration) ([]Closing[K], bool) {
	rec := tab.records[con]
	if rec == nil || rec.phase >= working || !tab.HasPlace() {
		return nil, false
	}
	cls, fits := tab.charge(rec, bytes-rec.charged)
	if !fits {
		return cls, false
	}
	tab.leave(rec)
	rec.phase, rec.since, rec.timeout = working, tab.clock, timeout
	tab.working++
	return cls, true
}

// minWait is the shortest time that a refusal can tell.
const minWait = time.Second

// Wait returns how long it takes until a request of so many bytes surely fits, if no other is taken: requests that aren't read whole give way at once, and
// those that were taken are answered by their timeouts. Requests that are being decoded are soon taken or refused.
func (tab *Table[K]) Wait(bytes int64) time.Duration {
	var taken []*record[K]
	held := int64(0)
	for _, rec := range tab.records {
		if rec.phase == working {
			taken = append(taken, rec)
			held += rec.charged
		}
	}
	slices.SortFunc(taken, func(one, two *record[K]) int { return cmp.Compare(one.since+one.timeout, two.since+two.timeout) })
	wait := minWait
	for num, rec := range taken {
		if len(taken)-num < tab.lim.Working && held+bytes <= tab.lim.Bytes {
			break
		}
		held -= rec.charged
		wait = max(wait, rec.since+rec.timeout-tab.clock)
	}
	return wait
}

// End takes note that a request has its answer.
func (tab *Table[K]) End(con K) {
	if rec := tab.records[con]; rec != nil {
		tab.release(rec)
		tab.enter(rec, ending)
	}
}

// Await takes note that the answer was written and that the next request is awaited.
func (tab *Table[K]) Await(con K) {
	if rec := tab.records[con]; rec != nil {
		tab.release(rec)
		rec.answered = true
		tab.enter(rec, waiting)
	}
}

// Sweep advances the clock and returns the connections that are closed as they have taken too long.
func (tab *Table[K]) Sweep(elapsed time.Duration) []Closing[K] {
	tab.clock += elapsed
	var cls []Closing[K]
	for _, lst := range tab.lists() {
		for elm := lst.Front(); elm != nil; {
			rec := elm.Value.(*record[K]) //nolint:forcetypeassert // the lists have nothing else
			elm = elm.Next()
			if timeout, rsn := tab.timeoutOf(rec); tab.clock-rec.since >= timeout {
				cls = append(cls, tab.evict(rec, rsn))
			}
		}
	}
	return cls
}

// timeoutOf returns how long the phase of a connection may last, and the reason for which it is closed then.
func (tab *Table[K]) timeoutOf(rec *record[K]) (time.Duration, Reason) {
	switch {
	case rec.phase == ending:
		return idleTimeout(tab.bnd), Deaf
	case rec.phase == readingBody:
		return cmp.Or(rec.timeout, headerTimeout(tab.bnd)), SlowBody
	case rec.phase == waiting && rec.answered:
		return idleTimeout(tab.bnd), Idle
	default:
		return headerTimeout(tab.bnd), SlowHead
	}
}

// Held returns the open connections, the requests that are worked on and the bytes that are held.
func (tab *Table[K]) Held() (connections, working int, bytes int64) {
	return len(tab.records), tab.working, tab.charged
}
