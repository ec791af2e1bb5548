package shard

import (
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/headroom"
)

// Ranks order the queue only. Once long runs of less urgent tasks occupy all servers, an urgent task waits for them; and a task of more than half a
// server waits while each gap goes to smaller ones behind it. So while work waits for room, some servers are set aside for urgent tasks, and an
// urgent task that waits reserves the server that will have room for it first.

// serviceHeadroom is the headroom on the servers of one service.
type serviceHeadroom struct {
	usage headroom.Usage
	// pressure is the running share of the time in which less urgent work waits; settingAside is set while it is high.
	pressure     float64
	settingAside bool
	// returned is set if a less urgent order was returned for lack of room since the last update.
	returned bool
	// actedAt is when a server was last set aside or reserved; active is set from then on for headroomEnds.
	actedAt time.Time
	active  bool
}

// reservation is the claim of a waiting order to a server.
type reservation struct {
	// after is when the server is expected to have room for the order, spare what it will have beside it.
	after time.Duration
	spare headroom.Room
}

const (
	// pressureTime is the time over which the pressure follows.
	pressureTime = 300 * time.Millisecond
	// beginPressure and endPressure are the pressures from which and down to which servers are set aside.
	beginPressure = 0.5
	endPressure   = 0.1
	// minUse is the least share of the room that runs use while servers are set aside. With more room free, less urgent tasks wait for a gap that is
	// large enough, and servers set aside leave them fewer gaps.
	minUse = 0.7
	// waitsForRoom is the age from which a waiting order waits for room, rather than for the next placement round.
	waitsForRoom = 20 * time.Millisecond
	// maxReservations bounds the servers of a shard that are reserved at a time, about half of a small one.
	maxReservations = 4
	// headroomEnds is the time without a server set aside or reserved after which headroom no longer acts.
	headroomEnds = 5 * time.Second
)

// ServerRoom is processor, in thousandths of a core, and memory, in MB, of a number of servers.
type ServerRoom struct{ Processor, Memory []int64 }

// headroomOf returns the headroom of a service, and begins to record it.
func (ldr *Leader) headroomOf(service string) *serviceHeadroom {
	svh := ldr.headroom[service]
	if svh == nil {
		svh = &serviceHeadroom{}
		ldr.headroom[service] = svh
	}
	return svh
}

// priorityOf returns the priority that an order counts as.
func priorityOf(ord *order) int { return min(max(ord.Priority, 0), Priorities-1) }

// room returns the size of an order.
func (ord *order) room() headroom.Room {
	return headroom.Room{Processor: ord.Processor, Memory: ord.Memory}
}

// noteShortage records that an order was returned for lack of room.
func (ldr *Leader) noteShortage(ord *order) {
	if svh := ldr.headroom[ord.Service]; svh != nil && priorityOf(ord) > 0 {
		svh.returned = true
	}
}

// updateHeadroom decides which servers of each service are set aside.
func (ldr *Leader) updateHeadroom(now time.Time) {
	if !ldr.cfg.Features.Headroom {
		return
	}
	for _, srv := range ldr.serverList {
		ldr.headroomOf(srv.ent.Service)
	}
	weight := min(1, float64(now.Sub(ldr.headroomAt))/float64(pressureTime))
	ldr.headroomAt = now
	waiting := ldr.servicesShortOfRoom(now)
	for _, svc := range slices.Sorted(maps.Keys(ldr.headroom)) {
		svh := ldr.headroom[svc]
		short := 0.0
		if svh.returned || waiting[svc] {
			short = 1
		}
		svh.returned = false
		svh.pressure += weight * (short - svh.pressure)
		ldr.setAside(now, svc, svh)
		ldr.announceHeadroom(now, svc, svh)
	}
}

// servicesShortOfRoom returns the services of which less urgent orders wait for room.
func (ldr *Leader) servicesShortOfRoom(now time.Time) map[string]bool {
	short := map[string]bool{}
	for _, ord := range ldr.que.orders {
		if priorityOf(ord) > 0 && !ord.Reassigned && now.Sub(ord.receivedAt) >= waitsForRoom {
			short[ord.Service] = true
		}
	}
	return short
}

// setAside sets servers of a service aside while less urgent work waits for room.
func (ldr *Leader) setAside(now time.Time, service string, svh *serviceHeadroom) {
	var srvs []*server
	var rooms []int64
	used := make([]int64, Priorities)
	for _, srv := range ldr.serverList {
		if srv.ent.Service != service {
			continue
		}
		if !srv.inService() {
			srv.openTo = Priorities
			continue
		}
		srvs, rooms = append(srvs, srv), append(rooms, srv.ent.Processor)
		for _, rn := range srv.runList {
			if rn.ord != nil {
				used[priorityOf(rn.ord)] += rn.ord.Processor
			}
		}
	}
	svh.usage.Observe(now, used)
	limit := beginPressure
	if svh.settingAside {
		limit = endPressure
	}
	svh.settingAside = svh.pressure > limit && svh.usage.Share(rooms) >= minUse && svh.severalPriorities()
	open := make([]int, len(srvs))
	if svh.settingAside {
		open = headroom.SetAside(rooms, svh.usage.Means())
	}
	for idx, srv := range srvs {
		srv.openTo = Priorities
		if svh.settingAside && open[idx] < Priorities {
			srv.openTo, svh.actedAt = open[idx], now
		}
	}
}

// announceHeadroom announces when headroom begins or ends to act.
func (ldr *Leader) announceHeadroom(now time.Time, service string, svh *serviceHeadroom) {
	was := svh.active
	svh.active = !svh.actedAt.IsZero() && now.Sub(svh.actedAt) <= headroomEnds
	if svh.active == was {
		return
	}
	figs := []Figure{
		{Name: "share-of-time-waited", Value: svh.pressure},
		{Name: "processor", Value: float64(ldr.roomOf(service))},
		{Name: "processor-set-aside", Value: float64(ldr.ProcessorSetAside())},
		{Name: "servers-reserved", Value: float64(len(ldr.reserved))},
		{Name: "waiting", Value: float64(len(ldr.que.orders))},
	}
	names := [Priorities]string{"processor-used-priority-0", "processor-used-priority-1", "processor-used-priority-2"}
	for pri, use := range svh.usage.Means() {
		figs = append(figs, Figure{Name: names[pri], Value: use})
	}
	ldr.emit(FeatureChange{Feature: Headroom, Active: svh.active, Figures: figs})
}

// roomOf returns the processor of the servers of a service, in thousandths of a core.
func (ldr *Leader) roomOf(service string) int64 {
	var all int64
	for _, srv := range ldr.serverList {
		if srv.inService() && srv.ent.Service == service {
			all += srv.ent.Processor
		}
	}
	return all
}

// ProcessorSetAside returns the processor of the servers that the least urgent tasks may not use, in thousandths of a core.
func (ldr *Leader) ProcessorSetAside() int64 {
	var all int64
	for _, srv := range ldr.serverList {
		if srv.isAside(Priorities - 1) {
			all += srv.ent.Processor
		}
	}
	return all
}

// ReservedServers returns how many servers are reserved for urgent tasks that wait.
func (ldr *Leader) ReservedServers() int { return len(ldr.reserved) }

// isAside reports whether a server is set aside for tasks that are more urgent than a priority.
func (srv *server) isAside(priority int) bool { return srv.openTo > 0 && priority >= srv.openTo }

// closedTo reports whether a server is set aside for tasks that are more urgent than an order. One is open to an order that no other server could
// run: it would wait for as long as urgent work comes.
func (ldr *Leader) closedTo(srv *server, ord *order) bool {
	pri := priorityOf(ord)
	return srv.isAside(pri) && slices.ContainsFunc(ldr.serverList, func(oth *server) bool {
		knd := oth.ent.Kind()
		return oth.inService() && !oth.isAside(pri) && knd.Fits(ord.Service, ord.Label, ord.Processor, ord.Memory)
	})
}

// mayUse reports whether headroom lets an order start on a server: it is not set aside for more urgent tasks, and is not reserved, or the order
// leaves the reserved room or ends before that is due.
func (ldr *Leader) mayUse(srv *server, ord *order) bool {
	if ldr.closedTo(srv, ord) {
		return false
	}
	res, reserved := ldr.reserved[srv.ent.ID]
	return !reserved || res.spare.Holds(ord.room()) || ldr.expectedTime(srv, ord) <= res.after
}

// reserve reserves for an urgent order that found no room the server that is expected to have some first. Later orders of the round can't take it.
func (ldr *Leader) reserve(now time.Time, ord *order) {
	svh := ldr.headroom[ord.Service]
	if svh == nil || priorityOf(ord) == Priorities-1 || len(ldr.reserved) >= maxReservations || !svh.severalPriorities() {
		return
	}
	var bst *server
	var bstRes reservation
	for _, srv := range ldr.serverList {
		if _, taken := ldr.reserved[srv.ent.ID]; taken || !ldr.reservable(now, srv, ord) {
			continue
		}
		if res, fits := ldr.fitTime(now, srv, ord); fits && (bst == nil || res.after < bstRes.after) {
			bst, bstRes = srv, res
		}
	}
	if bst != nil {
		ldr.reserved[bst.ent.ID] = bstRes
		svh.actedAt = now
	}
}

// reservable reports whether an order that found no room may reserve a server. One that has room for it now is too slow for it (see bestServer), and
// would be idle.
func (ldr *Leader) reservable(now time.Time, srv *server, ord *order) bool {
	if srv.unclaimed > 0 || !ldr.takesTasks(now, srv) || !srv.suits(ord) || ldr.closedTo(srv, ord) {
		return false
	}
	prc, mem := srv.free()
	return prc < ord.Processor || mem < ord.Memory
}

// severalPriorities reports whether tasks of more than one priority have run lately.
func (svh *serviceHeadroom) severalPriorities() bool {
	num := 0
	for _, use := range svh.usage.Means() {
		if use >= 1 {
			num++
		}
	}
	return num > 1
}

// fitTime returns when a server is expected to have room for an order, if ever.
func (ldr *Leader) fitTime(now time.Time, srv *server, ord *order) (reservation, bool) {
	free := headroom.Room{Processor: srv.ent.Processor - srv.usedProcessor, Memory: srv.ent.Memory - srv.usedMemory}
	runs := make([]headroom.Ending, 0, len(srv.runList))
	for _, rn := range srv.runList {
		if rn.ord != nil {
			runs = append(runs, headroom.Ending{Size: rn.ord.room(), Left: ldr.remainingTime(now, rn)})
		}
	}
	after, spare, fits := headroom.FitTime(free, runs, ord.room())
	return reservation{after: after, spare: spare}, fits
}

// keptRoom returns, for each priority, what its tasks must leave of the free room of some servers; nothing is nil.
func keptRoom(srvs []*server) [Priorities]ServerRoom {
	var kept [Priorities]ServerRoom
	for pri := 1; pri < Priorities; pri++ {
		if !slices.ContainsFunc(srvs, func(srv *server) bool { return srv.isAside(pri) }) {
			continue
		}
		kept[pri] = ServerRoom{Processor: make([]int64, len(srvs)), Memory: make([]int64, len(srvs))}
		for idx, srv := range srvs {
			if srv.isAside(pri) {
				kept[pri].Processor[idx], kept[pri].Memory[idx] = srv.free()
			}
		}
	}
	return kept
}

// StartableFor is Startable for tasks of a priority, which leave the headroom.
func (lod *Load) StartableFor(priority, idx int, processor, memory int64) int64 {
	kpt := &lod.Kept[min(max(priority, 0), Priorities-1)]
	if idx >= len(kpt.Processor) || idx >= len(kpt.Memory) {
		return lod.Startable(idx, processor, memory)
	}
	num := (lod.Free[idx] - kpt.Processor[idx]) / max(processor, 1)
	if idx < len(lod.FreeMemory) {
		num = min(num, (lod.FreeMemory[idx]-kpt.Memory[idx])/max(memory, 1))
	}
	return max(0, num)
}

// KeepAll records that all free room is kept from tasks of a priority and from less urgent ones.
func (lod *Load) KeepAll(priority int) {
	for pri := min(max(priority, 0), Priorities-1); pri < Priorities; pri++ {
		lod.Kept[pri] = ServerRoom{Processor: slices.Clone(lod.Free), Memory: slices.Clone(lod.FreeMemory)}
	}
}
