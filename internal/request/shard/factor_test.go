package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against factors of run times that can't be those of a sound server and are used all the same: a negative one would make each task in time.
func TestFactorsOfOtherInstances(t *testing.T) {
	cases := map[string]struct {
		told int64
		want float64
	}{
		"slow": {1670, 1.67}, "fast": {625, 0.625}, "not told": {0, 1}, "negative": {-1000, 1}, "a thousand times": {1_000_000, 1}, "a thousandth": {1, 1},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			lod := Load{Free: []int64{9, 9}, FreeFactors: []int64{cse.told}}
			chk.Equal(lod.FreeFactor(0), cse.want)
			chk.Equal(lod.FreeFactor(1), 1.0)
			chk.Equal((&Report{Factor: cse.told}).ServerFactor(), cse.want)
			var bok SpeedBook
			chk.Equal(bok.Add(time.Unix(1000, 0), ToldSpeeds{Speeds: []ServerSpeed{{Server: "s", Factor: cse.told}}}), cse.want != 1)
		})
	}
}
