package main

import "time"

// judge looks for tasks that start later than cancelBound after the cancelling of their job was acknowledged.
func (sys *system) judge() int {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	broken := 0
	for _, srt := range sys.starts {
		jb := sys.jobs[srt.job]
		if jb == nil || jb.cancelledAt.IsZero() {
			continue
		}
		if late := srt.at.Sub(jb.cancelledAt); late > cancelBound {
			broken++
			sys.rec.note("UNASKED: task %s starts on %s %.3f s after %s has acknowledged the cancelling of its job", srt.task, srt.server, late.Seconds(), jb.by)
		}
	}
	acknowledged := 0
	for _, jb := range sys.jobs {
		if !jb.cancelledAt.IsZero() {
			acknowledged++
		}
	}
	sys.rec.note("%d cancellings were acknowledged, %d starts came too late", acknowledged, broken)
	switch {
	case acknowledged == 0:
		sys.rec.note("%v: no cancelling was acknowledged", errNotShown)
		return statusFailed
	case broken > 0:
		return statusBroken
	}
	return statusHeld
}

// settle is how long a case waits for late starts.
const settle = cancelBound + 3*time.Second
