package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// deployment is the size of a system and its load, drawn at random.
type deployment struct {
	// instances and servers are counts per failure domain.
	domains, instances, servers int
	// sizes and linkBytes are a system's serverSizes and linkBytes.
	sizes     []int64
	linkBytes int
	// kinds are the jobs to choose from.
	kinds []jobSpec
	// gap is the time between two jobs: at the mean rate they use 40% of the servers' processor, as large tasks leave parts of servers unused,
	// or 30% of the links' bandwidth, whichever is reached first.
	gap time.Duration
}

// randomDeployment draws a deployment of two to eight failure domains with one to four instances each, servers of one to three sizes and
// two to four kinds of jobs: of 1 to 120 tasks that take 5 to 1,280 ms on 1 to 30 cores, with payloads of up to 2.5 KB.
func randomDeployment(rnd *rand.Rand) deployment {
	dpl := deployment{domains: 2 + rnd.IntN(7), instances: 1 + rnd.IntN(4), servers: 4 + rnd.IntN(24)}
	for range 1 + rnd.IntN(3) {
		dpl.sizes = append(dpl.sizes, 32000+16000*rnd.Int64N(4))
	}
	dpl.linkBytes = []int{0, 0, 3_000_000, 1_000_000}[rnd.IntN(4)]
	var work, bytes float64
	for range 2 + rnd.IntN(3) {
		job := jobSpec{tasks: 1 << rnd.IntN(7), callerTimeout: 8 * time.Second, payload: payload{
			Millis: 5 << rnd.IntN(9), Needs: 1000 * (1 + rnd.Int64N(30)), Pad: strings.Repeat("x", 40<<rnd.IntN(7)),
		}}
		if rnd.IntN(8) == 0 {
			job.tasks = 120
		}
		dpl.kinds = append(dpl.kinds, job)
		work += float64(job.tasks) * float64(job.Millis) * float64(job.Needs)
		bytes += float64(job.tasks) * float64(len(job.Pad)+600)
	}
	var pool int64
	for num := range dpl.domains * dpl.servers {
		pool += dpl.sizes[num%len(dpl.sizes)]
	}
	mean := float64(len(dpl.kinds))
	millis := work / mean / (0.4 * float64(pool))
	if dpl.linkBytes > 0 {
		millis = max(millis, 1000*bytes/mean/(0.3*float64(dpl.linkBytes*dpl.domains*dpl.instances)))
	}
	dpl.gap = max(time.Duration(millis*float64(time.Millisecond)), 4*time.Millisecond)
	return dpl
}

// TestRandomDeployments guards against decisions that hold only for the deployments of other tests: overfull servers, tasks that run twice at once,
// refused jobs that have started, orders that go round, or more than 5% unserved callers while an instance loses power and starts again.
func TestRandomDeployments(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 2))
			dpl := randomDeployment(rnd)
			synctest.Test(t, func(t *testing.T) {
				sys := &system{linkBytes: dpl.linkBytes, serverSizes: dpl.sizes}
				runTestSystemWith(t, sys, dpl.domains, dpl.instances, dpl.servers, func(sys *system) { runDeployment(sys, rnd, dpl) })
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// runDeployment sends the jobs of a deployment for 6 s, in which one instance loses power and starts again, and checks their outcomes.
func runDeployment(sys *system, rnd *rand.Rand, dpl deployment) {
	const (
		lasts       = 6 * time.Second
		lost        = 2 * time.Second
		returnAfter = 3 * time.Second
	)
	victim := sys.instanceNames()[rnd.IntN(len(sys.instanceNames()))]
	var all []*sentJob
	var jobs []jobSpec
	down, up := false, false
	for began := time.Now(); time.Since(began) < lasts; {
		switch {
		case !down && time.Since(began) > lost:
			sys.powerOff(victim)
			down = true
		case !up && time.Since(began) > returnAfter:
			sys.startInstance(victim, sys.instances[victim].domain)
			up = true
		}
		to := sys.randomInstance(rnd)
		if to == victim && !up && time.Since(began) > lost-time.Second {
			continue // The instance has lost power, or will within a second.
		}
		job := dpl.kinds[rnd.IntN(len(dpl.kinds))]
		job.id = jobID(len(all) + 1)
		all, jobs = append(all, sys.sendAsync(sys.ctx, to, job)), append(jobs, job)
		time.Sleep(dpl.gap)
	}
	served, refused := 0, 0
	for idx, snt := range all {
		<-snt.done
		switch snt.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			for num := range jobs[idx].tasks {
				if sys.ldg.Starts(fmt.Sprintf("%s.0.0.%d", jobs[idx].id, num)) > 0 {
					sys.t.Errorf("job %s was refused as not run and has started", jobs[idx].id)
				}
			}
		}
	}
	sys.checkOrders(dpl.kinds[0].callerTimeout)
	sys.t.Logf("%d jobs, %d served, %d refused", len(all), served, refused)
	if served*100 < len(all)*95 {
		sys.t.Errorf("%d of %d jobs served", served, len(all))
	}
}
