package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that takes requests at once though it stood still, or whose machine was suspended, and against one that waits without a pause.
func TestPausesOfTheProcess(t *testing.T) {
	cases := map[string]struct {
		// steady and wall are the times since the last note by the two clocks.
		steady, wall time.Duration
		waits        time.Duration
	}{
		"it runs":                      {steady: runInterval, wall: runInterval},
		"it was late":                  {steady: longPause, wall: longPause},
		"it stood still":               {steady: longPause + 1, wall: longPause + 1, waits: socketReadTime},
		"its machine was suspended":    {steady: runInterval, wall: time.Second, waits: socketReadTime},
		"the time of day was put back": {steady: runInterval, wall: -time.Hour},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			pau, now := &pauses{}, moment{steady: time.Minute, wall: time.Unix(1000, 0)}
			note := func(steady, wall time.Duration) time.Duration {
				now.steady, now.wall = now.steady+steady, now.wall.Add(wall)
				return pau.note(now)
			}
			chk.Equal(note(0, 0), time.Duration(0))
			chk.Equal(note(cse.steady, cse.wall), cse.waits)
			chk.Equal(note(time.Millisecond, time.Millisecond), max(0, cse.waits-time.Millisecond))
			chk.Equal(note(socketReadTime, socketReadTime), time.Duration(0))
		})
	}
}
