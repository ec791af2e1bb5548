package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform/standin"
)

// publishServices publishes a new version of the configuration with one route for each path, to a service of its own.
func (sys *system) publishServices(services map[string]string) {
	sys.configVersion++
	rts := []standin.Route{}
	for _, pfx := range []string{"/thumb/", "/deck/"} {
		if svc := services[pfx]; svc != "" {
			rts = append(rts, standin.Route{
				Prefix: pfx, Service: svc, Attempts: 3, Target: 60 * time.Millisecond, Stretch: 1.6,
			})
		}
	}
	sys.sto.Configure(sys.configVersion, rts)
}

// TestTakeoverByAnInstanceThatNeverKnewTheService guards against a task that runs twice at once: its leader is killed just after it has
// started the task, and the next leader started after the last route of the task's service was removed. It calls no server of that service,
// so "all servers have answered" says nothing of the one on which the task runs.
func TestTakeoverByAnInstanceThatNeverKnewTheService(t *testing.T) {
	const slides = "slides"
	for _, delay := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inTestSystem(t, 2, 2, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.publishServices(map[string]string{"/thumb/": service, "/deck/": slides})
				// The owner's domain has no servers; domain 1 has more of the service than domain 2, so that the task is sent there.
				sys.services = map[string]string{}
				for _, id := range []string{"server-1-7", "server-1-8", "server-1-9", "server-2-8", "server-2-9"} {
					sys.services[id] = slides
					sys.startServer(id, domainName(int(id[len("server-")]-'1')))
				}
				sys.domains = append(sys.domains, domainName(2))
				sys.startInstance("entry-3-1", domainName(2))
				time.Sleep(maxUnlisted + 2*time.Second) // Until the list is known to be whole.
				led := sys.leader("domain-1")
				oth := map[string]string{"entry-1-1": "entry-1-2", "entry-1-2": "entry-1-1"}[led]
				// The task's first run fails after the other instance has started anew; the second one starts at once.
				snt := sys.sendAsync(sys.ctx, "entry-3-1", jobSpec{
					id: jobID(1), path: "/deck/", tasks: 1, callerTimeout: 20 * time.Second, payload: payload{Millis: 3500, Fails: true},
				})
				time.Sleep(100 * time.Millisecond)
				sys.publishServices(map[string]string{"/thumb/": service})
				time.Sleep(time.Second)
				sys.kill(oth)
				time.Sleep(500 * time.Millisecond)
				sys.startInstance(oth, "domain-1")
				for num := 0; num < 5000 && sys.taskStarts(jobID(1)) < 2; num++ {
					time.Sleep(time.Millisecond)
				}
				chk.Equal(sys.taskStarts(jobID(1)), 2)
				time.Sleep(delay)
				sys.kill(led)
				<-snt.done
			})
		})
	}
}
