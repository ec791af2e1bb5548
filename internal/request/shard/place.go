package shard

import (
	"slices"
	"time"
)

// place starts waiting tasks in the order of their ranks, each at the server with the least room that still takes it: what is
// left over elsewhere then takes larger tasks (two tasks of half a server don't fit beside one of a third).
func (ldr *Leader) place(now time.Time) {
	if ldr.closed {
		ldr.turnAway(now)
		return
	}
	if now.Before(ldr.quietUntil) {
		return
	}
	rms := ldr.rooms(now)
	if !ldr.anyToPlace(rms) {
		return
	}
	ranked := ldr.ranked(now, func(ord *order) bool { return !now.Before(ord.notBefore) })
	rnd := &round{rooms: rms}
	rnd.most = rnd.rooms.most()
	for rnk, ords := range ranked {
		for _, ord := range ords {
			ldr.placeOne(now, rnd, Rank(rnk), ord)
		}
	}
	ldr.que.dropIf(func(ord *order) bool { return ord.run != nil || ldr.orders[ord.Task] != ord })
}

// ranked returns the waiting orders that are chosen, by rank and in their order.
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

// anyToPlace reports whether a round of placing can do anything. While all servers are full, most events free none, and a
// queue that is gone through at each of them is processor time for nothing.
func (ldr *Leader) anyToPlace(rms rooms) bool {
	most := rms.most()
	return slices.ContainsFunc(ldr.que.orders, func(ord *order) bool {
		return ord.ReturnIfBusy || ord.Reassigned || ord.Processor <= most
	})
}

// round is what is known while waiting tasks are gone through.
type round struct {
	rooms rooms
	// most is the largest free processor, ahead what those need that were passed by.
	most, ahead int64
}

// placeOne starts one task, leaves it in the queue or gives it back to its owner.
func (ldr *Leader) placeOne(now time.Time, rnd *round, rnk Rank, ord *order) {
	if ord.Reassigned {
		ldr.bounce(ord) // It runs nowhere, and has no payload here.
		return
	}
	if !ldr.ownerThere(now, ord) {
		return // It is missed any moment, or heard again.
	}
	if !ldr.link.Fits(ord.Payload) {
		return // A short wait costs less than the way to another leader, with the payload.
	}
	if rom := rnd.rooms.best(ord, rnd.most); rom != nil {
		rom.processor -= ord.Processor
		rom.memory -= ord.Memory
		if rom.srv.onTrial() {
			rom.processor = 0 // It is on trial, with one task at a time.
		}
		rnd.most = rnd.rooms.most()
		ldr.drn.started[rnk] += float64(ord.Processor)
		ldr.start(now, rom.srv, ord)
		return
	}
	rnd.ahead += ord.Processor
	if ord.ReturnIfBusy && float64(rnd.ahead) > ldr.turnover()*millis(bounceWait+bounceTimes*ldr.link.largest) {
		ldr.bounce(ord)
	}
}

// bounceWait is the expected wait from which on an order that was to start at once goes back to its owner. The way back and to
// another leader takes some 2 ms of time, but 1 ms of processor time and its payload once more; in a pool of 20 tasks
// of 200 ms one ends each 10 ms.
const (
	bounceWait = 20 * time.Millisecond
	// bounceTimes is how often the largest payload's time on the link comes on top of that.
	bounceTimes = 3
)

// turnover is how much processor comes free in a millisecond while all servers are busy, in thousandths of a core. What a
// waiting task waits for is that others end, however long itself and those before it in the queue will run.
func (ldr *Leader) turnover() float64 {
	var num int64
	for _, srv := range ldr.servers {
		if srv.usable() {
			num += srv.ent.Processor
		}
	}
	return float64(num) / millis(ldr.meanRun)
}

func millis(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

// noteRun takes the time of a run that has ended into the mean.
func (ldr *Leader) noteRun(took time.Duration) {
	ldr.meanRun += (max(took, time.Millisecond) - ldr.meanRun) / runWeight
}

const (
	// firstRun is taken for the mean time of runs until some have ended.
	firstRun = 200 * time.Millisecond
	// runWeight makes the mean follow some thirty runs, half a second of a small shard.
	runWeight = 32
)

// bounce gives an order back that is to wait nowhere.
func (ldr *Leader) bounce(ord *order) {
	delete(ldr.orders, ord.Task)
	ldr.report(ord, NotRun, 0)
}

// QueuedBytes is what the queue will put on the link.
func (ldr *Leader) QueuedBytes() int64 {
	var num int64
	for _, ord := range ldr.que.orders {
		if ord.run == nil {
			num += StartBytes(ord.Payload)
		}
	}
	return num
}

func (ldr *Leader) start(now time.Time, srv *server, ord *order) {
	// A task's numbers must rise over all its leaders; the time of day does, and a leader that starts a
	// task twice within a millisecond counts on.
	ord.runNumber = max(ord.runNumber+1, now.UnixMilli())
	ldr.siblings(now, ord.Step).begun = true
	rn := &run{id: RunID{Task: ord.Task, Number: ord.runNumber}, ord: ord, sentAt: now, first: !ord.mayHaveRun}
	ord.mayHaveRun = true
	srv.add(rn)
	srv.lookAt = now // It may have been idle, and its next look far away.
	ord.run, ord.srv = rn, srv
	ldr.sendStart(now, srv, rn)
}

func (ldr *Leader) sendStart(now time.Time, srv *server, rn *run) {
	srv.renewedAt = now
	ldr.link.sent(rn.ord.Payload)
	ldr.do(StartRun{
		Server: srv.ent, Run: rn.id, Payload: rn.ord.Payload, Token: ldr.token,
		LeaseUntil: srv.until(now, ldr.cfg.Lease),
	})
}

// room is what a server has left during one round of placing.
type room struct {
	srv               *server
	processor, memory int64
}

type rooms []room

// most returns the largest free processor: an order that needs more is passed over at once, as a queue may be
// hundreds long while nothing is free.
func (rms rooms) most() int64 {
	var mst int64
	for idx := range rms {
		mst = max(mst, rms[idx].processor)
	}
	return mst
}

func (ldr *Leader) rooms(now time.Time) rooms {
	rms := ldr.scratch[:0]
	for _, srv := range ldr.servers {
		if !srv.open(now, ldr.tolerance()) {
			continue
		}
		if prc, mem := srv.free(); prc > 0 {
			rms = append(rms, room{srv: srv, processor: prc, memory: mem})
		}
	}
	ldr.scratch = rms
	return rms
}

// best returns the room that suits an order most: away from servers where the task failed, on the rack
// of its data, then the tightest.
func (rms rooms) best(ord *order, most int64) *room {
	if ord.Processor > most {
		return nil
	}
	var bst *room
	var bstRank int
	for idx := range rms {
		rom := &rms[idx]
		if rom.processor < ord.Processor || rom.memory < ord.Memory || !rom.srv.takes(ord) {
			continue
		}
		rnk := rom.rank(ord)
		if bst == nil || rnk < bstRank || rnk == bstRank && rom.tighter(bst) {
			bst, bstRank = rom, rnk
		}
	}
	return bst
}

func (rom *room) rank(ord *order) int {
	rnk := 0
	if slices.Contains(ord.Avoid, rom.srv.ent.ID) {
		rnk += 2
	}
	if ord.Rack != "" && !slices.Contains(rom.srv.ent.Labels, ord.Rack) {
		rnk++
	}
	return rnk
}

func (rom *room) tighter(oth *room) bool {
	if rom.processor != oth.processor {
		return rom.processor < oth.processor
	}
	return rom.srv.ent.ID < oth.srv.ent.ID
}

// Load is what a leader tells other instances of its room, so that they can choose a shard.
type Load struct {
	// Number rises with each load that a leader tells; the same number is the same news.
	Number int64
	// Free has the free processor, in thousandths of a core, of each server with some.
	Free []int64
	// ServiceRate is how much processor comes free in a second while all servers are busy, in thousandths of a core; Waits is
	// how long one more task of each rank waits for room.
	ServiceRate int64
	RankWaits    [Ranks]time.Duration
	// LinkWindow are the bytes of starts that the leader's link takes at once, LinkBusy those that are under way or wait.
	LinkWindow, LinkBusy int64
	// Closed shards take no new work; nothing is free there.
	Closed bool
}

// CapacityWait estimates how long a task of a rank waits for room, behind some more that need so many thousandths of a core.
func (lod *Load) CapacityWait(rnk Rank, behind int64) time.Duration {
	return lod.RankWaits[rnk] + time.Duration(float64(behind)/float64(max(lod.ServiceRate, 1))*float64(time.Second))
}

// LinkWait estimates how long a start of so many bytes waits for the leader's link.
func (lod *Load) LinkWait(bytes int64) time.Duration {
	return linkDelay(lod.LinkWindow, lod.LinkBusy+bytes)
}

// Priorities is how many priorities are told apart; less urgent ones count as the last.
const Priorities = 3

// Load returns the room that is left.
func (ldr *Leader) Load(now time.Time) Load {
	ldr.loads++
	lod := Load{Number: ldr.loads, Closed: ldr.closed}
	lod.LinkWindow, lod.LinkBusy = ldr.link.window, ldr.link.busy()+ldr.QueuedBytes()
	trn := ldr.turnover()
	lod.ServiceRate = int64(trn * millis(time.Second))
	for _, srv := range ldr.servers {
		if ldr.closed || !srv.open(now, ldr.tolerance()) {
			continue
		}
		if prc, _ := srv.free(); prc > 0 {
			lod.Free = append(lod.Free, prc)
		}
	}
	lod.RankWaits = ldr.drn.waits(trn, ldr.waiting(now))
	return lod
}

// waiting returns what the tasks in the queue need, in thousandths of a core, by rank.
func (ldr *Leader) waiting(now time.Time) [Ranks]int64 {
	var wrk [Ranks]int64
	for _, ord := range ldr.que.orders {
		wrk[ldr.rank(now, ord)] += ord.Processor
	}
	return wrk
}
