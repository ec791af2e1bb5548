package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCutOffDomainKeepsItsLeader guards against an instance of another failure domain that takes over the shard of a domain that is cut off,
// because its servers have answered at an earlier time, when the shard had no leader.
func TestCutOffDomainKeepsItsLeader(t *testing.T) {
	for returnAfter := 500 * time.Millisecond; returnAfter <= 2500*time.Millisecond; returnAfter += 50 * time.Millisecond {
		t.Run(fmt.Sprint("its instance is back after ", returnAfter), func(t *testing.T) {
			inTestSystem(t, 3, 1, 3, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.powerOff("entry-2-1")
				time.Sleep(returnAfter)
				sys.startInstance("entry-2-1", "domain-2")
				time.Sleep(5 * time.Second)
				chk.Equal(sys.leader("domain-2"), "entry-2-1")
				before := foreignTakeovers(sys, "domain-2")
				sys.cut("domain-2")
				time.Sleep(5 * time.Second)
				chk.Equal(foreignTakeovers(sys, "domain-2"), before)
			})
		})
	}
}

// foreignTakeovers returns how often instances of other failure domains have taken over a shard of this one, by their logs.
func foreignTakeovers(sys *system, domain string) int {
	num := 0
	for line := range strings.Lines(sys.logText()) {
		if strings.Contains(line, "taking the shard over") && strings.Contains(line, `"shard":"`+domain+`.`) &&
			!strings.Contains(line, `"instance":"entry-`+strings.TrimPrefix(domain, "domain-")) {
			num++
		}
	}
	return num
}

// TestForeignLeaderThatNoServerConfirms guards against tasks that are stopped at the end of a cut: an instance of another
// failure domain has taken the shard over, and its newer fencing token wins though no server has received it.
func TestForeignLeaderThatNoServerConfirms(t *testing.T) {
	for end := 200 * time.Millisecond; end <= 1200*time.Millisecond; end += 100 * time.Millisecond {
		t.Run(fmt.Sprint("the cut ends after ", end), func(t *testing.T) {
			inTestSystem(t, 3, 1, 3, func(sys *system) { runForeignLeader(t, sys, end) })
		})
	}
}

// runForeignLeader cuts a failure domain off, has an instance of another one take its shard over, and ends the cut some time after four
// tasks were submitted.
func runForeignLeader(t *testing.T, sys *system, end time.Duration) {
	t.Helper()
	chk := is.NewRelaxed(t)
	sys.cut("domain-2")
	time.Sleep(time.Second)
	dmn := sys.instances["entry-1-1"].dmn
	now := dmn.beginEvent()
	dmn.takeOver(now, "domain-2.0")
	dmn.endEvent(now)
	time.Sleep(3 * time.Second)
	snt := sys.sendAsync(sys.ctx, "entry-2-1", jobSpec{id: jobID(1), tasks: 4, payload: payload{Millis: 2000}})
	time.Sleep(end)
	chk.Equal(sys.ldg.Running(), 4)
	sys.heal()
	<-snt.done
	chk.Equal(snt.status, http.StatusOK)
	for num := range 4 {
		chk.Equal(sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobID(1), num)), 1)
	}
}
