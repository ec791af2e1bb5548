package shard

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStartsWaitForTheLink(t *testing.T) {
	// Eight starts of 2.4 KB come at once, on a link that carries 5 KB in 20 ms. One goes at once; each further one goes when
	// the one before is answered. Sent together, the last would take 95 ms and heartbeats with it.
	chk := is.New(t)
	dsk := newDesk(t, listed("s1", 64000), listed("s2", 64000))
	dsk.ldr.link = NewUplink(250_000)
	big := strings.Repeat("x", 2400)
	for _, tsk := range []string{"j.0", "j.1", "j.2"} {
		ord := dsk.order(0, tsk)
		ord.Payload, ord.ReturnIfBusy = big, true
		dsk.did(dsk.ldr.HandleOrder(dsk.now, ord))
	}
	chk.Equal(len(dsk.starts()), 1)
	chk.Equal(dsk.reports(NotRun), 0) // It waits some milliseconds; to bounce costs its payload once more.
	small := dsk.order(0, "k.0")
	small.Payload = "x"
	dsk.did(dsk.ldr.HandleOrder(dsk.now, small))
	chk.Equal(len(dsk.starts()), 2) // A small one still fits.
	dsk.started("j.0", Accepted)
	chk.Equal(len(dsk.starts()), 3)
	chk.Equal(dsk.ldr.Load(dsk.now).LinkBusy, 2*StartBytes(big)+StartBytes("x"))
}

func TestAnswerLateByTheLink(t *testing.T) {
	// A start without an answer is waited for longer the next time only if the link was full: one that was lost on a free
	// link must be noticed as soon as ever.
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
				upl.sent(big)
			}
			for range 5 {
				upl.sent(big)
				upl.HandleStartResult(big, 180*time.Millisecond, Unknown)
			}
			chk.Equal(upl.AnswerTimeout() > NewUplink(250_000).AnswerTimeout(), cse.longer)
		})
	}
}

func TestLinkDelay(t *testing.T) {
	// What fits into the window goes at once; what is beyond it waits as long as the link takes.
	chk := is.New(t)
	chk.Equal(linkDelay(5000, 5000), time.Duration(0))
	chk.Equal(linkDelay(5000, 10000), queueTime)
	chk.True(NewUplink(0).Fits(strings.Repeat("x", 1<<20)))
	full := NewUplink(1000)
	chk.True(full.Fits(strings.Repeat("x", 4000))) // Nothing else is under way.
	full.SetPeerBytes(1)
	chk.True(!full.Fits(strings.Repeat("x", 4000)))
}
