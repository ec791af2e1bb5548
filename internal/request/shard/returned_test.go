package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that waits, or is returned again and again, beside a free server: its new order is connected to the start without an answer that its
// former order, which was returned as the lease had expired, has left behind.
func TestReturnedTaskStartsOnAnotherServer(t *testing.T) {
	cases := map[string]struct {
		// answers is set if the former server answers renewals again, but no stop.
		answers bool
	}{
		"the former server stays out of reach":               {},
		"it answers renewals and leaves the stop unanswered": {answers: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			leaving := serverEntry("s2", 32000)
			leaving.Leaving = true
			har := newHarness(t, serverEntry("s", 32000), leaving)
			har.answerRenewal("s", RenewResult{Clock: time.Minute})
			chk.Equal(har.place(0, "j.0")["j.0"], ServerID("s"))
			_, _, returned := har.playWithoutAnswers("s", 40*time.Millisecond)
			chk.True(!returned.IsZero())
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{serverEntry("s", 32000), serverEntry("s2", 32000)}, Shards: 1}))
			har.answerRenewal("s2", RenewResult{Clock: time.Minute})
			if cse.answers {
				har.answerRenewal("s", RenewResult{Clock: time.Minute + har.now.Sub(time.Unix(1000, 0))})
			}
			har.acts = nil
			har.record(har.ldr.HandleOrder(har.now, har.order(0, "j.0")))
			for range 20 {
				har.advance(10 * time.Millisecond)
				har.answerRenewal("s2", RenewResult{Clock: time.Minute})
				if cse.answers {
					har.answerRenewal("s", RenewResult{Clock: time.Minute + har.now.Sub(time.Unix(1000, 0))})
				}
			}
			chk.Equal(har.reports(NotRun), 0)
			chk.Equal(har.starts()["j.0"], ServerID("s2"))
		})
	}
}
