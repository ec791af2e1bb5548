package headroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against stops that help no urgent task, or cost callers more than another one.
func TestChoose(t *testing.T) {
	urgent := Waiting{Priority: 0, Slack: 100 * ms}
	long := Run{Priority: 2, Left: 500 * ms, Stoppable: true, WorkLost: 300 * ms, RestartSlack: time.Second}
	with := func(change func(rn *Run)) Run {
		rn := long
		change(&rn)
		return rn
	}
	cases := map[string]struct {
		wts  []Waiting
		rns  []Run
		want []Choice
	}{
		"late without a stop":                     {[]Waiting{urgent}, []Run{long}, []Choice{{0, 0, 500 * ms}}},
		"in time without a stop":                  {[]Waiting{urgent}, []Run{long, with(func(rn *Run) { rn.Left = 90 * ms })}, nil},
		"the next end is for an earlier task":     {[]Waiting{urgent, urgent}, []Run{long, with(func(rn *Run) { rn.Left = 90 * ms })}, []Choice{{1, 0, 500 * ms}}},
		"a stop that is under way gives its room": {[]Waiting{urgent}, []Run{long, with(func(rn *Run) { rn.Left, rn.Ending = 50*ms, true })}, nil},
		"late even with a stop":                   {[]Waiting{{Priority: 0, Slack: 40 * ms}}, []Run{long}, nil},
		"never for a task of the same priority":   {[]Waiting{{Priority: 2, Slack: 100 * ms}}, []Run{long}, nil},
		"not stoppable":                           {[]Waiting{urgent}, []Run{with(func(rn *Run) { rn.Stoppable = false })}, nil},
		"the stop would make its job late":        {[]Waiting{urgent}, []Run{with(func(rn *Run) { rn.RestartSlack = 40 * ms })}, nil},
		"it would wait too long for a new start":  {[]Waiting{urgent}, []Run{with(func(rn *Run) { rn.RestartWait = 960 * ms })}, nil},
		"its job is late anyway":                  {[]Waiting{urgent}, []Run{with(func(rn *Run) { rn.RestartSlack, rn.Late = 0, true })}, nil},
		"least urgent first":                      {[]Waiting{urgent}, []Run{with(func(rn *Run) { rn.Priority, rn.WorkLost = 1, 0 }), long}, []Choice{{0, 1, 500 * ms}}},
		"least work lost":                         {[]Waiting{urgent}, []Run{long, with(func(rn *Run) { rn.WorkLost = 10 * ms })}, []Choice{{0, 1, 500 * ms}}},
		"one run for each task":                   {[]Waiting{urgent, urgent}, []Run{long}, []Choice{{0, 0, 500 * ms}}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			got := Choose(cas.wts, cas.rns, 50*ms, func(int, int) bool { return true })
			is.New(t).Equal(got, cas.want)
		})
	}
}
