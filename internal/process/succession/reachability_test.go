package succession

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReachabilityNeedsAnswersWithoutGap guards against a takeover because of answers that servers gave long ago.
func TestReachabilityNeedsAnswersWithoutGap(t *testing.T) {
	const latency = 5 * time.Millisecond
	type probe struct {
		after    time.Duration
		answered bool
	}
	answers := func(num int) []probe {
		probes := make([]probe, num)
		for idx := range probes {
			probes[idx] = probe{after: minAnswering / 2, answered: true}
		}
		return probes
	}
	cases := map[string]struct {
		probes []probe
		// wait is the time from the last probe's end to the decision.
		wait time.Duration
		want bool
	}{
		"never probed":                       {},
		"one answer":                         {probes: answers(1), wait: minAnswering / 2},
		"answers for long enough":            {probes: answers(3), wait: minAnswering / 2, want: true},
		"answers until half a minute ago":    {probes: answers(3), wait: 30 * time.Second},
		"one answer half a minute ago":       {probes: answers(1), wait: 30 * time.Second},
		"one new answer after half a minute": {probes: append(answers(3), probe{after: 30 * time.Second, answered: true}), wait: latency},
		"new answers after half a minute": {
			probes: append(append(answers(1), probe{after: 30 * time.Second, answered: true}), answers(2)...), wait: latency, want: true,
		},
		"the last probe is not answered": {probes: append(answers(3), probe{after: minAnswering / 2}), wait: latency},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			now := time.Unix(1000, 0)
			rch := &Reachability{}
			for _, prb := range cse.probes {
				now = now.Add(prb.after)
				chk.True(rch.StartProbe(now))
				chk.True(!rch.StartProbe(now)) // One probe at a time.
				sent := now
				now = now.Add(latency)
				if prb.answered {
					rch.HandleProbeAnswer(now, sent)
				} else {
					rch.HandleProbeFailure(now)
				}
			}
			chk.Equal(rch.Confirmed(now.Add(cse.wait)), cse.want)
		})
	}
}
