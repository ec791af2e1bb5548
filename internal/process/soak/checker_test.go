package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCheckerFindsWhatIsPlanted(t *testing.T) {
	// Each promise is broken once on purpose; a checker that stays silent would let the soak pass over it.
	now := time.Now()
	cases := map[string]struct {
		plant func(chk *checker)
		want  string
	}{
		"refused and started":       {func(chk *checker) { chk.judge(&outcome{id: "j", refused: true}, record{starts: 1}) }, "REFUSED"},
		"refused and never started": {func(chk *checker) { chk.judge(&outcome{id: "j", refused: true}, record{}) }, ""},
		"succeeded without an end":  {func(chk *checker) { chk.judge(&outcome{status: 200, tasks: 3}, record{starts: 3, done: 2}) }, "MIXED"},
		"succeeded":                 {func(chk *checker) { chk.judge(&outcome{status: 200, tasks: 3}, record{starts: 4, done: 3}) }, ""},
		"failed too early": {func(chk *checker) {
			chk.judge(&outcome{status: 200, failed: true, tasks: 5}, record{starts: 6, failures: 2})
		}, "LOST"},
		"failed as often as it may": {func(chk *checker) {
			chk.judge(&outcome{status: 200, failed: true, tasks: 1}, record{starts: 4, failures: 4})
		}, ""},
		"cut off by a planned stop":  {func(chk *checker) { chk.cutOff("j", "entry", true, now, now) }, "LOST"},
		"cut off beside a trouble":   {func(chk *checker) { chk.begin(); chk.cutOff("j", "entry", true, now, now.Add(time.Second)) }, ""},
		"cut off without any stop":   {func(chk *checker) { chk.cutOff("j", "entry", false, now, now) }, ""},
		"a version that goes back":   {func(chk *checker) { chk.inForce("entry", 3, 2) }, "CONFIG"},
		"a version that comes again": {func(chk *checker) { chk.inForce("entry", 3, 3) }, ""},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			ckr := &checker{}
			cse.plant(ckr)
			if cse.want == "" {
				chk.Equal(len(ckr.found()), 0)
				return
			}
			chk.Equal(len(ckr.found()), 1)
			chk.True(strings.Contains(ckr.found()[0], cse.want))
		})
	}
}

func TestCalm(t *testing.T) {
	// A trouble spoils the calm from its beginning until a while after its end.
	chk := is.New(t)
	ckr := &checker{}
	end := ckr.begin()
	began := time.Now()
	chk.True(ckr.calm(began.Add(-time.Minute), began.Add(-time.Second)))
	chk.True(!ckr.calm(began, began.Add(time.Millisecond)))
	end()
	chk.True(!ckr.calm(time.Now().Add(contact/2), time.Now().Add(contact)))
	chk.True(ckr.calm(time.Now().Add(contact+time.Second), time.Now().Add(2*contact)))
}

func TestPlans(t *testing.T) {
	// A seed always gives the same plan; fifty seeds have every kind of trouble; the first half of every other seed has
	// operators' work only.
	chk := is.New(t)
	shp := DefaultShape()
	seen := map[kind]bool{}
	for seed := range uint64(50) {
		pln := makePlan(seed, shp)
		chk.Equal(pln, makePlan(seed, shp))
		for _, trb := range pln {
			seen[trb.kind] = true
			chk.True(trb.at < shp.For-quietTail)
			if seed%2 == 0 && trb.at < shp.For/2 {
				chk.True(planned[trb.kind])
			}
		}
	}
	chk.Equal(len(seen), len(kinds))
}

func TestConfigCheck(t *testing.T) {
	cases := map[string]struct {
		change func(shp *Shape)
		ok     bool
	}{
		"as it is":           {func(*Shape) {}, true},
		"one instance":       {func(shp *Shape) { shp.Domains, shp.Entries = 1, 1 }, false},
		"too many instances": {func(shp *Shape) { shp.Entries = 100 }, false},
		"no servers":         {func(shp *Shape) { shp.Servers = 0 }, false},
		"too short":          {func(shp *Shape) { shp.For = quietTail }, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			cfg := Config{Shape: DefaultShape()}
			cse.change(&cfg.Shape)
			chk.Equal(cfg.Check() == nil, cse.ok)
		})
	}
}
