package succession

import (
	"fmt"
	"time"
)

// The processor time of a node: timers, received messages, and pauses of the process.

// every calls act at an interval while the process runs; after a pause of the process it calls act once for all missed times.
func (nod *node) every(dur time.Duration, act func()) {
	pending := false
	var next func()
	src := fmt.Sprint("timer ", nod.sim.incarnations, dur)
	next = func() {
		if nod.dead {
			return
		}
		if !pending {
			pending = true
			nod.deliver(src, func() { pending = false; act() })
		}
		nod.sim.after(dur, next)
	}
	nod.sim.after(nod.sim.within(dur), next)
}

// deliver calls act in the node's process, after all that the same source delivered before.
func (nod *node) deliver(source string, act func()) {
	if nod.dead {
		return
	}
	if nod.sim.now.Before(nod.pausedUntil) || len(nod.inbox) > 0 {
		nod.inbox[source] = append(nod.inbox[source], act)
		return
	}
	act()
}

// pause pauses the process for a time; afterwards it handles what it has received, for each source in order.
func (nod *node) pause(dur time.Duration) {
	nod.sim.note("%s is paused for %v", nod.id, dur)
	nod.pausedUntil = nod.sim.now.Add(dur)
	nod.sim.after(dur, nod.drain)
}

// drain handles one received message after a pause, from a random source, and schedules the next.
func (nod *node) drain() {
	if nod.dead || len(nod.inbox) == 0 || nod.sim.now.Before(nod.pausedUntil) {
		return
	}
	srcs := sortedKeys(nod.inbox)
	src := srcs[nod.sim.rnd.IntN(len(srcs))]
	act := nod.inbox[src][0]
	if nod.inbox[src] = nod.inbox[src][1:]; len(nod.inbox[src]) == 0 {
		delete(nod.inbox, src)
	}
	act()
	nod.sim.after(nod.sim.within(600*time.Microsecond), nod.drain)
}

// handle calls act as an event of the process, and carries out the messages to itself that result.
func (nod *node) handle(act func(now time.Time)) {
	now := nod.sim.now
	if !nod.lastTickAt.IsZero() && now.Sub(nod.lastTickAt) > longPauseThreshold {
		for _, name := range sortedKeys(nod.leaders) {
			nod.leaders[name].HandlePause(now.Add(50 * time.Millisecond))
		}
	}
	act(now)
	nod.runLocal()
	if now.Sub(nod.loadsSharedAt) >= 4*time.Millisecond {
		nod.loadsSharedAt = now
		for _, name := range sortedKeys(nod.leaders) {
			nod.runCoordinatorActions(nod.coordinator.HandleLoad(name, nod.load(name)))
		}
		nod.runLocal()
	}
}
