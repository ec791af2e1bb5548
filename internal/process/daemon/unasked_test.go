package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform/standin"
)

// Guards against tasks that start, or run on, after their caller has left: nobody asks for them any more. A server may carry a start out late,
// and the instance that sent it may be gone by then.
func TestNothingStartsAfterItsCallerLeft(t *testing.T) {
	const (
		// over is how long after the caller's leaving nothing may start or run any more: the chain of leases.
		over = orphanExpiry + standin.StopTime
		late = 2500 * time.Millisecond
	)
	loseAnswers := func(sys *system) {
		for _, srv := range sys.servers {
			srv.LoseAnswers(2, late)
		}
	}
	cases := map[string]struct {
		before func(sys *system)
		// fault happens as the caller leaves; late is set if a server then carries a start out late.
		fault func(sys *system)
		late  bool
	}{
		"tasks run":                        {},
		"tasks wait in another domain":     {before: func(sys *system) { sys.fill("entry-2-1") }},
		"a server carries the start out":   {before: loseAnswers, late: true},
		"the owner has no power":           {fault: func(sys *system) { sys.powerOff("entry-1-1") }},
		"the leader has no power":          {fault: func(sys *system) { sys.powerOff("entry-2-1") }},
		"the starter is gone, start late":  {before: loseAnswers, fault: func(sys *system) { sys.kill("entry-2-1") }, late: true},
		"owner and starter gone, late":     {before: loseAnswers, fault: func(sys *system) { sys.kill("entry-1-1"); sys.kill("entry-2-1") }, late: true},
		"a server starts again meanwhile":  {fault: func(sys *system) { sys.restartServer("server-2-1", "domain-2", 30*time.Millisecond, false) }},
		"start late, server starts again ": {before: loseAnswers, fault: func(sys *system) { sys.restartServer("server-2-1", "domain-2", 30*time.Millisecond, false) }, late: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 2, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				if cse.before != nil {
					cse.before(sys)
				}
				ctx, leave := context.WithCancel(sys.ctx)
				snt := sys.sendAsync(ctx, "entry-1-1", jobSpec{id: jobID(1), tasks: 8, payload: payload{Millis: 2500}, callerTimeout: 8 * time.Second})
				time.Sleep(30 * time.Millisecond)
				leave()
				<-snt.done
				if cse.fault != nil {
					cse.fault(sys)
				}
				time.Sleep(over)
				if cse.late {
					time.Sleep(late)
				}
				chk.Equal(sys.ldg.JobRunning(jobID(1)), 0)
				starts := sys.ldg.JobStarts(jobID(1))
				time.Sleep(3 * time.Second)
				chk.Equal(sys.ldg.JobStarts(jobID(1)), starts)
				chk.Equal(sys.ldg.JobRunning(jobID(1)), 0)
			})
		})
	}
}

// fill has an instance run jobs that fill all servers for half a second.
func (sys *system) fill(at string) {
	for num := range 4 {
		sys.sendAsync(sys.ctx, at, jobSpec{id: jobID(90 + num), tasks: 2, payload: payload{Millis: 500}})
	}
	time.Sleep(20 * time.Millisecond)
}
