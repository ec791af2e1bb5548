package submission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against the answer of another queue's job with the same ID.
func TestSameIDInTwoQueues(t *testing.T) {
	cases := map[string]struct {
		route string
		want  []string
	}{
		"the same queue": {route: "one", want: []string{"reply 1 succeeded", "reply 2 succeeded"}},
		"another queue":  {route: "two", want: []string{"reply 2 not-run", "reply 1 succeeded"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hrn := newHarness()
			hrn.setLeader("a.0", true, self, 1, 1)
			sub := Submission{
				ID: "j", Route: "one", Service: "render", MaxAttempts: 2, CallerTimeout: 5 * time.Second,
				Objective: func(time.Duration) time.Duration { return time.Second }, Steps: []Step{{Count: 1, Processor: 14000, ExpectedRunTime: 100 * time.Millisecond}},
			}
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 1, sub))
			hrn.takeTexts()
			sub.Route = cse.route
			hrn.record(hrn.crd.HandleSubmit(hrn.now, 2, sub))
			hrn.report(self, 1, "j.0.0.0", shard.Done)
			chk.Equal(hrn.takeTexts(), cse.want)
		})
	}
}
