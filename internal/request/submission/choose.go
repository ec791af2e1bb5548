package submission

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/request/shard"
)

// shardView is what a Coordinator knows of a shard.
type shardView struct {
	name shard.Name
	// leader and token are those of the current leadership; leader is empty while none is known.
	leader shard.InstanceID
	token  int64
	// sameDomain is set for shards in this instance's failure domain.
	sameDomain bool
	// domain is the shard's failure domain; closed is set while operators have closed it to new work.
	domain string
	closed bool
	// kinds are those of the shard's servers, by the list; nil while none is known.
	kinds []shard.ServerKind
	// load is the leader's last report, with Free reduced and LinkBusy raised by what was sent since. Free is cleared when the leader
	// returns an order, Closed when the failure domain is opened again.
	load shard.Load
	// sentSinceLoad is the processor need, in thousandths of a core, of the tasks sent since the last load report without free capacity
	// for them.
	sentSinceLoad int64
	// sentForRoom is the number of tasks sent since the last load report for free capacity; loadAt is when that came.
	sentForRoom int64
	loadAt      time.Time
	// lastPayloadJob is the id of the job whose payload was last sent to the leader.
	lastPayloadJob string
	// shards is into how many shards the leader divides the failure domain's servers, as last heard; 0 if that is not known.
	shards int
}

// acceptsWork reports whether a shard has a leader and is not closed to new work, by what this instance and the leader know.
func (viw *shardView) acceptsWork() bool { return viw.leader != "" && !viw.domainClosed() }

// serving reports whether a shard accepts work and has a server that answers, by its last load report.
func (viw *shardView) serving() bool { return viw.acceptsWork() && viw.load.ServiceRate > 0 }

// domainClosed reports whether a shard's failure domain is closed to new work, by what this instance or the leader knows.
func (viw *shardView) domainClosed() bool { return viw.closed || viw.load.Closed }

// suits reports whether some server of the shard can ever run a task of a step. Loads don't tell that.
func (viw *shardView) suits(jb *job, stp *Step) bool {
	return viw.kinds == nil || slices.ContainsFunc(viw.kinds, func(knd shard.ServerKind) bool {
		return knd.Fits(jb.sub.Service, stp.Label, stp.Processor, stp.Memory)
	})
}

// startableTasks returns how many tasks of a job's step would start at once.
func (viw *shardView) startableTasks(jb *job, stp *Step) int64 {
	if !viw.suits(jb, stp) {
		return 0
	}
	num := int64(0)
	for idx := range viw.load.Free {
		num += viw.load.StartableFor(jb.sub.Priority, idx, stp.Processor, stp.Memory)
	}
	return num
}

// recordSent accounts for a task that was just sent, so that the next one isn't sent for the same free capacity.
func (viw *shardView) recordSent(fit *fit, bytes int64, hasCapacity bool) {
	stp := fit.stp
	viw.load.LinkBusy += bytes
	if !hasCapacity {
		viw.sentSinceLoad += stp.Processor
		return
	}
	for idx := range viw.load.Free {
		if viw.load.StartableFor(fit.jb.sub.Priority, idx, stp.Processor, stp.Memory) > 0 && fit.inTime(viw, idx) {
			viw.load.Take(idx, stp.Processor, stp.Memory)
			viw.sentForRoom++
			return
		}
	}
}

// chooseShard returns the shard where a task is expected to start first, and whether the shard is believed to have free capacity for it;
// the shard is nil if none accepts work. Among equal ones it is the shard with the most free capacity. One without a server that suits the task is
// chosen only if all others are like that.
//
// The servers of a failure domain run only some 36 tasks of 14 cores at once. A task that finds no free capacity in its owner's domain is
// sent to another domain that has some, as running tasks take 0.9 s.
func (crd *Coordinator) chooseShard(tsk *task, stp *Step) (*shardView, bool) {
	if crd.sharing.active {
		return crd.chooseShared(tsk, stp)
	}
	var bst *shardView
	var least time.Duration
	var most int64
	bestSuits := false
	fit := crd.newFit(tsk, stp)
	for _, viw := range crd.shardsByName {
		if !viw.acceptsWork() {
			continue
		}
		suits, num := viw.suits(tsk.job, stp), fit.startable(viw)
		delay := crd.startDelay(viw, tsk.job)
		if num == 0 {
			delay += minWaitWhenFull + viw.load.CapacityWait(crd.rank(tsk.job), viw.sentSinceLoad)
		}
		if bst == nil || suits && !bestSuits || suits == bestSuits && (delay < least || delay == least && num > most) {
			bst, least, most, bestSuits = viw, delay, num, suits
		}
	}
	return bst, most > 0
}

// orderTask sends a task to the shard where it is expected to start first. It sends nothing if no shard has a leader, if the link to other
// instances is full, or right after a pause of this process.
func (crd *Coordinator) orderTask(tsk *task) {
	if crd.now.Before(crd.noOrdersUntil) {
		tsk.heldUntil = crd.noOrdersUntil
		tsk.history.noteDelay(crd.now, ProcessPaused)
		return
	}
	if !tsk.heldUntil.IsZero() {
		tsk.history.noteDelay(crd.now, ReturnedOften)
		return
	}
	stp := &tsk.job.sub.Steps[tsk.step]
	viw, hasCapacity := crd.chooseShard(tsk, stp)
	if viw == nil {
		tsk.history.noteDelay(crd.now, NoOpenShard)
		return // No shard accepts work; the next one that does gets the task.
	}
	if viw.leader != crd.cfg.Self && !crd.cfg.Link.Fits(tsk.job.sub.Payload) {
		// A task that is not sent has surely not run, and doesn't delay heartbeats on the link.
		crd.heldBytes += shard.StartBytes(tsk.job.sub.Payload)
		tsk.history.noteDelay(crd.now, LinkFull)
		return
	}
	tsk.shard, tsk.leader, tsk.token, tsk.leastShards = viw.name, viw.leader, viw.token, viw.shards
	returnIfBusy := hasCapacity && tsk.returns < maxReturns
	tsk.started, tsk.recalled, tsk.reassigned, tsk.queued, tsk.server = false, false, false, !returnIfBusy, ""
	crd.noteClaim(tsk, viw, returnIfBusy)
	crd.send(tsk, shard.Order{ReturnIfBusy: returnIfBusy})
	if viw.leader != crd.cfg.Self && viw.lastPayloadJob != tsk.job.sub.ID {
		crd.cfg.Link.Sends(tsk.job.sub.Payload)
		viw.lastPayloadJob = tsk.job.sub.ID
	}
	viw.recordSent(crd.newFit(tsk, stp), shard.StartBytes(tsk.job.sub.Payload), hasCapacity || crd.sharing.active && viw.startableTasks(tsk.job, stp) > 0)
}

// maxReturns is how often a task is tried for free capacity elsewhere before it waits in a queue: each try costs an order and its answer.
const maxReturns = 2

// startDelay returns the expected delay of a task's start in a shard, apart from the wait for free capacity: the wait for the leader's link
// and, if another instance leads the shard, for the message and, unless that leader has it, for the payload on this instance's link.
func (crd *Coordinator) startDelay(viw *shardView, jb *job) time.Duration {
	byt := shard.StartBytes(jb.sub.Payload)
	delay := viw.load.LinkWait(byt)
	switch {
	case viw.leader == crd.cfg.Self:
		return delay
	case viw.sameDomain:
		delay += sameDomainDelay
	default:
		delay += otherDomainDelay
	}
	if viw.lastPayloadJob != jb.sub.ID {
		// The payload is sent once to that leader, for all tasks of the job.
		delay += crd.cfg.Link.Delay(byt)
	}
	return delay
}

// By the platform's documentation the round-trip time within a failure domain is 0.2 ms, to another one 1 to 2 ms, over links that cost
// money; a message takes half a millisecond of the processors at both ends.
const (
	sameDomainDelay  = time.Millisecond
	otherDomainDelay = 4 * time.Millisecond
	// minWaitWhenFull is the least wait assumed where no server has free capacity. Free capacity elsewhere may be taken by the time that
	// an order arrives, but is still the better guess.
	minWaitWhenFull = 20 * time.Millisecond
)

// addShard adds the view of a new shard, and keeps shardsByName sorted.
func (crd *Coordinator) addShard(name shard.Name) *shardView {
	viw := &shardView{name: name}
	crd.shards[name] = viw
	idx, _ := slices.BinarySearchFunc(crd.shardsByName, name, func(oth *shardView, nam shard.Name) int {
		return strings.Compare(string(oth.name), string(nam))
	})
	crd.shardsByName = slices.Insert(crd.shardsByName, idx, viw)
	return viw
}

// anyAcceptsWork reports whether some shard accepts work.
func (crd *Coordinator) anyAcceptsWork() bool {
	for _, viw := range crd.shards {
		if viw.acceptsWork() {
			return true
		}
	}
	return false
}

// anyServing reports whether some shard accepts work and has a server that answers.
func (crd *Coordinator) anyServing() bool {
	for _, viw := range crd.shards {
		if viw.serving() {
			return true
		}
	}
	return false
}

// markFull records that a shard which returned an order has no free capacity until its next load report.
func (crd *Coordinator) markFull(name shard.Name) {
	if viw := crd.shards[name]; viw != nil {
		viw.load.Free, viw.load.FreeMemory = nil, nil
	}
}

// HandleLeader records the leader of a shard, which is empty while there is none, and the shard's failure domain. Orders that are with a
// former leader are reassigned to the new one, which finds out which of them run.
func (crd *Coordinator) HandleLeader(tgt Target, domain string) []Action {
	viw := crd.shards[tgt.Shard]
	if viw == nil {
		viw = crd.addShard(tgt.Shard)
	}
	viw.sameDomain, viw.domain, viw.closed = domain == crd.cfg.FailureDomain, domain, crd.closedDomains[domain]
	if viw.leader == tgt.Leader && viw.token == tgt.Token {
		return crd.takeActions()
	}
	viw.leader, viw.token = tgt.Leader, tgt.Token
	viw.load, viw.sentForRoom = shard.Load{}, 0
	crd.countOwners()
	if tgt.Leader == "" {
		return crd.takeActions()
	}
	for _, jb := range crd.jobsByArrival() {
		for _, tks := range jb.tasks {
			for _, tsk := range tks {
				crd.reassign(tsk, viw)
			}
		}
		crd.orderReady(jb)
	}
	return crd.takeActions()
}

// HandleDivision records into how many shards the servers of a shard's failure domain are divided by its leader, as far as that was heard; 0 if
// it is not known. For a new leader it is called before HandleLeader.
func (crd *Coordinator) HandleDivision(name shard.Name, shards int) {
	viw := crd.shards[name]
	if viw == nil {
		viw = crd.addShard(name)
	}
	viw.shards = shards
}

// orderAllReady orders the ready tasks of all jobs, oldest job first.
func (crd *Coordinator) orderAllReady() {
	for _, jb := range crd.jobsByArrival() {
		crd.orderReady(jb)
	}
}

// reassign sends a task's order to the new leader of its shard, if it was with the former one or is orphaned. A leader whose token is lower
// than the former one's gets no order: what servers answer it proves nothing, as they still obey the former leader.
func (crd *Coordinator) reassign(tsk *task, viw *shardView) {
	if tsk.done || tsk.shard != viw.name || tsk.leader == "" && tsk.orphanedUntil.IsZero() || viw.token < tsk.token {
		return
	}
	// The former leader may have started it without reporting that.
	tsk.job.started = true
	if tsk.leader != "" && tsk.leader != viw.leader {
		// The former leader is alive, and may not know yet that another leads: an order in its queue may start there seconds later while
		// the task runs elsewhere. On servers that follow the new leader, the cancellation ends nothing.
		crd.emit(CancelOrder{Target: tsk.target(), Task: tsk.name, Followed: true})
	}
	rns, former := crd.mayRunFor(tsk), tsk.leastShards
	tsk.leader, tsk.token, tsk.orphanedUntil, tsk.started, tsk.queued, tsk.claims = viw.leader, viw.token, time.Time{}, false, false, false
	tsk.reassigned, tsk.leastShards = true, min(former, viw.shards)
	crd.send(tsk, shard.Order{Reassigned: true, LastServer: tsk.server, MayRunFor: rns, FormerShards: former})
}

// mayRunFor returns for how long the former leader may still run a task that is about to be reassigned. A former leader that is alive may
// lose contact with this instance at any moment, and what it starts until then counts; so the whole OrphanExpiry is assumed.
func (crd *Coordinator) mayRunFor(tsk *task) time.Duration {
	if tsk.orphanedUntil.IsZero() {
		return crd.cfg.OrphanExpiry
	}
	return max(0, tsk.orphanedUntil.Sub(crd.now))
}

// jobsByArrival returns the open jobs, ordered by arrival time and then by id.
func (crd *Coordinator) jobsByArrival() []*job {
	jbs := make([]*job, 0, len(crd.jobs))
	for _, jb := range crd.jobs {
		jbs = append(jbs, jb)
	}
	slices.SortFunc(jbs, func(one, two *job) int {
		return cmp.Or(one.arrived.Compare(two.arrived), strings.Compare(one.sub.ID, two.sub.ID))
	})
	return jbs
}

// HandleInstanceLost records that an instance is taken for lost: the orders with it are orphaned, as it may run them for OrphanExpiry. The cause
// is passed on with the orders that follow.
func (crd *Coordinator) HandleInstanceLost(now time.Time, id shard.InstanceID, cause string) []Action {
	for _, viw := range crd.shards {
		if viw.leader == id {
			viw.leader = ""
		}
	}
	crd.countOwners()
	for _, tsk := range crd.tasks {
		if tsk.leader == id && !tsk.done {
			crd.markOrphaned(now, tsk, LeaderLost, cause)
		}
	}
	return crd.takeActions()
}

// HandleLoad records a load report of a shard's leader, and recalls tasks that wait in other shards if this one has free capacity.
func (crd *Coordinator) HandleLoad(name shard.Name, lod shard.Load) []Action {
	viw := crd.shards[name]
	if viw == nil || lod.Number <= viw.load.Number {
		// An old report is ignored: it may offer free capacity that was used since.
		return crd.takeActions()
	}
	opened := viw.load.Closed && !lod.Closed
	viw.load, viw.sentSinceLoad, viw.sentForRoom, viw.loadAt = lod, 0, 0, crd.now
	viw.load.Free, viw.load.FreeMemory = slices.Clone(lod.Free), slices.Clone(lod.FreeMemory)
	if opened {
		crd.orderAllReady()
	}
	if viw.acceptsWork() && len(viw.load.Free) > 0 && viw.load.LinkWait(0) == 0 && crd.anyQueuedElsewhere(viw.name) {
		crd.recallFor(viw)
	}
	return crd.takeActions()
}

// IsLeader reports whether a target is the current leadership of its shard.
func (crd *Coordinator) IsLeader(tgt Target) bool {
	viw := crd.shards[tgt.Shard]
	return viw != nil && viw.leader == tgt.Leader && viw.token == tgt.Token
}

// AddLeaders adds the leaders that have orders of this instance to a set.
func (crd *Coordinator) AddLeaders(set map[shard.InstanceID]bool) {
	for _, tsk := range crd.tasks {
		if tsk.leader != "" && !tsk.done {
			set[tsk.leader] = true
		}
	}
}

// NotStartedCount returns the number of open submissions of a route of which no task may have started.
func (crd *Coordinator) NotStartedCount(route string) int {
	num := 0
	for _, jb := range crd.jobs {
		if jb.sub.Route == route && !jb.started {
			num++
		}
	}
	return num
}
