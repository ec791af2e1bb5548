package mesh_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/request/shard"
)

// Guards against messages that together are larger than an instance takes in one call: they were sent again and again, and with them all that
// waited for the same instance. Also against bytes that stay counted as under way.
func TestLargeBatchesArrive(t *testing.T) {
	order := func(payload, label string) mesh.Message {
		return mesh.Order{Shard: "a.0", Order: shard.Order{Task: "j.0.0.0", Payload: payload, Label: label}}
	}
	cases := map[string]struct {
		count   int
		message func(num int) mesh.Message
		tooMany int
	}{
		"different payloads":       {count: 4200, message: func(num int) mesh.Message { return order(fmt.Sprint(num, strings.Repeat("p", 4000)), "") }},
		"labels":                   {count: 4200, message: func(int) mesh.Message { return order("p", strings.Repeat("l", 4000)) }},
		"configurations":           {count: 60, message: func(int) mesh.Message { return mesh.Configuration{Data: make([]byte, 256<<10)} }},
		"a list that is too large": {count: 1, tooMany: 1, message: func(int) mesh.Message { return mesh.ServerList{Data: make([]byte, 13<<20)} }},
		"the largest list":         {count: 2, message: func(int) mesh.Message { return mesh.ServerList{Data: make([]byte, 11<<20)} }},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inPair(t, func(_ *pipe.Network, one, two *node) {
				chk := is.New(t)
				for num := range cse.count {
					one.msh.Send(mesh.ID("two", 1), cse.message(num))
				}
				one.send("two", 7)
				time.Sleep(5 * time.Second)
				got, lost, hears := two.seen()
				chk.Equal(got, []string{"7"})
				chk.Equal(lost, 0)
				chk.True(hears)
				chk.Equal(two.others, cse.count-cse.tooMany)
				chk.Equal(one.tooLarge, cse.tooMany)
				chk.Equal(one.msh.UnacknowledgedBytes(), int64(0))
			})
		})
	}
}
