package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/request/shard"
)

// What the platform's pages bound: when callers submit a job again that lost its connection, how long a kill takes, and how much slower than true
// time a server's clock may be.
const (
	resendTime = 1300 * time.Millisecond
	killTime   = 50 * time.Millisecond
	slowClock  = 1.02
)

// leaseSum is one row of the chain of leases (docs/notes/lease-sums.md): the last extension of the first run's lease is sent lastExtension after a
// moment, and the second run starts secondStart after it at the earliest.
type leaseSum struct{ lastExtension, lease, secondStart time.Duration }

// slack returns how long the first run is over when the second one starts; negative if they overlap.
func (sum leaseSum) slack() time.Duration {
	return sum.secondStart - sum.lastExtension - runsAfterExtension(sum.lease)
}

// runsAfterExtension returns how long runs may last after a call was sent that extends their lease by lease.
func runsAfterExtension(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*slowClock) + killTime
}

var (
	leaderConfig = shard.DefaultConfig()
	// longestLeases are the longest leases that servers grant, by deployment.
	longestLeases = map[string]time.Duration{"most deployments": time.Second, "fleet": 15 * time.Second}
)

const (
	silence = missedHeartbeats * heartbeatInterval
	// lossNoticed is the time after which a leader has surely noticed that an owner isn't heard any more: its checks are half an interval apart.
	lossNoticed = silence + heartbeatInterval/2 + mesh.SocketReadTime
)

// lastAfterSilence is when a leader may send the last extension for an owner that was alive until 0, whatever it reads late and however long it is paused.
func lastAfterSilence() time.Duration { return leaderConfig.OwnerTimeout }

// lastForUnclaimed is when a new leader may send the last extension of a run that no owner has claimed, counted from the former leader's last one.
const lastForUnclaimed = 0

// Guards against a change of one constant that lets a task start while its first run may last.
func TestChainOfLeases(t *testing.T) {
	cfg := leaderConfig
	cases := map[string]leaseSum{
		"the caller's connection ends":                                       {cfg.StopTimeout, cfg.Lease, resendTime},
		"the caller's connection ends, and the owner can't reach the leader": {lastAfterSilence(), cfg.Lease, resendTime},
		"the owner is killed":                                                {cfg.StopTimeout, cfg.Lease, resendTime},
		"the owner is dark":                                                  {lastAfterSilence(), cfg.Lease, resendTime},
		"the owner is the leader and is dark":                                {0, cfg.Lease, resendTime},
		"the owner gives the job up, and can't reach the leader":             {lastAfterSilence(), cfg.Lease, resendTime},
		"the owner doesn't hear the leader, which hears it until then":       {lastAfterSilence(), cfg.Lease, orphanExpiry},
		"the leader has ended the session":                                   {cfg.StopTimeout, cfg.Lease, orphanExpiry},
		"the leader's process has ended":                                     {0, cfg.Lease, orphanExpiry},
		"the leader reports the order as lost":                               {0, cfg.Lease, orphanExpiry},
		"the order is reassigned, and the former leader is told":             {cfg.StopTimeout, cfg.Lease, orphanExpiry},
		"the order is reassigned, and the way to the former leader is cut":   {lastAfterSilence(), cfg.Lease, orphanExpiry},
		"the order is reassigned, and the former leader has just stopped":    {cfg.StopTimeout, cfg.Lease, cfg.OrphanExpiry},
		"the leader doesn't reach the server":                                {0, cfg.Lease, cfg.Expiry()},
		"the leader reports the order as lost, the server has started again": {0, longestLeases["most deployments"], orphanExpiry},
		"the owner is the leader and is dark, the server has started again":  {0, longestLeases["most deployments"], resendTime},
		"the owner is dark, its last batch is read late":                     {lastAfterSilence(), cfg.Lease, resendTime},
		"the owner is dark, the leader is paused":                            {lastAfterSilence(), cfg.Lease, resendTime},
		"the owner is dark, a new leader has listed the run":                 {lastAfterSilence() + lastForUnclaimed, cfg.Lease, resendTime},
		"the caller's connection ends, that to the leader is dead":           {silence + heartbeatInterval*3/2, cfg.Lease, resendTime},
		"another instance misses the leader, and it doesn't answer":          {lastAfterSilence(), cfg.Lease, orphanExpiry},
		"the owner gets no receipt, its last batch is read late":             {lastAfterSilence(), cfg.Lease, orphanExpiry},
		"the owner doesn't hear the leader, which is paused":                 {lastAfterSilence(), cfg.Lease, orphanExpiry},
		"the leader reports the order as lost, a new one has listed the run": {lastForUnclaimed, cfg.Lease, orphanExpiry},
		"the leader doesn't reach the server, a new one has listed the run":  {lastForUnclaimed, cfg.Lease, cfg.Expiry()},
	}
	for deployment, longest := range longestLeases {
		cfg.LongestLease = longest
		cases["the leader doesn't reach a server that has started again, "+deployment] = leaseSum{0, longest, cfg.LongestExpiry()}
	}
	for name, sum := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			t.Log("slack", sum.slack())
			chk.True(sum.slack() >= 0)
		})
	}
	chk := is.New(t)
	chk.True(minResendAfter <= resendTime) // Else the warning at the start comes too late.
	chk.True(cfg.OwnerTimeout <= lossNoticed)
	chk.True(longPauseThreshold+socketReadTime <= resendTime)
}

// Guards against the chains whose sum doesn't hold, as TestChainOfLeases does for the others.
func TestOpenChainsOfLeases(t *testing.T) {
	cfg := leaderConfig
	// A pause of the leader may last as long as the lease that it extended before it.
	pause := time.Duration(float64(cfg.Lease) * slowClock)
	cases := map[string]leaseSum{
		"the owner is the leader and is paused":                                     {pause + socketReadTime + cfg.StopTimeout, cfg.Lease, resendTime},
		"the leader reports the order as lost, the server has started again, fleet": {0, longestLeases["fleet"], orphanExpiry},
		"the owner is the leader and is dark, the server has started again, fleet":  {0, longestLeases["fleet"], resendTime},
	}
	for deployment, longest := range longestLeases {
		cases["the owner is dark, the server has started again, "+deployment] = leaseSum{lastAfterSilence(), longest, resendTime}
		cases["the owner doesn't hear the leader, the server has started again, "+deployment] = leaseSum{lastAfterSilence(), longest, orphanExpiry}
	}
	for name, sum := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			t.Log("slack", sum.slack())
			chk.True(sum.slack() >= 0)
		})
	}
}
