package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLooksDoNotMultiply(t *testing.T) {
	// Each accepted stop has its server looked at at once, though a look is in progress. Both answers come, and one
	// look follows, not two: on a day of stops the looks grew to thousands a second.
	chk := is.New(t)
	dsk := newDesk(t, listed("s", 32000))
	dsk.place(0, "kept.0")
	kept := RenewResult{Running: []Progress{{Run: dsk.started("kept.0", Accepted)}}}
	for num := range 5 {
		tsk := fmt.Sprintf("j%d.0", num)
		dsk.place(0, tsk)
		run := dsk.started(tsk, Accepted)
		was := dsk.newest("s")
		dsk.did(dsk.ldr.Cancel(dsk.now, owner, tsk))
		dsk.did(dsk.ldr.HandleStopResult(dsk.now, "s", run, Accepted))
		dsk.acts = nil
		dsk.did(dsk.ldr.HandleRenewResult(dsk.now, dsk.now, was, kept, Accepted))
		dsk.now = dsk.now.Add(time.Millisecond) // The next look is sent after the stop.
		dsk.look("s", kept)
		chk.Equal(dsk.looks(), 1)
	}
}

// An idle server whose leader asks for what happens there over and over costs both as much as one that works.
func TestIdleServerIsSeldomLookedAt(t *testing.T) {
	chk := is.New(t)
	dsk := newDesk(t, listed("s", 32000))
	dsk.look("s", RenewResult{Clock: time.Minute})
	dsk.acts = nil
	for range 40 {
		dsk.pass(50 * time.Millisecond)
		if srv := dsk.ldr.servers["s"]; srv.looking {
			dsk.look("s", RenewResult{Clock: time.Minute})
		}
	}
	chk.True(dsk.looks() >= 1 && dsk.looks() <= 2)
	// Its next start is followed by a look at once, that waits for the end.
	dsk.acts = nil
	dsk.place(0, "j1.0")
	dsk.started("j1.0", Accepted)
	chk.Equal(dsk.looks(), 1)
	last, _ := dsk.acts[len(dsk.acts)-1].(Renew)
	chk.True(last.WaitForEnd > 0 && last.LeaseUntil > 0)
}

// A server that is listed in its first millisecond tells a clock of zero, which was taken for none: it got a lease without an end, and
// later one that had ended before its first start.
func TestServerInItsFirstMillisecond(t *testing.T) {
	chk := is.New(t)
	dsk := newDesk(t)
	dsk.did(dsk.ldr.SetServers(dsk.now, Listing{Listed: []ServerEntry{listed("s", 32000)}}))
	dsk.pass(10 * time.Millisecond)
	dsk.look("s", RenewResult{})
	const later = 800 * time.Millisecond
	dsk.pass(later)
	dsk.acts = nil
	dsk.place(0, "j1.0")
	str, _ := dsk.acts[0].(StartRun)
	chk.True(str.LeaseUntil > later && str.LeaseUntil <= later+DefaultConfig().Lease)
}

// A server whose clock is slow keeps a lease for too long if its leader has not read the clock for a while.
func TestLeaseAfterAPauseCountsOnASlowClock(t *testing.T) {
	chk := is.New(t)
	now := time.Unix(1000, 0)
	srv := newServer(listed("s", 32000), now)
	srv.setClock(now, time.Minute)
	later := 2 * time.Second
	slow := time.Minute + time.Duration(float64(later)/clockSkew)
	chk.True(srv.until(now.Add(later), time.Second) <= slow+time.Second)
}
