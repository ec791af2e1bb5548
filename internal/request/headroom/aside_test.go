package headroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against servers set aside without urgent work, and against so many that less urgent work has none.
func TestSetAside(t *testing.T) {
	cases := map[string]struct {
		rooms []int64
		usage []float64
		want  []int
	}{
		"nothing urgent":                {[]int64{64, 64, 64, 64}, []float64{0, 0, 200}, []int{3, 3, 3, 3}},
		"too little for a whole server": {[]int64{64, 64, 64, 64}, []float64{10, 40, 200}, []int{3, 3, 3, 3}},
		"one for the two most urgent":   {[]int64{64, 64, 64, 64}, []float64{30, 70, 100}, []int{2, 3, 3, 3}},
		"one for the most urgent alone": {[]int64{64, 64, 64, 64}, []float64{100, 100, 0}, []int{1, 2, 3, 3}},
		"the larger ones first":         {[]int64{64, 96, 64, 96}, []float64{0, 150, 100}, []int{3, 2, 3, 3}},
		"at most half":                  {[]int64{64, 64, 64, 64}, []float64{250, 0, 0}, []int{1, 1, 3, 3}},
		"no server":                     {nil, []float64{250, 0, 0}, []int{}},
		"nothing observed yet":          {[]int64{64}, nil, []int{0}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(SetAside(cas.rooms, cas.usage), cas.want) })
	}
}

// Guards against a usage that jumps with each run, and one that stays when the urgent work has ended.
func TestUsage(t *testing.T) {
	chk := is.New(t)
	now := time.Unix(1000, 0)
	var usg Usage
	chk.Equal(usg.Means(), nil)
	mean := func(used int64, dur time.Duration) float64 {
		for end := now.Add(dur); now.Before(end); {
			now = now.Add(20 * time.Millisecond)
			usg.Observe(now, []int64{used, 0, 0})
		}
		return usg.Means()[0]
	}
	chk.Equal(mean(100, 20*time.Millisecond), 100.0)
	chk.True(mean(0, 20*time.Millisecond) > 80)
	chk.True(mean(0, 2*time.Second) < 1)
}

// Guards against a reservation of a server that never has room, or of one that has it later than another.
func TestFitTime(t *testing.T) {
	short, long := Ending{Room{30, 3}, 10 * ms}, Ending{Room{30, 3}, 500 * ms}
	cases := map[string]struct {
		free  Room
		runs  []Ending
		size  Room
		after time.Duration
		spare Room
		fits  bool
	}{
		"at once":              {Room{40, 4}, []Ending{long}, Room{40, 1}, 0, Room{0, 3}, true},
		"after the next run":   {Room{4, 4}, []Ending{long, short}, Room{30, 1}, 10 * ms, Room{4, 6}, true},
		"after two runs":       {Room{4, 4}, []Ending{long, short}, Room{40, 1}, 500 * ms, Room{24, 9}, true},
		"after two for memory": {Room{4, 1}, []Ending{long, short}, Room{30, 5}, 500 * ms, Room{34, 2}, true},
		"never":                {Room{4, 4}, []Ending{long, short}, Room{70, 1}, 0, Room{}, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			after, spare, fits := FitTime(cas.free, cas.runs, cas.size)
			chk.Equal(after, cas.after)
			chk.Equal(spare, cas.spare)
			chk.Equal(fits, cas.fits)
		})
	}
}

// Guards against more preemption than the share of the room a second.
func TestBudget(t *testing.T) {
	chk := is.New(t)
	now := time.Unix(1000, 0)
	bdg := &Budget{}
	chk.Equal(bdg.Left(now, 400), int64(100))
	bdg.Spend(80)
	chk.Equal(bdg.Left(now, 400), int64(20))
	chk.Equal(bdg.Left(now.Add(500*ms), 400), int64(70))
	chk.Equal(bdg.Left(now.Add(time.Hour), 400), int64(100))
}
