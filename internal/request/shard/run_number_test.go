package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRunNumberPassesThoseOfAClockAhead(t *testing.T) {
	// Guards against a task that starts nowhere for as long as a former leader's clock was ahead: servers keep the highest run number of a task, numbers come
	// from the time of day, and a refusal says nothing of the number that would do.
	for name, ahead := range map[string]time.Duration{"a minute": time.Minute, "an hour": time.Hour, "a day": 24 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var ents []ServerEntry
			for num := range 12 {
				ents = append(ents, serverEntry(fmt.Sprint("s", num), 32000))
			}
			har := newHarness(t, ents...)
			highest := har.now.Add(ahead).UnixMilli()
			har.place(0, "j.0")
			tries := 1
			for run := har.answerStart("j.0", Outdated); run.Number <= highest && tries < 30; tries++ {
				har.advance(30 * time.Millisecond)
				run = har.answerStart("j.0", Outdated)
			}
			chk.True(tries <= 12)
		})
	}
}
