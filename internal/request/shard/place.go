package shard

import (
	"slices"
	"time"
)

// place starts waiting tasks by rank, each on the server with the least free processor that can take it. This leaves larger gaps for larger
// tasks: two tasks of half a server don't fit beside one of a third.
func (ldr *Leader) place(now time.Time) {
	if ldr.closed {
		ldr.returnWaiting(now)
		return
	}
	if now.Before(ldr.noStartsUntil) {
		return
	}
	if len(ldr.que.orders) == 0 {
		clear(ldr.reserved)
		return
	}
	fss := ldr.freeServers(now)
	if !ldr.anyToPlace(fss) {
		return
	}
	ranked := ldr.ranked(now, func(ord *order) bool { return ldr.mayPlace(now, ord) })
	clear(ldr.reserved)
	rnd := &placementRound{free: fss}
	rnd.mostProcessor = rnd.free.most()
	for rnk, ords := range ranked {
		for _, ord := range ords {
			ldr.placeOne(now, rnd, Rank(rnk), ord)
		}
	}
	ldr.que.removeIf(func(ord *order) bool { return ord.run != nil || ldr.orders[ord.Task] != ord })
}

// mayPlace reports whether an order is due. A reassigned order is due early if its task is proven to run nowhere; the proof must hold now, as
// servers may have been listed since they were asked.
func (ldr *Leader) mayPlace(now time.Time, ord *order) bool {
	return !now.Before(ord.notBefore) || ord.Reassigned && ldr.runsNowhere(ord)
}

// ranked returns the waiting orders for which chosen returns true, by rank and in queue order.
func (ldr *Leader) ranked(now time.Time, chosen func(ord *order) bool) [Ranks][]*order {
	var rnks [Ranks][]*order
	for _, ord := range ldr.que.orders {
		if chosen(ord) {
			rnk := ldr.rank(now, ord)
			rnks[rnk] = append(rnks[rnk], ord)
		}
	}
	return rnks
}

// anyToPlace reports whether a placement round can do anything. While all servers are full, most events free no capacity, and going through
// the queue at each would waste processor time.
func (ldr *Leader) anyToPlace(fss freeServers) bool {
	most := fss.most()
	return slices.ContainsFunc(ldr.que.orders, func(ord *order) bool {
		return ord.ReturnIfBusy || ord.Reassigned || ord.Processor <= most
	})
}

// placementRound is the state of one pass over the waiting tasks.
type placementRound struct {
	free freeServers
	// mostProcessor is the largest free processor of a server; processorAhead is the sum that the orders need that were passed over.
	mostProcessor, processorAhead int64
}

// placeOne starts a task, leaves it in the queue or returns it to its owner.
func (ldr *Leader) placeOne(now time.Time, rnd *placementRound, rnk Rank, ord *order) {
	if ord.Reassigned {
		ldr.noteReturn(now, ord)
		ldr.returnOrder(ord, RunsNowhere) // The order has no payload.
		return
	}
	if ldr.lostServers > 0 {
		return // A server has refused this leader for a newer token: it has been succeeded, and is about to resign.
	}
	if !ldr.ownerHeardRecently(now, ord) {
		return // The owner is about to be taken for lost, or is heard again soon.
	}
	if !ldr.link.Fits(ord.Payload) {
		return // A short wait costs less than sending the order, with its payload, to another leader.
	}
	if fsv := ldr.bestServer(now, rnd, ord); fsv != nil {
		fsv.processor -= ord.Processor
		fsv.memory -= ord.Memory
		if fsv.srv.onTrial() {
			fsv.processor = 0 // A server on trial gets one task at a time.
		}
		rnd.mostProcessor = rnd.free.most()
		ldr.rates.started[rnk] += float64(ord.Processor)
		ldr.start(now, fsv.srv, ord)
		return
	}
	rnd.processorAhead += ord.Processor
	if ord.ReturnIfBusy && float64(rnd.processorAhead) > ldr.serviceRate()*millis(returnWait+returnLinkTimes*ldr.link.largestTime) {
		ldr.noteShortage(ord)
		ldr.returnOrder(ord, ldr.binding(now, ord))
		return
	}
	ldr.reserve(now, ord)
}

// returnWait is the expected wait above which a ReturnIfBusy order goes back to its owner. Going to another leader takes some 2 ms, but
// costs 1 ms of processor time and sends the payload once more. In a pool of 20 tasks of 200 ms one ends every 10 ms.
const (
	returnWait = 20 * time.Millisecond
	// returnLinkTimes is how many transfer times of the largest payload are added to returnWait.
	returnLinkTimes = 3
)

// serviceRate returns how much processor comes free per millisecond while all servers are busy, in thousandths of a core. A waiting task
// waits for running tasks to end, so its own run time and those of the tasks before it don't count.
func (ldr *Leader) serviceRate() float64 {
	if ldr.speeds.used {
		return ldr.serviceRateBySpeed()
	}
	var num int64
	for _, srv := range ldr.serverList {
		if srv.inService() {
			num += srv.ent.Processor
		}
	}
	return float64(num) / millis(ldr.meanRun)
}

func millis(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

// noteRun adds the time of a run to the running mean.
func (ldr *Leader) noteRun(took time.Duration) {
	ldr.meanRun += (max(took, time.Millisecond) - ldr.meanRun) / meanRunWeight
}

const (
	// initialMeanRun is used as the mean run time until some runs have ended.
	initialMeanRun = 200 * time.Millisecond
	// meanRunWeight makes the mean follow about 30 runs, which is 0.5 s of a small shard.
	meanRunWeight = 32
)

// noteReturn describes on what evidence a reassigned order is about to be returned.
func (ldr *Leader) noteReturn(now time.Time, ord *order) {
	note := NoteReturn{
		Task: ord.Task, Owner: ord.Owner, Proven: ldr.runsNowhere(ord), Servers: len(ldr.servers), Waited: now.Sub(ord.receivedAt),
		MayRunFor: ord.MayRunFor,
	}
	for _, srv := range ldr.serverList {
		if srv.state == confirmed {
			note.OldestConfirmed = max(note.OldestConfirmed, now.Sub(srv.confirmedAt))
		}
	}
	ldr.emit(note)
}

// returnOrder returns an order to its owner as NotRun.
func (ldr *Leader) returnOrder(ord *order, rsn ReturnReason) {
	delete(ldr.orders, ord.Task)
	ldr.reportReturn(ord, rsn)
}

// QueuedBytes returns how many bytes the starts of the waiting orders will send.
func (ldr *Leader) QueuedBytes() int64 {
	var num int64
	for _, ord := range ldr.que.orders {
		if ord.run == nil {
			num += StartBytes(ord.Payload)
		}
	}
	return num
}

// start starts a waiting order on a server, as a new run.
func (ldr *Leader) start(now time.Time, srv *server, ord *order) {
	// The run numbers of a task must rise across its leaders. The time of day does; a leader that starts a task twice within a millisecond
	// adds one.
	ord.runNumber = max(ord.runNumber+1, now.UnixMilli())
	ord.starts++
	ldr.siblings(now, ord.Step).started = true
	rn := &run{id: RunID{Task: ord.Task, Number: ord.runNumber}, ord: ord, sentAt: now, firstStart: !ord.mayHaveRun}
	ord.mayHaveRun = true
	srv.add(rn)
	srv.renewAt = now // The server may have been idle, with its next renewal far away.
	ord.run, ord.srv = rn, srv
	ldr.sendStart(now, srv, rn)
}

// sendStart sends the start of a run, with a new lease.
func (ldr *Leader) sendStart(now time.Time, srv *server, rn *run) {
	until := srv.extendLease(now, ldr.cfg.Lease)
	rn.incarnation, rn.clock, rn.leastClock = srv.incarnation, srv.clock, srv.leaseUntil(now, 0).Truncate(time.Millisecond)
	ldr.link.noteStart(rn.ord.Payload)
	ldr.emit(StartRun{
		Server: srv.ent, Run: rn.id, Payload: rn.ord.Payload, Token: ldr.token,
		LeaseUntil: until, Lease: srv.leaseState(now), UsedProcessor: srv.usedProcessor, UsedMemory: srv.usedMemory,
		Priority: priorityOf(rn.ord), Waited: rn.sentAt.Sub(rn.ord.receivedAt), Owner: rn.ord.Owner, Attempt: rn.ord.starts, Repeat: rn.repeats,
	})
}

// freeServer is what a server has left during one placement round.
type freeServer struct {
	srv               *server
	processor, memory int64
}

// freeServers are the servers that accept tasks in a placement round.
type freeServers []freeServer

// most returns the largest free processor. Orders that need more are passed over at once, as a queue may hold hundreds while nothing is
// free.
func (fss freeServers) most() int64 {
	var mst int64
	for idx := range fss {
		mst = max(mst, fss[idx].processor)
	}
	return mst
}

// freeServers returns the servers that accept tasks and have free processor.
func (ldr *Leader) freeServers(now time.Time) freeServers {
	fss := ldr.freeBuf[:0]
	for _, srv := range ldr.serverList {
		if !ldr.takesTasks(now, srv) {
			continue
		}
		if prc, mem := srv.free(); prc > 0 {
			fss = append(fss, freeServer{srv: srv, processor: prc, memory: mem})
		}
	}
	ldr.freeBuf = fss
	return fss
}

// best returns the best server for an order, or nil: it prefers servers where the task has not failed, then those on the rack of its data,
// then the one with the least free processor.
func (ldr *Leader) best(rnd *placementRound, ord *order) *freeServer {
	if ord.Processor > rnd.mostProcessor {
		return nil
	}
	var bst *freeServer
	var bstMismatch int
	for idx := range rnd.free {
		fsv := &rnd.free[idx]
		if !ldr.canTake(fsv, ord) {
			continue
		}
		mis := fsv.mismatch(ord)
		if bst == nil || mis < bstMismatch || mis == bstMismatch && fsv.tighter(bst) {
			bst, bstMismatch = fsv, mis
		}
	}
	return bst
}

// canTake reports whether an order may start on a server in this placement round.
func (ldr *Leader) canTake(fsv *freeServer, ord *order) bool {
	return fsv.processor >= ord.Processor && fsv.memory >= ord.Memory && fsv.srv.suits(ord) && ldr.mayUse(fsv.srv, ord)
}

// mismatch returns how badly the server suits an order apart from free capacity; 0 is best.
func (fsv *freeServer) mismatch(ord *order) int {
	mis := 0
	if slices.Contains(ord.Avoid, fsv.srv.ent.ID) {
		mis += 2
	}
	if ord.Rack != "" && !slices.Contains(fsv.srv.ent.Labels, ord.Rack) {
		mis++
	}
	return mis
}

// tighter reports whether the server has less free processor than another; server IDs break ties.
func (fsv *freeServer) tighter(oth *freeServer) bool {
	if fsv.processor != oth.processor {
		return fsv.processor < oth.processor
	}
	return fsv.srv.ent.ID < oth.srv.ent.ID
}

// Load describes a shard's free capacity and expected waits; leaders send it to other instances, which choose a shard by it.
type Load struct {
	// Number rises with each Load that a leader returns; Loads with the same number are the same.
	Number int64
	// Free lists the free processor of each server that has some, in thousandths of a core, FreeMemory the free memory of the same servers, in MB.
	// Leaders of earlier versions don't tell the latter.
	Free, FreeMemory []int64
	// FreeFactors has the lasting run times of the same servers over those of an average server, in thousandths; it is empty where speeds are not
	// used, and in loads of earlier versions.
	FreeFactors []int64
	// Kept has, for each priority, what its tasks must leave of Free and FreeMemory to more urgent ones; nil where nothing is kept.
	Kept [Priorities]ServerRoom
	// ServiceRate is how much processor comes free per second while all servers are busy, in thousandths of a core. RankWaits is how long
	// one more task of each rank would wait for free capacity.
	ServiceRate int64
	RankWaits   [Ranks]time.Duration
	// LinkWindow is how many bytes of starts may be in flight on the leader's link, LinkBusy how many are in flight or wait.
	LinkWindow, LinkBusy int64
	// Closed is set if the shard takes no new work; Free is empty then.
	Closed bool
}

// Startable returns how many tasks of a size would start at once on the server at an index of Free; processor is in thousandths of a core, memory in
// MB.
func (lod *Load) Startable(idx int, processor, memory int64) int64 {
	num := lod.Free[idx] / max(processor, 1)
	if idx < len(lod.FreeMemory) {
		num = min(num, lod.FreeMemory[idx]/max(memory, 1))
	}
	return num
}

// Take reduces the free capacity of the server at an index of Free by a task of a size.
func (lod *Load) Take(idx int, processor, memory int64) {
	lod.Free[idx] -= processor
	if idx < len(lod.FreeMemory) {
		lod.FreeMemory[idx] -= memory
	}
}

// CapacityWait estimates how long a task of a rank waits for free capacity, behind others that need behind thousandths of a core.
func (lod *Load) CapacityWait(rnk Rank, behind int64) time.Duration {
	return lod.RankWaits[rnk] + waitOf(float64(behind)/float64(max(lod.ServiceRate, 1))*float64(time.Second))
}

// LinkWait estimates how long a start of a number of bytes waits for the leader's link.
func (lod *Load) LinkWait(bytes int64) time.Duration {
	return linkDelay(lod.LinkWindow, lod.LinkBusy+bytes)
}

// Priorities is the number of distinct priorities; a less urgent one counts as the last of them.
const Priorities = 3

// Load returns the shard's free capacity and expected waits.
func (ldr *Leader) Load(now time.Time) Load {
	ldr.loadNumber++
	lod := Load{Number: ldr.loadNumber, Closed: ldr.closed}
	lod.LinkWindow, lod.LinkBusy = ldr.link.window, ldr.link.busyBytes()+ldr.QueuedBytes()
	rate := ldr.serviceRate()
	lod.ServiceRate = int64(rate * millis(time.Second))
	var srvs []*server
	for _, srv := range ldr.serverList {
		if ldr.closed || !ldr.takesTasks(now, srv) {
			continue
		}
		if prc, mem := srv.free(); prc > 0 {
			lod.Free, lod.FreeMemory = append(lod.Free, prc), append(lod.FreeMemory, mem)
			if ldr.speeds.used {
				lod.FreeFactors = append(lod.FreeFactors, ldr.factorOnWire(srv))
			}
			srvs = append(srvs, srv)
		}
	}
	lod.Kept = keptRoom(srvs)
	lod.RankWaits = ldr.rates.waits(rate, ldr.waitingProcessor(now))
	return lod
}

// waitingProcessor returns how much processor the waiting orders of each rank need, in thousandths of a core.
func (ldr *Leader) waitingProcessor(now time.Time) [Ranks]int64 {
	var wrk [Ranks]int64
	for _, ord := range ldr.que.orders {
		wrk[ldr.rank(now, ord)] += ord.Processor
	}
	return wrk
}
