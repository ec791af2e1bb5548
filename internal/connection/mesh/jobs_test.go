package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/submission"
)

// Guards against fields of queries for jobs that instances don't tell each other.
func TestJobQueriesOnTheWire(t *testing.T) {
	cases := map[string]Message{
		"a job is looked for":   JobQuery{Number: 7, Route: "r", Job: "j"},
		"a job is cancelled":    JobQuery{Number: 7, Route: "r", Job: "j", Cancel: true},
		"it is not here":        JobAnswer{Number: 7},
		"it runs, or may do so": JobAnswer{Number: 7, State: submission.JobRunning},
	}
	for name, msg := range cases {
		t.Run(name, func(t *testing.T) {
			dlv := &meshpb.Delivery{}
			appendMessage(dlv, time.Unix(1000, 0), msg)
			is.New(t).Equal(decodeMessages(dlv, time.Unix(1000, 0), "one/1"), []Message{msg})
		})
	}
}
