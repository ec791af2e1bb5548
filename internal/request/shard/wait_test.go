package shard

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against expected waits that become negative, on some processors, as the numbers that they are computed from are far too large: overload then
// looks like free room, and all jobs are admitted.
func TestWaitsStayInRange(t *testing.T) {
	busy := Load{ServiceRate: 1, LinkWindow: 1, LinkBusy: math.MaxInt64 / 2}
	var waiting [Ranks]int64
	for rnk := range waiting {
		waiting[rnk] = math.MaxInt64 / 2
	}
	drn := drainRates{}
	cases := map[string]time.Duration{
		"much work ahead":          busy.CapacityWait(0, math.MaxInt64),
		"no service rate":          (&Load{}).CapacityWait(0, 2600*MaxProcessor),
		"a full link":              busy.LinkWait(math.MaxInt64 / 4),
		"waiting orders of a rank": drn.waits(1e-9, waiting)[0],
		"infinite":                 waitOf(math.Inf(1)),
		"not a number":             waitOf(math.NaN()),
		"the longest":              waitOf(float64(math.MaxInt64)),
	}
	for name, got := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(got, maxWait) })
	}
	is.New(t).Equal(waitOf(1.5e9), 1500*time.Millisecond)
}
