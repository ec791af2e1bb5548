package succession

import "time"

// Reachability is what is known of the way to the backend servers of a shard in another failure domain.
//
// An instance that hears none of that domain can't tell whether they are gone or cut off. If they are cut off they lead their servers
// well, and a take-over with a higher token at the end of the cut would break off what runs there. So their servers have to
// answer for a while first. Its methods are not safe for concurrent use.
type Reachability struct {
	asking bool
	// askAt is when to ask next.
	askAt time.Time
	// since is when the first of the answers without a gap was asked for, heardAt when the newest one was.
	since, heardAt time.Time
	failures       int
}

const (
	// ProbeTimeout bounds one asking, 30 times the way to another failure domain and back.
	ProbeTimeout = 150 * time.Millisecond
	// reachFor is how long the servers must have answered: when a cut ends, the instances of that domain
	// are heard again within a call that hangs, the pause after it, and another call.
	reachFor = 300 * time.Millisecond
	// reachGap is how old the newest answer may be: two askings and their pause. Answers from before a gap say nothing of now.
	reachGap = 2*ProbeTimeout + reachFor/2
	// reachPause is the first pause after an asking without an answer; it doubles up to maxReachPause.
	reachPause        = 200 * time.Millisecond
	maxReachPause     = 1600 * time.Millisecond
	maxReachDoublings = 4
)

// Confirmed reports whether the servers have answered for long enough, until a moment ago.
func (rch *Reachability) Confirmed(now time.Time) bool {
	return !rch.since.IsZero() && now.Sub(rch.since) >= reachFor && now.Sub(rch.heardAt) <= reachGap
}

// StartProbe reports whether a server is to be asked now; the asking is then in progress until Answered or Unanswered.
func (rch *Reachability) StartProbe(now time.Time) bool {
	if rch.asking || now.Before(rch.askAt) {
		return false
	}
	rch.asking = true
	return true
}

// HandleProbeAnswer notes that the server that was asked at a time has answered, and reports whether it is the first one to do so.
func (rch *Reachability) HandleProbeAnswer(now, asked time.Time) (first bool) {
	rch.asking = false
	first = rch.since.IsZero() || asked.Sub(rch.heardAt) > reachGap
	if first {
		rch.since = asked
	}
	rch.heardAt, rch.askAt, rch.failures = asked, now.Add(reachFor/2), 0
	return first
}

// HandleProbeFailure notes that the server that was asked has not answered.
func (rch *Reachability) HandleProbeFailure(now time.Time) {
	rch.asking = false
	rch.since = time.Time{}
	rch.askAt = now.Add(min(reachPause<<min(rch.failures, maxReachDoublings), maxReachPause))
	rch.failures++
}
