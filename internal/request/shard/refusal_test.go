package shard

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against orders that come back without the reason that operators and owners need.
func TestReturnsTellTheReason(t *testing.T) {
	full := func(har *harness) { har.place(0, "f.0", "f.1") }
	cases := map[string]struct {
		before func(har *harness)
		change func(ord *Order)
		ents   []ServerEntry
		want   ReturnReason
	}{
		"no server is known":            {want: NoServer},
		"the server does not answer":    {ents: []ServerEntry{serverEntry("s", 32000)}, before: func(har *harness) { har.ldr.servers["s"].state = unreachable }, want: NoServer},
		"another service":               {ents: []ServerEntry{serverEntry("s", 32000)}, change: func(ord *Order) { ord.Service = "other" }, want: WrongService},
		"a label that no server has":    {ents: []ServerEntry{serverEntry("s", 32000)}, change: func(ord *Order) { ord.Label = "gold" }, want: WrongLabel},
		"enough of its step":            {ents: []ServerEntry{serverEntry("s", 48000)}, before: full, change: func(ord *Order) { ord.Step, ord.MaxPerServer = "f", 2 }, want: StepBound},
		"too little memory":             {ents: []ServerEntry{serverEntry("s", 32000)}, change: func(ord *Order) { ord.Memory = 1001 }, want: NoMemory},
		"too little processor":          {ents: []ServerEntry{serverEntry("s", 32000)}, before: full, want: NoProcessor},
		"no processor at all":           {ents: []ServerEntry{serverEntry("s", 2*size)}, before: full, want: NoProcessor},
		"the failure domain is closed":  {ents: []ServerEntry{serverEntry("s", 32000)}, before: func(har *harness) { har.record(har.ldr.SetClosed(har.now, true)) }, want: DomainClosed},
		"the nearest of several counts": {ents: []ServerEntry{serverEntry("s", 32000), {ID: "o", Service: "other", Processor: 32000, Memory: 1000}}, before: full, want: NoProcessor},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t, cse.ents...)
			if cse.before != nil {
				cse.before(har)
			}
			har.ldr.meanRun = 1 << 40 // All waits are long.
			ord := har.order(0, "j.0")
			ord.ReturnIfBusy = true
			if cse.change != nil {
				cse.change(&ord)
			}
			har.acts = nil
			har.record(har.ldr.HandleOrder(har.now, ord))
			got := []ReturnReason{}
			for _, act := range har.acts {
				if snd, ok := act.(SendReport); ok && snd.Report.Outcome == NotRun {
					got = append(got, snd.Report.Reason)
				}
			}
			is.New(t).Equal(got, []ReturnReason{cse.want})
		})
	}
}

func TestReturnReasonNames(t *testing.T) {
	for rsn := NoReason + 1; rsn < ReturnReasons; rsn++ {
		if rsn.String() == "" {
			t.Errorf("reason %d has no name", rsn)
		}
	}
	chk := is.New(t)
	chk.Equal(NoReason.String(), "")
	chk.Equal(ReturnReasons.String(), "unknown")
	chk.Equal(ReturnReason(-1).String(), "unknown")
}
