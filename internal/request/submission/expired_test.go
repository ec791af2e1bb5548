package submission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks of younger jobs that are ordered anew before those of older ones, once their former runs are surely over.
func TestExpiredTasksAreOrderedOldestJobFirst(t *testing.T) {
	chk := is.New(t)
	hrn := newHarness()
	hrn.setLeader("b.0", false, other, 20, 20)
	var want []string
	for num := range 12 {
		id := fmt.Sprint("j", 90-num)
		hrn.submit(CallID(num), id, 1)
		want = append(want, "order "+id+".0.0.0 at self/1")
		hrn.now = hrn.now.Add(time.Millisecond)
	}
	hrn.record(hrn.crd.HandleInstanceLost(hrn.now, other, "not heard"))
	hrn.setLeader("a.0", true, self, 20, 20)
	hrn.takeTexts()
	hrn.now = hrn.now.Add(orphanExpiry)
	hrn.record(hrn.crd.HandleTick(hrn.now))
	var got []string
	for _, txt := range hrn.takeTexts() {
		got = append(got, strings.TrimSuffix(txt, " return-if-busy"))
	}
	chk.Equal(got, want)
}
