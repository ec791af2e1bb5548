package succession

import (
	"fmt"
	"time"
)

// What a node's process gets done: timers, what comes from elsewhere, and pauses without any processor.

// every does something again and again while the process runs; a process that stands still does it once when it goes on.
func (nod *node) every(dur time.Duration, act func()) {
	pending := false
	var next func()
	src := fmt.Sprint("timer ", nod.ply.lives, dur)
	next = func() {
		if nod.dead {
			return
		}
		if !pending {
			pending = true
			nod.deliver(src, func() { pending = false; act() })
		}
		nod.ply.after(dur, next)
	}
	nod.ply.after(nod.ply.within(dur), next)
}

// deliver has the process do something, in the order of its source.
func (nod *node) deliver(source string, act func()) {
	if nod.dead {
		return
	}
	if nod.ply.now.Before(nod.stalled) || len(nod.inbox) > 0 {
		nod.inbox[source] = append(nod.inbox[source], act)
		return
	}
	act()
}

// stall stands the process still for a while; afterwards it does what has come, of each source in order.
func (nod *node) stall(dur time.Duration) {
	nod.ply.note("%s stands still for %v", nod.id, dur)
	nod.stalled = nod.ply.now.Add(dur)
	nod.ply.after(dur, nod.drain)
}

func (nod *node) drain() {
	if nod.dead || len(nod.inbox) == 0 || nod.ply.now.Before(nod.stalled) {
		return
	}
	srcs := sortedKeys(nod.inbox)
	src := srcs[nod.ply.rnd.IntN(len(srcs))]
	act := nod.inbox[src][0]
	if nod.inbox[src] = nod.inbox[src][1:]; len(nod.inbox[src]) == 0 {
		delete(nod.inbox, src)
	}
	act()
	nod.ply.after(nod.ply.within(600*time.Microsecond), nod.drain)
}

// run does something as an event of the process, with what follows from it.
func (nod *node) run(act func(now time.Time)) {
	now := nod.ply.now
	if !nod.tickedAt.IsZero() && now.Sub(nod.tickedAt) > starvedFor {
		for _, name := range sortedKeys(nod.ldrs) {
			nod.ldrs[name].HeldUp(now.Add(50 * time.Millisecond))
		}
	}
	act(now)
	nod.carryOut()
	if now.Sub(nod.sharedAt) >= 4*time.Millisecond {
		nod.sharedAt = now
		for _, name := range sortedKeys(nod.ldrs) {
			nod.deskDo(nod.dsk.HandleLoad(name, nod.ldrs[name].Load(now)))
		}
		nod.carryOut()
	}
}
