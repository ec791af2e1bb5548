package dispatch

import "time"

// recentAttempts is a queue of the attempts that are younger than Config.AnswerTimeout, in the order of their
// starts. Most tasks end before that age and so never enter the heap of timers.
type recentAttempts struct {
	list []recentAttempt
	head int
}

// recentAttempt is an entry of recentAttempts.
type recentAttempt struct {
	att *attempt
	// number is the attempt's number when it was started; the entry is outdated if it has changed.
	number uint32
	due    time.Time
}

// push adds an attempt that has been started; due is not earlier than that of the entries before.
func (rec *recentAttempts) push(att *attempt, due time.Time) {
	if rec.head > len(rec.list)/2 && rec.head > 64 {
		num := copy(rec.list, rec.list[rec.head:])
		clear(rec.list[num:])
		rec.list = rec.list[:num]
		rec.head = 0
	}
	rec.list = append(rec.list, recentAttempt{att: att, number: att.number, due: due})
}

// first returns when the oldest attempt in flight is due; entries of ended attempts are removed.
func (rec *recentAttempts) first() (time.Time, bool) {
	for rec.head < len(rec.list) {
		ent := &rec.list[rec.head]
		if ent.live() {
			return ent.due, true
		}
		*ent = recentAttempt{}
		rec.head++
	}
	return time.Time{}, false
}

// pop removes and returns the attempt that first returned.
func (rec *recentAttempts) pop() *attempt {
	ent := rec.list[rec.head]
	rec.list[rec.head] = recentAttempt{}
	rec.head++
	return ent.att
}

// live reports whether the attempt of the entry is still in flight.
func (ent *recentAttempt) live() bool {
	return ent.att.srv != nil && ent.att.number == ent.number
}
