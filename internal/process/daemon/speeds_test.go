package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform/standin"
)

func TestUnevenServers(t *testing.T) {
	// Guards against servers that are put off because they are constantly slower than others, and against a new leader that has to learn the speeds again.
	// Every second server takes twice as long as the others.
	inTestSystem(t, 1, 2, 12, func(sys *system) {
		chk := is.NewRelaxed(t)
		for id, srv := range sys.servers {
			if num := id[len(id)-1] - '0'; num%2 == 0 {
				srv.SetTrouble(standin.Trouble{Slower: 2})
			}
		}
		first := 0
		send := func(to string, dur time.Duration) {
			var snt []*sentJob
			for began := time.Now(); time.Since(began) < dur; time.Sleep(50 * time.Millisecond) {
				first++
				snt = append(snt, sys.sendAsync(sys.ctx, to, jobSpec{id: jobID(first), tasks: 8, payload: payload{Millis: 60}}))
			}
			for _, one := range snt {
				<-one.done
			}
		}
		send("entry-1-1", 6*time.Second)
		chk.True(strings.Contains(sys.logText(), `"feature":"server-speeds"`))
		chk.True(!strings.Contains(sys.logText(), "server is slow"))
		lost, left := sys.leader("domain-1"), "entry-1-1"
		if lost == left {
			left = "entry-1-2"
		}
		sys.kill(lost)
		send(left, 3*time.Second)
		chk.True(strings.Contains(sys.logText(), "speeds that were told are used"))
		chk.True(!strings.Contains(sys.logText(), "server is slow"))
		chk.True(!strings.Contains(sys.logText(), "speeds of servers are not used"))
	})
}
