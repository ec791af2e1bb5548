package submission

import (
	"time"

	"chestnutstack/internal/request/shard"
)

const (
	// freeMoves is how many returns of a task's order have no pause: its owner may know less than two leaders do.
	freeMoves = 2
	// minMovePause is the pause after the next return, about ten times the time of an order and its return. It doubles movePauseDoublings times, to
	// 640 ms, which leaves a task some tries in the 1.5 s and more that callers wait.
	minMovePause       = 20 * time.Millisecond
	movePauseDoublings = 5
)

// movePause returns how long a task stays where it is after its order was returned a number of times.
func movePause(moves int) time.Duration {
	if moves <= freeMoves {
		return 0
	}
	return minMovePause << min(moves-freeMoves-1, movePauseDoublings)
}

// noteReturn takes note that a leader has returned a task's order without a start. Loads tell too little to know whether a leader can start a task, and
// may be late. So whatever they say, a task that is returned again and again moves ever less often.
func (crd *Coordinator) noteReturn(tsk *task, rsn shard.ReturnReason) {
	crd.noteNoRoom(tsk, rsn)
	if viw := crd.shards[tsk.shard]; viw != nil && rsn == shard.DomainClosed {
		viw.load.Closed = true // The next load report tells when it is open again.
	}
	tsk.returns++
	tsk.moves++
	pause := movePause(tsk.moves)
	tsk.movableAt = crd.now.Add(pause)
	if pause > 0 && tsk.queued && !tsk.recalled {
		tsk.heldUntil = tsk.movableAt // The leader keeps no orders, which the owner would send it again at once.
	}
}

// releaseHeld lets a held task be ordered again once its pause has passed, and reports whether it did.
func (crd *Coordinator) releaseHeld(tsk *task) bool {
	if tsk.heldUntil.IsZero() || crd.now.Before(tsk.heldUntil) {
		return false
	}
	tsk.heldUntil = time.Time{}
	return true
}
