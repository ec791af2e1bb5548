package http1

import "container/list"

// headShare divides the bytes of all requests: one part of so many is for heads that aren't read whole. They are read at a stretch, and what decoding leaves
// behind for the garbage collector comes on top.
const headShare = 8

// charge takes room for bytes of a connection, and has the slowest others closed until there is room. It fails rather than close one that is less slow.
func (tab *Table[K]) charge(rec *record[K], num int64) ([]Closing[K], bool) {
	var cls []Closing[K]
	for num > 0 && tab.charged+num > tab.lim.Bytes {
		vic := tab.slowest(tab.newcomers.heads, tab.newcomers.bodies)
		if vic == nil {
			vic = tab.slowest(tab.established.heads, tab.established.bodies)
		}
		if vic == nil || vic == rec {
			return cls, false
		}
		cls = append(cls, tab.evict(vic, OutOfMemory))
	}
	rec.charged += num
	tab.charged += num
	return cls, true
}

// chargeHead is charge for a head, within the share of heads unless it is the only one.
func (tab *Table[K]) chargeHead(rec *record[K], num int64) ([]Closing[K], bool) {
	var cls []Closing[K]
	for tab.headBytes > rec.headCharged && tab.headBytes+num > tab.lim.Bytes/headShare {
		vic := tab.slowest(tab.newcomers.heads)
		if vic == nil {
			vic = tab.slowest(tab.established.heads)
		}
		if vic == nil || vic == rec {
			return cls, false
		}
		cls = append(cls, tab.evict(vic, OutOfMemory))
	}
	more, fits := tab.charge(rec, num)
	if fits {
		rec.headCharged += num
		tab.headBytes += num
	}
	return append(cls, more...), fits
}

// graceTime is how old a connection without an answer is before it is closed rather than an idle one that had some: an ordinary client's first request comes
// sooner.
const graceTime = 2 * sweepInterval

// leastNeeded returns the connection that is closed for a new one, nil if there is none.
func (tab *Table[K]) leastNeeded() *record[K] {
	slow := tab.slowest(tab.newcomers.waiting, tab.newcomers.heads, tab.newcomers.bodies, tab.ending)
	if slow != nil && tab.clock-slow.since >= graceTime {
		return slow
	}
	if idl := tab.slowest(tab.established.waiting); idl != nil {
		return idl
	}
	if slow != nil {
		return slow
	}
	return tab.slowest(tab.established.heads, tab.established.bodies)
}

// slowest returns the connection that has been for the longest in one of the lists, nil if all are empty.
func (tab *Table[K]) slowest(lsts ...*list.List) *record[K] {
	var found *record[K]
	for _, lst := range lsts {
		if elm := lst.Front(); elm != nil {
			rec := elm.Value.(*record[K]) //nolint:forcetypeassert // the lists have nothing else
			if found == nil || rec.entered < found.entered {
				found = rec
			}
		}
	}
	return found
}

// enter begins a phase in which the connection may be closed.
func (tab *Table[K]) enter(rec *record[K], phs phase) {
	tab.leave(rec)
	tab.entered++
	rec.phase, rec.since, rec.entered = phs, tab.clock, tab.entered
	rec.lst = tab.listOf(rec)
	rec.elm = rec.lst.PushBack(rec)
}

func (tab *Table[K]) listOf(rec *record[K]) *list.List {
	cls := &tab.newcomers
	if rec.answered {
		cls = &tab.established
	}
	switch rec.phase {
	case ending:
		return tab.ending
	case readingHead:
		return cls.heads
	case readingBody:
		return cls.bodies
	default:
		return cls.waiting
	}
}

func (tab *Table[K]) lists() []*list.List {
	one, two := &tab.newcomers, &tab.established
	return []*list.List{one.waiting, one.heads, one.bodies, two.waiting, two.heads, two.bodies, tab.ending}
}

// leave takes a connection out of its list, or ends the work on its request.
func (tab *Table[K]) leave(rec *record[K]) {
	tab.headBytes -= rec.headCharged
	rec.headCharged = 0
	if rec.lst != nil {
		rec.lst.Remove(rec.elm)
		rec.lst = nil
	} else if rec.phase == working {
		tab.working--
	}
}

func (tab *Table[K]) release(rec *record[K]) {
	tab.charged -= rec.charged
	rec.charged = 0
}

func (tab *Table[K]) remove(rec *record[K]) {
	tab.leave(rec)
	tab.release(rec)
	delete(tab.records, rec.con)
}

func (tab *Table[K]) evict(rec *record[K], rsn Reason) Closing[K] {
	tab.remove(rec)
	return Closing[K]{Conn: rec.con, Reason: rsn}
}
