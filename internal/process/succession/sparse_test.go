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
