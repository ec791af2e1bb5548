package headroom

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is a task that waits for room.
type Waiting struct {
	// Priority 0 is the most urgent.
	Priority int
	// Slack is how long the task may wait for its start and still be in time.
	Slack time.Duration
}

// Run is a run that has room.
type Run struct {
	Priority int
	// Left is how long the run is expected to go on or, if Ending, until its stop is proven.
	Left time.Duration
	// Ending is set while the run is being stopped, Stoppable if it may be stopped for a more urgent task.
	Ending, Stoppable bool
	// WorkLost is the processor time that a stop would discard.
	WorkLost time.Duration
	// RestartSlack is how long a new start of its task may wait for its job to be in time; RestartWait is the expected wait.
	RestartSlack, RestartWait time.Duration
	// Late is set if the job of the run will be late whether the run is stopped or not.
	Late bool
}

// Choice is a run to stop for a waiting task, by their indexes.
type Choice struct {
	Waiting, Run int
	// RoomIn is when room would come free without the stop; it is negative if no run leaves enough.
	RoomIn time.Duration
}

// Choose returns the runs to stop for waiting tasks, which are sorted by rank. A task gets the room of the next run to end that leaves enough of
// it, unless an earlier task gets that. Only where it would be late with that room, and in time with that of a stopped run, a run is chosen: of
// those that are less urgent and whose jobs can be in time with a new start, the least urgent, then the one with the least work lost. fits tells
// whether the server of a run has enough room for a task once the run is over.
//
// A job that is late anyway is not stopped: most are still of use to their callers, and of none after another start.
func Choose(wts []Waiting, rns []Run, stopTime time.Duration, fits func(wait, run int) bool) []Choice {
	byEnd := make([]int, len(rns))
	for idx := range byEnd {
		byEnd[idx] = idx
	}
	slices.SortStableFunc(byEnd, func(one, two int) int { return cmp.Compare(rns[one].Left, rns[two].Left) })
	used := make([]bool, len(rns))
	var chs []Choice
	for num := range wts {
		wat := &wts[num]
		usable := func(run int) bool { return !used[run] && fits(num, run) }
		natural := slices.IndexFunc(byEnd, usable)
		roomIn := time.Duration(-1)
		if natural >= 0 {
			roomIn = rns[byEnd[natural]].Left
		}
		if late := roomIn < 0 || roomIn > wat.Slack; late && wat.Slack >= stopTime {
			if run := victim(wat, rns, stopTime, usable); run >= 0 {
				used[run] = true
				chs = append(chs, Choice{Waiting: num, Run: run, RoomIn: roomIn})
				continue
			}
		}
		if natural >= 0 {
			used[byEnd[natural]] = true
		}
	}
	return chs
}

// victim returns the run to stop for a waiting task among those for which usable returns true, -1 if there is none.
func victim(wat *Waiting, rns []Run, stopTime time.Duration, usable func(run int) bool) int {
	bst := -1
	for idx := range rns {
		rn := &rns[idx]
		if rn.Ending || !rn.Stoppable || rn.Late || rn.RestartSlack < stopTime+rn.RestartWait || rn.Priority <= wat.Priority || !usable(idx) {
			continue
		}
		if bst < 0 || cmp.Or(cmp.Compare(rns[bst].Priority, rn.Priority), cmp.Compare(rn.WorkLost, rns[bst].WorkLost)) < 0 {
			bst = idx
		}
	}
	return bst
}
