package daemon

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/tcp"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/submission"
	"chestnutstack/platform/standin"
)

// Guards against a task that runs twice as an instance resumes after a pause: the requests that it reads then are of callers who have closed their connections
// and sent their jobs to another instance. Which of the two it reads first is left to the kernel and the scheduler, so that each order is a case.
func TestResumedInstanceOrdersNothingForCallersWhoHaveLeft(t *testing.T) {
	callers := map[string]struct{ pause, timeout time.Duration }{
		"at their deadline": {pause: 4 * time.Second, timeout: 1500 * time.Millisecond},
		"soon":              {pause: 2 * time.Second, timeout: 300 * time.Millisecond},
	}
	orders := map[string]pipe.WakeOrder{
		"ends are read in any order":                      {},
		"ends are known and read last":                    {Read: 200 * time.Millisecond},
		"ends become known after 20 ms":                   {Known: 20 * time.Millisecond, Read: 20 * time.Millisecond},
		"ends become known after 20 ms and are read last": {Known: 20 * time.Millisecond, Read: 200 * time.Millisecond},
	}
	for name, cal := range callers {
		for order, ord := range orders {
			t.Run(fmt.Sprintf("callers leave %s, %s", name, order), func(t *testing.T) {
				inTestSystem(t, 1, 3, 27, func(sys *system) {
					sys.resumeBesideCallersWhoLeft(cal.pause, cal.timeout, ord)
				})
			})
		}
	}
}

// resumeBesideCallersWhoLeft pauses an instance, has callers submit jobs to it, leave and submit them again to another one, the last of them so that
// their jobs run there as the instance resumes, and checks that all are answered.
func (sys *system) resumeBesideCallersWhoLeft(pause, callerTimeout time.Duration, ord pipe.WakeOrder) {
	sys.t.Helper()
	prc := sys.instances["entry-1-2"]
	prc.stopClock()
	sys.grp.Go(func() error {
		sys.pauseProcessInOrder(prc, pause, ord)
		return nil
	})
	var all []*sentJob
	for num := range 40 {
		time.Sleep((pause - callerTimeout - resendTime - 100*time.Millisecond) / 40)
		all = append(all, sys.sendTwice(prc.name, "entry-1-1", jobSpec{
			id: jobID(num + 1), tasks: 4, payload: payload{Millis: 900, Needs: 1000}, callerTimeout: callerTimeout,
		}))
	}
	for _, snt := range all {
		<-snt.done
		if snt.status != 200 {
			sys.t.Errorf("a job that was sent again got %d: %s", snt.status, snt.body)
		}
	}
	time.Sleep(2 * time.Second)
}

// sendTwice submits a job to an instance until its caller leaves, and after resendTime to another one, in the background.
func (sys *system) sendTwice(first, second string, job jobSpec) *sentJob {
	snt := &sentJob{done: make(chan struct{})}
	hosts := [...]string{sys.instances[first].host, sys.instances[second].host}
	sys.grp.Go(func() error {
		defer close(snt.done)
		sys.callHost(sys.ctx, hosts[0], job)
		time.Sleep(resendTime)
		job.callerTimeout = 0
		snt.status, snt.body = sys.callHost(sys.ctx, hosts[1], job)
		return nil
	})
	return snt
}

// leavingConn is a connection whose peer leaves at a time.
type leavingConn struct {
	net.Conn
	leavesAt time.Time
}

// PeerHasLeft tells that as the kernel does.
func (con leavingConn) PeerHasLeft() bool { return !time.Now().Before(con.leavesAt) }

// Guards against an instance that orders a job as it resumes, before the end of the caller's connection has been delivered.
func TestResumedInstanceReadsItsSocketsFirst(t *testing.T) {
	cases := map[string]struct {
		pause, leavesAfter time.Duration
		starts             int
	}{
		"the end comes 20 ms after the instance resumes": {pause: 2 * time.Second, leavesAfter: 20 * time.Millisecond, starts: 0},
		"the caller stays": {pause: 2 * time.Second, leavesAfter: time.Minute, starts: 1},
		"no pause":         {leavesAfter: 20 * time.Millisecond, starts: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			inTestSystem(t, 1, 3, 27, func(sys *system) {
				prc := sys.instances["entry-1-2"]
				if cas.pause > 0 {
					prc.stopClock()
					sys.pauseProcess(prc, cas.pause)
				}
				rte, known := prc.dmn.Configuration().Match(standin.Host, "/thumb/")
				chk.True(known)
				ctx := tcp.NewContext(sys.ctx, leavingConn{leavesAt: time.Now().Add(cas.leavesAfter)})
				prc.dmn.Submit(ctx, rte, submission.Submission{
					ID: jobID(1), Service: service, MaxAttempts: 3, CallerTimeout: 5 * time.Second, Objective: rte.Objective,
					Payload: `{"Millis":50,"Needs":1000}`, Steps: []submission.Step{{Count: 1, Processor: 1000, Memory: 64, ExpectedRunTime: 50 * time.Millisecond}},
				})
				chk.Equal(sys.taskStarts(jobID(1)), cas.starts)
			})
		})
	}
}
