package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAllEntriesOfADomainLapse(t *testing.T) {
	// A failure domain is cut off and serves its callers with its own servers, whose entries lapse in the store meanwhile.
	// The cut ends: its leader reads that all of its servers are gone, some 0.4 s before it reads that they are back. It
	// gave its shard up over that ("gone from the list" for each server, then "leaving the shard", fenced false), nobody
	// renewed the leases, and it took the shard over again from a list of a few servers. What it did not find there went
	// back to its owner as not run, and started elsewhere up to 40 ms before its first run's lease had lapsed.
	for back := 50 * time.Millisecond; back <= 950*time.Millisecond; back += 100 * time.Millisecond {
		t.Run(fmt.Sprint("back-after-", back), func(t *testing.T) {
			inTestSystem(t, 2, 2, 4, func(sys *testSystem) { expireServerEntries(t, sys, back) })
		})
	}
}

func expireServerEntries(t *testing.T, sys *testSystem, back time.Duration) {
	t.Helper()
	chk := is.NewRelaxed(t)
	sys.cut("domain-1")
	time.Sleep(3 * time.Second)
	for num := range 4 {
		sys.sto.Unlist(sys.servers[fmt.Sprintf("server-1-%d", num+1)])
	}
	first := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 1800}})
	second := sys.sendAsync(sys.ctx, "entry-1-2", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 1800}})
	time.Sleep(100 * time.Millisecond)
	sys.heal()
	time.Sleep(back)
	for num := range 4 {
		// One after the other, as their heartbeats come.
		sys.listServer(fmt.Sprintf("server-1-%d", num+1), "domain-1", "ready")
		time.Sleep(150 * time.Millisecond)
	}
	<-first.done
	<-second.done
	chk.Equal(first.status, http.StatusOK)
	chk.Equal(second.status, http.StatusOK)
	for num := range 4 {
		chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(1), num)), 1)
		chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(2), num)), 1)
	}
	chk.True(!strings.Contains(sys.logText(), "leaving the shard"))
}
