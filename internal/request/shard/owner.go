package shard

import "time"

// A process that got no processor for a second goes on as if nothing had happened: it finds room for what waits in its queue before
// it finds out that the owners have given it up, and have the tasks run elsewhere. So an order starts only while its owner
// was heard a short while ago by the clock, whichever event comes first.

// HandleOwnerHeard tells the leader when another instance was last heard.
func (ldr *Leader) HandleOwnerHeard(owner InstanceID, at time.Time) {
	if at.After(ldr.heard[owner]) {
		ldr.heard[owner] = at
	}
}

// HandlePause tells the leader that its process came to nothing for a while. Nothing starts until a time, so that the sockets are read
// first: callers may have left, and owners may have said that they start tasks elsewhere.
func (ldr *Leader) HandlePause(until time.Time) {
	ldr.quietUntil = until
	for _, srv := range ldr.servers {
		for _, rn := range srv.runs {
			rn.timed, rn.blurred = true, true
		}
	}
}

// ownerThere reports whether an order's owner still waits for it, as far as can be known.
func (ldr *Leader) ownerThere(now time.Time, ord *order) bool {
	at, other := ldr.heard[ord.Owner]
	return !other || now.Sub(at) <= ldr.cfg.OwnerTimeout
}
