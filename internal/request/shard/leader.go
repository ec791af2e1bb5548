package shard

import (
	"maps"
	"slices"
	"time"
)

// Leader decides which tasks start on the backend servers of one shard, which leases are renewed and which runs are stopped, from the
// moment its instance takes the shard over. Each event method returns the actions to carry out. It is not safe for concurrent use.
type Leader struct {
	cfg              Config
	link             *Uplink
	name             Name
	token            int64
	takeoverAt       time.Time
	takeoverComplete bool
	// closed is set while the shard takes no new work.
	closed  bool
	servers map[ServerID]*server
	// serverList has the same servers in the order in which they were added.
	serverList []*server
	orders     map[string]*order
	que        queue
	// ownersHeard is when each owner on another instance was last heard.
	ownersHeard map[InstanceID]time.Time
	// Nothing starts before noStartsUntil.
	noStartsUntil time.Time
	// unclaimedEnds holds, by task, the listed ends of runs that are done and that no order had, for endMemory.
	unclaimedEnds map[string]foundEnd
	// unansweredStarts holds the starts without an answer of servers that were dropped.
	unansweredStarts map[ServerID][]*run
	acts             []Action
	// steps holds the run times of each step's tasks; old steps were last removed at stepsPrunedAt.
	steps map[string]*siblings
	rates drainRates
	// speeds is what is learned of the servers' lasting speeds.
	speeds speeds
	// estimateBias is the running mean of ln(run time / estimated run time).
	estimateBias float64
	// meanRun is the running mean of run times.
	meanRun       time.Duration
	stepsPrunedAt time.Time
	// loadNumber is the number of the last Load returned.
	loadNumber int64
	// freeBuf is reused by freeServers.
	freeBuf freeServers
	// allConfirmedAt is when every known server had first confirmed the leader; listReadAt is when the read of the newest complete listing
	// began. A listing that was read since then has each server that a former leader may use: it uses none that is listed later, as its other
	// servers refuse it by then (see admitAdded).
	allConfirmedAt, listReadAt time.Time
	// added counts the servers with addedAt set. hadServers is set once there was one.
	added      int
	hadServers bool
	// shards is into how many shards the failure domain is divided; 0 if that is not known.
	shards int
	// droppedUnproven is set once a server was dropped on which another leader may still run tasks.
	droppedUnproven bool
	// lossRate is the running share of calls to backend servers that got no answer.
	lossRate float64
	// lostServers counts the servers that were dropped because they accepted another leader's token.
	lostServers int
	// headroom is the headroom of each service, last updated at headroomAt.
	headroom   map[string]*serviceHeadroom
	headroomAt time.Time
	// preempting is the state of preemption.
	preempting preempting
	// reserved has the servers that are reserved for urgent orders which found no room in the last placement round.
	reserved map[ServerID]reservation
	// heardAt is when a server last answered a renewal with this leader's token; at first the time of the takeover.
	heardAt time.Time
}

// foundEnd is the unclaimed end of a run that is done, the server that listed it, and when it did.
type foundEnd struct {
	server ServerID
	run    RunID
	at     time.Time
}

// NewLeader returns the leader of a shard that was taken over with a fencing token; link is shared by all leaders of the instance.
func NewLeader(cfg Config, link *Uplink, name Name, token int64, now time.Time) *Leader {
	return &Leader{
		cfg: cfg, link: link, name: name, token: token, takeoverAt: now, heardAt: now,
		servers: map[ServerID]*server{}, orders: map[string]*order{}, unclaimedEnds: map[string]foundEnd{},
		ownersHeard: map[InstanceID]time.Time{}, unansweredStarts: map[ServerID][]*run{},
		steps: map[string]*siblings{}, meanRun: initialMeanRun, stepsPrunedAt: now,
		headroom: map[string]*serviceHeadroom{}, reserved: map[ServerID]reservation{}, headroomAt: now, preempting: preempting{stopTime: initialStopTime},
	}
}

// Name returns the shard's name.
func (ldr *Leader) Name() Name { return ldr.name }

// Token returns the fencing token that the shard was taken over with.
func (ldr *Leader) Token() int64 { return ldr.token }

// TakeoverComplete reports whether the leader may start tasks and extend leases.
func (ldr *Leader) TakeoverComplete() bool { return ldr.takeoverComplete }

// LostServers returns how many servers were dropped because they accepted another leader's token.
func (ldr *Leader) LostServers() int { return ldr.lostServers }

// OverfullServers returns how many servers have runs that need more than their room, because it has shrunk.
func (ldr *Leader) OverfullServers() int {
	num := 0
	for _, srv := range ldr.serverList {
		if srv.overfull() {
			num++
		}
	}
	return num
}

// Isolated reports whether no server has confirmed the leader's token for Config.ConfirmTimeout.
func (ldr *Leader) Isolated(now time.Time) bool { return now.Sub(ldr.heardAt) > ldr.cfg.ConfirmTimeout }

// takeActions returns and clears the pending actions.
func (ldr *Leader) takeActions() []Action {
	acts := ldr.acts
	ldr.acts = nil
	return acts
}

// emit adds an action to those that the event returns.
func (ldr *Leader) emit(act Action) { ldr.acts = append(ldr.acts, act) }

// SetServers replaces the listing of the shard's servers; it is called with each new listing.
func (ldr *Leader) SetServers(now time.Time, lst Listing) []Action {
	if lst.ReadAt.After(ldr.listReadAt) {
		ldr.listReadAt = lst.ReadAt
	}
	ldr.shards = lst.Shards
	hadServers := ldr.hadServers
	listed := make(map[ServerID]bool, len(lst.Listed))
	for _, ent := range lst.Listed {
		listed[ent.ID] = true
		if srv := ldr.servers[ent.ID]; srv != nil {
			ldr.updateEntry(now, srv, ent)
			continue
		}
		srv := ldr.addServer(now, ent)
		if ldr.takeoverComplete {
			srv.addedAt, srv.newlyListed = now, hadServers
			ldr.added++
		}
	}
	if ldr.added > 0 {
		ldr.requestConfirmations(now, now)
	}
	for _, srv := range ldr.serverList {
		id := srv.ent.ID
		if listed[id] {
			continue
		}
		if _, elsewhere := lst.All[id]; elsewhere || lst.Belongs != nil && !lst.Belongs(srv.ent) {
			// The server belongs to another shard now, whose leader raises its fencing token.
			ldr.dropServer(srv)
			continue
		}
		srv.unlisted = true
		srv.unreadable = srv.unreadable || slices.Contains(lst.Unreadable, id)
	}
	if !ldr.takeoverComplete {
		ldr.claimMissing(now, lst.Missing)
	}
	for _, srv := range ldr.serverList {
		ldr.maintain(now, srv)
	}
	ldr.adoptWaiting(now)
	ldr.advance(now, nil)
	return ldr.takeActions()
}

// dropUnlisted drops an unlisted server that does not answer, once the leases of its runs have expired; its orders go back to their owners. A
// confirmed server stays, because live servers go missing from the list while the store is unavailable.
func (ldr *Leader) dropUnlisted(now time.Time, srv *server) {
	if !srv.unlisted || srv.state == confirmed || srv.state == claiming && now.Sub(ldr.takeoverAt) < ldr.cfg.OrphanExpiry {
		return
	}
	for _, rn := range srv.runList {
		if now.Before(ldr.leaseOverAt(srv, rn)) {
			return
		}
	}
	ldr.expireLeases(now, srv)
	ldr.unansweredStarts[srv.ent.ID] = append(ldr.unansweredStarts[srv.ent.ID], srv.runList...)
	ldr.removeServer(srv)
	ldr.droppedUnproven = true
}

// addServer adds a server that is not known. Starts that it left unanswered before it was dropped may still be carried out there: it gets no
// lease and no task before it has accepted stops of them.
func (ldr *Leader) addServer(now time.Time, ent ServerEntry) *server {
	srv := newServer(ent, now)
	for _, rn := range ldr.unansweredStarts[ent.ID] {
		rn.stopInProgress = false // Its result came to nobody.
		srv.add(rn)
	}
	delete(ldr.unansweredStarts, ent.ID)
	ldr.putServer(srv)
	return srv
}

// HandleOrder queues a new order, connects it to a run found at the takeover, or treats it as a repetition or recall of a known one.
func (ldr *Leader) HandleOrder(now time.Time, req Order) []Action {
	if old := ldr.orders[req.Task]; old != nil {
		note := describeRepeated(now, old, &req)
		ldr.handleRepeatedOrder(now, old, req)
		ldr.noteRepeated(note, old)
		ldr.advance(now, nil)
		return ldr.takeActions()
	}
	if req.Recall {
		return ldr.takeActions()
	}
	ord := &order{Order: req, receivedAt: now, sibs: ldr.siblings(now, req.Step)}
	ldr.orders[req.Task] = ord
	if req.Reassigned {
		ord.notBefore = now.Add(max(ldr.cfg.OrphanExpiry, req.MayRunFor))
	}
	if !ldr.adopt(now, ord) {
		if req.Reassigned {
			ldr.requestProof(now, ord)
		}
		ldr.que.push(ord)
	}
	ldr.advance(now, nil)
	return ldr.takeActions()
}

// handleRepeatedOrder handles an order or recall for a task that the leader already has. An order from another owner means that the caller
// has submitted its job again: the later submission counts, and a run for the other owner must be over before one for it starts.
func (ldr *Leader) handleRepeatedOrder(now time.Time, old *order, req Order) {
	if req.Recall && (old.Owner != req.Owner || old.cancelled) {
		return // Another owner has the task now, and a recall lacks the other fields of an order.
	}
	if old.Owner == req.Owner && !old.cancelled {
		old.ReturnIfBusy, old.SubmissionNumber = req.ReturnIfBusy || req.Recall, req.SubmissionNumber
		if old.run != nil && old.run.state == running {
			ldr.report(old, Started, 0)
		}
		return
	}
	if ldr.refuseEarlier(now, old, &req) {
		return
	}
	ldr.reportReplaced(old, req.Owner)
	if req.Reassigned {
		// What the servers have said before this order came proves nothing.
		old.receivedAt, old.notBefore = now, now.Add(max(ldr.cfg.OrphanExpiry, req.MayRunFor))
	}
	req.Preempted = req.Preempted || old.Preempted
	if old.run == nil {
		ldr.que.remove(old)
		old.Order = req
		ldr.queueAgain(now, old)
		return
	}
	ldr.stopRun(now, old.srv, old.run, OtherOrder)
	// Both orders describe the same task: the run keeps the size that was counted when it started.
	req.Processor, req.Memory = old.Processor, old.Memory
	old.Order, old.cancelled = req, false
}

// Cancel ends an order of an owner and stops its run; no report is sent. The run of an order that has followed to a newer leader is stopped a while
// later, if this one still leads the shard then.
func (ldr *Leader) Cancel(now time.Time, owner InstanceID, task string, followed bool) []Action {
	ord := ldr.orders[task]
	switch {
	case ord == nil || ord.Owner != owner:
	case followed && ord.run != nil && ord.run.state != ending:
		ord.cancelled = true
		ord.run.state, ord.run.stopAt, ord.run.stopDue, ord.run.stopReason = ending, now, now.Add(followedStopDelay), OrderFollowed
	default:
		ldr.cancelOrder(now, ord, StoppedByOwner)
	}
	ldr.advance(now, nil)
	return ldr.takeActions()
}

// followedStopDelay is how long a leader waits to hear of its successor before it stops a run whose order has followed to that one. The successor may
// let it go on; a leader that is cut off from it has to stop it.
const followedStopDelay = 100 * time.Millisecond

// HandleOwnerLost cancels all orders of a lost instance, as its callers submit their jobs again to other instances.
func (ldr *Leader) HandleOwnerLost(now time.Time, owner InstanceID) []Action {
	for _, ord := range ldr.ordersByTask() {
		if ord.Owner != owner {
			continue
		}
		if ord.run != nil {
			ord.run.ownerLost = true
		}
		ldr.cancelOrder(now, ord, OwnerWasLost)
	}
	delete(ldr.ownersHeard, owner)
	ldr.advance(now, nil)
	return ldr.takeActions()
}

// cancelOrder removes a waiting order, or stops its run for a reason and removes the order when the run is over.
func (ldr *Leader) cancelOrder(now time.Time, ord *order, rsn StopReason) {
	if ord.run == nil {
		ldr.que.remove(ord)
		delete(ldr.orders, ord.Task)
		return
	}
	ord.cancelled = true
	ldr.stopRun(now, ord.srv, ord.run, rsn)
}

// report sends the outcome of an order to its owner.
func (ldr *Leader) report(ord *order, out Outcome, took time.Duration) {
	ldr.sendReport(ord, Report{Outcome: out, Took: took})
}

// reportReturn tells the owner of an order that it is returned, and why.
func (ldr *Leader) reportReturn(ord *order, rsn ReturnReason) {
	ldr.sendReport(ord, Report{Outcome: NotRun, Reason: rsn})
}

// sendReport completes a report and sends it to the owner of its order.
func (ldr *Leader) sendReport(ord *order, rep Report) {
	rep.Task, rep.Token, rep.MayHaveRun = ord.Task, ldr.token, ord.mayHaveRun
	rep.Preempted = ord.Preempted
	if ord.srv != nil {
		rep.Server = ord.srv.ent.ID
		if rep.Outcome == Done {
			rep.Factor = ldr.factorOnWire(ord.srv)
		}
	}
	ldr.emit(SendReport{Owner: ord.Owner, Report: rep})
}

// Resign gives up the shard and all orders. It reports waiting orders as NotRun, with MayHaveRun if a server may have begun them, and
// orders with a run, which the next leader may let run on, as Lost. Waiting reassigned orders are Lost too, as it is not proven that they
// run nowhere. Cancelled orders get no report.
func (ldr *Leader) Resign() []Action {
	for _, ord := range ldr.ordersByTask() {
		switch {
		case ord.cancelled:
		case ord.run == nil && !ord.Reassigned:
			ldr.reportReturn(ord, LeaderResigned)
		default:
			ldr.report(ord, Lost, 0)
		}
	}
	clear(ldr.orders)
	ldr.que.orders = nil
	return ldr.takeActions()
}

// Tick does what is due at now: renewals, repeated stops, expired leases, and returns of orders that would end too late.
func (ldr *Leader) Tick(now time.Time) []Action {
	for _, srv := range ldr.serverList {
		ldr.maintain(now, srv)
		ldr.dropUnlisted(now, srv)
	}
	ldr.pruneSteps(now)
	maps.DeleteFunc(ldr.unclaimedEnds, func(_ string, end foundEnd) bool { return now.Sub(end.at) > endMemory })
	ldr.rates.update(now, ldr.serviceRate(), ldr.meanRun, ldr.waitingProcessor(now))
	ldr.updateSpeeds(now)
	ldr.returnTooLateOrders(now)
	ldr.updateHeadroom(now)
	ldr.advance(now, nil)
	ldr.preempt(now)
	return ldr.takeActions()
}

// advance ends the handling of each event: it completes the takeover if possible, maintains srv if it is not nil, and starts waiting tasks.
func (ldr *Leader) advance(now time.Time, srv *server) {
	if ldr.allConfirmedAt.IsZero() && len(ldr.servers) > 0 && ldr.allListed() {
		ldr.allConfirmedAt = now
		ldr.emit(ReadList{})
	}
	ldr.admitAdded(now)
	if !ldr.takeoverComplete {
		ldr.completeTakeover(now)
	}
	if srv != nil && ldr.servers[srv.ent.ID] == srv {
		ldr.maintain(now, srv)
	}
	if ldr.takeoverComplete {
		ldr.place(now)
	}
}
