package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// lateBinding simulates the strongest policy without homes: each entry has its own queue, shortest remaining job
// first, and sends a task only to a backend server that probably has a free slot. Estimates of free slots come
// from answers and refusals; a server not heard of for the time validity counts as having one free slot.
type lateBinding struct {
	*sim
	out      *outcome
	shp      shape
	free     []int
	entries  []*lateEntry
	validity time.Duration
}

// lateEntry is one entry of lateBinding, with its queue and its estimates of the free slots of each server. heard is
// when the last answer or refusal of each server arrived, or when the last task was sent to it.
type lateEntry struct {
	pol            *lateBinding
	num            int
	queue          idealQueue
	retries        []lateTask
	estimate       []int
	heard          []time.Time
	retryScheduled bool
}

// lateTask is one task of a job, by its index.
type lateTask struct {
	ijb *idealJob
	idx int
}

// runLateBinding runs the workload with the policy lateBinding until a minute after the last arrival.
func runLateBinding(name string, shp shape, trf traffic, wkl *workload, seed uint64, validity time.Duration) *outcome {
	pol := &lateBinding{
		sim: &sim{now: simStart, rnd: rand.New(rand.NewPCG(seed, 6))}, shp: shp, validity: validity,
		out: &outcome{policy: name, wasted: map[string]int{}}, free: make([]int, shp.servers),
	}
	for num := range shp.entries {
		ent := &lateEntry{pol: pol, num: num, estimate: make([]int, shp.servers), heard: make([]time.Time, shp.servers)}
		for idx := range pol.free {
			pol.free[idx] = int(shp.slots)
			ent.estimate[idx] = int(shp.slots)
			ent.heard[idx] = simStart
		}
		pol.entries = append(pol.entries, ent)
	}
	for _, sjb := range wkl.jobs {
		pol.at(sjb.due, func() {
			ent := pol.entries[sjb.entry]
			heap.Push(&ent.queue, newIdealJob(sjb))
			ent.sendWaiting()
		})
	}
	pol.run(simStart.Add(trf.duration + 60*time.Second))
	pol.out.sort()
	return pol.out
}

// sendWaiting sends refused and waiting tasks while a server probably has a free slot.
func (ent *lateEntry) sendWaiting() {
	for len(ent.retries) > 0 || ent.queue.Len() > 0 {
		srv := ent.pick()
		if srv < 0 {
			ent.scheduleRetry()
			return
		}
		ent.send(ent.next(), srv)
	}
}

// scheduleRetry retries after a tenth of validity, when some estimate may have expired.
func (ent *lateEntry) scheduleRetry() {
	if ent.retryScheduled {
		return
	}
	ent.retryScheduled = true
	ent.pol.after(ent.pol.validity/10, func() {
		ent.retryScheduled = false
		ent.sendWaiting()
	})
}

// next removes and returns the task to send next: a refused one first, else the longest of the shortest job.
func (ent *lateEntry) next() lateTask {
	if last := len(ent.retries) - 1; last >= 0 {
		tsk := ent.retries[last]
		ent.retries = ent.retries[:last]
		return tsk
	}
	ijb := ent.queue[0]
	idx := ijb.order[ijb.next]
	ijb.next++
	ijb.remaining -= ijb.sjb.times[idx]
	if ijb.next == len(ijb.order) {
		heap.Pop(&ent.queue)
	} else {
		heap.Fix(&ent.queue, 0)
	}
	return lateTask{ijb: ijb, idx: idx}
}

// pick returns the server with the most free slots by estimate, or -1 if none is estimated to have any.
func (ent *lateEntry) pick() int {
	best, most := -1, 0
	off := ent.pol.rnd.IntN(len(ent.estimate))
	for num := range ent.estimate {
		idx := (off + num) % len(ent.estimate)
		est := ent.estimate[idx]
		if est <= 0 && ent.pol.now.Sub(ent.heard[idx]) > ent.pol.validity {
			est = 1
		}
		if est > most {
			best, most = idx, est
		}
	}
	return best
}

// send sends a task to the server, which refuses it if no slot is free when it arrives.
func (ent *lateEntry) send(tsk lateTask, srv int) {
	pol := ent.pol
	lat := pol.shp.far
	if srv%pol.shp.domains == ent.num%pol.shp.domains {
		lat = pol.shp.near
	}
	ent.estimate[srv]--
	ent.heard[srv] = pol.now
	pol.after(lat, func() {
		if pol.free[srv] == 0 {
			pol.out.wasted["refusal"] += 2
			pol.after(lat, func() {
				ent.estimate[srv] = 0
				ent.heard[srv] = pol.now
				ent.retries = append(ent.retries, tsk)
				ent.sendWaiting()
			})
			return
		}
		pol.free[srv]--
		pol.after(tsk.ijb.sjb.times[tsk.idx], func() {
			pol.free[srv]++
			seen := pol.free[srv]
			pol.after(lat, func() { ent.answered(tsk, srv, seen) })
		})
	})
}

// answered records the answer of a task, with the free slots that the server reported.
func (ent *lateEntry) answered(tsk lateTask, srv, seen int) {
	ent.estimate[srv] = seen
	ent.heard[srv] = ent.pol.now
	ent.pol.out.addTask(tsk.ijb.sjb, tsk.idx, ent.pol.now)
	tsk.ijb.done++
	if tsk.ijb.done == len(tsk.ijb.order) {
		ent.pol.out.add(tsk.ijb.sjb, ent.pol.now)
	}
	ent.sendWaiting()
}
