package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leads returns how many shards of a failure domain an instance leads.
func (prc *process) leads(domain string) int {
	prc.dmn.mu.Lock()
	defer prc.dmn.mu.Unlock()
	num := 0
	for name := range prc.dmn.leaders {
		if strings.HasPrefix(string(name), domain+".") {
			num++
		}
	}
	return num
}

// Guards against the last instances of many that stop side by side leading the shards of all, and against shards that are not handed over in the end.
func TestStoppingLeadersHandOverInTime(t *testing.T) {
	inTestSystem(t, 1, 4, 36, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendHeartbeats(2 * time.Second)
		names, last := []string{"entry-1-1", "entry-1-2", "entry-1-3"}, sys.instances["entry-1-4"]
		total := last.leads("domain-1")
		for _, name := range names {
			total += sys.instances[name].leads("domain-1")
		}
		chk.Equal(total, 4)
		var sent []*sentJob
		for num, name := range names {
			sent = append(sent, sys.sendAsync(sys.ctx, name, jobSpec{id: jobID(num), tasks: 1, payload: payload{Millis: 4500}}))
		}
		time.Sleep(300 * time.Millisecond)
		for _, name := range names {
			sys.instances[name].stop()
		}
		sys.sendHeartbeats(time.Second)
		chk.True(last.leads("domain-1") <= 2)
		sys.sendHeartbeats(3 * time.Second)
		chk.Equal(last.leads("domain-1"), 4)
		for _, snt := range sent {
			<-snt.done
			chk.Equal(snt.status, http.StatusOK)
		}
	})
}
