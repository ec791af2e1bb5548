package shard

import "math"

// noteAnswer updates the loss rate with the result of a call to a server that answered the last renewal; a server that is gone thus
// counts once.
func (ldr *Leader) noteAnswer(srv *server, res CallResult) {
	if srv.missed > 0 {
		return
	}
	lost := 0.0
	if res == Unknown {
		lost = 1
	}
	ldr.lossRate += lossWeight * (lost - ldr.lossRate)
}

// lossy reports whether the loss rate is so high that one missing answer says little about its server.
func (ldr *Leader) lossy() bool { return ldr.lossRate > lossyRate }

// missedTolerated returns how many renewals in a row a server may miss and still get new tasks. At a low loss rate one miss means that the
// server is gone; at 30% most servers would get no new tasks at any time.
func (ldr *Leader) missedTolerated() int {
	if !ldr.lossy() {
		return 0
	}
	return ldr.missedUntilUnreachable() / 2
}

// missedUntilUnreachable returns how many renewals in a row a server must miss to be taken for unreachable. At the current loss rate a
// sound server misses that many once in ten thousand times.
func (ldr *Leader) missedUntilUnreachable() int {
	if !ldr.lossy() {
		return minMissed
	}
	num := int(math.Ceil(math.Log(falseUnreachable) / math.Log(min(ldr.lossRate, maxLossRate))))
	return max(num, minMissed)
}

const (
	// lossWeight makes the loss rate follow about 60 answers, a third of a second of a small shard.
	lossWeight = 1.0 / 64
	// lossyRate lies between the losses of a normal day, under one in a thousand, and the least of a day with trouble, one in twenty; a
	// server that becomes unreachable raises the rate by a 64th.
	lossyRate = 0.03
	// minMissed renewals in a row are lost once in 8000 times at a loss rate of one in twenty.
	minMissed        = 3
	falseUnreachable = 1e-4
	// maxLossRate bounds the calls to a server that is gone to about a dozen.
	maxLossRate = 0.45
)
