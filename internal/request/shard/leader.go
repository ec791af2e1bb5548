package shard

import (
	"time"
)

// Leader decides for the backend servers of a shard from the moment when its instance takes the shard over.
// It is not safe for concurrent use.
type Leader struct {
	cfg     Config
	link    *Uplink
	name    Name
	token   int64
	since   time.Time
	settled bool
	// closed is set while the servers are to get no new work.
	closed  bool
	servers map[ServerID]*server
	orders  map[string]*order
	que     queue
	// heard is when each owner was last heard; the own instance is not in it.
	heard map[InstanceID]time.Time
	// quietUntil is until when nothing starts.
	quietUntil time.Time
	// ends are ends found at the take-over whose owners have not yet asked.
	ends map[string]foundEnd
	acts []Action
	// steps has the times that tasks of each step took; old ones were dropped at stepsAt.
	steps map[string]*siblings
	drn   drain
	// bias is the mean logarithm of how many times their estimate runs take.
	bias float64
	// meanRun is the mean time of runs.
	meanRun time.Duration
	stepsAt time.Time
	// loads counts the loads that were told.
	loads int64
	// scratch is the memory that rounds of placing share.
	scratch rooms
	// whole is set once the list was read after the take-over: a former leader holds no server that it lacks.
	whole bool
	// dropped is set once a server was dropped at which another leader may run tasks.
	dropped bool
	// loss is the share of answers that are lost.
	loss float64
	// lost counts the servers that obey another leader.
	lost int
	// obeyedAt is when a server last showed that it obeys this leader, or the take-over.
	obeyedAt time.Time
}

type foundEnd struct {
	how    EndKind
	server ServerID
}

// NewLeader returns the leader of a shard that was taken over with a fencing token; link is the instance's.
func NewLeader(cfg Config, link *Uplink, name Name, token int64, now time.Time) *Leader {
	return &Leader{
		cfg: cfg, link: link, name: name, token: token, since: now, obeyedAt: now,
		servers: map[ServerID]*server{}, orders: map[string]*order{}, ends: map[string]foundEnd{},
		heard: map[InstanceID]time.Time{},
		steps: map[string]*siblings{}, meanRun: firstRun, stepsAt: now,
	}
}

// Name returns the shard's name.
func (ldr *Leader) Name() Name { return ldr.name }

// Token returns the fencing token that the leader took the shard over with.
func (ldr *Leader) Token() int64 { return ldr.token }

// TakeoverComplete reports whether the take-over is complete, so that tasks start.
func (ldr *Leader) TakeoverComplete() bool { return ldr.settled }

// AddOwners adds the owners of the orders that lie here to a set.
func (ldr *Leader) AddOwners(set map[InstanceID]bool) {
	for _, ord := range ldr.orders {
		set[ord.Owner] = true
	}
}

// LostServers returns how many servers the leader has lost to another one.
func (ldr *Leader) LostServers() int { return ldr.lost }

// Unconfirmed reports whether no server has obeyed the leader for a while.
func (ldr *Leader) Unconfirmed(now time.Time) bool { return now.Sub(ldr.obeyedAt) > ldr.cfg.ConfirmTimeout }

// take returns the actions that have gathered.
func (ldr *Leader) take() []Action {
	acts := ldr.acts
	ldr.acts = nil
	return acts
}

func (ldr *Leader) do(act Action) { ldr.acts = append(ldr.acts, act) }

// SetServers tells the leader which servers the shard has.
func (ldr *Leader) SetServers(now time.Time, lst Listing) []Action {
	ldr.whole = ldr.whole || lst.ReadAt.After(ldr.since)
	listed := make(map[ServerID]bool, len(lst.Listed))
	for _, ent := range lst.Listed {
		listed[ent.ID] = true
		if srv := ldr.servers[ent.ID]; srv != nil {
			srv.ent, srv.unlisted = ent, false
			continue
		}
		ldr.servers[ent.ID] = newServer(ent, now)
	}
	for id, srv := range ldr.servers {
		if listed[id] {
			continue
		}
		if _, elsewhere := lst.All[id]; elsewhere {
			// It belongs to another shard now, whose leader raises the fence.
			ldr.lose(srv)
			ldr.dropped = true
			continue
		}
		srv.unlisted = true
	}
	if !ldr.settled {
		ldr.claimMissing(now, lst.Missing)
	}
	for _, srv := range ldr.servers {
		ldr.tend(now, srv)
	}
	ldr.claimWaiting(now)
	ldr.advance(now, nil)
	return ldr.take()
}

// ListingComplete reports whether the leader knows of every server that a former leader may hold.
func (ldr *Leader) ListingComplete() bool { return ldr.whole }

// forget drops a server that has no entry and does not answer; what ran there goes back to the queue once its lease has
// surely lapsed. The list forgets servers that live while the store is away, so one that answers its leader stays.
func (ldr *Leader) forget(now time.Time, srv *server) {
	if !srv.unlisted || srv.state == held || srv.state == claiming && now.Sub(ldr.since) < ldr.cfg.OrphanExpiry {
		return
	}
	if len(srv.runs) > 0 && now.Before(srv.renewedAt.Add(ldr.cfg.Expiry())) {
		return
	}
	ldr.lapsed(now, srv)
	delete(ldr.servers, srv.ent.ID)
	ldr.dropped = true
}

// HandleOrder takes an order. A task that the leader has already is left alone.
func (ldr *Leader) HandleOrder(now time.Time, req Order) []Action {
	if old := ldr.orders[req.Task]; old != nil {
		ldr.placeAgain(now, old, req)
		ldr.advance(now, nil)
		return ldr.take()
	}
	if req.Recall {
		return ldr.take()
	}
	ord := &order{Order: req, cameAt: now, sib: ldr.siblings(now, req.Step)}
	ldr.orders[req.Task] = ord
	if !ldr.adopt(now, ord) {
		if req.Reassigned && !ldr.runsNowhere(ord) {
			ord.notBefore = now.Add(max(ldr.cfg.OrphanExpiry, req.MayRunFor))
			ldr.hurryProof(now, ord)
		}
		ldr.que.push(ord)
	}
	ldr.advance(now, nil)
	return ldr.take()
}

// placeAgain answers an order for a task that is here. From the same owner it is a repetition; from
// another one, the caller sent its job again because the first owner lost it: the first run has to be
// gone before the second starts.
func (ldr *Leader) placeAgain(now time.Time, old *order, req Order) {
	if req.Recall && (old.Owner != req.Owner || old.cancelled) {
		return // Another owner has the task now; a call-back has nothing of what an order says.
	}
	if old.Owner == req.Owner && !old.cancelled {
		old.ReturnIfBusy = req.ReturnIfBusy || req.Recall
		if old.run != nil && old.run.state == running {
			ldr.report(old, Started, 0)
		}
		return
	}
	if old.run == nil {
		ldr.que.remove(old)
		old.Order = req
		ldr.que.push(old)
		return
	}
	ldr.stop(now, old.srv, old.run)
	// The size is the same task's; what the run takes up stays as it was counted.
	req.Processor, req.Memory = old.Processor, old.Memory
	old.Order, old.cancelled = req, false
}

// Cancel ends an order of an owner; nothing is reported of it.
func (ldr *Leader) Cancel(now time.Time, owner InstanceID, task string) []Action {
	ord := ldr.orders[task]
	if ord != nil && ord.Owner == owner {
		ldr.cancel(now, ord)
	}
	ldr.advance(now, nil)
	return ldr.take()
}

// HandleOwnerLost ends all orders of an instance that is not heard any more: its callers are sending their
// jobs to other instances.
func (ldr *Leader) HandleOwnerLost(now time.Time, owner InstanceID) []Action {
	for _, ord := range ldr.orders {
		if ord.Owner == owner {
			ldr.cancel(now, ord)
		}
	}
	delete(ldr.heard, owner)
	ldr.advance(now, nil)
	return ldr.take()
}

func (ldr *Leader) cancel(now time.Time, ord *order) {
	if ord.run == nil {
		ldr.que.remove(ord)
		delete(ldr.orders, ord.Task)
		return
	}
	ord.cancelled = true
	ldr.stop(now, ord.srv, ord.run)
}

// stop has a run ended; its room stays taken until the server shows that it is gone.
func (ldr *Leader) stop(now time.Time, srv *server, rn *run) {
	if rn.state == ending {
		return
	}
	rn.state = ending
	rn.stopAt = now
	ldr.sendStop(srv, rn)
}

func (ldr *Leader) sendStop(srv *server, rn *run) {
	rn.stopping = true
	ldr.do(StopRun{Server: srv.ent, Run: rn.id, Token: ldr.token})
}

func (ldr *Leader) report(ord *order, out Outcome, took time.Duration) {
	rep := Report{Task: ord.Task, Token: ldr.token, Outcome: out, Took: took, MayHaveRun: ord.mayHaveRun}
	if ord.srv != nil {
		rep.Server = ord.srv.ent.ID
	}
	ldr.do(SendReport{Owner: ord.Owner, Report: rep})
}

// Resign gives the shard up: owners learn that waiting orders have not run and that the rest is in the hands of the next
// leader. So is an order that lay with an earlier leader and waits for the proof that it runs nowhere.
func (ldr *Leader) Resign() []Action {
	for _, ord := range ldr.orders {
		switch {
		case ord.cancelled:
		case ord.run == nil && !ord.Reassigned:
			ldr.report(ord, NotRun, 0)
		default:
			ldr.report(ord, Lost, 0)
		}
	}
	clear(ldr.orders)
	ldr.que.orders = nil
	return ldr.take()
}

// Tick does what is due by time alone.
func (ldr *Leader) Tick(now time.Time) []Action {
	for _, srv := range ldr.servers {
		ldr.tend(now, srv)
		ldr.forget(now, srv)
	}
	ldr.forgetSteps(now)
	if !ldr.listens(now) {
		clear(ldr.ends)
	}
	ldr.drn.update(now, ldr.turnover(), ldr.meanRun, ldr.waiting(now))
	ldr.giveBackHopeless(now)
	ldr.advance(now, nil)
	return ldr.take()
}

// advance is the part that follows every event: settle, look after the server that it concerns, place.
func (ldr *Leader) advance(now time.Time, srv *server) {
	if !ldr.settled {
		ldr.settle(now)
	}
	if srv != nil && ldr.servers[srv.ent.ID] == srv {
		ldr.tend(now, srv)
	}
	if ldr.settled {
		ldr.place(now)
	}
}

// tend looks after one server: repeats stops, finds runs that stand still, renews and looks.
func (ldr *Leader) tend(now time.Time, srv *server) {
	for _, rn := range srv.runs {
		if rn.state == ending && rn.stopped.IsZero() && !rn.stopping && !now.Before(rn.stopDue) {
			ldr.sendStop(srv, rn)
		}
		if ldr.stalled(now, srv, rn) {
			ldr.giveUp(now, srv, rn)
		}
	}
	if srv.state != held && len(srv.runs) > 0 && !now.Before(srv.renewedAt.Add(ldr.cfg.Expiry())) {
		ldr.lapsed(now, srv)
	}
	// A server that has listed what runs there is not looked at again before the take-over is complete: a look
	// that renews nothing would return at once, over and over.
	due := srv.state != held || ldr.settled
	if due && !srv.looking && !now.Before(srv.lookAt) {
		ldr.look(now, srv)
	}
}

// stalled reports whether the progress of a run stands still. The server has to have said so since: a leader that got no processor, or no
// answer, for a while has seen no progress either.
func (ldr *Leader) stalled(now time.Time, srv *server, rn *run) bool {
	if rn.state != running || rn.ord == nil || rn.percent >= percents || now.Sub(rn.progressAt) <= ldr.cfg.StallTimeout {
		return false
	}
	return srv.obeyedAt.Sub(rn.progressAt) > ldr.cfg.StallTimeout-ldr.cfg.RenewWait
}

func (ldr *Leader) look(now time.Time, srv *server) {
	act := Renew{Server: srv.ent, Token: ldr.token, AckedSeq: srv.seen}
	if srv.state == held && ldr.settled {
		switch {
		case srv.quick:
			// It waits for nothing.
		case srv.idle():
			// There is no end to wait for.
		case srv.awaitsProof():
			srv.pause = true // A stop takes its time.
		case srv.doubts == 0:
			act.WaitForEnd = ldr.lookWait(now, srv)
		}
		if !srv.unanswered(now, ldr.cfg.StopTimeout) {
			act.LeaseUntil = srv.until(now, ldr.cfg.Lease)
			srv.renewedAt = now
		}
	}
	if srv.pause && !srv.quick {
		act.Delay, srv.pause = lookPause, false
	}
	srv.looks++
	act.Number = srv.looks
	srv.looking, srv.lookAt = true, now
	ldr.do(act)
}

// lookWait returns how long a look waits for an end. That it was lost shows only after that, and what ended meanwhile waits for
// the next one; so looks wait for less where many are lost, and end when a run becomes suspicious.
func (ldr *Leader) lookWait(now time.Time, srv *server) time.Duration {
	wait := ldr.cfg.RenewWait
	if ldr.lossy() {
		wait = min(wait, lossyWait)
	}
	if due, found := ldr.nextDoubt(now, srv); found {
		wait = min(wait, max(due, leastDoubtWait))
	}
	return wait
}

// lossyWait is the time of a call that is taken for lost: asking more often finds nothing out sooner.
const lossyWait = 40 * time.Millisecond
