package succession

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReachNeedsAnswersWithoutAGap guards against a take-over by answers that servers gave long ago.
func TestReachNeedsAnswersWithoutAGap(t *testing.T) {
	const way = 5 * time.Millisecond
	type asking struct {
		after    time.Duration
		answered bool
	}
	answers := func(num int) []asking {
		asks := make([]asking, num)
		for idx := range asks {
			asks[idx] = asking{after: minAnswering / 2, answered: true}
		}
		return asks
	}
	cases := map[string]struct {
		asks []asking
		// rest is the time from the last answer on.
		rest time.Duration
		want bool
	}{
		"never asked":                          {},
		"one answer":                           {asks: answers(1), rest: minAnswering / 2},
		"answers for long enough":              {asks: answers(3), rest: minAnswering / 2, want: true},
		"answers until half a minute ago":      {asks: answers(3), rest: 30 * time.Second},
		"one answer half a minute ago":         {asks: answers(1), rest: 30 * time.Second},
		"one answer again after half a minute": {asks: append(answers(3), asking{after: 30 * time.Second, answered: true}), rest: way},
		"answers again after half a minute": {
			asks: append(append(answers(1), asking{after: 30 * time.Second, answered: true}), answers(2)...), rest: way, want: true,
		},
		"the last one is missing": {asks: append(answers(3), asking{after: minAnswering / 2}), rest: way},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			now := time.Unix(1000, 0)
			rch := &Reachability{}
			for _, ask := range cse.asks {
				now = now.Add(ask.after)
				chk.True(rch.StartProbe(now))
				chk.True(!rch.StartProbe(now)) // One asking at a time.
				asked := now
				now = now.Add(way)
				if ask.answered {
					rch.HandleProbeAnswer(now, asked)
				} else {
					rch.HandleProbeFailure(now)
				}
			}
			chk.Equal(rch.Confirmed(now.Add(cse.rest)), cse.want)
		})
	}
}
