package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against owners that don't know by which division a leader acts: without that no leader of one shard of several could prove that a
// task runs nowhere, and reassigned orders would always wait for the leases to end.
func TestOwnersKnowTheDivisionOfEachLeader(t *testing.T) {
	inTestSystem(t, 2, 2, 9, func(sys *system) {
		chk := is.NewRelaxed(t)
		check := func(want int) {
			for _, prc := range sys.runningProcesses() {
				prc.dmn.mu.Lock()
				chk.Equal(len(prc.dmn.serversByShard), 2*want)
				for shd := range prc.dmn.serversByShard {
					led, _ := prc.dmn.elector.Leader(shd)
					chk.Equal(prc.dmn.shardsOfDomain(led, shd.Domain), want)
					chk.Equal(prc.dmn.shardListing(prc.dmn.now(), shd).Shards, want)
				}
				chk.Equal(prc.dmn.shardsOfDomain("unknown/1", "domain-1"), 0)
				prc.dmn.mu.Unlock()
			}
		}
		sys.sendHeartbeats(2 * time.Second)
		check(1)
		for dom := 1; dom <= 2; dom++ {
			for num := 10; num <= 27; num++ {
				sys.startServer(fmt.Sprintf("server-%d-%d", dom, num), fmt.Sprintf("domain-%d", dom))
			}
		}
		sys.sendHeartbeats(4 * time.Second)
		check(3)
	})
}

// Guards against orders that reach a new leader without the division by which the former one has led, though it has not changed for long.
func TestReassignedOrdersTellTheDivision(t *testing.T) {
	inTestSystem(t, 1, 3, 18, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendHeartbeats(maxUnlisted + time.Second)
		snts := sys.sendLoad(1, 5*time.Millisecond, 500*time.Millisecond)
		sys.kill(sys.leader("domain-1"))
		snts = append(snts, sys.sendLoad(len(snts)+1, 50*time.Millisecond, time.Second)...)
		countStatuses(snts)
		followed, notRun := 0, 0
		for line := range strings.Lines(sys.logText()) {
			if strings.Contains(line, `"message":"order"`) && strings.Contains(line, `"followed":true`) {
				chk.True(strings.Contains(line, `"former-shards":2`))
				followed++
			}
			if strings.Contains(line, `"not-run"`) {
				notRun++
			}
		}
		t.Logf("%d orders have followed to a new leader, %d orders were returned as not run", followed, notRun)
		chk.True(followed > 0)
	})
}
