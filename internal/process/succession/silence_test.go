package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
)

// Guards against shards that stay without a leader for as long as the last instance of their failure domain hears the others with pauses of
// over PauseGrace, as from a few idle instances of other domains or over a link that loses calls: each pause begins its wait anew, and as
// its domain has it, no instance of another one takes the shards over either.
func TestLastInstanceOfADomainHearsOthersSeldom(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.8)
			for num := range 3 {
				fix.heartbeat(fmt.Sprint("near-", num, "/1"), "a", 0.2, false, shard.Name(fmt.Sprint("a.", num)))
			}
			fix.heartbeat("far/1", "b", 0.8, false, "b.0")
			fix.takeovers(400 * time.Millisecond)
			for num := range 3 {
				fix.elc.HandleInstanceLost(fix.now, shard.InstanceID(fmt.Sprint("near-", num, "/1")), true)
			}
			took := false
			for range 20 {
				fix.heartbeat("far/1", "b", 0.8, false, "b.0")
				took = took || fix.takeovers(pause)["a.0"]
			}
			chk.True(took) // 6 to 20 s after the losses.
		})
	}
}

func TestDeafInstanceWaitsUntilItHearsOthers(t *testing.T) {
	// Guards against an instance whose link is full, so that it hears nobody for longer than IsolationTimeout: it must not take shards over
	// from healthy leaders in the moment in which its sockets are read again, or when one more instance is lost meanwhile. If it hears others
	// all the while, or nobody for long, the silent ones are really lost.
	const others = 14
	millis := func(num int) time.Duration { return time.Duration(num) * time.Millisecond }
	cases := map[string]struct {
		// heardFor is for how long another instance is still heard after the losses, heardAgain when one is heard next; 0 for never.
		heardFor, heardAgain time.Duration
		// lostAgain is when one more instance of the domain is lost; 0 for never.
		lostAgain time.Duration
		// from and until bound the time of the first takeover after the losses.
		from, until time.Duration
	}{
		"it hears others all the while":                {heardFor: millis(6000), from: millis(1400), until: millis(1700)},
		"it hears others again after 1.9 s":            {heardAgain: millis(1900), from: millis(3300), until: millis(3600)},
		"it loses one more, then hears others again":   {heardAgain: millis(1900), lostAgain: millis(1300), from: millis(3300), until: millis(3600)},
		"it hears nobody, as all others have no power": {from: millis(2500), until: millis(3200)},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fix := newFixture(0.2)
			var shs []Shard
			for num := range others {
				name := shard.Name(fmt.Sprint("a.", num))
				shs = append(shs, Shard{Name: name, Domain: "a"})
				fix.heartbeat(fmt.Sprint("near-", num, "/1"), "a", 0.2, false, name)
			}
			fix.elc.SetShards(shs)
			fix.heartbeat("far/1", "b", 0.8, false)
			chk.Equal(len(fix.takeovers(500*time.Millisecond)), 0)
			fix.heartbeat("far/1", "b", 0.8, false)
			for num := range others - 1 {
				fix.elc.HandleInstanceLost(fix.now, shard.InstanceID(fmt.Sprint("near-", num, "/1")), true)
			}
			begin, took := fix.now, time.Duration(0)
			for took == 0 && fix.now.Sub(begin) < 6*time.Second {
				since := fix.now.Sub(begin)
				if since <= cse.heardFor || cse.heardAgain > 0 && since >= cse.heardAgain {
					fix.heartbeat("far/1", "b", 0.8, false)
				}
				if cse.lostAgain > 0 && since >= cse.lostAgain {
					fix.elc.HandleInstanceLost(fix.now, shard.InstanceID(fmt.Sprint("near-", others-1, "/1")), true)
				}
				if len(fix.takeovers(10*time.Millisecond)) > 0 {
					took = since
				}
			}
			chk.True(took >= cse.from && took <= cse.until)
		})
	}
}
