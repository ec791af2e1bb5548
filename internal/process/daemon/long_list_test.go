package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// TestListIsReadInParts guards against a leader that reports a task as run nowhere though it does not know the server on which it runs: it
// was cut off from the store for some seconds, and the store returns at most 1 MB of the list at once. A listing counts as read at a time
// only if it goes up to the end that the list had then.
func TestListIsReadInParts(t *testing.T) {
	inTestSystem(t, 1, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		// No time passes: these are the heartbeats of 1,100 servers in a dozen seconds, and then a new server.
		for range 9000 {
			sys.listServer("server-1-1", domainName(0), "ready")
		}
		sys.startServer("server-1-9", domainName(0))
		began := time.Now()
		time.Sleep(time.Nanosecond)
		chk.NoErr(dmn.readServerList(sys.ctx))
		dmn.mu.Lock()
		defer dmn.mu.Unlock()
		_, known := dmn.entries["server-1-9"]
		t.Logf("up to offset %d, new server known: %t, listing as of the read: %t", dmn.follower.NextOffset(), known, dmn.listReadAt.After(began))
		chk.True(known || !dmn.listReadAt.After(began))
	})
}

// Guards against a list that stays known in part for as long as the store cuts each answer: it is read on to its end.
func TestListIsReadToItsEnd(t *testing.T) {
	inTestSystem(t, 1, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		for range 9000 {
			sys.listServer("server-1-1", domainName(0), "ready")
		}
		sys.startServer("server-1-9", domainName(0))
		chk.NoErr(dmn.readServerList(sys.ctx))
		dmn.mu.Lock()
		defer dmn.mu.Unlock()
		chk.True(dmn.entries["server-1-9"].Address != "")
	})
}

// Guards against a part of the list that counts as all of it at the time of its read.
func TestPartOfTheListIsNoListing(t *testing.T) {
	inTestSystem(t, 1, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		dmn.mu.Lock()
		from, was := dmn.follower.NextOffset(), dmn.listReadAt
		dmn.mu.Unlock()
		for complete, end := range map[bool]int64{false: from + 1, true: from} {
			dmn.applyListChanges(time.Now(), from, &platform.Chunk{Next: from, End: end})
			dmn.mu.Lock()
			chk.Equal(dmn.listReadAt.After(was), complete)
			dmn.listReadAt = was
			dmn.mu.Unlock()
		}
	})
}
