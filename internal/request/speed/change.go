package speed

import "math"

const (
	// slowdown is ln 4, the least change of a server's speed that counts as a fault.
	slowdown = 1.386
	// slowdownOfUnknown is ln 2.7, the deviation from which an unknown server's runs teach no level: that of the slowest sound servers beside
	// the fastest. With estimates that are off by a factor of 1.5, a sixth of the speed often looks like a quarter.
	slowdownOfUnknown = 1
	// enough is ln 1000, the odds at which a server counts as faulty.
	enough = 6.9
	// enoughOnTrial is ln 20, the odds for a server that was faulty a moment ago.
	enoughOnTrial = 3
	// spreadVariance is the least variance of the deviation of a sound server's run.
	spreadVariance = 0.4 * 0.4
	// maxAgainst bounds the evidence of one run for a sound server.
	maxAgainst = 4
	// doubtfulTails is added to the learned share of tails, which is uncertain.
	doubtfulTails = 0.01
	// initialTails is assumed as the share of tails at first, minTails and maxTails bound what is learned.
	initialTails, minTails, maxTails = 0.005, 0.002, 0.05
	// tailWeight makes the share follow about 250 runs.
	tailWeight = 1.0 / 256
)

// Tails is the share of runs that take several times as long as others on sound servers. The zero value assumes few.
type Tails struct {
	share float64
	known bool
}

// Share returns the share of long runs.
func (tls *Tails) Share() float64 {
	if !tls.known {
		return initialTails
	}
	return tls.share
}

// note records whether a run of a sound server was a long one.
func (tls *Tails) note(long bool) {
	val := 0.0
	if long {
		val = 1
	}
	shr := tls.Share()
	tls.share, tls.known = min(max(shr+tailWeight*(val-shr), minTails), maxTails), true
}

// most returns the most evidence that one run can give: a run may be long on a sound server, too.
func (tls *Tails) most() float64 { return -math.Log(tls.Share() + doubtfulTails) }

// Change detects that a server has become several times slower than it was: a cumulative sum of log likelihood ratios, in which one long run counts no
// more than its odds on a sound server. The zero value has no evidence.
type Change struct {
	evidence float64
	// suspicious counts the slow runs since the last run at the usual speed.
	suspicious int
}

// Add adds a run: deviation is ln(run time / run time expected on this server), variance that of the expectation's error.
func (chg *Change) Add(deviation, variance float64, tls *Tails) {
	val := slowdown * (deviation - slowdown/2) / max(variance, spreadVariance)
	chg.evidence = max(0, chg.evidence+min(max(val, -maxAgainst), tls.most()))
	if deviation >= slowdown {
		chg.suspicious++
		return
	}
	// The long runs before a usual one were no fault.
	for range chg.suspicious {
		tls.note(true)
	}
	tls.note(false)
	chg.suspicious = 0
}

// Slow reports whether the server has become slow; onTrial is set for a server that was slow a moment ago.
func (chg *Change) Slow(onTrial bool) bool {
	if onTrial {
		return chg.evidence >= enoughOnTrial
	}
	return chg.evidence >= enough
}

// Suspect reports whether the last run was slow.
func (chg *Change) Suspect() bool { return chg.suspicious > 0 }

// Reset drops all evidence.
func (chg *Change) Reset() { *chg = Change{} }

// IsLong reports whether a deviation from a server's own level is that of a long run or a fault, from which no level is learned.
func (lvl *Level) IsLong(deviation float64) bool {
	if !lvl.Known() {
		return deviation >= slowdownOfUnknown
	}
	return deviation >= slowdown
}
