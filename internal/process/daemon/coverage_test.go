package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that an instance never hears of, as its entry came and went between two reads: its tasks would be taken for not run.
func TestServerListedAndGoneBetweenReads(t *testing.T) {
	inTestSystem(t, 2, 2, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendHeartbeats(time.Second)
		sys.startServer("server-1-9", "domain-1")
		sys.sto.Unlist(sys.servers["server-1-9"])
		sys.sendHeartbeatsExcept("server-1-9", 2*time.Second)
		for _, prc := range sys.runningProcesses() {
			prc.dmn.mu.Lock()
			_, kept := prc.dmn.missing["server-1-9"]
			prc.dmn.mu.Unlock()
			chk.True(kept)
		}
	})
}
