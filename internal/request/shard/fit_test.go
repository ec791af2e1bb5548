package shard

import (
	"testing"

	"github.com/matryer/is"
)

func TestServiceRateBeforeAnyRun(t *testing.T) {
	// Guards against a new leader that uses told speeds and advertises a service rate beyond any, so that all owners send it their tasks.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s0", 64000), serverEntry("s1", 64000))
	before := har.ldr.serviceRate()
	har.useLevels(0, 0)
	chk.Equal(har.ldr.serviceRate(), before)
}
