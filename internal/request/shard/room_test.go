package shard

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a start without an answer that is sent again to a server whose room has shrunk below what it runs meanwhile.
func TestStartIsNotRepeatedOverAShrunkRoom(t *testing.T) {
	cases := map[string]struct {
		processor, memory int64
		repeated          bool
	}{
		"as before":        {32000, 1000, true},
		"still enough":     {2 * size, 20, true},
		"too few":          {2*size - 1, 1000, false},
		"too little of it": {32000, 19, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			har := newHarness(t, serverEntry("s", 32000))
			har.place(0, "j.0", "j.1")
			har.answerStart("j.0", Accepted)
			ent := serverEntry("s", cse.processor)
			ent.Memory = cse.memory
			har.record(har.ldr.SetServers(har.now, Listing{Listed: []ServerEntry{ent}, Shards: 1}))
			har.acts = nil
			run := RunID{Task: "j.1", Number: har.ldr.orders["j.1"].runNumber}
			har.record(har.ldr.HandleStartResult(har.now, "s", run, Unknown, 0))
			chk.Equal(len(har.starts()) == 1, cse.repeated)
			chk.Equal(har.stops() == 0, cse.repeated) // The start may still be carried out: only a stop proves that it is not.
		})
	}
}
