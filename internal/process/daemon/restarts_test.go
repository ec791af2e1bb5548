package daemon

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// rollingRestart stops all instances of a system in order, some at a time, and starts each again when it has ended.
type rollingRestart struct {
	sys   *system
	batch int
	gap   time.Duration
	// waiting are the names still to stop, stopping those that have not ended; nextAt is when the next batch is due.
	waiting, stopping []string
	nextAt            time.Time
}

// advance stops the batch that is due, if any, and starts the instances that have ended.
func (rrs *rollingRestart) advance() {
	if len(rrs.waiting) > 0 && !time.Now().Before(rrs.nextAt) {
		num := min(rrs.batch, len(rrs.waiting))
		for _, name := range rrs.waiting[:num] {
			rrs.sys.instances[name].stop()
		}
		rrs.stopping = append(rrs.stopping, rrs.waiting[:num]...)
		rrs.waiting = rrs.waiting[num:]
		rrs.nextAt = rrs.nextAt.Add(rrs.gap)
	}
	rrs.stopping = slices.DeleteFunc(rrs.stopping, func(name string) bool {
		prc := rrs.sys.instances[name]
		select {
		case <-prc.done:
			rrs.sys.startInstance(name, prc.domain)
			return true
		default:
			return false
		}
	})
}

// target draws an instance, one that is not stopping if there is any.
func (rrs *rollingRestart) target(rnd *rand.Rand) string {
	nms := slices.DeleteFunc(rrs.sys.instanceNames(), func(name string) bool { return slices.Contains(rrs.stopping, name) })
	if len(nms) == 0 {
		nms = rrs.sys.instanceNames()
	}
	return nms[rnd.IntN(len(nms))]
}

// loadWithRestarts is a load of factor times the usual one from 2 s on, for a duration, and a rolling restart from 1 s on.
type loadWithRestarts struct {
	// instances and servers are those of each of three failure domains.
	instances, servers int
	factor             float64
	duration           time.Duration
	length             time.Duration
	batch              int
	gap                time.Duration
}

// run returns the outcomes of the jobs by the second in which they were sent.
func (lwr *loadWithRestarts) run(t *testing.T, seed uint64) []jobOutcome {
	t.Helper()
	const domains, usualServers = 3, 108
	type call struct {
		snt       *sentJob
		kind      *jobKind
		objective time.Duration
		second    int
	}
	var ots []jobOutcome
	synctest.Test(t, func(t *testing.T) {
		runTestSystemWith(t, &system{serverSizes: []int64{64000, 64000, 96000}}, domains, lwr.instances, lwr.servers, func(sys *system) {
			sys.publishRoutes("/thumb/", "/brand/", "/deck/")
			time.Sleep(time.Second)
			rnd := rand.New(rand.NewPCG(seed, 8))
			perSecond := 0.0
			for idx := range overloadKinds {
				perSecond += overloadKinds[idx].perSecond
			}
			scale := float64(domains*lwr.servers) / usualServers
			rrs := &rollingRestart{sys: sys, batch: lwr.batch, gap: lwr.gap, waiting: sys.instanceNames(), nextAt: time.Now().Add(time.Second)}
			var calls []call
			began := time.Now()
			for num := 0; time.Since(began) < lwr.length; num++ {
				rrs.advance()
				past := time.Since(began)
				times := scale
				if past >= 2*time.Second && past < 2*time.Second+lwr.duration {
					times *= lwr.factor
				}
				kind := &overloadKinds[randomKind(rnd, perSecond)]
				job, objective := kind.randomJob(rnd, jobID(num))
				calls = append(calls, call{sys.sendAsync(sys.ctx, rrs.target(rnd), job), kind, objective, int(past / time.Second)})
				time.Sleep(time.Duration(rnd.ExpFloat64() / (perSecond * times) * float64(time.Second)))
			}
			for _, cal := range calls {
				<-cal.snt.done
				for len(ots) <= cal.second {
					ots = append(ots, jobOutcome{})
				}
				ots[cal.second].record(cal.snt, cal.kind.value, cal.objective)
			}
		})
		time.Sleep(20 * time.Second)
	})
	return ots
}

// TestRestartsUnderLoad guards against callers who are not served while the instances are restarted in series under a load of 1.2 times what
// the servers carry: work that moves between leaders instead of starting, and jobs of which only a part runs.
func TestRestartsUnderLoad(t *testing.T) {
	cases := map[string]struct {
		lwr   loadWithRestarts
		large bool
	}{
		"12 instances": {lwr: loadWithRestarts{instances: 4, servers: 36, factor: 2.3, duration: 3 * time.Second, length: 7 * time.Second, batch: 2, gap: 500 * time.Millisecond}},
		"39 instances": {large: true, lwr: loadWithRestarts{instances: 13, servers: 117, factor: 2.3, duration: 5 * time.Second, length: 11 * time.Second, batch: 4, gap: 500 * time.Millisecond}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			if cse.large && !*measure {
				t.Skip("it takes minutes; run with -measure")
			}
			chk := is.NewRelaxed(t)
			for sec, otc := range cse.lwr.run(t, 1) {
				t.Logf("second %2d: %v", sec, &otc)
				chk.True(otc.earnedValue >= 0.5*otc.offeredValue)
			}
		})
	}
}
