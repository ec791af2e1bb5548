package shard

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStartsWaitForTheLink(t *testing.T) {
	// Starts of 2.4 KB come at once on a link that carries 5 KB in 20 ms. One is sent at once, each further one when the one before is
	// answered. Were eight sent together, the last would take 95 ms and delay heartbeats as long.
	chk := is.New(t)
	har := newHarness(t, serverEntry("s1", 64000), serverEntry("s2", 64000))
	har.ldr.link = NewUplink(250_000)
	big := strings.Repeat("x", 2400)
	for _, tsk := range []string{"j.0", "j.1", "j.2"} {
		ord := har.order(0, tsk)
		ord.Payload, ord.ReturnIfBusy = big, true
		har.record(har.ldr.HandleOrder(har.now, ord))
	}
	chk.Equal(len(har.starts()), 1)
	chk.Equal(har.reports(NotRun), 0) // It waits some milliseconds; returning it costs sending its payload once more.
	small := har.order(0, "k.0")
	small.Payload = "x"
	har.record(har.ldr.HandleOrder(har.now, small))
	chk.Equal(len(har.starts()), 2) // A small one still fits.
	har.answerStart("j.0", Accepted)
	chk.Equal(len(har.starts()), 3)
	chk.Equal(har.ldr.Load(har.now).LinkBusy, 2*StartBytes(big)+StartBytes("x"))
}

func TestAnswerTimeoutGrowsOnAFullLink(t *testing.T) {
	// A start without an answer makes the next wait longer only if the link was full: a loss on a free link must be noticed as soon as
	// before.
	cases := map[string]struct {
		others int
		longer bool
	}{
		"free": {others: 0}, "full": {others: 3, longer: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			upl := NewUplink(250_000)
			big := strings.Repeat("x", 1000)
			for range cse.others {
				upl.noteStart(big)
			}
			for range 5 {
				upl.noteStart(big)
				upl.HandleStartResult(big, 180*time.Millisecond, Unknown)
			}
			chk.Equal(upl.AnswerTimeout() > NewUplink(250_000).AnswerTimeout(), cse.longer)
		})
	}
}

func TestLinkDelay(t *testing.T) {
	// What fits into the window is sent at once; what exceeds it waits as long as the link takes.
	chk := is.New(t)
	chk.Equal(linkDelay(5000, 5000), time.Duration(0))
	chk.Equal(linkDelay(5000, 10000), queueTime)
	chk.True(NewUplink(0).Fits(strings.Repeat("x", 1<<20)))
	full := NewUplink(1000)
	chk.True(full.Fits(strings.Repeat("x", 4000))) // Nothing else is under way.
	full.SetPeerBytes(1)
	chk.True(!full.Fits(strings.Repeat("x", 4000)))
}
