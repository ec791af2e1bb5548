package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/shard"
)

// Guards against fields of reports that instances don't tell each other.
func TestReportOnTheWire(t *testing.T) {
	cases := map[string]shard.Report{
		"done":        {Task: "j.0.0.0", Token: 7, Outcome: shard.Done, Took: 3 * time.Millisecond, Server: "s"},
		"returned":    {Task: "j.0.0.0", Token: 7, Outcome: shard.NotRun, Reason: shard.NoMemory, MayHaveRun: true},
		"is too late": {Task: "j.0.0.0", Token: 7, Outcome: shard.NotRun, Reason: shard.WouldEndTooLate, TooLate: true},
	}
	for name, rep := range cases {
		t.Run(name, func(t *testing.T) {
			dlv := &meshpb.Delivery{}
			appendMessage(dlv, time.Unix(1000, 0), Report{Report: rep})
			is.New(t).Equal(decodeMessages(dlv, time.Unix(1000, 0), "one/1"), []Message{Report{Report: rep}})
		})
	}
}
