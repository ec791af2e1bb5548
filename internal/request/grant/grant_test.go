package grant

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const owners = 35

// Guards against a contention that stays high after a shortage, that exceeds the number of owners, or that falls while orders come back.
func TestContention(t *testing.T) {
	from := time.Unix(1000, 0)
	cases := map[string]struct {
		returns, starts int
		pause           time.Duration
		owners          int
		least, most     float64
	}{
		"nothing known":                         {owners: owners, least: 1, most: 1},
		"no shard has a leader":                 {returns: 100, owners: 0, least: 1, most: 1},
		"all orders come back":                  {returns: 100, owners: owners, least: owners, most: owners},
		"all orders start":                      {starts: 500, owners: owners, least: 1, most: 1},
		"a few come back after a day of starts": {starts: 500, returns: 2, owners: owners, least: 2, most: 3},
		"no orders for a while":                 {returns: 100, pause: 20 * halfLife, owners: owners, least: 1, most: 1},
		"the clock goes back":                   {returns: 100, pause: -time.Hour, owners: owners, least: owners, most: owners},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			var con Contention
			for range cse.starts {
				con.HandleStart(from, cse.owners)
			}
			for range cse.returns {
				con.HandleReturn(from, cse.owners)
			}
			lvl := con.Level(from.Add(cse.pause), cse.owners)
			chk.True(lvl >= cse.least-1e-9)
			chk.True(lvl <= cse.most+1e-9)
		})
	}
}

// Guards against owners whose shares together are far more or less than the room, and against shards whose last task of room nobody counts on.
func TestSharesAddUpToTheRoom(t *testing.T) {
	const loads = 400
	for _, room := range []int64{0, 1, 3, 18, 100} {
		chk := is.New(t)
		var sum int64
		for load := range int64(loads) {
			for own := range owners {
				shr := Share(room, owners, fmt.Sprintf("owner-%d/1", own), "a.0", load)
				chk.True(shr >= 0 && shr <= room)
				sum += shr
			}
		}
		chk.True(math.Abs(float64(sum)/loads-float64(room)) <= 0.1*float64(room))
		chk.Equal(Share(room, 1, "owner-0/1", "a.0", 1), room)
	}
}

// Guards against owners that choose the same shard for all their tasks, and against choices without regard to the weights.
func TestWeighChoosesByWeight(t *testing.T) {
	const tasks = 4000
	weights := map[string]int64{"a.0": 1, "a.1": 2, "b.0": 5, "b.1": 0}
	got := map[string]int{}
	for num := range tasks {
		bst, most := "", math.Inf(-1)
		for _, name := range []string{"a.0", "a.1", "b.0", "b.1"} {
			if score := Weigh(fmt.Sprintf("job-%d.0.0.0", num), name, weights[name]); score > most {
				bst, most = name, score
			}
		}
		got[bst]++
	}
	for name, wgt := range weights {
		want := float64(wgt) / 8 * tasks
		is.New(t).True(math.Abs(float64(got[name])-want) <= 0.05*tasks)
	}
}
