package daemon

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a caller that waits until its deadline, as its job was submitted to a second instance, too, whose orders have replaced those of the
// first: the first instance has to answer at once.
func TestFirstOwnerIsToldOfAReplacedOrder(t *testing.T) {
	// atOnce is the time of a few messages.
	const atOnce = 20 * time.Millisecond
	cases := map[string]struct {
		// leader is the instance that leads the shard: 0 for the first owner, 1 for the second one, 2 for an instance without the job.
		leader int
		// waits is set if the tasks wait for capacity, leaves if the second caller leaves soon.
		waits, leaves bool
	}{
		"tasks run, the first owner leads":        {leader: 0},
		"tasks run, the second owner leads":       {leader: 1},
		"tasks run, another instance leads":       {leader: 2},
		"tasks run, the second caller leaves":     {leader: 2, leaves: true},
		"tasks wait, the first owner leads":       {leader: 0, waits: true},
		"tasks wait, the second owner leads":      {leader: 1, waits: true},
		"tasks wait, another instance leads":      {leader: 2, waits: true},
		"tasks wait, the second caller leaves":    {leader: 2, waits: true, leaves: true},
		"tasks wait, second leads, caller leaves": {leader: 1, waits: true, leaves: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 3, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				led := sys.leader("domain-1")
				nms := slices.DeleteFunc(sys.instanceNames(), func(nam string) bool { return nam == led })
				nms = slices.Insert(nms, cse.leader, led)
				if cse.waits {
					sys.fill(led)
				}
				job := jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: 600}, callerTimeout: 8 * time.Second}
				fst := sys.sendAsync(sys.ctx, nms[0], job)
				time.Sleep(100 * time.Millisecond)
				chk.Equal(sys.ldg.JobStarts(job.id) == 0, cse.waits)
				ctx, leave := context.WithCancel(sys.ctx)
				defer leave()
				sent := time.Now()
				snd := sys.sendAsync(ctx, nms[1], job)
				if cse.leaves {
					time.Sleep(atOnce)
					leave()
				}
				<-fst.done
				chk.True(time.Since(sent) <= atOnce)
				chk.Equal(fst.status, http.StatusGatewayTimeout)
				chk.True(strings.Contains(fst.body, "also submitted to instance "+nms[1]))
				chk.True(strings.Contains(sys.logText(), `"new-owner":"`+nms[1]))
				<-snd.done
				if !cse.leaves {
					chk.Equal(snd.status, http.StatusOK)
				}
				time.Sleep(2 * time.Second)
				chk.Equal(sys.ldg.JobRunning(job.id), 0)
			})
		})
	}
}

// Guards against two callers of one job that get no result, as each one's retry stops the runs of the other's job.
func TestTwoCallersOfOneJobRetry(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"short tasks": 300 * time.Millisecond, "tasks of 2.5 s": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 2, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				job := jobSpec{id: jobID(1), tasks: 2, payload: payload{Millis: int(runTime.Milliseconds())}, callerTimeout: 8 * time.Second}
				var calls atomic.Int64
				retry := func(to string) func() error {
					host := sys.instances[to].host
					return func() error {
						for {
							calls.Add(1)
							rep := sys.reply(sys.ctx, host, job)
							if rep.Status == http.StatusOK {
								return nil
							}
							chk.Equal(rep.Status, http.StatusGatewayTimeout)
							secs, err := strconv.Atoi(rep.RetryAfter)
							chk.NoErr(err)
							time.Sleep(time.Duration(secs) * time.Second)
						}
					}
				}
				callers := errgroup.Group{}
				callers.Go(retry("entry-1-1"))
				time.Sleep(50 * time.Millisecond)
				callers.Go(retry("entry-1-2"))
				chk.NoErr(callers.Wait())
				chk.Equal(calls.Load(), int64(3)) // The first caller comes back when the second has its result.
			})
		})
	}
}
