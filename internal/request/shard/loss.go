package shard

import "math"

// noteAnswer follows the share of answers that are lost on the way from servers that answered the last time: one that is gone
// counts once.
func (ldr *Leader) noteAnswer(srv *server, vdt CallResult) {
	if srv.doubts > 0 {
		return
	}
	lost := 0.0
	if vdt == Unknown {
		lost = 1
	}
	ldr.loss += lossWeight * (lost - ldr.loss)
}

// lossy reports whether so many answers are lost that one that is missing says little of its server.
func (ldr *Leader) lossy() bool { return ldr.loss > lossyShare }

// tolerance is how many looks in a row a server may leave without an answer and still get new work. Where few are lost, one is
// a server that has gone dark; where three in ten are, most servers would be closed at any time.
func (ldr *Leader) tolerance() int {
	if !ldr.lossy() {
		return 0
	}
	return ldr.doubtsToSilence() / 2
}

// doubtsToSilence is how many looks in a row get no answer from a server that is gone, or one time in ten thousand from a
// sound one by the share of answers that are lost.
func (ldr *Leader) doubtsToSilence() int {
	if !ldr.lossy() {
		return leastDoubts
	}
	num := int(math.Ceil(math.Log(falseSilence) / math.Log(min(ldr.loss, mostLoss))))
	return max(num, leastDoubts)
}

const (
	// lossWeight makes the share follow some sixty answers, a third of a second of a small shard.
	lossWeight = 1.0 / 64
	// lossyShare lies between a sound day's losses, under one in a thousand, and the least of a day with trouble, one in
	// twenty: a server that goes dark raises the share by a sixty-fourth.
	lossyShare = 0.03
	// leastDoubts at one loss in twenty is one time in eight thousand.
	leastDoubts  = 3
	falseSilence = 1e-4
	// mostLoss keeps a server that is gone from being asked more than a dozen times.
	mostLoss = 0.45
)
