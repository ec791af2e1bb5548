package shard

import (
	"math"
	"time"

	"chestnutstack/internal/request/headroom"
)

// Where headroom was too small, an urgent task waits behind long runs of less urgent ones. If it can still be in time with the room of a stopped
// run, and would be late with the room that comes free by itself, the run that costs callers least is stopped. Its room stays taken until the
// server proves that the run is over; then the order waits in the queue again, with a mark, or goes back to its owner.

// expectedTime returns the expected run time of an order on a server, the mean run time if nothing else is known.
func (ldr *Leader) expectedTime(srv *server, ord *order) time.Duration {
	mean, known := ldr.expectedOn(srv, ord)
	if !known {
		return ldr.meanRun
	}
	return time.Duration(min(math.Exp(mean), maxExpectedTime.Seconds()) * float64(time.Second))
}

// maxExpectedTime bounds expected run times: a caller's estimate may be so long that its sum with others is out of range.
const maxExpectedTime = time.Hour

// preempting is a leader's state of preemption.
type preempting struct {
	budget headroom.Budget
	// stopTime is the running mean of the time from a stop to the proof that the run is over.
	stopTime time.Duration
	// lastAt is when a run was last stopped for another; zero while preemption doesn't act.
	lastAt time.Time
}

const (
	// initialStopTime is assumed until stops have ended: what a server may take to end a run (50 ms, from the platform's documentation) and
	// the calls before and after.
	initialStopTime = 60 * time.Millisecond
	// stopTimeWeight makes stopTime follow about eight stops.
	stopTimeWeight = 8
	// maxPreemptors is how many waiting tasks are looked at, about as many as a small shard has runs.
	maxPreemptors = 32
	// maxShareLost is the largest share of a run's expected time that may be lost by a stop. Stopping older runs costs their callers more than
	// the urgent ones gain.
	maxShareLost = 0.2
	// preemptionEnds is the time without a preemption after which preemption no longer acts.
	preemptionEnds = time.Second
)

// NotePreemption describes a preemption; the stop of the run follows.
type NotePreemption struct {
	// Task is the one whose run is stopped, on Server; For is the one that waits. Priority and ForPriority are their priorities.
	Task, For             string
	Priority, ForPriority int
	Server                ServerID
	// WorkLost is how long the run had run, Processor its size in thousandths of a core.
	WorkLost  time.Duration
	Processor int64
	// Slack is how long the waiting task could wait to be in time, Waited how long it has waited here. RoomIn is when room would come free by
	// itself, negative if never; StopTime is what stops take.
	Slack, Waited, RoomIn, StopTime time.Duration
	// RestartSlack is how long a new start of the stopped task may wait to be in time, RestartWait how long it is expected to wait.
	RestartSlack, RestartWait time.Duration
	// BudgetLeft is what may still be preempted now, in thousandths of a core.
	BudgetLeft int64
	// ServerHeard and ProgressSeen are the ages of the server's last answer and of the run's last progress.
	ServerHeard, ProgressSeen time.Duration
}

func (NotePreemption) action() {}

// preempt stops runs for urgent tasks that would otherwise be late.
func (ldr *Leader) preempt(now time.Time) {
	ldr.endPreemption(now)
	if !ldr.cfg.Features.Preemption || !ldr.takeoverComplete || ldr.closed || ldr.lostServers > 0 || now.Before(ldr.noStartsUntil) {
		return
	}
	ords, wts := ldr.preemptors(now)
	if len(ords) == 0 {
		return
	}
	rns, descs := ldr.preemptible(now)
	stp := ldr.preempting.stopTime
	chs := headroom.Choose(wts, descs, stp, func(wait, run int) bool { return ldr.leavesRoom(rns[run], ords[wait]) })
	for _, chc := range chs {
		ldr.preemptRun(now, ords[chc.Waiting], rns[chc.Run], &wts[chc.Waiting], &descs[chc.Run], chc)
	}
}

// preemptors returns the waiting orders that may need the room of a run, by rank; the least urgent tasks need none.
func (ldr *Leader) preemptors(now time.Time) ([]*order, []headroom.Waiting) {
	var ords []*order
	var wts []headroom.Waiting
	for _, ord := range ldr.que.orders {
		if len(ords) == maxPreemptors || priorityOf(ord) == Priorities-1 {
			break // The queue is sorted by priority.
		}
		if ord.run != nil || ord.Reassigned || !ldr.mayPlace(now, ord) || !ldr.ownerHeardRecently(now, ord) || !ldr.link.Fits(ord.Payload) {
			continue
		}
		if slack := ord.Due.Sub(now) - ldr.expectedTime(nil, ord); slack >= 0 {
			ords = append(ords, ord)
			wts = append(wts, headroom.Waiting{Priority: priorityOf(ord), Slack: slack})
		}
	}
	return ords, wts
}

// leavesRoom reports whether the server of a run has enough room for an order, which may use it, once the run is over.
func (ldr *Leader) leavesRoom(rn *run, ord *order) bool {
	srv := rn.ord.srv
	prc, mem := srv.ent.Processor-srv.usedProcessor, srv.ent.Memory-srv.usedMemory
	return srv.suits(ord) && prc+rn.ord.Processor >= ord.Processor && mem+rn.ord.Memory >= ord.Memory && !ldr.closedTo(srv, ord)
}

// preemptible returns the runs whose room waiting orders can count on, and what is known of them.
func (ldr *Leader) preemptible(now time.Time) ([]*run, []headroom.Run) {
	var rns []*run
	var descs []headroom.Run
	open := ldr.openTasks()
	waits := ldr.restartWaits(now)
	for _, srv := range ldr.serverList {
		if srv.missed > 0 || srv.unclaimed > 0 || srv.onTrial() || !srv.acceptsTasks(now, 0) || !ldr.mayExtendLeases(now, srv) {
			continue
		}
		for _, rn := range srv.runList {
			if rn.ord == nil || rn.ord.srv != srv {
				continue
			}
			rns = append(rns, rn)
			descs = append(descs, ldr.describe(now, rn, waits, open[rn.ord.submission()] > 1))
		}
	}
	return rns, descs
}

// describe returns what is known of a run; hasSibling is set if another task of its job is known to be open.
func (ldr *Leader) describe(now time.Time, rn *run, waits [Priorities]time.Duration, hasSibling bool) headroom.Run {
	ord := rn.ord
	took, expected := now.Sub(rn.sentAt), ldr.expectedTime(ord.srv, ord)
	des := headroom.Run{
		Priority: priorityOf(ord), Left: ldr.remainingTime(now, rn), Ending: rn.state == ending,
		WorkLost:     time.Duration(float64(took) * float64(ord.Processor) / coreMillis),
		RestartSlack: ord.Due.Sub(now) - expected, RestartWait: waits[priorityOf(ord)],
	}
	des.Late = now.Add(des.Left).After(ord.Due)
	young := float64(took) <= maxShareLost*float64(expected)
	des.Stoppable = young && hasSibling && rn.state == running && !rn.stopInProgress && !ord.cancelled && !ord.Reassigned && !ord.Preempted
	return des
}

// coreMillis is the number of thousandths of a core in a core.
const coreMillis = 1000

// remainingTime returns how long a run is expected to go on or, if it is being stopped, until that is proven. One that has taken longer than expected
// goes on for as long as it is over.
func (ldr *Leader) remainingTime(now time.Time, rn *run) time.Duration {
	if rn.state == ending {
		return max(0, ldr.preempting.stopTime-now.Sub(rn.stopAt))
	}
	took := now.Sub(rn.sentAt)
	whole := ldr.expectedTime(rn.ord.srv, rn.ord)
	if rn.percent >= minPercent && rn.progressAt.After(rn.sentAt) {
		whole = rn.progressAt.Sub(rn.sentAt) * percentDone / time.Duration(rn.percent)
	}
	if whole <= took {
		return took - whole
	}
	return whole - took
}

// openTasks returns how many orders of each submission are here. The owner doesn't tell which other tasks are open, so only a run beside one
// of them is surely not the last of its job.
func (ldr *Leader) openTasks() map[string]int {
	open := make(map[string]int, len(ldr.orders))
	for _, ord := range ldr.orders {
		if !ord.cancelled {
			open[ord.submission()]++
		}
	}
	return open
}

// restartWaits returns how long a stopped task of each priority is expected to wait for room again. It waits before later ones of its priority,
// as it arrived before them.
func (ldr *Leader) restartWaits(now time.Time) [Priorities]time.Duration {
	var wts [Priorities]time.Duration
	waiting := ldr.waitingProcessor(now)
	rate := max(ldr.serviceRate(), 1)
	ahead := 0.0
	for pri := range wts {
		wts[pri] = waitOf(ahead / rate * float64(time.Millisecond))
		rnks := RanksOf(pri)
		ahead += float64(waiting[rnks[0]] + waiting[rnks[1]])
	}
	return wts
}

// preemptRun stops a run for a waiting order, if the budget allows it, and tells the owner of the run.
func (ldr *Leader) preemptRun(now time.Time, waiting *order, rn *run, wat *headroom.Waiting, des *headroom.Run, chc headroom.Choice) {
	prm, ord := &ldr.preempting, rn.ord
	srv := ord.srv
	left := prm.budget.Left(now, ldr.roomOf(srv.ent.Service))
	if left <= 0 {
		return
	}
	prm.budget.Spend(ord.Processor)
	note := NotePreemption{
		Task: ord.Task, For: waiting.Task, Priority: ord.Priority, ForPriority: waiting.Priority, Server: srv.ent.ID,
		WorkLost: now.Sub(rn.sentAt), Processor: ord.Processor, Slack: wat.Slack, Waited: now.Sub(waiting.receivedAt), RoomIn: chc.RoomIn,
		StopTime: prm.stopTime, RestartSlack: des.RestartSlack, RestartWait: des.RestartWait, BudgetLeft: left,
		ServerHeard: now.Sub(srv.confirmedAt), ProgressSeen: now.Sub(rn.progressAt),
	}
	if prm.lastAt.IsZero() {
		ldr.emit(FeatureChange{Feature: Preemption, Active: true, Figures: []Figure{
			{Name: "slack-millis", Value: millis(wat.Slack)},
			{Name: "room-in-millis", Value: millis(chc.RoomIn)},
			{Name: "stop-millis", Value: millis(prm.stopTime)},
			{Name: "waiting", Value: float64(len(ldr.que.orders))},
		}})
	}
	prm.lastAt = now
	ldr.emit(note)
	ord.Preempted = true
	rn.timeHandled = true // A run that is cut short says nothing about its server's speed.
	ldr.sendReport(ord, Report{Outcome: Started, WorkLost: max(note.WorkLost, time.Microsecond)})
	ldr.stopRun(now, srv, rn, MoreUrgent)
}

// endPreemption announces that preemption no longer acts, some time after the last one.
func (ldr *Leader) endPreemption(now time.Time) {
	prm := &ldr.preempting
	if !prm.lastAt.IsZero() && now.Sub(prm.lastAt) > preemptionEnds {
		ldr.emit(FeatureChange{Feature: Preemption, Active: false, Figures: []Figure{{Name: "idle-millis", Value: millis(now.Sub(prm.lastAt))}}})
		prm.lastAt = time.Time{}
	}
}

// noteStopped learns how long stops take from a run that is over. One whose server did not answer for a while says nothing of the servers that do,
// which alone are asked to stop runs for others.
func (ldr *Leader) noteStopped(now time.Time, rn *run) {
	if rn.state == ending && !rn.stopAcceptedAt.IsZero() && rn.stopAcceptedAt.Sub(rn.stopAt) < ldr.cfg.StopTimeout {
		ldr.preempting.stopTime += (now.Sub(rn.stopAt) - ldr.preempting.stopTime) / stopTimeWeight
	}
}
