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
			inWorld(t, 2, 2, 4, func(wld *world) { entriesLapse(t, wld, back) })
		})
	}
}

func entriesLapse(t *testing.T, wld *world, back time.Duration) {
	t.Helper()
	chk := is.NewRelaxed(t)
	wld.cut("domain-1")
	time.Sleep(3 * time.Second)
	for num := range 4 {
		wld.sto.Unlist(wld.servers[fmt.Sprintf("server-1-%d", num+1)])
	}
	first := wld.sendAsync(wld.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 1800}})
	second := wld.sendAsync(wld.ctx, "entry-1-2", jobSpec{id: jobID(2), tasks: 4, payload: payload{Millis: 1800}})
	time.Sleep(100 * time.Millisecond)
	wld.heal()
	time.Sleep(back)
	for num := range 4 {
		// One after the other, as their heartbeats come.
		wld.list(fmt.Sprintf("server-1-%d", num+1), "domain-1", "ready")
		time.Sleep(150 * time.Millisecond)
	}
	<-first.done
	<-second.done
	chk.Equal(first.status, http.StatusOK)
	chk.Equal(second.status, http.StatusOK)
	for num := range 4 {
		chk.Equal(wld.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(1), num)), 1)
		chk.Equal(wld.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(2), num)), 1)
	}
	chk.True(!strings.Contains(wld.logged(), "leaving the shard"))
}
