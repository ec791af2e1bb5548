package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAllEntriesOfADomainExpire(t *testing.T) {
	// Guards against a leader that gives its shard up because the records of all its servers expired while its failure domain was cut off
	// from the store: its tasks then start elsewhere before their leases have expired.
	for returnAfter := 50 * time.Millisecond; returnAfter <= 950*time.Millisecond; returnAfter += 100 * time.Millisecond {
		t.Run(fmt.Sprint("back-after-", returnAfter), func(t *testing.T) {
			inTestSystem(t, 2, 2, 4, func(sys *system) { expireServerEntries(t, sys, returnAfter) })
		})
	}
}

// expireServerEntries removes the records of all servers of a failure domain that is cut off, ends the cut, and writes the records again from
// some time after that on.
func expireServerEntries(t *testing.T, sys *system, returnAfter time.Duration) {
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
	// The leader reads now that all servers are gone, and some 0.4 s later that they are back.
	time.Sleep(returnAfter)
	for num := range 4 {
		// One after the other, as the servers send their heartbeats at different times.
		sys.listServer(fmt.Sprintf("server-1-%d", num+1), "domain-1", "ready")
		time.Sleep(150 * time.Millisecond)
	}
	<-first.done
	<-second.done
	chk.Equal(first.status, http.StatusOK)
	chk.Equal(second.status, http.StatusOK)
	// If the leader gives the shard up, no instance renews the leases. When it takes the shard over again with a list of a few servers, it reports the
	// tasks on the others as not run, and they start elsewhere up to 40 ms before the leases of their first runs have expired.
	for num := range 4 {
		chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(1), num)), 1)
		chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(2), num)), 1)
	}
	chk.True(!strings.Contains(sys.logText(), "leaving the shard"))
}
