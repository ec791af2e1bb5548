package speed

import "slices"

// Peer is another server whose level is known, with what it has in common with others: its labels and its size.
type Peer struct {
	Traits []string
	Level  float64
}

const (
	// minPeers is how many peers must share a trait for it to say something about a server.
	minPeers = 2
	// traitGain is the share of the peers' variance that may remain within a trait which explains speeds.
	traitGain = 0.5
	// minPriorVariance is the variance that servers of one kind have at least.
	minPriorVariance = 0.1 * 0.1
)

// PriorOf returns the prior of a server with some traits, given its peers. If the peers that share a trait differ much less than all peers do, the
// server is expected to be like them; otherwise it is expected to be like all peers.
func PriorOf(traits []string, peers []Peer) Prior {
	if len(peers) < minPeers {
		return Unknown()
	}
	mean, all := moments(peers, nil)
	best := Prior{Mean: mean, Variance: max(all, minPriorVariance)}
	least := traitGain * all
	for _, trt := range traits {
		has := func(per *Peer) bool { return slices.Contains(per.Traits, trt) }
		if num := count(peers, has); num < minPeers || num == len(peers) {
			continue
		}
		if avg, within := moments(peers, has); within < least {
			least = within
			best = Prior{Mean: avg, Variance: max(within, minPriorVariance)}
		}
	}
	return best
}

// moments returns the mean and variance of the levels of the peers for which chosen returns true, or of all if it is nil.
func moments(peers []Peer, chosen func(per *Peer) bool) (mean, variance float64) {
	num, sum, squares := 0.0, 0.0, 0.0
	for idx := range peers {
		if per := &peers[idx]; chosen == nil || chosen(per) {
			num++
			sum += per.Level
			squares += per.Level * per.Level
		}
	}
	mean = sum / num
	return mean, max(0, squares/num-mean*mean)
}

func count(peers []Peer, chosen func(per *Peer) bool) int {
	num := 0
	for idx := range peers {
		if chosen(&peers[idx]) {
			num++
		}
	}
	return num
}
