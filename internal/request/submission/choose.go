package submission

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/request/shard"
)

// view is what a Desk knows of a shard.
type view struct {
	name   shard.Name
	leader shard.InstanceID
	token  int64
	// near shards lie in this instance's failure domain.
	near bool
	// domain is the shard's failure domain; closed is set while operators have closed it to new work.
	domain string
	closed bool
	load   shard.Load
	// sent is what the tasks need that were sent since the last load and found no room, in thousandths of a core.
	sent int64
	// payload is the job whose payload was last sent there.
	payload string
}

// open reports whether a shard takes new work, as far as is known here and to its leader.
func (viw *view) open() bool { return viw.leader != "" && !viw.shut() }

// serving reports whether a shard takes new work and has a server that answers, as far as is known here.
func (viw *view) serving() bool { return viw.open() && viw.load.Turnover > 0 }

// shut reports whether a shard's failure domain is closed to new work.
func (viw *view) shut() bool { return viw.closed || viw.load.Closed }

// fits returns how many tasks of a size would start at once.
func (viw *view) fits(processor int64) int64 {
	num := int64(0)
	for _, fre := range viw.load.Free {
		num += fre / max(processor, 1)
	}
	return num
}

// placed counts a task that was just sent, so that the next one does not go after the same room.
func (viw *view) placed(stp *Step, bytes int64, fits bool) {
	viw.load.LinkBusy += bytes
	if !fits {
		viw.sent += stp.Processor
		return
	}
	for idx, fre := range viw.load.Free {
		if fre >= stp.Processor {
			viw.load.Free[idx] -= stp.Processor
			return
		}
	}
}

// choose returns the shard where a task is expected to start first, and whether it is believed to find room there. Among equals
// it is the one with the most room.
//
// Pools of a failure domain are small (some 36 tasks of 14 cores): tasks that find theirs full and
// go to another one's room don't wait for their neighbours' 0.9 s.
func (dsk *Coordinator) choose(tsk *task, stp *Step) (*view, bool) {
	var bst *view
	var least time.Duration
	var most int64
	for _, viw := range dsk.ordered {
		if !viw.open() {
			continue
		}
		num := viw.fits(stp.Processor)
		cst := dsk.cost(viw, tsk.job)
		if num == 0 {
			cst += noRoom + viw.load.RoomWait(dsk.rank(tsk.job), viw.sent)
		}
		if bst == nil || cst < least || cst == least && num > most {
			bst, least, most = viw, cst, num
		}
	}
	return bst, most > 0
}

// cost is how much later a task starts in a shard than in one that is led here with a free link.
func (dsk *Coordinator) cost(viw *view, jb *job) time.Duration {
	byt := shard.StartBytes(jb.sub.Payload)
	cst := viw.load.LinkWait(byt)
	switch {
	case viw.leader == dsk.cfg.Self:
		return cst
	case viw.near:
		cst += nearCost
	default:
		cst += farCost
	}
	if viw.payload != jb.sub.ID {
		// The payload is still to be sent there, once for all tasks of the job.
		cst += dsk.cfg.Link.Delay(byt)
	}
	return cst
}

// On the platform's pages a way within a failure domain takes 0.2 ms to and fro, to another one 1 to 2, over links that are paid for,
// and a message takes half a millisecond for the processors at both ends.
const (
	nearCost = time.Millisecond
	farCost  = 4 * time.Millisecond
	// noRoom is the least wait where all servers are full: what is believed to be free may be gone, but is the better guess.
	noRoom = 20 * time.Millisecond
)

// addShard makes the view of a shard that was not known; the views stay in the order of their names.
func (dsk *Coordinator) addShard(name shard.Name) *view {
	viw := &view{name: name}
	dsk.shards[name] = viw
	idx, _ := slices.BinarySearchFunc(dsk.ordered, name, func(oth *view, nam shard.Name) int {
		return strings.Compare(string(oth.name), string(nam))
	})
	dsk.ordered = slices.Insert(dsk.ordered, idx, viw)
	return viw
}

// anyOpen reports whether a shard that takes new work has a leader.
func (dsk *Coordinator) anyOpen() bool {
	for _, viw := range dsk.shards {
		if viw.open() {
			return true
		}
	}
	return false
}

// anyServing reports whether a shard that takes new work has a server that answers.
func (dsk *Coordinator) anyServing() bool {
	for _, viw := range dsk.shards {
		if viw.serving() {
			return true
		}
	}
	return false
}

// full notes that a shard has no room for what it was just sent.
func (dsk *Coordinator) full(name shard.Name) {
	if viw := dsk.shards[name]; viw != nil {
		viw.load.Free = nil
	}
}

// HandleLeader tells the desk who leads a shard of a failure domain; no leader is an empty instance. Orders that lie with
// the former leader go to the new one, which knows what of them runs.
func (dsk *Coordinator) HandleLeader(tgt Target, domain string) []Action {
	viw := dsk.shards[tgt.Shard]
	if viw == nil {
		viw = dsk.addShard(tgt.Shard)
	}
	viw.near, viw.domain, viw.closed = domain == dsk.cfg.FailureDomain, domain, dsk.closed[domain]
	if viw.leader == tgt.Leader && viw.token == tgt.Token {
		return dsk.take()
	}
	viw.leader, viw.token = tgt.Leader, tgt.Token
	viw.load = shard.Load{}
	if tgt.Leader == "" {
		return dsk.take()
	}
	for _, jb := range dsk.inOrder() {
		for _, tks := range jb.tasks {
			for _, tsk := range tks {
				dsk.follow(tsk, viw)
			}
		}
		dsk.advance(jb)
	}
	return dsk.take()
}

func (dsk *Coordinator) advanceAll() {
	for _, jb := range dsk.inOrder() {
		dsk.advance(jb)
	}
}

// follow sends a task's order to the new leader of its shard.
func (dsk *Coordinator) follow(tsk *task, viw *view) {
	if tsk.done || tsk.shard != viw.name || tsk.leader == "" && tsk.limbo.IsZero() {
		return
	}
	// The former leader may have started it without a word of that here.
	tsk.job.begun = true
	if tsk.leader != "" && tsk.leader != viw.leader {
		// It is heard, and may not know yet that it was followed: what waits in its queue started there seconds later, while
		// the task ran elsewhere. Where its servers obey the new leader, the withdrawal ends nothing.
		dsk.do(CancelOrder{Target: tsk.target(), Task: tsk.name})
	}
	rns := dsk.runsFor(tsk)
	tsk.leader, tsk.token, tsk.limbo, tsk.begun, tsk.queued = viw.leader, viw.token, time.Time{}, false, false
	tsk.followed = true
	dsk.send(tsk, shard.Order{Followed: true, At: tsk.server, RunsFor: rns})
}

// runsFor returns for how long the former leader may still run a task that is about to follow to the next one. A leader that is heard may
// miss this instance any moment; what it does until then counts, too.
func (dsk *Coordinator) runsFor(tsk *task) time.Duration {
	if tsk.limbo.IsZero() {
		return dsk.cfg.OrphanExpiry
	}
	return max(0, tsk.limbo.Sub(dsk.now))
}

func (dsk *Coordinator) inOrder() []*job {
	jbs := make([]*job, 0, len(dsk.jobs))
	for _, jb := range dsk.jobs {
		jbs = append(jbs, jb)
	}
	slices.SortFunc(jbs, func(one, two *job) int {
		return cmp.Or(one.arrived.Compare(two.arrived), strings.Compare(one.sub.ID, two.sub.ID))
	})
	return jbs
}

// HandleInstanceLost tells the desk that an instance is not heard any more: it may run on what it leads for a
// while.
func (dsk *Coordinator) HandleInstanceLost(now time.Time, id shard.InstanceID) []Action {
	for _, viw := range dsk.shards {
		if viw.leader == id {
			viw.leader = ""
		}
	}
	for _, tsk := range dsk.tasks {
		if tsk.leader == id && !tsk.done {
			dsk.toLimbo(now, tsk)
		}
	}
	return dsk.take()
}

// HandleLoad tells the desk what room a shard has. Tasks that wait elsewhere are called back for it.
func (dsk *Coordinator) HandleLoad(name shard.Name, lod shard.Load) []Action {
	viw := dsk.shards[name]
	if viw == nil || lod.Number <= viw.load.Number {
		// What was told before is not news: room that is gone since would be gone after again.
		return dsk.take()
	}
	opened := viw.load.Closed && !lod.Closed
	viw.load, viw.sent = lod, 0
	viw.load.Free = slices.Clone(lod.Free)
	if opened {
		dsk.advanceAll()
	}
	if viw.open() && len(viw.load.Free) > 0 && viw.load.LinkWait(0) == 0 && dsk.anyWaiting(viw.name) {
		dsk.recall(viw)
	}
	return dsk.take()
}

// anyWaiting reports whether a task waits in the queue of another shard than the one named.
func (dsk *Coordinator) anyWaiting(but shard.Name) bool {
	for _, tsk := range dsk.tasks {
		if tsk.waits() && tsk.shard != but {
			return true
		}
	}
	return false
}

// waits reports whether a task is believed to wait in a queue from which it was not yet called back. One that was sent
// to free room has started or comes back by itself: that it began is told late, and calling all such tasks back was
// four orders in ten of a busy system.
func (tsk *task) waits() bool {
	return !tsk.done && !tsk.begun && !tsk.recalled && tsk.queued && tsk.leader != ""
}

// recall asks the leaders of other shards for waiting tasks that would start at once in a shard's room.
func (dsk *Coordinator) recall(viw *view) {
	var left int64
	for _, jb := range dsk.inOrder() {
		for _, tks := range jb.tasks {
			for _, tsk := range tks {
				if !tsk.waits() || tsk.shard == viw.name || !dsk.waitsLong(tsk) {
					continue
				}
				need := jb.sub.Steps[tsk.step].Processor
				if viw.fits(need) <= left {
					return
				}
				left++
				tsk.recalled, tsk.bounces = true, 0
				dsk.send(tsk, shard.Order{Recall: true})
			}
		}
	}
}

// waitsLong reports whether a task will wait for room for longer than a call-back and another order are worth. One that waits
// for its leader's link is not called back: its payload would take up its owner's link once more.
func (dsk *Coordinator) waitsLong(tsk *task) bool {
	viw := dsk.shards[tsk.shard]
	return viw == nil || viw.load.LinkWait(0) == 0 && viw.load.RoomWait(dsk.rank(tsk.job), viw.sent) >= noRoom
}

// IsLeader reports whether a target is the known leader of its shard.
func (dsk *Coordinator) IsLeader(tgt Target) bool {
	viw := dsk.shards[tgt.Shard]
	return viw != nil && viw.leader == tgt.Leader && viw.token == tgt.Token
}

// AddLeaders adds the leaders with which orders lie to a set.
func (dsk *Coordinator) AddLeaders(set map[shard.InstanceID]bool) {
	for _, tsk := range dsk.tasks {
		if tsk.leader != "" && !tsk.done {
			set[tsk.leader] = true
		}
	}
}

// NotStartedCount returns how many submissions of a route have not begun.
func (dsk *Coordinator) NotStartedCount(route string) int {
	num := 0
	for _, jb := range dsk.jobs {
		if jb.sub.Route == route && !jb.begun {
			num++
		}
	}
	return num
}
