package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRenewalsDoNotMultiply(t *testing.T) {
	// Each accepted stop sends a renewal at once, though another is in progress. Both are answered, and one renewal must follow, not two:
	// otherwise many stops raise the renewals to thousands a second.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 32000))
	har.place(0, "kept.0")
	kept := RenewResult{Running: []Progress{{Run: har.answerStart("kept.0", Accepted)}}}
	for num := range 5 {
		tsk := fmt.Sprintf("j%d.0", num)
		har.place(0, tsk)
		run := har.answerStart(tsk, Accepted)
		was := har.newestRenewal("s")
		har.record(har.ldr.Cancel(har.now, owner, tsk, false))
		har.record(har.ldr.HandleStopResult(har.now, har.stopOf("s", run), Accepted))
		har.acts = nil
		har.record(har.ldr.HandleRenewResult(har.now, har.now, was, kept, Accepted))
		har.now = har.now.Add(time.Millisecond) // The next renewal is sent after the stop.
		har.answerRenewal("s", kept)
		chk.Equal(har.renewals(), 1)
	}
}

// Guards against an idle server that is called in a tight loop, which costs it and its leader as much as a busy server.
func TestIdleServerIsSeldomRenewed(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t, serverEntry("s", 32000))
	har.answerRenewal("s", RenewResult{Clock: time.Minute})
	har.acts = nil
	for range 40 {
		har.advance(50 * time.Millisecond)
		if srv := har.ldr.servers["s"]; srv.renewing {
			har.answerRenewal("s", RenewResult{Clock: time.Minute})
		}
	}
	chk.True(har.renewals() >= 1 && har.renewals() <= 2)
	// A start is followed at once by a renewal that waits for the end of a run.
	har.acts = nil
	har.place(0, "j1.0")
	har.answerStart("j1.0", Accepted)
	chk.Equal(har.renewals(), 1)
	last, _ := har.acts[len(har.acts)-1].(Renew)
	chk.True(last.WaitForEnd > 0 && last.LeaseUntil > 0)
}

// A server that is listed in its first millisecond has a clock of zero. If that is taken for no clock, the server gets a lease without an
// end, and later a lease that ended before its first start.
func TestServerWithZeroClock(t *testing.T) {
	chk := is.New(t)
	har := newHarness(t)
	har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000)}, Shards: 1}))
	har.advance(10 * time.Millisecond)
	har.answerRenewal("s", RenewResult{})
	const later = 800 * time.Millisecond
	har.advance(later)
	har.acts = nil
	har.place(0, "j1.0")
	str, _ := har.acts[0].(StartRun)
	chk.True(str.LeaseUntil > later && str.LeaseUntil <= later+DefaultConfig().Lease)
}

// A server with a slow clock would keep a lease for too long if its leader has not read that clock for a while.
func TestLeaseEndAllowsForASlowClock(t *testing.T) {
	chk := is.New(t)
	now := time.Unix(1000, 0)
	srv := newServer(serverEntry("s", 32000), now)
	srv.setClock(now, time.Minute)
	later := 2 * time.Second
	slow := time.Minute + time.Duration(float64(later)/clockSkew)
	chk.True(srv.leaseUntil(now.Add(later), time.Second) <= slow+time.Second)
}
