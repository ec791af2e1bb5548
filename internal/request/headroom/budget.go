package headroom

import "time"

// budgetShare is the share of the room that may be preempted in a second.
const budgetShare = 0.25

// Budget bounds preemptions by a share of the room a second. The zero value has a full budget.
type Budget struct {
	at   time.Time
	used float64
}

// Left returns how much may be preempted now of some room, both in thousandths of a core. While it is positive one run may be stopped, however large:
// the budget is in debt then.
func (bdg *Budget) Left(now time.Time, room int64) int64 {
	all := budgetShare * float64(room)
	if past := now.Sub(bdg.at); past > 0 {
		bdg.used = max(0, bdg.used-all*past.Seconds())
		bdg.at = now
	}
	return int64(all - bdg.used)
}

// Spend counts a preemption, in thousandths of a core.
func (bdg *Budget) Spend(processor int64) { bdg.used += float64(processor) }
