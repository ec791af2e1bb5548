package succession

import "time"

// Reachability tells whether the backend servers of a shard in another failure domain answer probes, which is required before a takeover.
//
// An instance that hears no instance of that domain can't tell whether they have crashed or are partitioned. Partitioned ones still lead
// their servers, and a takeover with a higher token at the end of the partition would stop the tasks that run there. So the
// servers have to answer for some time first. Its methods are not safe for concurrent use.
type Reachability struct {
	probing bool
	// nextProbeAt is the earliest time of the next probe.
	nextProbeAt time.Time
	// answeringSince and lastAnsweredSentAt are when the first and the newest probe of the present unbroken series of answered ones were sent.
	answeringSince, lastAnsweredSentAt time.Time
	// failures counts the probes without an answer since the last answer.
	failures int
}

const (
	// ProbeTimeout bounds one probe; it is 30 times the round-trip time to another failure domain.
	ProbeTimeout = 150 * time.Millisecond
	// minAnswering is how long the servers must have answered. When a partition ends, heartbeats of that domain's instances arrive again
	// within this time: a hanging call, the pause after it, and another call.
	minAnswering = 300 * time.Millisecond
	// maxAnswerAge is how long ago the newest answered probe may have been sent: two probes and their pause. Answers from before a
	// longer gap count for nothing.
	maxAnswerAge = 2*ProbeTimeout + minAnswering/2
	// initialProbePause is the pause after the first probe without an answer; it doubles up to maxProbePause.
	initialProbePause = 200 * time.Millisecond
	maxProbePause     = 1600 * time.Millisecond
	maxProbeDoublings = 4
)

// Confirmed reports whether the servers have answered for at least minAnswering, and the newest answered probe was sent at most maxAnswerAge
// ago.
func (rch *Reachability) Confirmed(now time.Time) bool {
	return !rch.answeringSince.IsZero() && now.Sub(rch.answeringSince) >= minAnswering && now.Sub(rch.lastAnsweredSentAt) <= maxAnswerAge
}

// StartProbe reports whether to probe a server now; the probe is then in progress until HandleProbeAnswer or HandleProbeFailure.
func (rch *Reachability) StartProbe(now time.Time) bool {
	if rch.probing || now.Before(rch.nextProbeAt) {
		return false
	}
	rch.probing = true
	return true
}

// HandleProbeAnswer ends a probe that was sent at time sent and answered by now, and reports whether its answer is the first of a series.
func (rch *Reachability) HandleProbeAnswer(now, sent time.Time) (first bool) {
	rch.probing = false
	first = rch.answeringSince.IsZero() || sent.Sub(rch.lastAnsweredSentAt) > maxAnswerAge
	if first {
		rch.answeringSince = sent
	}
	rch.lastAnsweredSentAt, rch.nextProbeAt, rch.failures = sent, now.Add(minAnswering/2), 0
	return first
}

// HandleProbeFailure ends a probe without an answer: the series of answers starts anew, and the next probe waits for a backoff.
func (rch *Reachability) HandleProbeFailure(now time.Time) {
	rch.probing = false
	rch.answeringSince = time.Time{}
	rch.nextProbeAt = now.Add(min(initialProbePause<<min(rch.failures, maxProbeDoublings), maxProbePause))
	rch.failures++
}
