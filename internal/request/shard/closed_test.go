package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A leader starts tasks at servers that are to be emptied, keeps what waits, or breaks off what runs.
func TestClosedShard(t *testing.T) {
	cases := map[string]func(chk *is.I, dsk *desk){
		"what comes goes back": func(chk *is.I, dsk *desk) {
			dsk.did(dsk.ldr.SetClosed(dsk.now, true))
			chk.Equal(len(dsk.place(0, "j.0")), 0)
			chk.Equal(dsk.reports(NotRun), 1)
		},
		"what waits goes back, what runs goes on": func(chk *is.I, dsk *desk) {
			dsk.place(0, "j.0", "j.1", "j.2")
			dsk.started("j.0", Accepted)
			dsk.did(dsk.ldr.SetClosed(dsk.now, true))
			chk.Equal(dsk.reports(NotRun), 1)
			chk.Equal(dsk.stops(), 0)
		},
		"a start without an answer is not sent again": func(chk *is.I, dsk *desk) {
			dsk.place(0, "j.0")
			dsk.did(dsk.ldr.SetClosed(dsk.now, true))
			before := len(dsk.starts())
			dsk.started("j.0", Unknown)
			chk.Equal(len(dsk.starts()), before)
			chk.Equal(dsk.stops(), 1)
		},
		"no room is told": func(chk *is.I, dsk *desk) {
			dsk.did(dsk.ldr.SetClosed(dsk.now, true))
			lod := dsk.ldr.Load(dsk.now)
			chk.True(lod.Closed)
			chk.Equal(len(lod.Free), 0)
		},
		"it is opened again": func(chk *is.I, dsk *desk) {
			dsk.did(dsk.ldr.SetClosed(dsk.now, true))
			dsk.pass(time.Second)
			dsk.did(dsk.ldr.SetClosed(dsk.now, false))
			chk.Equal(len(dsk.place(0, "j.0")), 1)
		},
	}
	for name, story := range cases {
		t.Run(name, func(t *testing.T) { story(is.New(t), newDesk(t, listed("s", 32000))) })
	}
}
