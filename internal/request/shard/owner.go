package shard

import "time"

// A process that was paused for a second goes on as if no time had passed: it finds free capacity for its queue before it finds out that
// the owners took it for lost and have the tasks run elsewhere. So an order starts only if its owner was heard recently by the clock,
// whichever event comes first.

// HandleOwnerHeard records when another instance was last heard.
func (ldr *Leader) HandleOwnerHeard(owner InstanceID, at time.Time) {
	if at.After(ldr.ownersHeard[owner]) {
		ldr.ownersHeard[owner] = at
	}
}

// HandlePause handles a pause of this process. Nothing starts before until, so that the sockets are read first: callers may have left, and
// owners may have reported that they start tasks elsewhere. Runs that span the pause are no evidence of speed.
func (ldr *Leader) HandlePause(until time.Time) {
	ldr.noStartsUntil = until
	for _, srv := range ldr.serverList {
		for _, rn := range srv.runList {
			rn.timeHandled, rn.spansPause = true, true
		}
	}
}

// ownerHeardRecently reports whether an order's owner was heard within Config.OwnerTimeout, or is this instance.
func (ldr *Leader) ownerHeardRecently(now time.Time, ord *order) bool {
	at, other := ldr.ownersHeard[ord.Owner]
	return !other || now.Sub(at) <= ldr.cfg.OwnerTimeout
}

// AddOwners adds the owner of each order that this leader has to set.
func (ldr *Leader) AddOwners(set map[InstanceID]bool) {
	for _, ord := range ldr.orders {
		set[ord.Owner] = true
	}
}
