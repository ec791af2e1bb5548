package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
)

// Guards against an instance that is taken for another one, whose machine had its address before: both would count as alive, and the batches meant for
// the two would mix in one session.
func TestBatchForAnotherInstance(t *testing.T) {
	inPair(t, func(_ *pipe.Network, one, two *node) {
		chk := is.New(t)
		one.msh.SetPeers([]mesh.Peer{{Name: "two", Address: "two:1"}, {Name: "removed", Address: "two:1"}})
		var want []string
		for num := range 50 {
			one.send("two", num)
			want = append(want, fmt.Sprint(num))
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Second)
		got, _, _ := two.seen()
		chk.Equal(got, want)
		one.mu.Lock()
		defer one.mu.Unlock()
		for id := range one.heard {
			chk.Equal(id, shard.InstanceID("two/1"))
		}
	})
}
