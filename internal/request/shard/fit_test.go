package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNoWaitForAServerSetAside(t *testing.T) {
	// Guards against a less urgent task that waits until it is late for a fast server which is set aside for more urgent tasks.
	cases := map[string]struct {
		openTo int
		want   ServerID
	}{"fast server is open": {Priorities, ""}, "fast server is set aside": {Priorities - 1, "s1"}}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t, serverEntry("s0", 20000), serverEntry("s1", 20000))
			har.useLevels(-0.47, 0.51)
			har.ldr.serverList[0].usedProcessor, har.ldr.serverList[0].openTo = 20000, cse.openTo
			ord := har.order(Priorities-1, "j.0")
			ord.Due = har.now.Add(150 * time.Millisecond)
			har.record(har.ldr.HandleOrder(har.now, ord))
			is.New(t).Equal(har.starts()["j.0"], cse.want)
		})
	}
}

func TestServiceRateBeforeAnyRun(t *testing.T) {
	// Guards against a new leader that uses told speeds and advertises a service rate beyond any, so that all owners send it their tasks.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s0", 64000), serverEntry("s1", 64000))
	before := har.ldr.serviceRate()
	har.useLevels(0, 0)
	chk.Equal(har.ldr.serviceRate(), before)
}
