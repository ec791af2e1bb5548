package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against jobs that wait until they are too late though no server can run them, and against such refusals by an instance that can't know that.
func TestJobThatNoServerCanRunIsRefused(t *testing.T) {
	cases := map[string]struct {
		rooms   map[string]int64
		before  func(sys *system)
		refused bool
	}{
		"the rooms of all servers are too small":   {rooms: map[string]int64{"domain-1": taskProcessor - 1, "domain-2": 0}, refused: true},
		"the servers of one failure domain can":    {rooms: map[string]int64{"domain-1": taskProcessor - 1}},
		"the list is not known to be whole":        {rooms: map[string]int64{"domain-1": taskProcessor - 1, "domain-2": taskProcessor / 2}, before: (*system).restartAll},
		"the list is old, as the store can't tell": {rooms: map[string]int64{"domain-1": taskProcessor - 1, "domain-2": taskProcessor / 2}, before: func(sys *system) { sys.sto.SetDown(true); time.Sleep(maxServersAge) }},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 1, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.sendHeartbeats(maxUnlisted + time.Second)
				for domain, processor := range cse.rooms {
					sys.setRoom(domain, processor, serverMemory)
				}
				if cse.before != nil {
					cse.before(sys)
					time.Sleep(1500 * time.Millisecond)
				}
				snt := sys.sendAsync(sys.ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 100}})
				time.Sleep(500 * time.Millisecond)
				select {
				case <-snt.done:
					chk.Equal(snt.status == http.StatusServiceUnavailable, cse.refused)
				default:
					chk.True(!cse.refused)
				}
				sys.sto.SetDown(false)
				for domain := range cse.rooms {
					sys.setRoom(domain, serverProcessor, serverMemory)
				}
				sys.sendHeartbeats(2 * time.Second)
				chk.Equal(sys.send(sys.ctx, "entry-1-1", jobSpec{id: jobID(2), tasks: 2, payload: payload{Millis: 100}}), http.StatusOK)
			})
		})
	}
}

// restartAll kills all instances and starts them again.
func (sys *system) restartAll() {
	for _, prc := range sys.runningProcesses() {
		sys.kill(prc.name)
		sys.startInstance(prc.name, prc.domain)
	}
}
