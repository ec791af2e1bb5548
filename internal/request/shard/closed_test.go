package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a leader of a closed shard that starts tasks, keeps waiting orders or stops runs.
func TestClosedShard(t *testing.T) {
	cases := map[string]func(chk *is.I, har *harness){
		"a new order is returned": func(chk *is.I, har *harness) {
			har.record(har.ldr.SetClosed(har.now, true))
			chk.Equal(len(har.place(0, "j.0")), 0)
			chk.Equal(har.reports(NotRun), 1)
		},
		"waiting orders are returned, runs go on": func(chk *is.I, har *harness) {
			har.place(0, "j.0", "j.1", "j.2")
			har.answerStart("j.0", Accepted)
			har.record(har.ldr.SetClosed(har.now, true))
			chk.Equal(har.reports(NotRun), 1)
			chk.Equal(har.stops(), 0)
		},
		"a start without an answer is not sent again": func(chk *is.I, har *harness) {
			har.place(0, "j.0")
			har.record(har.ldr.SetClosed(har.now, true))
			before := len(har.starts())
			har.answerStart("j.0", Unknown)
			chk.Equal(len(har.starts()), before)
			chk.Equal(har.stops(), 1)
		},
		"no free capacity is reported": func(chk *is.I, har *harness) {
			har.record(har.ldr.SetClosed(har.now, true))
			lod := har.ldr.Load(har.now)
			chk.True(lod.Closed)
			chk.Equal(len(lod.Free), 0)
		},
		"the shard is opened again": func(chk *is.I, har *harness) {
			har.record(har.ldr.SetClosed(har.now, true))
			har.advance(time.Second)
			har.record(har.ldr.SetClosed(har.now, false))
			chk.Equal(len(har.place(0, "j.0")), 1)
		},
	}
	for name, story := range cases {
		t.Run(name, func(t *testing.T) { story(is.New(t), newHarness(t, serverEntry("s", 32000))) })
	}
}
