package grant

import (
	"math"
	"time"
)

// Contention estimates how many owners compete for the room that a load advertises. It is learned from the orders that an owner sends for such
// room: one that comes back raises it, one that starts lowers it. Where nearly all start it is 1. The
// zero value has no evidence, and is 1, too.
type Contention struct {
	level float64
	// at is when level was last updated.
	at time.Time
}

const (
	// returnFactor makes eight returns in a row raise the level to 25.
	returnFactor = 1.5
	// targetReturns is the share of returned orders at which the level stays as it is. It is half of the share that is tolerated, as
	// recalled orders come back, too.
	targetReturns = 0.05
	// halfLife is the time in which a level without evidence falls to half, so that room is tried again after a shortage. With 0.3 s an eighth
	// of the orders of a burst came back, twice the share with 2 s.
	halfLife = 2 * time.Second
)

// startFactor lowers the level in 19 starts by as much as one return raises it.
var startFactor = math.Pow(returnFactor, -targetReturns/(1-targetReturns))

// Level returns the contention at a time, at least 1 and at most the number of owners.
func (con *Contention) Level(now time.Time, owners int) float64 {
	past := max(0, now.Sub(con.at))
	lvl := con.level * math.Exp2(-float64(past)/float64(halfLife))
	return max(1, min(lvl, float64(owners)))
}

// HandleReturn records that an order for advertised room came back because the room was taken.
func (con *Contention) HandleReturn(now time.Time, owners int) {
	con.level, con.at = con.Level(now, owners)*returnFactor, now
}

// HandleStart records that an order for advertised room has started.
func (con *Contention) HandleStart(now time.Time, owners int) {
	con.level, con.at = con.Level(now, owners)*startFactor, now
}
